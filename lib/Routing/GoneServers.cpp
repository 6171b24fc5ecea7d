//===- GoneServers.cpp - Servers that have ended but are listed -----------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Memory is bounded by the number of servers that proved to be gone within the
/// last seconds.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Routing/GoneServers.h"
#include "canvaswick/Support/Hash.h"

#include <algorithm>

namespace canvaswick {

/// How long a server is taken to be gone after an answer that proved it. The
/// directory usually drops it within this time; a sound server whose answer was
/// wrong is without requests for as long.
static constexpr Duration GoneTimeout = fromSeconds(5);

/// The greatest fraction of GoneTimeout by which a daemon waits longer.
static constexpr double MaxExtraFraction = 0.5;

/// Returns a number from 0 to MaxExtraFraction that differs by daemon.
static double drawExtraFraction(const std::string &Daemon, ServerId Server) {
  constexpr uint64_t Steps = 1024;
  return MaxExtraFraction *
         static_cast<double>(hashText(Daemon, Server) % Steps) /
         static_cast<double>(Steps);
}

bool GoneServers::record(ServerId Server, const std::string &Key,
                         TimePoint ProvedAt, TimePoint Now) {
  const bool WasGone = this->isGone(Server, Now);
  Entry &State = this->Entries[Server];
  if (ProvedAt <= State.ProvedAt)
    return false;
  State.Key = Key;
  State.ProvedAt = ProvedAt;
  State.Until =
      ProvedAt + fromSeconds(toSeconds(GoneTimeout) *
                             (1 + drawExtraFraction(this->Self, Server)));
  return !WasGone && Now < State.Until;
}

bool GoneServers::recordAnswer(ServerId Server, const std::string &Key,
                               TimePoint ProvedAt, TimePoint Now) {
  const bool IsNew = this->record(Server, Key, ProvedAt, Now);
  if (IsNew)
    this->Entries[Server].HasUnsentReport = true;
  return IsNew;
}

bool GoneServers::applyReport(const GoneReport &Given, const std::string &Key,
                              TimePoint Now) {
  return Given.Age < GoneTimeout &&
         this->record(Given.Server, Key, Now - Given.Age, Now);
}

Duration GoneServers::getTimeLeft(ServerId Server, TimePoint Now) const {
  const auto Found = this->Entries.find(Server);
  if (Found == this->Entries.end())
    return Duration::zero();
  return std::max(Duration::zero(), Found->second.Until - Now);
}

std::vector<GoneReport> GoneServers::drainReports(size_t MaxReports,
                                                  TimePoint Now) {
  std::vector<GoneReport> Reports;
  for (auto &[Server, State] : this->Entries) {
    if (!State.HasUnsentReport || Reports.size() >= MaxReports)
      continue;
    State.HasUnsentReport = false;
    Reports.push_back({Server, Now - State.ProvedAt});
  }
  return Reports;
}

std::vector<GoneReport> GoneServers::listReports(size_t MaxReports,
                                                 TimePoint Now) const {
  std::vector<GoneReport> Reports;
  for (const auto &[Server, State] : this->Entries)
    if (Now - State.ProvedAt < GoneTimeout && Reports.size() < MaxReports)
      Reports.push_back({Server, Now - State.ProvedAt});
  return Reports;
}

std::vector<std::string> GoneServers::forgetOld(TimePoint Now) {
  std::vector<std::string> Ended;
  std::erase_if(this->Entries, [&](const auto &Each) {
    if (Now < Each.second.Until)
      return false;
    Ended.push_back(Each.second.Key);
    return true;
  });
  return Ended;
}

size_t GoneServers::count(TimePoint Now) const {
  return static_cast<size_t>(std::count_if(
      this->Entries.begin(), this->Entries.end(),
      [Now](const auto &Each) { return Now < Each.second.Until; }));
}

} // namespace canvaswick
