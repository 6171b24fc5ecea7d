//===- RequestReport.h - Report on one request from the logs ----*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Reports, for the id of a failed request, its log lines, the outcomes of
/// other requests at the same servers around that time, and the changes of
/// state shortly before.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_OPERATOR_REQUESTREPORT_H
#define CANVASWICK_OPERATOR_REQUESTREPORT_H

#include "canvaswick/Operator/LogLines.h"

namespace canvaswick {

/// One attempt to run a request on a server, decoded from the request's line.
struct LoggedAttempt {
  std::string Server;
  std::string Outcome;
  double Milliseconds = 0;
  /// The server's share when it was chosen, as a fraction of its fair share.
  double Share = 0;
  /// The daemon's estimates of the probability that the server was unhealthy
  /// and of the requests in flight there; -1 if the line doesn't have them.
  double UnhealthyProbability = -1;
  double Load = -1;
  /// Whether the attempt was a probe of the server's health.
  bool IsTest = false;
  /// Whether a retry was used up for it.
  bool IsPaid = false;
  /// The calendar time at which the attempt ended, in seconds.
  double Ended = 0;
};

/// Decodes the attempts of a request's line. Malformed attempts are skipped.
std::vector<LoggedAttempt> decodeAttempts(const LogLine &Line);

/// Returns the report on the request with this id. Lines must be sorted by
/// time. Fails with NotFound if no line is about the request.
Result<std::string> describeRequest(const std::string &Id,
                                    const std::vector<LogLine> &Lines);

} // namespace canvaswick

#endif // CANVASWICK_OPERATOR_REQUESTREPORT_H
