//===- LossTable.cpp - Failed attempts by knowledge of the server ---------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Counts attempts by route, by first or later attempt, by ServerKnowledge and
/// by outcome.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Operator/LossTable.h"
#include "canvaswick/Support/EnumNames.h"

#include <fmt/format.h>

#include <algorithm>

namespace canvaswick {

/// A server counts as suspect from this probability of being unhealthy on. It
/// is about three times the probability that remains one second after a good
/// answer.
static constexpr double MinSuspectProbability = 0.1;

/// A server counts as loaded from this many requests in flight on. The number
/// is low because servers have few slots.
static constexpr double MinLoad = 3;

static constexpr EnumNames<ServerKnowledge, 5> KnowledgeNames = {{
    {ServerKnowledge::Test, "test"},
    {ServerKnowledge::Suspect, "suspect"},
    {ServerKnowledge::Loaded, "loaded"},
    {ServerKnowledge::Unsuspected, "unsuspected"},
    {ServerKnowledge::Unknown, "unknown"},
}};

const char *getName(ServerKnowledge Knowledge) {
  return getEnumName(KnowledgeNames, Knowledge);
}

ServerKnowledge classifyAttempt(const LoggedAttempt &Attempt) {
  if (Attempt.UnhealthyProbability < 0)
    return ServerKnowledge::Unknown;
  if (Attempt.IsTest)
    return ServerKnowledge::Test;
  if (Attempt.UnhealthyProbability >= MinSuspectProbability)
    return ServerKnowledge::Suspect;
  return Attempt.Load >= MinLoad ? ServerKnowledge::Loaded
                                 : ServerKnowledge::Unsuspected;
}

namespace {

/// The outcomes of the attempts in one row of the table.
struct LossRow {
  size_t All = 0;
  std::map<std::string, size_t> Outcomes;
};

/// The attempts of one route.
struct RouteLosses {
  size_t Requests = 0;
  /// The rows by whether the attempts were later ones, and by ServerKnowledge.
  std::map<std::pair<bool, ServerKnowledge>, LossRow> Rows;
};

} // namespace

static void addRequest(RouteLosses &Losses, const LogLine &Line) {
  ++Losses.Requests;
  bool IsLater = false;
  for (const LoggedAttempt &Attempt : decodeAttempts(Line)) {
    LossRow &Row = Losses.Rows[{IsLater, classifyAttempt(Attempt)}];
    ++Row.All;
    ++Row.Outcomes[Attempt.Outcome];
    IsLater = true;
  }
}

static std::string formatRow(bool IsLater, ServerKnowledge Knowledge,
                             const LossRow &Row) {
  const auto Good = Row.Outcomes.find("good");
  const size_t Bad = Row.All - (Good == Row.Outcomes.end() ? 0 : Good->second);
  std::string Text = fmt::format(
      "  {:5} {:11} {:6}  not good {:5.1f} % ", IsLater ? "later" : "first",
      getName(Knowledge), Row.All,
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
  std::vector<std::pair<std::string, RouteLosses>> Sorted(Routes.begin(),
                                                          Routes.end());
  std::stable_sort(Sorted.begin(), Sorted.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.second.Requests > Right.second.Requests;
                   });
  std::string Text;
  for (const auto &[Route, Losses] : Sorted) {
    Text += fmt::format("route {}: {} requests\n", Route, Losses.Requests);
    for (const auto &[Key, Row] : Losses.Rows)
      Text += formatRow(Key.first, Key.second, Row);
  }
  return Text;
}

} // namespace canvaswick
