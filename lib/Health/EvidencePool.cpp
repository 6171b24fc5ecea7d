//===- EvidencePool.cpp - Pooled evidence of one service ------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Implements the pool with one tracker for the fleet and one for each hall.
/// The evidence that reaches the trackers is bounded by source and by hall.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Health/EvidencePool.h"
#include "canvaswick/Support/Hash.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace canvaswick {

ServerId getServerId(const std::string &Service, const std::string &Server) {
  return static_cast<ServerId>(hashText(Service + "/" + Server));
}

/// Half-life of the recorded contributions of sources and halls.
static constexpr Duration ContributionHalfLife = fromSeconds(10);

/// Minimum contribution, in nats, with which a source counts as having evidence
/// against a server.
static constexpr double MinSourceEvidence = 0.5;

/// Half-life of the outcomes that a source reported.
static constexpr Duration SeenHalfLife = fromSeconds(10);

/// A server with fewer bad outcomes than this is no longer recorded as one that
/// failed for the source.
static constexpr double MinBadSeen = 0.1;

/// A server fails for a source if at least this fraction of its outcomes there
/// are bad. The value is the minimum failure rate of an unhealthy server (see
/// ScopeTracker); a single slow answer among good ones stays below it. When any
/// bad outcome counted, one at the only healthy server of four kept three
/// unhealthy servers in use for 30 s (unit test "one slow answer of a healthy
/// server does not keep unhealthy ones").
static constexpr double MinFailingFraction = 0.25;

/// A source that sees more than this fraction of its servers fail is not
/// credible.
static constexpr double MaxFailingFraction = 0.75;

/// A source without reports for this long is forgotten.
static constexpr Duration SourceTimeout = fromSeconds(120);

EvidencePool::EvidencePool(std::string Service, std::string Owner,
                           HealthTuning Tuning, std::vector<PooledServer> Given,
                           int FloorPercent, uint64_t FirstSequence)
    : Service(std::move(Service)), Owner(std::move(Owner)), Tuning(Tuning),
      Servers(std::move(Given)), FloorPercent(FloorPercent),
      Fleet(Tuning, this->Servers.size()), Sequence(FirstSequence) {
  for (size_t I = 0; I < this->Servers.size(); ++I)
    this->IndexOfServer[this->Servers[I].Id] = I;
}

void EvidencePool::adopt(const EvidencePool &Other) {
  this->Sequence = std::max(this->Sequence, Other.Sequence);
  for (const auto &[Name, Source] : Other.Sources) {
    this->Sources[Name] = Source;
    this->Sources[Name].Seen.clear();
  }
  for (const auto &[Id, OldIndex] : Other.IndexOfServer) {
    const auto Found = this->IndexOfServer.find(Id);
    if (Found == this->IndexOfServer.end())
      continue;
    this->Fleet.adopt(Found->second, Other.Fleet, OldIndex);
    for (const auto &[Hall, Tracker] : Other.Halls)
      this->getHallTracker(Hall).adopt(Found->second, Tracker, OldIndex);
  }
}

std::vector<std::string> EvidencePool::getSources(const std::string &Hall,
                                                  TimePoint Since) const {
  std::vector<std::string> Names;
  for (const auto &[Name, Source] : this->Sources)
    if (Source.Hall == Hall && Source.LastReport >= Since)
      Names.push_back(Name);
  return Names;
}

std::vector<std::string> EvidencePool::getHalls() const {
  std::vector<std::string> Names;
  for (const auto &[Hall, Tracker] : this->Halls)
    Names.push_back(Hall);
  return Names;
}

ScopeTracker &EvidencePool::getHallTracker(const std::string &Hall) {
  return this->Halls.try_emplace(Hall, this->Tuning, this->Servers.size())
      .first->second;
}

/// Updates the recent outcomes of a source at the servers that failed for it. A
/// report contains one sum of the good outcomes of all servers that it does not
/// list; they are assumed to be spread evenly over these servers.
void EvidencePool::recordSeen(SourceState &Source, const EvidenceReport &Report,
                              TimePoint Now) const {
  Source.UsedServers = Report.UsedServers;
  const auto Named = static_cast<uint32_t>(Report.Servers.size());
  const uint32_t Unnamed = std::max(Report.UsedServers, Named + 1) - Named;
  for (auto &[Server, Seen] : Source.Seen) {
    const ServerId Id = this->Servers[Server].Id;
    const bool IsNamed =
        std::any_of(Report.Servers.begin(), Report.Servers.end(),
                    [Id](const auto &Entry) { return Entry.Server == Id; });
    if (!IsNamed)
      Seen.Good.add(static_cast<double>(Report.OtherGood) / Unnamed, Now,
                    SeenHalfLife);
  }
  for (const ServerEvidence &Evidence : Report.Servers) {
    const auto Found = this->IndexOfServer.find(Evidence.Server);
    if (Found == this->IndexOfServer.end())
      continue;
    SeenServer &Seen = Source.Seen[Found->second];
    Seen.Good.add(Evidence.Counts.Good, Now, SeenHalfLife);
    Seen.Bad.add(Evidence.Counts.countBad(), Now, SeenHalfLife);
  }
  std::erase_if(Source.Seen, [Now](const auto &Entry) {
    return Entry.second.Bad.get(Now, SeenHalfLife) < MinBadSeen;
  });
}

bool EvidencePool::isCredible(const SourceState &Source, TimePoint Now) const {
  size_t Failing = 0;
  for (const auto &[Server, Seen] : Source.Seen) {
    const double Bad = Seen.Bad.get(Now, SeenHalfLife);
    const double All = Bad + Seen.Good.get(Now, SeenHalfLife);
    if (Bad >= MinBadSeen && Bad >= MinFailingFraction * All)
      ++Failing;
  }
  const double Limit = std::max(
      1.0, MaxFailingFraction * static_cast<double>(Source.UsedServers));
  return static_cast<double>(Failing) <= Limit;
}

bool EvidencePool::isCredible(const std::string &Source, TimePoint Now) const {
  const auto Found = this->Sources.find(Source);
  return Found == this->Sources.end() || this->isCredible(Found->second, Now);
}

void EvidencePool::addServer(const EvidenceReport &Report, size_t Server,
                             const OutcomeCounts &Counts, bool IsCredible,
                             TimePoint Now) {
  OutcomeCounts Accepted = Counts;
  if (!IsCredible)
    Accepted.Slow = Accepted.Failed = 0;
  const auto Remaining = [&](Contribution &Entry, double Bound) {
    return Bound * this->Tuning.Threshold -
           Entry.Accepted.get(Now, ContributionHalfLife);
  };
  Contribution &FromSource = this->BySource[{Server, Report.Source}];
  Contribution &FromHall = this->ByHall[{Server, Report.Hall}];
  const double SourceLimit = Remaining(FromSource, this->Tuning.SourceBound);
  // With a single hall, no other hall could confirm its evidence.
  const double HallLimit = this->Halls.size() > 1
                               ? Remaining(FromHall, this->Tuning.HallBound)
                               : std::numeric_limits<double>::infinity();
  const double HallEvidence =
      this->getHallTracker(Report.Hall)
          .addCounts(Server, Accepted, SourceLimit, Now);
  const double FleetEvidence = this->Fleet.addCounts(
      Server, Accepted, std::min(SourceLimit, HallLimit), Now);
  FromSource.Accepted.add(HallEvidence, Now, ContributionHalfLife);
  FromHall.Accepted.add(FleetEvidence, Now, ContributionHalfLife);
}

void EvidencePool::mergeReport(const EvidenceReport &Report, TimePoint Now) {
  SourceState &Source = this->Sources[Report.Source];
  if (Report.Sequence <= Source.LastSequence)
    return;
  Source.LastSequence = Report.Sequence;
  Source.Hall = Report.Hall;
  Source.LastReport = Now;
  this->recordSeen(Source, Report, Now);
  const bool IsCredible = this->isCredible(Source, Now);
  std::vector<bool> IsNamed(this->Servers.size(), false);
  for (const ServerEvidence &Evidence : Report.Servers) {
    const auto Found = this->IndexOfServer.find(Evidence.Server);
    if (Found != this->IndexOfServer.end())
      IsNamed[Found->second] = true;
  }
  this->Fleet.addOtherGood(Report.OtherGood, IsNamed, Now);
  this->getHallTracker(Report.Hall)
      .addOtherGood(Report.OtherGood, IsNamed, Now);
  for (const ServerEvidence &Evidence : Report.Servers) {
    const auto Found = this->IndexOfServer.find(Evidence.Server);
    if (Found == this->IndexOfServer.end())
      continue;
    this->addServer(Report, Found->second, Evidence.Counts, IsCredible, Now);
  }
}

/// Returns, for each server, the number of sources that currently have evidence
/// against it. Counts only sources in Hall unless it is null.
std::vector<int> EvidencePool::countSources(const std::string *Hall,
                                            TimePoint Now) const {
  std::vector<int> Counts(this->Servers.size(), 0);
  for (const auto &[Key, Entry] : this->BySource) {
    if (Entry.Accepted.get(Now, ContributionHalfLife) < MinSourceEvidence)
      continue;
    const auto Source = this->Sources.find(Key.second);
    if (Source == this->Sources.end())
      continue;
    if (!Hall || Source->second.Hall == *Hall)
      ++Counts[Key.first];
  }
  return Counts;
}

RemovalRules EvidencePool::makeRules(std::vector<int> SourceCounts) const {
  RemovalRules Rules;
  Rules.Sources = std::move(SourceCounts);
  double All = 0;
  for (const PooledServer &Server : this->Servers) {
    Rules.Slots.push_back(Server.Slots);
    All += Server.Slots;
  }
  Rules.FloorSlots = All * this->FloorPercent / 100;
  return Rules;
}

/// Excludes servers that the fleet has removed or reduced from the capacity
/// that a hall can use.
void EvidencePool::excludeFleetRemovals(RemovalRules &Rules) const {
  for (size_t I = 0; I < this->Servers.size(); ++I)
    if (this->Fleet.getShare(I) < 1)
      Rules.Slots[I] = 0;
}

void EvidencePool::advance(TimePoint Now) {
  std::erase_if(this->BySource, [Now](const auto &Entry) {
    return Entry.second.Accepted.get(Now, ContributionHalfLife) < 0.01;
  });
  std::erase_if(this->Sources, [Now](const auto &Entry) {
    return Now - Entry.second.LastReport > SourceTimeout;
  });
  this->FleetSources = this->countSources(nullptr, Now);
  this->Fleet.advance(Now, this->makeRules(this->FleetSources));
  for (auto &[Hall, Tracker] : this->Halls) {
    std::vector<int> Counts = this->countSources(&Hall, Now);
    RemovalRules Rules = this->makeRules(Counts);
    this->excludeFleetRemovals(Rules);
    Tracker.advance(Now, Rules);
    this->HallSources[Hall] = std::move(Counts);
  }
}

ServerSummary EvidencePool::summarizeServer(size_t Server,
                                            const std::string &Hall) const {
  ServerSummary Summary;
  Summary.Server = this->Servers[Server].Id;
  Summary.Share = this->Fleet.getShare(Server);
  Summary.Score = this->Fleet.getScore(Server);
  if (Server < this->FleetSources.size())
    Summary.Sources = static_cast<uint32_t>(this->FleetSources[Server]);
  const auto Found = this->Halls.find(Hall);
  if (Found == this->Halls.end())
    return Summary;
  const double HallShare = Found->second.getShare(Server);
  if (HallShare >= Summary.Share)
    return Summary;
  Summary.Score = Found->second.getScore(Server);
  Summary.IsHallOnly = Summary.Share >= 1;
  Summary.Share = HallShare;
  const auto Counts = this->HallSources.find(Hall);
  if (Counts != this->HallSources.end())
    Summary.Sources = static_cast<uint32_t>(Counts->second[Server]);
  return Summary;
}

EvidenceSummary EvidencePool::buildSummary(const std::string &Hall) {
  EvidenceSummary Summary;
  Summary.Service = this->Service;
  Summary.Owner = this->Owner;
  Summary.Rank = this->Rank;
  Summary.Sequence = ++this->Sequence;
  const auto Found = this->Halls.find(Hall);
  for (size_t I = 0; I < this->Servers.size(); ++I) {
    const bool IsHallSuspect =
        Found != this->Halls.end() && Found->second.isSuspect(I);
    if (this->Fleet.isSuspect(I) || IsHallSuspect)
      Summary.Servers.push_back(this->summarizeServer(I, Hall));
  }
  return Summary;
}

void EvidencePool::recordSent(const std::string &Hall) {
  this->LastSentState[Hall] = this->formatState(Hall);
}

/// Returns a text that changes whenever a summary for the hall has new content:
/// another share, or another set of suspect servers.
std::string EvidencePool::formatState(const std::string &Hall) const {
  std::string State;
  const auto Found = this->Halls.find(Hall);
  for (size_t I = 0; I < this->Servers.size(); ++I) {
    const bool IsSuspect =
        this->Fleet.isSuspect(I) ||
        (Found != this->Halls.end() && Found->second.isSuspect(I));
    if (IsSuspect)
      State +=
          fmt::format("{}={:.2f};", I, this->summarizeServer(I, Hall).Share);
  }
  return State;
}

bool EvidencePool::hasUpdates(const std::string &Hall) const {
  const auto Found = this->LastSentState.find(Hall);
  const std::string Last =
      Found == this->LastSentState.end() ? "" : Found->second;
  return this->formatState(Hall) != Last;
}

bool EvidencePool::hasSuspects() const {
  for (size_t I = 0; I < this->Servers.size(); ++I) {
    if (this->Fleet.isSuspect(I))
      return true;
    for (const auto &[Hall, Tracker] : this->Halls)
      if (Tracker.isSuspect(I))
        return true;
  }
  return false;
}

} // namespace canvaswick
