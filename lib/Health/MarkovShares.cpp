//===- MarkovShares.cpp - Shares of servers by what is known of spells ----===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The part of MarkovPolicy that turns what is known into shares: by worth,
/// with the floor and tests. What is known comes from MarkovPolicy.cpp.
///
//===----------------------------------------------------------------------===//

#include "OutcomeLikelihood.h"
#include "canvaswick/Health/MarkovPolicy.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace canvaswick {

/// Shares are this power of what a request may expect at a server: where one in
/// ten more fails, what may run once comes a fifth as often, what may be sent
/// again half as often.
static constexpr double LowCostExponent = 4;
static constexpr double MediumCostExponent = 8;
static constexpr double HighCostExponent = 16;

/// A server at least this likely sick is named as suspect.
static constexpr double SuspectProbability = 0.4;

/// The floor matters once a tenth of a service's requests go unserved; from
/// this part of failures on it is taken to be near. What a hall counts lags
/// behind what its callers get and lacks what was refused or left. A sound
/// server that gets a request each second costs nothing; a sick one that is
/// kept costs one a second.
static constexpr double FloorFailureRate = 0.03;

/// Share of a server whose test is due, as a part of the best one's: about as
/// much, so that its next request comes soon.
static constexpr double TestShare = 0.6;

/// While the floor is near, a server that it keeps is tested once nobody of its
/// hall has used it for this long.
static constexpr Duration FloorTestAfter = fromMillis(1000);

/// A server that its hall has not used is tested unless it is likelier sick
/// than usual by more than this.
static constexpr double UnusedServerMargin = 0.02;

/// Servers kept beyond the floor, for those that leave or fall sick meanwhile.
static constexpr double ExtraKeptServers = 0.5;

/// At any time, a server that nobody of its hall has used for TestAfter is
/// tested, by a request that may be sent again.
static constexpr Duration TestAfter = fromSeconds(2);

/// Part that is left of its share meanwhile.
static constexpr double UnreachableFactor = 0.01;

/// The servers least likely sick stay in use up to the floor, leaving ones not
/// counted.
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

/// Returns whether a server's next request should come soon: nobody of its hall
/// uses it, and either the floor keeps it in use or it may be well again. Seven
/// in ten tests of servers that had failed four seconds before failed again, so
/// a request whose failure is final tests only what nobody has ever used.
bool MarkovPolicy::isTestDue(size_t Server, FailureCost Cost,
                             bool IsKeptByFloor, TimePoint Now) const {
  const ServerState &State = this->Servers[Server];
  // The daemons near a server look after it.
  if (this->hasRecentEstimate(Server, Now))
    return false;
  // One test at a time: what is in flight there will tell.
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

/// Returns how steeply shares fall for requests of a caution.
static double getShareExponent(FailureCost Cost) {
  switch (Cost) {
  case FailureCost::Low:
    return LowCostExponent;
  case FailureCost::Medium:
    return MediumCostExponent;
  case FailureCost::High:
    return HighCostExponent;
  }
  assert(false && "caution without a power");
  return HighCostExponent;
}

std::vector<ServerShare>
MarkovPolicy::getSharesByUtility(const std::vector<double> &Utilities,
                                 FailureCost Cost, TimePoint Now) const {
  assert(Utilities.size() == this->Servers.size() && "one worth a server");
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
    // Only how they compare matters: the best one's share is the whole.
    Shares[I].Share = Best > 0 ? Shares[I].Share / Best : 1;
    if (this->isTestDue(I, Cost, FloorApplies && Kept[I], Now) &&
        Shares[I].Share < TestShare)
      Shares[I] = {TestShare, true};
    // Nothing that does not arrive helps the floor.
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
  // Any test raises a share, also one that is not the floor's doing.
  else if (Granted.IsTest)
    Explanation.Reason = ShareReason::KeptByFloor;
  else if (Explanation.LocalScore >= SuspectProbability)
    Explanation.Reason = ShareReason::FleetEvidence;
  return Explanation;
}

} // namespace canvaswick
