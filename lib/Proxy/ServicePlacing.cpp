//===- ServicePlacing.cpp - Places the requests of one service ------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The part of ServiceRuntime that tells Placement what is known of each server
/// when a request is to be sent. The caller holds the mutex.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Proxy/ServiceRuntime.h"

#include <algorithm>

namespace canvaswick {

/// The floor changes with the requests of a hall, not with each of them.
static constexpr Duration FloorCheckInterval = fromMillis(20);

/// A body of this size costs more between halls than its request is worth.
static constexpr size_t LargeBodyBytes = size_t{16} * 1024;

/// A server that has joined is cold at first.
static constexpr Duration NewcomerAfter = fromMillis(500);

/// The fraction of its share that a loaded server keeps at least.
static constexpr double MinLoadedShare = 0.1;

bool ServiceRuntime::hasManyServers() const {
  return this->Config.Servers.size() >= this->Switches.getManyServers();
}

bool ServiceRuntime::isPlacing() const {
  return this->isOn(Mechanism::Placing) && this->hasManyServers() &&
         std::holds_alternative<MarkovPolicy>(this->Policy);
}

int ServiceRuntime::select(Attempt &Next, const AttemptNeeds &Needs,
                           TimePoint Now) {
  Next.Placed.reset();
  // What may be sent once more learns of servers, and keeps the floor.
  const bool IsFailureFinal =
      Needs.Class == RouteClass::Once || Needs.IsLast || Needs.IsRetry;
  return IsFailureFinal && this->isPlacing()
             ? this->selectByPlacement(Next, Needs, Now)
             : this->selectByShares(Next, Needs, Now);
}

/// Lowers the shares of servers by their load, so that fewer requests begin at
/// one without a free slot while others are idle.
void ServiceRuntime::applyLoads(std::vector<double> &Shares,
                                TimePoint Now) const {
  if (!this->isPlacing())
    return;
  const std::vector<double> Loads = this->getLoads(Now);
  for (size_t I = 0; I < Shares.size(); ++I)
    Shares[I] *=
        std::max(MinLoadedShare, 1 - Loads[I] / (this->getServer(I).Slots + 1));
}

/// Records when servers joined the running service. The servers of the first
/// settings, and those that were all exchanged at once, are no newcomers.
void ServiceRuntime::adoptJoinTimes(const ServiceRuntime &Previous,
                                    const std::vector<int> &Matches,
                                    TimePoint Now) {
  if (Previous.countServers() == 0)
    return;
  for (size_t I = 0; I < Matches.size(); ++I)
    this->JoinedAt[I] =
        Matches[I] < 0 ? Now
                       : Previous.JoinedAt[static_cast<size_t>(Matches[I])];
}

/// Returns the factors that the servers' own notices put on their shares.
std::vector<double> ServiceRuntime::getNoticeFactors(Attempt &Next,
                                                     TimePoint Now) const {
  std::vector<double> Factors(this->countServers(), 1);
  Next.ExcludedServers = this->applyNotices(Factors, Now);
  return Factors;
}

const std::vector<bool> &
ServiceRuntime::findDueForFloor(const MarkovPolicy &Markov, FailureCost Cost,
                                TimePoint Now) {
  if (this->DueForFloor.empty() || Cost != this->DueForFloorCost ||
      Now - this->DueForFloorAt >= FloorCheckInterval) {
    this->DueForFloor = Markov.findDueForFloor(Cost, Now);
    this->DueForFloorAt = Now;
    this->DueForFloorCost = Cost;
  }
  return this->DueForFloor;
}

PlacementCandidate ServiceRuntime::makeCandidate(const MarkovPolicy &Markov,
                                                 size_t Server,
                                                 const AttemptNeeds &Needs,
                                                 TimePoint Now) const {
  PlacementCandidate Candidate;
  Candidate.Server = Server;
  Candidate.Slots = this->getServer(Server).Slots;
  if (this->isOn(Mechanism::LoadFactor))
    Candidate.Load = Markov.getInFlight().getLoad(Server, Now);
  const double QueueFactor = getQueueFactor(Candidate.Load, Candidate.Slots);
  const Duration IdleServerTime =
      this->Latency.getTypicalTime(Needs.Route, Needs.Objective);
  Candidate.UnhealthyProbability = Markov.getUnhealthyProbability(Server, Now);
  Candidate.AnswerProbability =
      computeAnswerProbability(Candidate.UnhealthyProbability);
  Candidate.TimeUtility = Markov.getTimeUtility(
      fromSeconds(toSeconds(IdleServerTime) * QueueFactor),
      Needs.ObjectiveDeadline, Needs.Deadline, Now);
  Candidate.IsSameHall = this->Selector.isSameHall(Server);
  Candidate.Acceptance = this->Selector.getAcceptance(Server, Now);
  Candidate.Warmth = this->Selector.getWarmth(Server, Now);
  Candidate.IsNewcomer = this->JoinedAt[Server] != TimePoint{} &&
                         Now - this->JoinedAt[Server] >= NewcomerAfter &&
                         Candidate.IsSameHall && !Markov.isUsed(Server);
  return Candidate;
}

/// Returns whether a request may be sent to a server now. Factor is that of the
/// server's own notices.
bool ServiceRuntime::isCandidate(const MarkovPolicy &Markov, size_t Server,
                                 const AttemptNeeds &Needs, double Factor,
                                 TimePoint Now) const {
  const bool WasTried = std::find(Needs.Tried.begin(), Needs.Tried.end(),
                                  Server) != Needs.Tried.end();
  return Factor > 0 && !WasTried && !Markov.isLeaving(Server) &&
         !Markov.isUnreachable(Server, Now) && this->Selector.hasRoom(Server);
}

static PlacementNeeds makePlacementNeeds(const AttemptNeeds &Needs) {
  PlacementNeeds Request;
  Request.MayTest = !Needs.IsRetry;
  Request.IsLarge =
      Needs.Class == RouteClass::Download || Needs.BodyBytes >= LargeBodyBytes;
  return Request;
}

int ServiceRuntime::selectByPlacement(Attempt &Next, const AttemptNeeds &Needs,
                                      TimePoint Now) {
  const auto &Markov = std::get<MarkovPolicy>(this->Policy);
  const PlacementNeeds Request = makePlacementNeeds(Needs);
  const std::vector<double> Factors = this->getNoticeFactors(Next, Now);
  const std::vector<bool> &Due = this->findDueForFloor(
      Markov,
      Needs.Class == RouteClass::Once ? FailureCost::High : FailureCost::Medium,
      Now);
  std::vector<PlacementCandidate> Candidates;
  const auto Collect = [&](bool IsSameHall) {
    for (size_t I = 0; I < this->countServers(); ++I) {
      if (this->Selector.isSameHall(I) != IsSameHall ||
          !this->isCandidate(Markov, I, Needs, Factors[I], Now))
        continue;
      Candidates.push_back(this->makeCandidate(Markov, I, Needs, Now));
      Candidates.back().IsDueForFloor = Due[I];
    }
  };
  Collect(true);
  PlacedRequest Placed;
  const bool HasLocal =
      Placement(Candidates, Request).choose(Placed, this->Random);
  // Other halls are looked at only if one of their servers may be better. A
  // test stays where it is, whatever it promises.
  const bool MayBeBetter =
      !isTest(Placed.Reason) && Placed.Value < getHighestRemoteValue();
  if (!HasLocal || MayBeBetter) {
    Collect(false);
    if (!Placement(Candidates, Request).choose(Placed, this->Random))
      return this->selectByShares(Next, Needs, Now);
  }
  Next.Share = Placed.Value;
  Next.IsTest = isTest(Placed.Reason);
  Next.Placed = Placed.Reason;
  return static_cast<int>(Placed.Server);
}

} // namespace canvaswick
