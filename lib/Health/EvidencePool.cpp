//===- EvidencePool.cpp - The pool of evidence about one service, kept by its
// owner -===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// One tracker for the fleet and one for each hall, fed with bounded evidence.
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

/// What a source or hall contributed is forgotten with this half-life.
static constexpr Duration ContributionHalfLife = fromSeconds(10);

/// A contribution below this no longer counts as a source's testimony.
static constexpr double TestimonyScore = 0.5;

/// Over which time a source's failing servers are counted.
static constexpr Duration CredibilityWindow = fromSeconds(30);

/// A source that sees more than this part of its servers fail is doubted.
static constexpr double MaxFailingPart = 0.75;

/// A source that is silent for this long is forgotten.
static constexpr Duration SourceLife = fromSeconds(120);

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
    this->Sources[Name].LastBad.clear();
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

void EvidencePool::noteBadServers(SourceState &Source,
                                  const EvidenceReport &Report,
                                  TimePoint Now) const {
  Source.UsedServers = Report.UsedServers;
  for (const ServerEvidence &Evidence : Report.Servers) {
    const auto Found = this->IndexOfServer.find(Evidence.Server);
    if (Found != this->IndexOfServer.end() && Evidence.Counts.countBad() > 0)
      Source.LastBad[Found->second] = Now;
  }
  std::erase_if(Source.LastBad, [Now](const auto &Entry) {
    return Now - Entry.second > CredibilityWindow;
  });
}

bool EvidencePool::isCredible(const SourceState &Source, TimePoint Now) const {
  size_t Failing = 0;
  for (const auto &[Server, At] : Source.LastBad)
    if (Now - At <= CredibilityWindow)
      ++Failing;
  const double Limit =
      std::max(1.0, MaxFailingPart * static_cast<double>(Source.UsedServers));
  return static_cast<double>(Failing) <= Limit;
}

bool EvidencePool::isCredible(const std::string &Source, TimePoint Now) const {
  const auto Found = this->Sources.find(Source);
  return Found == this->Sources.end() || this->isCredible(Found->second, Now);
}

void EvidencePool::addServer(const EvidenceReport &Report, size_t Server,
                             const OutcomeCounts &Counts, bool IsCredible,
                             TimePoint Now) {
  OutcomeCounts Taken = Counts;
  if (!IsCredible)
    Taken.Slow = Taken.Failed = 0;
  const auto Remaining = [&](Contribution &Entry, double Bound) {
    return Bound * this->Tuning.Threshold -
           Entry.Taken.get(Now, ContributionHalfLife);
  };
  Contribution &OfSource = this->BySource[{Server, Report.Source}];
  Contribution &OfHall = this->ByHall[{Server, Report.Hall}];
  const double SourceLimit = Remaining(OfSource, this->Tuning.SourceBound);
  // With one hall only there is no second one to ask.
  const double HallLimit = this->Halls.size() > 1
                               ? Remaining(OfHall, this->Tuning.HallBound)
                               : std::numeric_limits<double>::infinity();
  const double InHall = this->getHallTracker(Report.Hall)
                            .addCounts(Server, Taken, SourceLimit, Now);
  const double InFleet = this->Fleet.addCounts(
      Server, Taken, std::min(SourceLimit, HallLimit), Now);
  OfSource.Taken.add(InHall, Now, ContributionHalfLife);
  OfHall.Taken.add(InFleet, Now, ContributionHalfLife);
}

void EvidencePool::takeReport(const EvidenceReport &Report, TimePoint Now) {
  SourceState &Source = this->Sources[Report.Source];
  if (Report.Sequence <= Source.LastSequence)
    return;
  Source.LastSequence = Report.Sequence;
  Source.Hall = Report.Hall;
  Source.LastReport = Now;
  this->noteBadServers(Source, Report, Now);
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

/// Counts, for each server, the sources that testify against it now.
std::vector<int> EvidencePool::countSources(const std::string *Hall,
                                            TimePoint Now) const {
  std::vector<int> Counts(this->Servers.size(), 0);
  for (const auto &[Key, Entry] : this->BySource) {
    if (Entry.Taken.get(Now, ContributionHalfLife) < TestimonyScore)
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

/// What the fleet has removed is no longer there for a hall to use.
void EvidencePool::heedFleet(RemovalRules &Rules) const {
  for (size_t I = 0; I < this->Servers.size(); ++I)
    if (this->Fleet.getShare(I) < 1)
      Rules.Slots[I] = 0;
}

void EvidencePool::advance(TimePoint Now) {
  std::erase_if(this->BySource, [Now](const auto &Entry) {
    return Entry.second.Taken.get(Now, ContributionHalfLife) < 0.01;
  });
  std::erase_if(this->Sources, [Now](const auto &Entry) {
    return Now - Entry.second.LastReport > SourceLife;
  });
  this->FleetSources = this->countSources(nullptr, Now);
  this->Fleet.advance(Now, this->makeRules(this->FleetSources));
  for (auto &[Hall, Tracker] : this->Halls) {
    std::vector<int> Counts = this->countSources(&Hall, Now);
    RemovalRules Rules = this->makeRules(Counts);
    this->heedFleet(Rules);
    Tracker.advance(Now, Rules);
    this->HallSources[Hall] = std::move(Counts);
  }
}

ServerDigest EvidencePool::describe(size_t Server,
                                    const std::string &Hall) const {
  ServerDigest Digest;
  Digest.Server = this->Servers[Server].Id;
  Digest.Share = this->Fleet.getShare(Server);
  Digest.Score = this->Fleet.getScore(Server);
  if (Server < this->FleetSources.size())
    Digest.Sources = static_cast<uint32_t>(this->FleetSources[Server]);
  const auto Found = this->Halls.find(Hall);
  if (Found == this->Halls.end())
    return Digest;
  const double HallShare = Found->second.getShare(Server);
  if (HallShare >= Digest.Share)
    return Digest;
  Digest.Score = Found->second.getScore(Server);
  Digest.IsHallOnly = Digest.Share >= 1;
  Digest.Share = HallShare;
  const auto Counts = this->HallSources.find(Hall);
  if (Counts != this->HallSources.end())
    Digest.Sources = static_cast<uint32_t>(Counts->second[Server]);
  return Digest;
}

EvidenceDigest EvidencePool::makeDigest(const std::string &Hall) {
  EvidenceDigest Digest;
  Digest.Service = this->Service;
  Digest.Owner = this->Owner;
  Digest.Rank = this->Rank;
  Digest.Sequence = ++this->Sequence;
  const auto Found = this->Halls.find(Hall);
  for (size_t I = 0; I < this->Servers.size(); ++I) {
    const bool IsHallSuspect =
        Found != this->Halls.end() && Found->second.isSuspect(I);
    if (this->Fleet.isSuspect(I) || IsHallSuspect)
      Digest.Servers.push_back(this->describe(I, Hall));
  }
  return Digest;
}

void EvidencePool::noteSent(const std::string &Hall) {
  this->LastSummary[Hall] = this->summarize(Hall);
}

/// Returns a text that changes when a digest for the hall would say something
/// new: another share, or another set of suspects.
std::string EvidencePool::summarize(const std::string &Hall) const {
  std::string Summary;
  const auto Found = this->Halls.find(Hall);
  for (size_t I = 0; I < this->Servers.size(); ++I) {
    const bool IsSuspect =
        this->Fleet.isSuspect(I) ||
        (Found != this->Halls.end() && Found->second.isSuspect(I));
    if (IsSuspect)
      Summary += fmt::format("{}={:.2f};", I, this->describe(I, Hall).Share);
  }
  return Summary;
}

bool EvidencePool::hasNews(const std::string &Hall) const {
  const auto Found = this->LastSummary.find(Hall);
  const std::string Last =
      Found == this->LastSummary.end() ? "" : Found->second;
  return this->summarize(Hall) != Last;
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
