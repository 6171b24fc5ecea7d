//===- LogTables.cpp - What logs tell of entries and requests -------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Counts by key over all lines; no judgement beyond what lines say.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Operator/LogTables.h"
#include "canvaswick/Operator/RequestReport.h"

#include <fmt/format.h>

#include <set>

namespace canvaswick {

/// Cut off fewer times than this, a request is one of many that met a server's
/// end.
static constexpr size_t LeastCutOffs = 2;

namespace {

struct RefusedEntry {
  size_t Count = 0;
  std::set<std::string> Sources;
  std::string What;
};

/// What a daemon has of the store, as far as its log tells.
struct LoggedCopy {
  /// Epoch and revision.
  std::string At = "-";
  double Seconds = 0;
  std::string Version = "-";
  size_t Restores = 0;
};

struct LoggedSuspect {
  std::string Route;
  size_t Requests = 0;
  size_t CutOffs = 0;
  size_t Answered = 0;
  std::set<std::string> Servers;
  std::set<std::string> HeldAt;

  bool isWorthTelling() const {
    return this->CutOffs >= LeastCutOffs || !this->HeldAt.empty();
  }
};

} // namespace

std::string makeEntryTable(const std::vector<LogLine> &Lines) {
  std::map<std::string, RefusedEntry> Entries;
  for (const LogLine &Line : Lines) {
    std::string Whose;
    if (Line.Event == "server-refused")
      Whose = "server " + Line.get("server");
    else if (Line.Event == "daemon-refused")
      Whose = "daemon " + Line.get("daemon");
    else if (Line.Event == "suspects-refused")
      Whose = "suspects";
    else
      continue;
    RefusedEntry &Entry = Entries[Whose];
    ++Entry.Count;
    Entry.Sources.insert(Line.Source);
    Entry.What = Line.get("what");
  }
  std::string Text;
  for (const auto &[Whose, Entry] : Entries)
    Text += fmt::format("{}: refused {} times by {} daemons, last {}\n", Whose,
                        Entry.Count, Entry.Sources.size(), Entry.What);
  return Text.empty() ? "no entry was refused\n" : Text;
}

std::string makeReplicaTable(const std::vector<LogLine> &Lines) {
  std::map<std::string, LoggedCopy> Copies;
  for (const LogLine &Line : Lines) {
    LoggedCopy &Copy = Copies[Line.Source];
    if (Line.Event == "copy-advanced") {
      Copy.At = Line.get("to");
      Copy.Seconds = Line.Seconds;
    } else if (Line.Event == "settings-in-force") {
      Copy.Version = Line.get("version");
    } else if (Line.Event == "store-restored") {
      Copy.At = Line.get("to");
      Copy.Seconds = Line.Seconds;
      ++Copy.Restores;
    }
  }
  std::string Text;
  for (const auto &[Daemon, Copy] : Copies)
    Text +=
        fmt::format("{}: copy of the store at {} since {:.3f}, version {} "
                    "in force, {} restores of the store\n",
                    Daemon, Copy.At, Copy.Seconds, Copy.Version, Copy.Restores);
  return Text;
}

static void addAttempts(LoggedSuspect &Suspect, const LogLine &Line) {
  ++Suspect.Requests;
  Suspect.Route = Line.get("route");
  for (const LoggedAttempt &Each : decodeAttempts(Line)) {
    if (Each.Outcome == "good")
      ++Suspect.Answered;
    if (Each.Outcome != "cut-off")
      continue;
    ++Suspect.CutOffs;
    Suspect.Servers.insert(Each.Server);
  }
}

static std::string describe(const std::string &Asks,
                            const LoggedSuspect &Suspect) {
  std::string Text = fmt::format(
      "asks {}: route {}, {} requests, {} cut off at {} servers, {} answered",
      Asks, Suspect.Route, Suspect.Requests, Suspect.CutOffs,
      Suspect.Servers.size(), Suspect.Answered);
  if (!Suspect.HeldAt.empty())
    Text += fmt::format(", held back at {} daemons", Suspect.HeldAt.size());
  Text += "\n ";
  for (const std::string &Server : Suspect.Servers)
    Text += " " + Server;
  return Text + "\n";
}

std::string makePoisonRequestTable(const std::vector<LogLine> &Lines) {
  std::map<std::string, LoggedSuspect> Suspects;
  for (const LogLine &Line : Lines) {
    const std::string Asks = Line.get("asks");
    if (Asks.empty())
      continue;
    if (Line.Event == "request")
      addAttempts(Suspects[Asks], Line);
    else if (Line.Event == "request-held-back")
      Suspects[Asks].HeldAt.insert(Line.Source);
  }
  std::string Text;
  for (const auto &[Asks, Suspect] : Suspects)
    if (Suspect.isWorthTelling())
      Text += describe(Asks, Suspect);
  return Text.empty() ? "no request was cut off more than once\n" : Text;
}

} // namespace canvaswick
