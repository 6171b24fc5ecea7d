//===- LogTables.cpp - Tables of entries, replicas and requests -----------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Groups the log lines by entry, daemon or request fingerprint and counts
/// them, without inferring anything that they don't state.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Operator/LogTables.h"
#include "canvaswick/Operator/RequestReport.h"

#include <fmt/format.h>

#include <set>

namespace canvaswick {

/// A request that was cut off fewer times than this is not reported: it may
/// have been one of many that were running when a server crashed.
static constexpr size_t MinCutOffs = 2;

namespace {

/// What the logs hold about one rejected store entry.
struct RejectedEntry {
  size_t Count = 0;
  std::set<std::string> Sources;
  std::string LastError;
};

/// The state of a daemon's replica of the store, according to its log.
struct LoggedReplica {
  /// The position of the replica as EPOCH:REVISION.
  std::string Position = "-";
  double Seconds = 0;
  std::string Version = "-";
  size_t Restores = 0;
};

/// What the logs hold about all requests with one fingerprint.
struct LoggedFingerprint {
  std::string Route;
  size_t Requests = 0;
  size_t CutOffs = 0;
  size_t Answered = 0;
  std::set<std::string> Servers;
  std::set<std::string> QuarantinedAt;

  bool isReportable() const {
    return this->CutOffs >= MinCutOffs || !this->QuarantinedAt.empty();
  }
};

} // namespace

std::string makeEntryTable(const std::vector<LogLine> &Lines) {
  std::map<std::string, RejectedEntry> Entries;
  for (const LogLine &Line : Lines) {
    std::string Subject;
    if (Line.Event == "server-refused")
      Subject = "server " + Line.get("server");
    else if (Line.Event == "daemon-refused")
      Subject = "daemon " + Line.get("daemon");
    else if (Line.Event == "suspects-refused")
      Subject = "suspects";
    else
      continue;
    RejectedEntry &Entry = Entries[Subject];
    ++Entry.Count;
    Entry.Sources.insert(Line.Source);
    Entry.LastError = Line.get("what");
  }
  std::string Text;
  for (const auto &[Subject, Entry] : Entries)
    Text +=
        fmt::format("{}: refused {} times by {} daemons, last {}\n", Subject,
                    Entry.Count, Entry.Sources.size(), Entry.LastError);
  return Text.empty() ? "no entry was refused\n" : Text;
}

std::string makeReplicaTable(const std::vector<LogLine> &Lines) {
  std::map<std::string, LoggedReplica> Replicas;
  for (const LogLine &Line : Lines) {
    LoggedReplica &Replica = Replicas[Line.Source];
    if (Line.Event == "copy-advanced") {
      Replica.Position = Line.get("to");
      Replica.Seconds = Line.Seconds;
    } else if (Line.Event == "settings-in-force") {
      Replica.Version = Line.get("version");
    } else if (Line.Event == "store-restored") {
      Replica.Position = Line.get("to");
      Replica.Seconds = Line.Seconds;
      ++Replica.Restores;
    }
  }
  std::string Text;
  for (const auto &[Daemon, Replica] : Replicas)
    Text += fmt::format("{}: copy of the store at {} since {:.3f}, version {} "
                        "in force, {} restores of the store\n",
                        Daemon, Replica.Position, Replica.Seconds,
                        Replica.Version, Replica.Restores);
  return Text;
}

static void addAttempts(LoggedFingerprint &Logged, const LogLine &Line) {
  ++Logged.Requests;
  Logged.Route = Line.get("route");
  for (const LoggedAttempt &Attempt : decodeAttempts(Line)) {
    if (Attempt.Outcome == "good")
      ++Logged.Answered;
    if (Attempt.Outcome != "cut-off")
      continue;
    ++Logged.CutOffs;
    Logged.Servers.insert(Attempt.Server);
  }
}

static std::string describeFingerprint(const std::string &Fingerprint,
                                       const LoggedFingerprint &Logged) {
  std::string Text = fmt::format(
      "asks {}: route {}, {} requests, {} cut off at {} servers, {} answered",
      Fingerprint, Logged.Route, Logged.Requests, Logged.CutOffs,
      Logged.Servers.size(), Logged.Answered);
  if (!Logged.QuarantinedAt.empty())
    Text +=
        fmt::format(", held back at {} daemons", Logged.QuarantinedAt.size());
  Text += "\n ";
  for (const std::string &Server : Logged.Servers)
    Text += " " + Server;
  return Text + "\n";
}

std::string makePoisonRequestTable(const std::vector<LogLine> &Lines) {
  std::map<std::string, LoggedFingerprint> Fingerprints;
  for (const LogLine &Line : Lines) {
    const std::string Fingerprint = Line.get("asks");
    if (Fingerprint.empty())
      continue;
    if (Line.Event == "request")
      addAttempts(Fingerprints[Fingerprint], Line);
    else if (Line.Event == "request-held-back")
      Fingerprints[Fingerprint].QuarantinedAt.insert(Line.Source);
  }
  std::string Text;
  for (const auto &[Fingerprint, Logged] : Fingerprints)
    if (Logged.isReportable())
      Text += describeFingerprint(Fingerprint, Logged);
  return Text.empty() ? "no request was cut off more than once\n" : Text;
}

} // namespace canvaswick
