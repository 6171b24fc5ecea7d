//===- RequestReport.h - What the logs tell of one request ------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Gathers, for the id of a request that failed, its own lines, what others saw
/// of the same servers around that time, and what had changed shortly before.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_OPERATOR_REQUESTREPORT_H
#define CANVASWICK_OPERATOR_REQUESTREPORT_H

#include "canvaswick/Operator/LogLines.h"

namespace canvaswick {

/// One try of a request at one server, as its line tells it.
struct LoggedAttempt {
  std::string Server;
  std::string Outcome;
  double Milliseconds = 0;
  /// Part of its fair share that the server had when it was chosen.
  double Share = 0;
  /// How likely it was sick, and the requests there, as the daemon knew them;
  /// -1: the line does not tell.
  double UnhealthyProbability = -1;
  double Load = -1;
  /// Whether it was chosen to be tested.
  bool IsTest = false;
  /// Calendar time of its end, in seconds.
  double Ended = 0;
};

/// Decodes the attempts of a request's line. Damaged ones are passed over.
std::vector<LoggedAttempt> decodeAttempts(const LogLine &Line);

/// Tells what Lines, in the order of their times, say about the request of this
/// id. Fails if they don't hold it.
Result<std::string> describeRequest(const std::string &Id,
                                    const std::vector<LogLine> &Lines);

} // namespace canvaswick

#endif // CANVASWICK_OPERATOR_REQUESTREPORT_H
