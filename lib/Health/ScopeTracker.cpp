//===- ScopeTracker.cpp - Sequential test of a service's servers ----------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Implements the cumulative sums and the stepwise return of servers.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Health/ScopeTracker.h"
#include "canvaswick/Support/EnumNames.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace canvaswick {

static constexpr EnumNames<HealthPhase, 3> HealthPhaseNames = {{
    {HealthPhase::Serving, "serving"},
    {HealthPhase::Removed, "removed"},
    {HealthPhase::Returning, "returning"},
}};

const char *getName(HealthPhase Phase) {
  return getEnumName(HealthPhaseNames, Phase);
}

/// Half-life of the counts from which typical rates are computed.
static constexpr Duration RateHalfLife = fromSeconds(15);

/// Half-life of the score of a server without new outcomes.
static constexpr Duration ScoreHalfLife = fromSeconds(60);

/// Half-life of the evidence that slow answers added. With a half-life of ln 2
/// seconds, the long-term rate is limited to MaxSlowEvidencePerSecond.
static constexpr Duration SlowHalfLife = fromSeconds(0.69);

/// Lower bounds of the typical rates of failed and slow requests.
static constexpr double MinFailedRate = 0.005;
static constexpr double MinSlowRate = 0.02;

/// Minimum rate of bad outcomes at an unhealthy server.
static constexpr double MinUnhealthyRate = 0.25;

/// Maximum weight of one request, in nats.
static constexpr double MaxWeight = 4.0;

/// Fraction of the servers, those with the lowest rates, from which the typical
/// rates are computed.
static constexpr double HealthyFraction = 0.25;

/// If more than this fraction of the servers appears unhealthy at the same
/// time, the cause is a common one and removals do not help.
static constexpr double MaxSuspectFraction = 0.75;

/// Score from which a server counts as suspect in this comparison, as a
/// fraction of the threshold.
static constexpr double SuspectThresholdFraction = 0.33;

/// Upper bound of the score, as a multiple of the threshold. It ensures that a
/// server that could not be removed is trusted again soon after it recovers.
static constexpr double MaxScoreFactor = 1.2;

/// Scores below this are noise and need no additional reports.
static constexpr double ReportScore = 5.0;

/// A server that fails again within this time is removed for longer.
static constexpr Duration FlapWindow = fromSeconds(300);

namespace {

/// One step of the return of a server.
struct ReturnStep {
  double Share;
  uint32_t GoodNeeded;
  Duration LongestWait;
};

} // namespace

/// The first share is below 5 %, so that the server still counts as removed.
static constexpr ReturnStep ReturnSteps[] = {
    {0.04, 2, fromSeconds(10)},
    {0.15, 4, fromSeconds(8)},
    {0.40, 8, fromSeconds(6)},
};

/// Maximum number of times that the wait in each step is doubled for a server
/// that was removed repeatedly.
static constexpr int MaxWaitDoublings = 1;

ScopeTracker::ScopeTracker(HealthTuning Tuning, size_t ServerCount)
    : Tuning(Tuning),
      Servers(ServerCount), Typical{MinSlowRate, MinFailedRate} {}

static double getUnhealthyRate(double Typical) {
  return std::max(MinUnhealthyRate, Typical + (1 - Typical) * 0.5);
}

static double getBadWeight(double Typical) {
  return std::min(MaxWeight, std::log(getUnhealthyRate(Typical) / Typical));
}

double ScopeTracker::computeEvidenceAgainst(ServerState &State,
                                            const OutcomeCounts &Counts,
                                            TimePoint Now) const {
  // The budget for evidence from slow answers refills at
  // MaxSlowEvidencePerSecond.
  const double Budget =
      std::max(0.0, this->Tuning.MaxSlowEvidencePerSecond -
                        State.SlowEvidence.get(Now, SlowHalfLife));
  const double Slow =
      std::min(Budget, Counts.Slow * getBadWeight(this->Typical.Slow));
  State.SlowEvidence.add(Slow, Now, SlowHalfLife);
  return Counts.Failed * getBadWeight(this->Typical.Failed) + Slow;
}

double ScopeTracker::computeEvidenceFor(const OutcomeCounts &Counts) const {
  // A good request is neither failed nor slow. Its weight is that for the kind
  // of bad outcome with the lower typical rate, and not the sum over both
  // kinds, so that one good answer does not remove more evidence than it
  // justifies.
  const double Typical = std::min(this->Typical.Failed, this->Typical.Slow);
  const double Weight =
      std::log((1 - Typical) / (1 - std::max(MinUnhealthyRate, Typical)));
  return Counts.Good * Weight;
}

void ScopeTracker::decayScore(ServerState &State, TimePoint Now) {
  if (Now > State.ScoreAt && State.Score > 0)
    State.Score *=
        std::exp2(-toSeconds(Now - State.ScoreAt) / toSeconds(ScoreHalfLife));
  State.ScoreAt = Now;
}

void ScopeTracker::addScore(ServerState &State, double Amount) {
  const double MaxScore = this->Tuning.Threshold * MaxScoreFactor;
  State.Score = std::clamp(State.Score + Amount, 0.0, MaxScore);
}

double ScopeTracker::getBadRate(const ServerState &State, TimePoint Now) const {
  const double Bad =
      State.Failed.get(Now, RateHalfLife) + State.Slow.get(Now, RateHalfLife);
  return Bad / (1 + Bad + State.Good.get(Now, RateHalfLife));
}

double ScopeTracker::addCounts(size_t Server, const OutcomeCounts &Given,
                               double PositiveLimit, TimePoint Now) {
  OutcomeCounts Counts = Given;
  assert(Server < this->Servers.size() && "server index out of range");
  ServerState &State = this->Servers[Server];
  State.Good.add(Counts.Good, Now, RateHalfLife);
  State.Slow.add(Counts.Slow, Now, RateHalfLife);
  State.Failed.add(Counts.Failed, Now, RateHalfLife);
  // A server that was removed for failures may have restarted and be slow after
  // a cold start.
  if (State.Phase == HealthPhase::Returning && !State.WasRemovedForSlowness)
    Counts.Slow = 0;
  this->decayScore(State, Now);
  const double Against =
      std::min(this->computeEvidenceAgainst(State, Counts, Now),
               std::max(0.0, PositiveLimit));
  this->addScore(State, Against - this->computeEvidenceFor(Counts));
  State.GoodInStep += Counts.Good;
  return Against;
}

void ScopeTracker::addOtherGood(uint32_t Good, const std::vector<bool> &IsNamed,
                                TimePoint Now) {
  this->TotalGood.add(Good, Now, RateHalfLife);
  const auto Others = std::count(IsNamed.begin(), IsNamed.end(), false);
  if (Others == 0)
    return;
  OutcomeCounts One;
  One.Good = 1;
  const double Credit =
      this->computeEvidenceFor(One) * Good / static_cast<double>(Others);
  for (size_t I = 0; I < this->Servers.size(); ++I) {
    ServerState &State = this->Servers[I];
    if (IsNamed[I] || State.Phase != HealthPhase::Serving)
      continue;
    this->decayScore(State, Now);
    this->addScore(State, -Credit);
  }
}

/// Returns the rate of one kind of bad outcome among the servers with the
/// lowest rates. Total is the number of good requests that were not counted by
/// server.
double ScopeTracker::computeTypicalRate(DecayingCount ServerState::*Kind,
                                        TimePoint Now, double Total,
                                        double Minimum) const {
  std::vector<std::pair<double, double>> BadAndAll;
  const double OtherGood = Total / static_cast<double>(this->Servers.size());
  for (const ServerState &State : this->Servers) {
    const double Bad = (State.*Kind).get(Now, RateHalfLife);
    const double All = OtherGood + State.Good.get(Now, RateHalfLife) +
                       State.Slow.get(Now, RateHalfLife) +
                       State.Failed.get(Now, RateHalfLife);
    BadAndAll.emplace_back(Bad, All);
  }
  std::sort(BadAndAll.begin(), BadAndAll.end(),
            [](const auto &Left, const auto &Right) {
              return Left.first * (Right.second + 1) <
                     Right.first * (Left.second + 1);
            });
  const auto Used = static_cast<size_t>(
      std::ceil(HealthyFraction * static_cast<double>(BadAndAll.size())));
  double Bad = 0;
  double All = 0;
  for (size_t I = 0; I < Used; ++I) {
    Bad += BadAndAll[I].first;
    All += BadAndAll[I].second;
  }
  // With few requests, the rate stays close to its minimum.
  static constexpr double PriorRequests = 20;
  const double Rate = (Bad + Minimum * PriorRequests) / (All + PriorRequests);
  return std::clamp(Rate, Minimum, 0.95);
}

void ScopeTracker::updateTypicalRates(TimePoint Now) {
  if (this->Servers.empty())
    return;
  const double Total = this->TotalGood.get(Now, RateHalfLife);
  this->Typical.Failed =
      this->computeTypicalRate(&ServerState::Failed, Now, Total, MinFailedRate);
  this->Typical.Slow =
      this->computeTypicalRate(&ServerState::Slow, Now, Total, MinSlowRate);
}

bool ScopeTracker::areTooManySuspect() const {
  size_t Suspect = 0;
  for (const ServerState &State : this->Servers)
    if (State.Phase == HealthPhase::Removed ||
        State.Score >= SuspectThresholdFraction * this->Tuning.Threshold)
      ++Suspect;
  const double Limit =
      MaxSuspectFraction * static_cast<double>(this->Servers.size());
  return Suspect > 1 && static_cast<double>(Suspect) > Limit;
}

void ScopeTracker::remove(ServerState &State, TimePoint Now) {
  const bool IsRecent = State.Removals > 0 &&
                        Now - State.LastRemoved <
                            FlapWindow + State.RemovedUntil - State.LastRemoved;
  State.Removals = IsRecent ? State.Removals + 1 : 1;
  const int Doublings = std::min(State.Removals - 1, 10);
  const Duration RemovalTime =
      std::min(this->Tuning.MaxRemovalTime,
               this->Tuning.InitialRemovalTime * (1 << Doublings));
  State.WasRemovedForSlowness =
      State.Slow.get(Now, RateHalfLife) > State.Failed.get(Now, RateHalfLife);
  State.Phase = HealthPhase::Removed;
  State.LastRemoved = Now;
  State.RemovedUntil = Now + RemovalTime;
}

void ScopeTracker::beginReturn(size_t Server, double Share, TimePoint Now) {
  ServerState &State = this->Servers[Server];
  State.Phase = HealthPhase::Returning;
  State.Step = 0;
  while (State.Step + 1 < std::size(ReturnSteps) &&
         ReturnSteps[State.Step].Share < Share)
    ++State.Step;
  State.StepStartedAt = Now;
  State.GoodInStep = 0;
  State.Score = 0;
  State.ScoreAt = Now;
}

void ScopeTracker::advanceReturn(ServerState &State, TimePoint Now) {
  if (State.Score >= this->Tuning.ReturnThreshold) {
    this->remove(State, Now);
    return;
  }
  const ReturnStep &Step = ReturnSteps[State.Step];
  const int Doublings = std::clamp(State.Removals - 1, 0, MaxWaitDoublings);
  const bool HasWaited =
      Now - State.StepStartedAt >= Step.LongestWait * (1 << Doublings);
  const bool HasSucceeded = State.GoodInStep >= Step.GoodNeeded;
  if (State.Score > 1 || (!HasWaited && !HasSucceeded))
    return;
  ++State.Step;
  State.StepStartedAt = Now;
  State.GoodInStep = 0;
  if (State.Step == std::size(ReturnSteps))
    State.Phase = HealthPhase::Serving;
}

bool ScopeTracker::isRemovable(size_t Server, const RemovalRules &Rules) const {
  const ServerState &State = this->Servers[Server];
  if (State.Phase != HealthPhase::Serving ||
      State.Score < this->Tuning.Threshold)
    return false;
  if (!Rules.MayRemove.empty() && !Rules.MayRemove[Server])
    return false;
  return Rules.Sources.empty() ||
         Rules.Sources[Server] >= this->Tuning.MinSources;
}

double ScopeTracker::countUsable(const RemovalRules &Rules) const {
  double Usable = 0;
  for (size_t I = 0; I < this->Servers.size(); ++I)
    Usable += Rules.Slots[I] * this->getShare(I);
  return Usable;
}

/// Returns servers to service, those with the lowest score first, if a wider
/// scope has meanwhile used up the floor. Such servers are in use in any case
/// and must remain subject to evaluation.
void ScopeTracker::restoreToFloor(const RemovalRules &Rules) {
  double Usable = this->countUsable(Rules);
  while (Usable < Rules.FloorSlots) {
    ServerState *Lowest = nullptr;
    size_t LowestIndex = 0;
    for (size_t I = 0; I < this->Servers.size(); ++I) {
      ServerState &State = this->Servers[I];
      const bool IsReduced =
          State.Phase != HealthPhase::Serving && Rules.Slots[I] > 0;
      if (!IsReduced || (Lowest && Lowest->Score <= State.Score))
        continue;
      Lowest = &State;
      LowestIndex = I;
    }
    if (!Lowest)
      return;
    Usable += Rules.Slots[LowestIndex] * (1 - this->getShare(LowestIndex));
    Lowest->Phase = HealthPhase::Serving;
  }
}

/// Removes servers above the threshold, those with the highest score first, as
/// far as the floor permits.
void ScopeTracker::removeWorst(TimePoint Now, const RemovalRules &Rules) {
  std::vector<size_t> Candidates;
  double Usable = this->countUsable(Rules);
  for (size_t I = 0; I < this->Servers.size(); ++I)
    if (this->isRemovable(I, Rules))
      Candidates.push_back(I);
  std::sort(Candidates.begin(), Candidates.end(),
            [this, Now](size_t Left, size_t Right) {
              const ServerState &First = this->Servers[Left];
              const ServerState &Second = this->Servers[Right];
              if (First.Score != Second.Score)
                return First.Score > Second.Score;
              return this->getBadRate(First, Now) >
                     this->getBadRate(Second, Now);
            });
  for (const size_t I : Candidates) {
    if (Usable - Rules.Slots[I] < Rules.FloorSlots)
      continue;
    Usable -= Rules.Slots[I];
    this->remove(this->Servers[I], Now);
  }
}

void ScopeTracker::advance(TimePoint Now, const RemovalRules &Rules) {
  this->updateTypicalRates(Now);
  this->RemovalsSuspended = this->areTooManySuspect();
  this->restoreToFloor(Rules);
  for (size_t I = 0; I < this->Servers.size(); ++I) {
    ServerState &State = this->Servers[I];
    this->decayScore(State, Now);
    if (State.Phase == HealthPhase::Returning)
      this->advanceReturn(State, Now);
    if (State.Phase != HealthPhase::Removed)
      continue;
    // A removed server that the floor kept in use may have recovered.
    if (State.Score <= 0)
      this->beginReturn(I, 1, Now);
    else if (Now >= State.RemovedUntil)
      this->beginReturn(I, 0, Now);
  }
  if (!this->RemovalsSuspended)
    this->removeWorst(Now, Rules);
}

void ScopeTracker::adopt(size_t Server, const ScopeTracker &Other,
                         size_t OtherServer) {
  this->Servers[Server] = Other.Servers[OtherServer];
}

double ScopeTracker::getShare(size_t Server) const {
  const ServerState &State = this->Servers[Server];
  switch (State.Phase) {
  case HealthPhase::Serving:
    return 1;
  case HealthPhase::Removed:
    return 0;
  case HealthPhase::Returning:
    return ReturnSteps[State.Step].Share;
  }
  assert(false && "phase without a share");
  return 1;
}

double ScopeTracker::getScore(size_t Server) const {
  return this->Servers[Server].Score;
}

HealthPhase ScopeTracker::getPhase(size_t Server) const {
  return this->Servers[Server].Phase;
}

bool ScopeTracker::isSuspect(size_t Server) const {
  const ServerState &State = this->Servers[Server];
  return State.Phase != HealthPhase::Serving || State.Score >= ReportScore;
}

bool ScopeTracker::areRemovalsSuspended() const {
  return this->RemovalsSuspended;
}

} // namespace canvaswick
