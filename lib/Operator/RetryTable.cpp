//===- RetryTable.cpp - What retries were spent on ------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// An attempt that used up a retry is marked in the request's line.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Operator/RetryTable.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>

namespace canvaswick {

namespace {

/// The retries that followed on one outcome.
struct RetryRow {
  size_t Taken = 0;
  size_t Served = 0;
};

/// The retries of one service.
struct ServiceRetryUse {
  size_t Requests = 0;
  size_t Taken = 0;
  size_t Unanswered = 0;
  /// By the outcome of the attempt before.
  std::map<std::string, RetryRow> Rows;
};

} // namespace

static void addRequest(ServiceRetryUse &Use, const LogLine &Line) {
  ++Use.Requests;
  std::string Before;
  for (const LoggedAttempt &Attempt : decodeAttempts(Line)) {
    if (Attempt.IsPaid) {
      RetryRow &Row = Use.Rows[Before];
      ++Use.Taken;
      ++Row.Taken;
      Row.Served += Attempt.Outcome == "good" ? 1 : 0;
    }
    Before = Attempt.Outcome;
  }
  if (!Before.empty() && Line.get("outcome") != "relayed" &&
      Line.get("outcome") != "caller-left")
    ++Use.Unanswered;
}

std::string makeRetryTable(const std::vector<LogLine> &Lines) {
  std::map<std::string, ServiceRetryUse> Services;
  for (const LogLine &Line : Lines)
    if (Line.Event == "request" && !Line.get("service").empty())
      addRequest(Services[Line.get("service")], Line);
  std::vector<std::pair<std::string, ServiceRetryUse>> Sorted(Services.begin(),
                                                              Services.end());
  std::stable_sort(Sorted.begin(), Sorted.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.second.Taken > Right.second.Taken;
                   });
  std::string Text;
  for (const auto &[Service, Use] : Sorted) {
    Text += fmt::format("service {}: {} requests, {} retries, {} unanswered\n",
                        Service, Use.Requests, Use.Taken, Use.Unanswered);
    for (const auto &[Outcome, Row] : Use.Rows)
      Text += fmt::format("  after {:12} {:6}  served {:6}\n", Outcome,
                          Row.Taken, Row.Served);
  }
  return Text;
}

} // namespace canvaswick
