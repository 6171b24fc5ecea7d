//===- PooledPolicy.cpp - Policy with local and pooled evidence -----------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Implements the policy that combines three scopes by the lowest share and
/// then applies the floor. Shares are recomputed after each piece of evidence
/// that can change them.
///
//===----------------------------------------------------------------------===//

#include "AdoptStates.h"
#include "canvaswick/Health/HealthPolicy.h"

#include <algorithm>
#include <cassert>
#include <limits>

namespace canvaswick {

/// Summaries expire after this time.
static constexpr Duration SummaryTimeout = fromSeconds(10);

/// Window for counting the servers that this daemon uses.
static constexpr Duration UseWindow = fromSeconds(30);

/// If more than this fraction of this daemon's recent requests to other servers
/// failed, the cause may be the daemon itself.
static constexpr double MaxFailingFraction = 0.25;

/// Number of recent outcomes on which this is based, and the minimum number of
/// those at other servers.
static constexpr size_t MaxRecentOutcomes = 12;
static constexpr size_t MinOtherOutcomes = 3;

/// Maximum interval of reports while the pool suspects a server.
static constexpr Duration SuspectReportInterval = fromSeconds(4);

/// Interval of reports without failures and suspects.
static constexpr Duration IdleReportInterval = fromSeconds(10);

PooledPolicy::PooledPolicy(PolicySetup Setup)
    : Setup(std::move(Setup)), Tuning(getTuning(this->Setup.Preference)),
      Local(this->Tuning, this->Setup.Servers.size()),
      ReportSequence(this->Setup.FirstSequence) {
  for (const PolicyServer &Server : this->Setup.Servers) {
    this->IndexOfServer[Server.Id] = this->Servers.size();
    ServerState State;
    State.Config = Server;
    this->Servers.push_back(std::move(State));
  }
}

void PooledPolicy::recordOutcome(size_t Server, RequestOutcome Outcome,
                                 TimePoint Now) {
  if (Outcome == RequestOutcome::Shed || Outcome == RequestOutcome::Canceled)
    return;
  ServerState &State = this->Servers[Server];
  // A server is expected to be slow after a cold start.
  if (Outcome == RequestOutcome::Slow && Now < State.ColdUntil)
    return;
  this->recordRecent(Server, Outcome);
  State.LastUsed = Now;
  State.WasLastBad = Outcome != RequestOutcome::Good;
  State.WasUsed = true;
  State.Unreported.add(Outcome);
  State.Counts.add(Outcome);
  if (Outcome != RequestOutcome::Good) {
    this->HasUnreportedBad = true;
  }
  OutcomeCounts One;
  One.add(Outcome);
  // Failures that this daemon may have caused are no evidence against the
  // server.
  const double Limit = this->isServerSpecific(Server)
                           ? std::numeric_limits<double>::infinity()
                           : 0;
  this->Local.addCounts(Server, One, Limit, Now);
}

void PooledPolicy::setLeaving(size_t Server, bool IsLeaving, TimePoint Now) {
  ServerState &State = this->Servers[Server];
  if (State.IsLeaving == IsLeaving)
    return;
  if (State.IsLeaving)
    State.ColdUntil = Now + this->Setup.ColdStart;
  State.IsLeaving = IsLeaving;
  this->updateShares(Now);
}

void PooledPolicy::recordRecent(size_t Server, RequestOutcome Outcome) {
  this->Recent.emplace_back(Server, Outcome != RequestOutcome::Good);
  if (this->Recent.size() > MaxRecentOutcomes)
    this->Recent.pop_front();
}

/// Returns whether the failures that this daemon observed are specific to a
/// server and not caused by the daemon itself, because its recent requests to
/// other servers succeeded.
bool PooledPolicy::isServerSpecific(size_t Server) const {
  size_t Others = 0;
  size_t Bad = 0;
  for (const auto &[Other, IsBad] : this->Recent) {
    if (Other == Server)
      continue;
    ++Others;
    Bad += IsBad ? 1 : 0;
  }
  return Others >= MinOtherOutcomes &&
         static_cast<double>(Bad) <=
             MaxFailingFraction * static_cast<double>(Others);
}

RemovalRules PooledPolicy::makeRules() const {
  RemovalRules Rules;
  double All = 0;
  for (size_t I = 0; I < this->Servers.size(); ++I) {
    const ServerState &State = this->Servers[I];
    // A server whose last outcome was good is not removed for earlier ones.
    Rules.MayRemove.push_back(State.WasLastBad && this->isServerSpecific(I));
    const ServerSummary *Summary = this->findSummary(I);
    const bool IsUsable = !State.IsLeaving && (!Summary || Summary->Share >= 1);
    Rules.Slots.push_back(IsUsable ? State.Config.Slots : 0);
    All += State.Config.Slots;
  }
  Rules.FloorSlots = All * this->Setup.FloorPercent / 100;
  return Rules;
}

void PooledPolicy::expireViews(TimePoint Now) {
  for (auto &[Owner, View] : this->Views) {
    if (!View.IsCurrent || Now - View.At <= SummaryTimeout)
      continue;
    View.IsCurrent = false;
    // No owner reports on these servers any more, so that they return in steps.
    for (const ServerSummary &Summary : View.Servers) {
      const auto Found = this->IndexOfServer.find(Summary.Server);
      if (Found != this->IndexOfServer.end() && Summary.Share < 1 &&
          this->Local.getPhase(Found->second) == HealthPhase::Serving)
        this->Local.beginReturn(Found->second, Summary.Share, Now);
    }
    View.Servers.clear();
  }
}

void PooledPolicy::advance(TimePoint Now) {
  this->expireViews(Now);
  this->Local.advance(Now, this->makeRules());
  this->updateShares(Now);
}

/// Returns the summary to follow: of those that list any server, the one of the
/// owner with the lowest rank.
const PooledPolicy::OwnerView *PooledPolicy::findLeadingView() const {
  const OwnerView *Leading = nullptr;
  for (const auto &[Owner, View] : this->Views) {
    if (!View.IsCurrent || View.Servers.empty())
      continue;
    if (!Leading || View.Rank < Leading->Rank)
      Leading = &View;
  }
  return Leading;
}

const ServerSummary *PooledPolicy::findSummary(size_t Server) const {
  const OwnerView *View = this->findLeadingView();
  if (!View)
    return nullptr;
  for (const ServerSummary &Summary : View->Servers)
    if (Summary.Server == this->Servers[Server].Config.Id)
      return &Summary;
  return nullptr;
}

DesiredShare PooledPolicy::computeDesiredShare(size_t Server,
                                               ShareReason &Reason) const {
  const ServerState &State = this->Servers[Server];
  DesiredShare Desired;
  Desired.Slots = State.Config.Slots;
  Desired.IsLeaving = State.IsLeaving;
  Desired.WasReduced = State.Explanation.Share < 1;
  Desired.Share = this->Local.getShare(Server);
  Desired.Score = this->Local.getScore(Server);
  Reason =
      Desired.Share < 1 ? ShareReason::LocalEvidence : ShareReason::Healthy;
  if (const ServerSummary *Summary = this->findSummary(Server)) {
    Desired.Score = std::max(Desired.Score, Summary->Score);
    if (Summary->Share < Desired.Share) {
      Desired.Share = Summary->Share;
      Desired.Scope =
          Summary->IsHallOnly ? EvidenceScope::Hall : EvidenceScope::Fleet;
      Reason = Summary->IsHallOnly ? ShareReason::HallEvidence
                                   : ShareReason::FleetEvidence;
    }
  }
  if (State.IsLeaving)
    Reason = ShareReason::Leaving;
  return Desired;
}

void PooledPolicy::updateShares(TimePoint Now) {
  std::vector<DesiredShare> DesiredShares;
  std::vector<ShareReason> Reasons(this->Servers.size());
  DesiredShares.reserve(this->Servers.size());
  for (size_t I = 0; I < this->Servers.size(); ++I)
    DesiredShares.push_back(this->computeDesiredShare(I, Reasons[I]));
  const std::vector<GrantedShare> GrantedShares =
      applyFloor(DesiredShares, this->Setup.FloorPercent);
  for (size_t I = 0; I < this->Servers.size(); ++I) {
    ShareExplanation &Explanation = this->Servers[I].Explanation;
    if (Explanation.Share != GrantedShares[I].Share)
      Explanation.Since = Now;
    Explanation.Share = GrantedShares[I].Share;
    Explanation.WantedShare = DesiredShares[I].Share;
    Explanation.Reason =
        GrantedShares[I].IsKeptByFloor ? ShareReason::KeptByFloor : Reasons[I];
  }
}

double PooledPolicy::getShare(size_t Server) const {
  return this->Servers[Server].Explanation.Share;
}

bool PooledPolicy::isReportDue(TimePoint Now) const {
  const Duration Since = Now - this->LastReport;
  if (this->HasUnreportedBad)
    return Since >= this->Tuning.ReportInterval;
  for (const ServerState &State : this->Servers) {
    if (!State.IsPoolSuspect)
      continue;
    // The owner's answer renews the summary, which would expire otherwise.
    if (State.Unreported.Good > 0 || Since >= SuspectReportInterval)
      return Since >= this->Tuning.ReportInterval;
  }
  return Since >= IdleReportInterval;
}

std::optional<EvidenceReport> PooledPolicy::makeReport(TimePoint Now) {
  if (!this->isReportDue(Now))
    return std::nullopt;
  EvidenceReport Report;
  Report.Service = this->Setup.Service;
  Report.Source = this->Setup.Source;
  Report.Hall = this->Setup.Hall;
  for (size_t I = 0; I < this->Servers.size(); ++I) {
    ServerState &State = this->Servers[I];
    if (State.WasUsed && Now - State.LastUsed <= UseWindow)
      ++Report.UsedServers;
    const bool IsNamed = State.Unreported.countBad() > 0 ||
                         (State.IsPoolSuspect && State.Unreported.Good > 0);
    if (IsNamed)
      Report.Servers.push_back({State.Config.Id, State.Unreported});
    else
      Report.OtherGood += State.Unreported.Good;
    State.Unreported = OutcomeCounts();
  }
  this->HasUnreportedBad = false;
  this->LastReport = Now;
  // A daemon that neither uses the service nor follows a summary sends no
  // reports.
  if (Report.UsedServers == 0 && !this->findLeadingView())
    return std::nullopt;
  Report.Sequence = ++this->ReportSequence;
  return Report;
}

void PooledPolicy::applySummary(const EvidenceSummary &Summary, TimePoint Now) {
  OwnerView &View = this->Views[Summary.Owner];
  if (View.IsCurrent && Summary.Sequence <= View.Sequence)
    return;
  View.Sequence = Summary.Sequence;
  View.Rank = Summary.Rank;
  View.At = Now;
  View.IsCurrent = true;
  View.Servers = Summary.Servers;
  for (ServerState &State : this->Servers)
    State.IsPoolSuspect = false;
  for (const auto &[Owner, Other] : this->Views)
    for (const ServerSummary &Server : Other.Servers) {
      const auto Found = this->IndexOfServer.find(Server.Server);
      if (Found != this->IndexOfServer.end())
        this->Servers[Found->second].IsPoolSuspect = true;
    }
  this->updateShares(Now);
}

void PooledPolicy::adopt(const PooledPolicy &Other, TimePoint Now) {
  this->Views = Other.Views;
  this->ReportSequence = Other.ReportSequence;
  this->LastReport = Other.LastReport;
  this->HasUnreportedBad = Other.HasUnreportedBad;
  adoptStates(this->Servers, Other.Servers, Other.IndexOfServer,
              [&](size_t Server, size_t Old) {
                this->Servers[Server].IsLeaving = false;
                this->Local.adopt(Server, Other.Local, Old);
              });
  this->updateShares(Now);
}

ShareExplanation PooledPolicy::explain(size_t Server) const {
  const ServerState &State = this->Servers[Server];
  ShareExplanation Explanation = State.Explanation;
  Explanation.LocalScore = this->Local.getScore(Server);
  Explanation.LocalCounts = State.Counts;
  if (const ServerSummary *Summary = this->findSummary(Server)) {
    Explanation.PoolScore = Summary->Score;
    Explanation.PoolSources = Summary->Sources;
  }
  return Explanation;
}

} // namespace canvaswick
