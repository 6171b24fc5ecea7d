//===- RequestReport.cpp - Report on one request from the logs ------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Counts outcomes by server and time, without inferring anything that the log
/// lines don't state.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Operator/RequestReport.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <set>

namespace canvaswick {

/// Other requests' attempts at the same server are counted within this time
/// before and after an attempt. A failure episode lasts some seconds.
static constexpr double OtherAttemptsSeconds = 2;

/// Changes of state are listed within this time before the end of a request.
/// The time limits for applying settings and notices of leaving servers are
/// shorter, so the list has the changes that could affect the request.
static constexpr double ChangesSeconds = 5;

/// The maximum number of changes that are listed.
static constexpr size_t MaxChanges = 20;

/// Returns whether a line is about a request. All others report a change of
/// state.
static bool isOfRequest(const LogLine &Line) { return Line.Event == "request"; }

/// Removes the text up to and including the first Delimiter, or all of Text,
/// and returns what precedes the delimiter.
static std::string removeUntil(std::string &Text, char Delimiter) {
  const size_t Position = std::min(Text.find(Delimiter), Text.size());
  std::string Removed = Text.substr(0, Position);
  Text.erase(0, std::min(Position + 1, Text.size()));
  return Removed;
}

/// Decodes SERVER:OUTCOME:TIMEms:share=SHARE[:sick=PROBABILITY:load=REQUESTS
/// [:test][:peer][:kept][:paid]]. Returns false if Text doesn't match up to the
/// share.
static bool decodeAttempt(std::string Text, LoggedAttempt &Attempt) {
  Attempt.Server = removeUntil(Text, ':');
  Attempt.Outcome = removeUntil(Text, ':');
  Attempt.Milliseconds = std::strtod(removeUntil(Text, ':').c_str(), nullptr);
  if (removeUntil(Text, '=') != "share")
    return false;
  Attempt.Share = std::strtod(removeUntil(Text, ':').c_str(), nullptr);
  if (removeUntil(Text, '=') == "sick")
    Attempt.UnhealthyProbability =
        std::strtod(removeUntil(Text, ':').c_str(), nullptr);
  if (removeUntil(Text, '=') == "load")
    Attempt.Load = std::strtod(removeUntil(Text, ':').c_str(), nullptr);
  while (!Text.empty()) {
    const std::string Flag = removeUntil(Text, ':');
    Attempt.IsTest |= Flag == "test";
    Attempt.IsPaid |= Flag == "paid";
  }
  return !Attempt.Server.empty() && !Attempt.Outcome.empty();
}

std::vector<LoggedAttempt> decodeAttempts(const LogLine &Line) {
  std::vector<LoggedAttempt> Attempts;
  std::string Encoded = Line.get("tries");
  double EndTime = Line.Seconds - Line.getNumber("ms") / 1000;
  while (!Encoded.empty()) {
    LoggedAttempt Attempt;
    if (!decodeAttempt(removeUntil(Encoded, ','), Attempt))
      continue;
    EndTime += Attempt.Milliseconds / 1000;
    Attempt.Ended = EndTime;
    Attempts.push_back(std::move(Attempt));
  }
  return Attempts;
}

namespace {

/// Counts a set of attempts by outcome, and the daemons that logged them.
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

/// Counts the outcomes of attempts at a server that ended within a span of
/// time, except those of the request with this id.
static OutcomeSummary countOutcomes(const std::vector<LogLine> &Lines,
                                    const std::string &Id,
                                    const std::string &Server, double From,
                                    double Until) {
  OutcomeSummary Summary;
  for (const LogLine &Line : Lines) {
    if (!isOfRequest(Line) || Line.get("id") == Id)
      continue;
    for (const LoggedAttempt &Attempt : decodeAttempts(Line)) {
      if (Attempt.Server != Server || Attempt.Ended < From ||
          Attempt.Ended > Until)
        continue;
      ++Summary.Counts[Attempt.Outcome];
      Summary.Sources.insert(Line.Source);
    }
  }
  return Summary;
}

/// Lists the last changes of state that the daemon that served the request
/// logged before the request ended.
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

/// Describes one attempt and the outcomes of other requests at its server.
static std::string describeAttempt(const std::vector<LogLine> &Lines,
                                   const std::string &Id,
                                   const LoggedAttempt &Attempt) {
  const OutcomeSummary Before =
      countOutcomes(Lines, Id, Attempt.Server,
                    Attempt.Ended - OtherAttemptsSeconds, Attempt.Ended);
  const OutcomeSummary After =
      countOutcomes(Lines, Id, Attempt.Server, Attempt.Ended,
                    Attempt.Ended + OtherAttemptsSeconds);
  return fmt::format("attempt at {}: {} after {:.0f} ms, with {:.3f} of its "
                     "fair share\n"
                     "  others there in the {:.0f} s before: {}\n"
                     "  others there in the {:.0f} s after: {}\n",
                     Attempt.Server, Attempt.Outcome, Attempt.Milliseconds,
                     Attempt.Share, OtherAttemptsSeconds, Before.format(),
                     OtherAttemptsSeconds, After.format());
}

/// Describes the outcomes of all other requests with the same fingerprint. A
/// poison request was cut off everywhere, whereas a frequent harmless request
/// was good elsewhere.
static std::string describeEqualRequests(const std::vector<LogLine> &Lines,
                                         const LogLine &Request) {
  const std::string Fingerprint = Request.get("asks");
  if (Fingerprint.empty())
    return "";
  OutcomeSummary Summary;
  size_t Count = 0;
  for (const LogLine &Line : Lines) {
    if (!isOfRequest(Line) || Line.get("asks") != Fingerprint ||
        Line.get("id") == Request.get("id"))
      continue;
    ++Count;
    for (const LoggedAttempt &Attempt : decodeAttempts(Line)) {
      ++Summary.Counts[Attempt.Outcome];
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
      Text += describeAttempt(Lines, Id, Attempt);
    Text += describeEqualRequests(Lines, Line);
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
