//===- ServiceRetries.cpp - What a service may send again, and when -------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The part of ServiceRuntime that gives out rights to repeats, this daemon's
/// own and borrowed ones, and says how long a server is waited for before one
/// is used.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Health/RetryTiming.h"
#include "canvaswick/Proxy/ServiceRuntime.h"

#include <algorithm>

namespace canvaswick {

/// Returns what a request's chances are worth: of an answer in time, and of one
/// at all.
static double weigh(const AnswerProbabilities &Chances) {
  return Chances.InTime + LateUtility * (Chances.AtAll - Chances.InTime);
}

FleetRetryBudgetRef
ServiceRuntime::makeRepeats(const DaemonIdentity &Identity,
                            const ServiceRuntime *Previous) const {
  if (Identity.Source != SettingsSource::Platform)
    return nullptr;
  FleetRetryBudgetRef Budget;
  if (Previous)
    Budget = Previous->FleetRetries;
  if (!Budget)
    Budget.reset(new FleetRetryBudget(Identity.Repeats, Identity.Started));
  return Budget;
}

bool ServiceRuntime::tryTakeRetry(TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  if (this->FleetRetries)
    return this->FleetRetries->tryTake(Now);
  return this->Retries.tryTake(Now);
}

bool ServiceRuntime::tryTakeNotRunRetry(TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return !this->FleetRetries || this->FleetRetries->tryTake(Now);
}

bool ServiceRuntime::tryLendRetry(TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->FleetRetries && this->FleetRetries->tryLend(Now);
}

void ServiceRuntime::borrowRetry(TimePoint Until) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  if (this->FleetRetries)
    this->FleetRetries->borrow(Until);
}

bool ServiceRuntime::hasRetry(TimePoint Now) const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->FleetRetries && this->FleetRetries->hasRoom(Now);
}

void ServiceRuntime::setRetryLimit(const FleetRetryLimit &Allowance,
                                   size_t Daemons, size_t Rank) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  if (this->FleetRetries)
    this->FleetRetries->configure(Allowance, Daemons, Rank);
}

Duration ServiceRuntime::getRetryCheckDelay(const std::string &Route,
                                            Duration Objective) const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Latency.getTypicalTime(Route, Objective);
}

std::vector<double> ServiceRuntime::getWorths(const MarkovPolicy &Spells,
                                              const AttemptNeeds &Needs,
                                              TimePoint Now) const {
  const Duration Alone =
      this->Latency.getTypicalTime(Needs.Route, Needs.Objective);
  const std::vector<double> Loads = this->getLoads(Now);
  std::vector<double> Worths;
  for (size_t I = 0; I < this->countServers(); ++I) {
    const double Factor = getQueueFactor(Loads[I], this->getServer(I).Slots);
    const Duration TypicalTime = fromSeconds(toSeconds(Alone) * Factor);
    Worths.push_back(weigh(Spells.getNewRequestProbabilities(
        I, TypicalTime, Needs.ObjectiveDeadline, Needs.Deadline, Now)));
  }
  return Worths;
}

/// Returns the best server for an attempt that could begin now elsewhere, or
/// -1.
int ServiceRuntime::findBestElsewhere(const MarkovPolicy &Spells,
                                      const Attempt &Each,
                                      const AttemptNeeds &Needs,
                                      TimePoint Now) const {
  const std::vector<double> Worths = this->getWorths(Spells, Needs, Now);
  int Best = -1;
  for (size_t I = 0; I < this->countServers(); ++I) {
    const bool WasTried = std::find(Needs.Tried.begin(), Needs.Tried.end(),
                                    I) != Needs.Tried.end();
    // Few go far away: what is there is no reason to leave.
    if (I == Each.Server || WasTried || !this->Selector.isSameHall(I) ||
        this->isHeld(I, Now))
      continue;
    if (Best < 0 || Worths[I] > Worths[static_cast<size_t>(Best)])
      Best = static_cast<int>(I);
  }
  return Best;
}

bool ServiceRuntime::shouldAbandonAttempt(const Attempt &Each,
                                          const AttemptNeeds &Needs,
                                          TimePoint Now) const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const auto *Spells = std::get_if<MarkovPolicy>(&this->Policy);
  if (!Spells || !this->isOn(Mechanism::WeighedRetries))
    return false;
  const int Best = this->findBestElsewhere(*Spells, Each, Needs, Now);
  if (Best < 0)
    return false;
  const auto Elsewhere = static_cast<size_t>(Best);
  UnansweredAttempt Silent;
  Silent.Elapsed = Now - Each.Began;
  Silent.TypicalTime =
      fromSeconds(toSeconds(Each.TypicalTime) * Each.QueueFactor);
  Silent.UnhealthyProbability =
      Spells->getUnhealthyProbability(Each.Server, Now);
  Silent.AlternativeAnswerProbability =
      Spells->getSuccessProbability(Elsewhere, Now);
  Silent.AlternativeTypicalTime = fromSeconds(
      toSeconds(this->Latency.getTypicalTime(Needs.Route, Needs.Objective)) *
      getQueueFactor(Spells->getInFlight().getLoad(Elsewhere, Now),
                     this->getServer(Elsewhere).Slots));
  Silent.TimeToObjective = Needs.ObjectiveDeadline - Now;
  Silent.TimeToDeadline = Needs.Deadline - Now;
  Silent.RetryCost = computeRetryCost(
      this->FleetRetries ? this->FleetRetries->getUsedPart(Now) : 0);
  return shouldRetryElsewhere(Silent, Spells->getLatencyDistribution());
}

} // namespace canvaswick
