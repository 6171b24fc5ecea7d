//===- LossTable.cpp - Where requests were lost ---------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Counts attempts by route, order, moment and outcome.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Operator/LossTable.h"
#include "canvaswick/Support/EnumNames.h"

#include <fmt/format.h>

#include <algorithm>

namespace canvaswick {

/// From this probability of sickness on, a server counts as suspect: about
/// three times what is left a second after a good answer.
static constexpr double SuspectSickness = 0.1;

/// From this many requests on a server counts as loaded: slots are few.
static constexpr double LoadedFrom = 3;

static constexpr EnumNames<ServerKnowledge, 5> MomentNames = {{
    {ServerKnowledge::Test, "test"},
    {ServerKnowledge::Suspect, "suspect"},
    {ServerKnowledge::Loaded, "loaded"},
    {ServerKnowledge::Unsuspected, "unsuspected"},
    {ServerKnowledge::Unknown, "unknown"},
}};

const char *getName(ServerKnowledge Moment) {
  return getEnumName(MomentNames, Moment);
}

ServerKnowledge classifyAttempt(const LoggedAttempt &Attempt) {
  if (Attempt.UnhealthyProbability < 0)
    return ServerKnowledge::Unknown;
  if (Attempt.IsTest)
    return ServerKnowledge::Test;
  if (Attempt.UnhealthyProbability >= SuspectSickness)
    return ServerKnowledge::Suspect;
  return Attempt.Load >= LoadedFrom ? ServerKnowledge::Loaded
                                    : ServerKnowledge::Unsuspected;
}

namespace {

/// What came of the attempts of one row.
struct LossRow {
  size_t All = 0;
  std::map<std::string, size_t> Outcomes;
};

/// The attempts of one route.
struct RouteLosses {
  size_t Requests = 0;
  /// By whether it was a later attempt, and its moment.
  std::map<std::pair<bool, ServerKnowledge>, LossRow> Rows;
};

} // namespace

static void addRequest(RouteLosses &Losses, const LogLine &Line) {
  ++Losses.Requests;
  bool IsLater = false;
  for (const LoggedAttempt &Each : decodeAttempts(Line)) {
    LossRow &Row = Losses.Rows[{IsLater, classifyAttempt(Each)}];
    ++Row.All;
    ++Row.Outcomes[Each.Outcome];
    IsLater = true;
  }
}

static std::string formatRow(bool IsLater, ServerKnowledge Moment,
                             const LossRow &Row) {
  const auto Good = Row.Outcomes.find("good");
  const size_t Bad = Row.All - (Good == Row.Outcomes.end() ? 0 : Good->second);
  std::string Text = fmt::format(
      "  {:5} {:11} {:6}  not good {:5.1f} % ", IsLater ? "later" : "first",
      getName(Moment), Row.All,
      100.0 * static_cast<double>(Bad) / static_cast<double>(Row.All));
  for (const auto &[Outcome, Count] : Row.Outcomes)
    Text += fmt::format(" {} {}", Count, Outcome);
  return Text + "\n";
}

std::string makeLossTable(const std::vector<LogLine> &Lines) {
  std::map<std::string, RouteLosses> Routes;
  for (const LogLine &Line : Lines)
    if (Line.Event == "request" && !Line.get("route").empty())
      addRequest(Routes[Line.get("route")], Line);
  std::vector<std::pair<std::string, RouteLosses>> Order(Routes.begin(),
                                                         Routes.end());
  std::stable_sort(Order.begin(), Order.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.second.Requests > Right.second.Requests;
                   });
  std::string Text;
  for (const auto &[Route, Losses] : Order) {
    Text += fmt::format("route {}: {} requests\n", Route, Losses.Requests);
    for (const auto &[Key, Row] : Losses.Rows)
      Text += formatRow(Key.first, Key.second, Row);
  }
  return Text;
}

} // namespace canvaswick
