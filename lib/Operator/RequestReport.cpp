//===- RequestReport.cpp - What the logs tell of one request --------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Counts outcomes by server and time; no judgement beyond what lines say.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Operator/RequestReport.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <set>

namespace canvaswick {

/// How long before and after an attempt others' attempts at the same server are
/// counted: a spell of sickness lasts some seconds.
static constexpr double AroundSeconds = 2;

/// How long before a request's end changes of state are listed: what took
/// effect on it came within the bounds on settings and on leaving servers.
static constexpr double ChangesSeconds = 5;

/// Most changes that are listed.
static constexpr size_t MaxChanges = 20;

/// Returns whether a line tells of a request, and not of a change of state.
static bool isOfRequest(const LogLine &Line) { return Line.Event == "request"; }

/// Takes the text up to the next Mark off Text.
static std::string takeUntil(std::string &Text, char Mark) {
  const size_t Place = std::min(Text.find(Mark), Text.size());
  std::string Taken = Text.substr(0, Place);
  Text.erase(0, std::min(Place + 1, Text.size()));
  return Taken;
}

/// Decodes SERVER:OUTCOME:TIMEms:share=SHARE[:sick=PROBABILITY:load=REQUESTS
/// [:test]]. Returns false if the first part is something else.
static bool decodeAttempt(std::string Text, LoggedAttempt &Attempt) {
  Attempt.Server = takeUntil(Text, ':');
  Attempt.Outcome = takeUntil(Text, ':');
  Attempt.Milliseconds = std::strtod(takeUntil(Text, ':').c_str(), nullptr);
  if (takeUntil(Text, '=') != "share")
    return false;
  Attempt.Share = std::strtod(takeUntil(Text, ':').c_str(), nullptr);
  if (takeUntil(Text, '=') == "sick")
    Attempt.UnhealthyProbability =
        std::strtod(takeUntil(Text, ':').c_str(), nullptr);
  if (takeUntil(Text, '=') == "load")
    Attempt.Load = std::strtod(takeUntil(Text, ':').c_str(), nullptr);
  Attempt.IsTest = Text == "test";
  return !Attempt.Server.empty() && !Attempt.Outcome.empty();
}

std::vector<LoggedAttempt> decodeAttempts(const LogLine &Line) {
  std::vector<LoggedAttempt> Attempts;
  std::string Trail = Line.get("tries");
  double At = Line.Seconds - Line.getNumber("ms") / 1000;
  while (!Trail.empty()) {
    LoggedAttempt Attempt;
    if (!decodeAttempt(takeUntil(Trail, ','), Attempt))
      continue;
    At += Attempt.Milliseconds / 1000;
    Attempt.Ended = At;
    Attempts.push_back(std::move(Attempt));
  }
  return Attempts;
}

namespace {

/// What came of attempts at one server within a span of time.
struct OutcomeSummary {
  std::map<std::string, size_t> Counts;
  std::set<std::string> Sources;

  std::string format() const {
    if (this->Counts.empty())
      return "none";
    std::string Text;
    for (const auto &[Outcome, Count] : this->Counts)
      Text += fmt::format("{}{} {}", Text.empty() ? "" : ", ", Count, Outcome);
    return fmt::format("{} (daemons: {})", Text, this->Sources.size());
  }
};

} // namespace

/// Counts what came of others' attempts at a server that ended within a span.
static OutcomeSummary countOutcomes(const std::vector<LogLine> &Lines,
                                    const std::string &Id,
                                    const std::string &Server, double From,
                                    double Until) {
  OutcomeSummary Summary;
  for (const LogLine &Line : Lines) {
    if (!isOfRequest(Line) || Line.get("id") == Id)
      continue;
    for (const LoggedAttempt &Each : decodeAttempts(Line)) {
      if (Each.Server != Server || Each.Ended < From || Each.Ended > Until)
        continue;
      ++Summary.Counts[Each.Outcome];
      Summary.Sources.insert(Line.Source);
    }
  }
  return Summary;
}

/// Lists what changed before the request ended, the last changes of the daemon
/// that served it.
static std::string listChanges(const std::vector<LogLine> &Lines,
                               const LogLine &Request) {
  std::vector<std::string> Changes;
  for (const LogLine &Line : Lines) {
    const double Before = Request.Seconds - Line.Seconds;
    if (!isOfRequest(Line) && Line.Source == Request.Source && Before >= 0 &&
        Before <= ChangesSeconds)
      Changes.push_back(
          fmt::format("  {:.3f} s before: {}\n", Before, Line.Text));
  }
  if (Changes.empty())
    return "  none\n";
  std::string Text;
  const size_t Skipped =
      Changes.size() > MaxChanges ? Changes.size() - MaxChanges : 0;
  if (Skipped > 0)
    Text += fmt::format("  ({} earlier ones left out)\n", Skipped);
  for (size_t I = Skipped; I < Changes.size(); ++I)
    Text += Changes[I];
  return Text;
}

/// Tells of one attempt and of what others saw of its server.
static std::string tellAttempt(const std::vector<LogLine> &Lines,
                               const std::string &Id,
                               const LoggedAttempt &Attempt) {
  const OutcomeSummary Before = countOutcomes(
      Lines, Id, Attempt.Server, Attempt.Ended - AroundSeconds, Attempt.Ended);
  const OutcomeSummary After = countOutcomes(
      Lines, Id, Attempt.Server, Attempt.Ended, Attempt.Ended + AroundSeconds);
  return fmt::format("attempt at {}: {} after {:.0f} ms, with {:.3f} of its "
                     "fair share\n"
                     "  others there in the {:.0f} s before: {}\n"
                     "  others there in the {:.0f} s after: {}\n",
                     Attempt.Server, Attempt.Outcome, Attempt.Milliseconds,
                     Attempt.Share, AroundSeconds, Before.format(),
                     AroundSeconds, After.format());
}

/// Tells what came of all other requests that asked for the same thing. A
/// request under which servers end shows as cut off everywhere, one that is
/// often asked for as good elsewhere.
static std::string tellEqual(const std::vector<LogLine> &Lines,
                             const LogLine &Request) {
  const std::string Asks = Request.get("asks");
  if (Asks.empty())
    return "";
  OutcomeSummary Summary;
  size_t Count = 0;
  for (const LogLine &Line : Lines) {
    if (!isOfRequest(Line) || Line.get("asks") != Asks ||
        Line.get("id") == Request.get("id"))
      continue;
    ++Count;
    for (const LoggedAttempt &Each : decodeAttempts(Line)) {
      ++Summary.Counts[Each.Outcome];
      Summary.Sources.insert(Line.Source);
    }
  }
  return fmt::format("asked for {} more times, attempts: {}\n", Count,
                     Summary.format());
}

Result<std::string> describeRequest(const std::string &Id,
                                    const std::vector<LogLine> &Lines) {
  std::string Text;
  for (const LogLine &Line : Lines) {
    if (!isOfRequest(Line) || Line.get("id") != Id)
      continue;
    Text += fmt::format("{:.3f} {} {}\n", Line.Seconds, Line.Source, Line.Text);
    for (const LoggedAttempt &Attempt : decodeAttempts(Line))
      Text += tellAttempt(Lines, Id, Attempt);
    Text += tellEqual(Lines, Line);
    Text += fmt::format("changes at {} in the {:.0f} s before:\n", Line.Source,
                        ChangesSeconds);
    Text += listChanges(Lines, Line);
  }
  if (Text.empty())
    return makeError(ErrorKind::NotFound,
                     "no line of a request with the id " + Id);
  return Text;
}

} // namespace canvaswick
