//===- MarkovShares.cpp - Shares from unhealthy probabilities -------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Implements the part of MarkovPolicy that computes shares from the expected
/// utility of each server, the floor, and the need for test requests.
/// MarkovPolicy.cpp computes the unhealthy probabilities.
///
//===----------------------------------------------------------------------===//

#include "OutcomeLikelihood.h"
#include "canvaswick/Health/MarkovPolicy.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace canvaswick {

/// A server's share is its utility raised to this power, by failure cost. If
/// one request in ten more fails at a server, it gets a fifth of the requests
/// whose failure is final and half of the repeatable ones.
static constexpr double LowCostExponent = 4;
static constexpr double MediumCostExponent = 8;
static constexpr double HighCostExponent = 16;

/// Servers with at least this unhealthy probability are reported as suspect.
static constexpr double SuspectProbability = 0.4;

/// Rate of unserved requests from which the floor applies. The operators' rule
/// applies once a tenth of a service's requests go unserved, but the counts of
/// a hall lag behind what callers observe and lack refused and abandoned
/// requests. A low limit costs little: keeping a healthy server in use with one
/// request per second costs nothing, and an unhealthy one costs one request per
/// second.
static constexpr double FloorFailureRate = 0.03;

/// Share of a server that is due for a test request, relative to the best
/// server. It is high enough for the server to get its next request soon.
static constexpr double TestShare = 0.6;

/// While the floor applies, a server that it keeps in use gets a test request
/// if no daemon of this hall has used it for this long.
static constexpr Duration FloorTestAfter = fromMillis(1000);

/// Rate of unserved requests from which requests whose failure is final are
/// used for the floor. A test that fails is itself an unserved request, so that
/// a low limit would keep itself exceeded.
static constexpr double FinalFailureRate = 0.07;

/// A server that has failed does not count towards the floor for this long.
static constexpr Duration FailedServerPause = fromSeconds(2);

/// A server that this hall has never used gets a test request unless its
/// unhealthy probability exceeds the stationary one by more than this.
static constexpr double UnusedServerMargin = 0.02;

/// Servers kept in use in addition to the floor, to compensate for servers that
/// leave or become unhealthy meanwhile.
static constexpr double ExtraKeptServers = 0.5;

/// A server that no daemon of this hall has used for this long gets a test
/// request that is repeatable, whether or not the floor applies.
static constexpr Duration TestAfter = fromSeconds(2);

/// Factor on the share of a server that this daemon cannot reach.
static constexpr double UnreachableFactor = 0.01;

/// Returns which servers the floor keeps in use: those with the lowest
/// unhealthy probabilities, without leaving servers.
std::vector<bool> MarkovPolicy::findKeptByFloor(TimePoint Now) const {
  std::vector<size_t> Order;
  std::vector<double> Probabilities(this->Servers.size());
  for (size_t I = 0; I < this->Servers.size(); ++I) {
    Probabilities[I] = this->getUnhealthyProbability(I, Now);
    if (!this->Servers[I].IsLeaving)
      Order.push_back(I);
  }
  std::sort(Order.begin(), Order.end(), [&](size_t Left, size_t Right) {
    return Probabilities[Left] < Probabilities[Right];
  });
  const double MinKept =
      static_cast<double>(Order.size()) * this->Setup.FloorPercent / 100 +
      ExtraKeptServers;
  std::vector<bool> Kept(this->Servers.size(), false);
  for (size_t I = 0; I < Order.size() && static_cast<double>(I) < MinKept; ++I)
    Kept[Order[I]] = true;
  return Kept;
}

/// Returns whether a server should get a test request soon. This holds for a
/// server that no daemon of this hall uses if either the floor keeps it in use
/// or it may have recovered. Of the test requests to servers that had failed
/// four seconds earlier, seven in ten failed again. Requests whose failure is
/// final therefore test only servers that have never been used.
bool MarkovPolicy::isTestDue(size_t Server, FailureCost Cost,
                             bool IsKeptByFloor, TimePoint Now) const {
  const ServerState &State = this->Servers[Server];
  // The daemons of the server's own hall test it.
  if (this->hasRecentEstimate(Server, Now))
    return false;
  // One test at a time: the outcome of the request in flight will show the
  // server's state.
  if (this->InFlight.getLoad(Server, Now) >= 1)
    return false;
  if (!this->isUsed(Server))
    return this->getUnhealthyProbability(Server, Now) <=
           this->Rates.getStationaryProbability() + UnusedServerMargin;
  const Duration Unused = Now - State.UsedAt;
  return (IsKeptByFloor && Unused > FloorTestAfter) ||
         (Cost != FailureCost::High && Unused > TestAfter &&
          this->isOn(Mechanism::Tests));
}

std::vector<bool> MarkovPolicy::findDueForFloor(FailureCost Cost,
                                                TimePoint Now) const {
  std::vector<bool> Due(this->Servers.size(), false);
  const bool IsFinal = Cost == FailureCost::High;
  if (!this->isOn(Mechanism::Floor) ||
      this->getUnservedFraction(Cost, Now) <
          (IsFinal ? FinalFailureRate : FloorFailureRate))
    return Due;
  const std::vector<bool> Kept = this->findKeptByFloor(Now);
  for (size_t I = 0; I < Due.size(); ++I) {
    const ServerState &State = this->Servers[I];
    const bool IsPaused = IsFinal && Now - State.FailedAt <= FailedServerPause;
    Due[I] =
        Kept[I] && !IsPaused && !State.IsLeaving &&
        !this->isUnreachable(I, Now) && Now - State.UsedAt > FloorTestAfter &&
        !this->hasRecentEstimate(I, Now) && this->InFlight.getLoad(I, Now) < 1;
  }
  return Due;
}

/// Returns the exponent of the shares for a failure cost.
static double getShareExponent(FailureCost Cost) {
  switch (Cost) {
  case FailureCost::Low:
    return LowCostExponent;
  case FailureCost::Medium:
    return MediumCostExponent;
  case FailureCost::High:
    return HighCostExponent;
  }
  assert(false && "failure cost without an exponent");
  return HighCostExponent;
}

std::vector<ServerShare>
MarkovPolicy::getSharesByUtility(const std::vector<double> &Utilities,
                                 FailureCost Cost, TimePoint Now) const {
  assert(Utilities.size() == this->Servers.size() && "one utility per server");
  const double Exponent = getShareExponent(Cost);
  std::vector<ServerShare> Shares(this->Servers.size());
  double Best = 0;
  for (size_t I = 0; I < Shares.size(); ++I) {
    if (!this->Servers[I].IsLeaving)
      Shares[I].Share = std::pow(Utilities[I], Exponent);
    Best = std::max(Best, Shares[I].Share);
  }
  const std::vector<bool> Kept = this->findKeptByFloor(Now);
  const bool FloorApplies =
      this->isOn(Mechanism::Floor) &&
      this->getUnservedFraction(Cost, Now) >= FloorFailureRate;
  for (size_t I = 0; I < Shares.size(); ++I) {
    if (this->Servers[I].IsLeaving)
      continue;
    // Only ratios of shares matter. They are normalized to the highest share.
    Shares[I].Share = Best > 0 ? Shares[I].Share / Best : 1;
    if (this->isTestDue(I, Cost, FloorApplies && Kept[I], Now) &&
        Shares[I].Share < TestShare)
      Shares[I] = {TestShare, true};
    // A server that cannot be reached does not contribute to the floor.
    if (Now < this->Servers[I].UnreachableUntil)
      Shares[I].Share *= UnreachableFactor;
  }
  return Shares;
}

std::vector<double> MarkovPolicy::computeUtilities(TimePoint Now) const {
  std::vector<double> Utilities(this->Servers.size());
  for (size_t I = 0; I < Utilities.size(); ++I)
    Utilities[I] =
        1 - this->getUnhealthyProbability(I, Now) * getFailureFraction();
  return Utilities;
}

std::vector<double> MarkovPolicy::getShares(FailureCost Cost,
                                            TimePoint Now) const {
  std::vector<double> Shares;
  for (const ServerShare &Each :
       this->getSharesByUtility(this->computeUtilities(Now), Cost, Now))
    Shares.push_back(Each.Share);
  return Shares;
}

double MarkovPolicy::getShare(size_t Server, FailureCost Cost,
                              TimePoint Now) const {
  return this->getShares(Cost, Now)[Server];
}

ShareExplanation MarkovPolicy::explain(size_t Server, TimePoint Now) const {
  const ServerState &State = this->Servers[Server];
  ShareExplanation Explanation;
  const ServerShare Granted = this->getSharesByUtility(
      this->computeUtilities(Now), FailureCost::High, Now)[Server];
  Explanation.Share = Granted.Share;
  Explanation.WantedShare = Granted.IsTest ? 0 : Granted.Share;
  Explanation.LocalScore = this->getUnhealthyProbability(Server, Now);
  Explanation.LocalCounts = State.Counts;
  Explanation.Since = State.At;
  if (State.IsLeaving)
    Explanation.Reason = ShareReason::Leaving;
  // Every test request raises a share, including one that does not result from
  // the floor.
  else if (Granted.IsTest)
    Explanation.Reason = ShareReason::KeptByFloor;
  else if (Explanation.LocalScore >= SuspectProbability)
    Explanation.Reason = ShareReason::FleetEvidence;
  return Explanation;
}

} // namespace canvaswick
