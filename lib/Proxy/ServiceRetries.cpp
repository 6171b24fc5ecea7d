//===- ServiceRetries.cpp - Retries of one service ------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The part of ServiceRuntime that gives out retries, from its own budget or
/// borrowed, and that decides how long to wait for a server before a retry.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Health/RetryTiming.h"
#include "canvaswick/Proxy/ServiceRuntime.h"

#include <algorithm>

namespace canvaswick {

/// Returns the expected utility of a request, from the probabilities of a
/// response in time and of any response.
static double computeUtility(const AnswerProbabilities &Chances) {
  return Chances.InTime + LateUtility * (Chances.AtAll - Chances.InTime);
}

FleetRetryBudgetRef
ServiceRuntime::makeRetryBudget(const DaemonIdentity &Identity,
                                const ServiceRuntime *Previous) const {
  if (Identity.Source != SettingsSource::Platform)
    return nullptr;
  FleetRetryBudgetRef Budget;
  if (Previous)
    Budget = Previous->FleetRetries;
  if (!Budget)
    Budget.reset(new FleetRetryBudget(Identity.RetryLimit, Identity.Started));
  return Budget;
}

std::optional<TakenRetry> ServiceRuntime::tryTakeRetry(TimePoint Now) {
  if (this->FleetRetries)
    return this->tryTakeNotRunRetry(Now);
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Retries.tryTake(Now) ? std::make_optional<TakenRetry>()
                                    : std::nullopt;
}

std::optional<TakenRetry> ServiceRuntime::tryTakeNotRunRetry(TimePoint Now) {
  if (!this->FleetRetries)
    return TakenRetry{};
  return this->withFleetRetries(
      [Now](FleetRetryBudget &Budget) { return Budget.tryTake(Now); });
}

void ServiceRuntime::giveBackRetry(const TakenRetry &Taken) {
  if (this->FleetRetries)
    this->withFleetRetries(
        [&Taken](FleetRetryBudget &Budget) { Budget.giveBack(Taken); });
}

void ServiceRuntime::recordRetrySent(const TakenRetry &Taken,
                                     TimePoint SentAt) {
  if (this->FleetRetries)
    this->withFleetRetries(
        [&](FleetRetryBudget &Budget) { Budget.recordSent(Taken, SentAt); });
}

bool ServiceRuntime::tryLendRetry(TimePoint Now) {
  return this->FleetRetries &&
         this->withFleetRetries(
             [Now](FleetRetryBudget &Budget) { return Budget.tryLend(Now); });
}

void ServiceRuntime::borrowRetry(TimePoint Until) {
  if (this->FleetRetries)
    this->withFleetRetries(
        [Until](FleetRetryBudget &Budget) { Budget.borrow(Until); });
}

bool ServiceRuntime::hasRetry(TimePoint Now) const {
  return this->FleetRetries &&
         this->withFleetRetries(
             [Now](FleetRetryBudget &Budget) { return Budget.hasRoom(Now); });
}

RetryUse ServiceRuntime::getRetryUse(TimePoint Now) const {
  return this->withFleetRetries(
      [Now](FleetRetryBudget &Budget) { return Budget.getUse(Now); });
}

void ServiceRuntime::setRetryLimit(const FleetRetryLimit &Limit, size_t Daemons,
                                   size_t Rank) {
  if (this->FleetRetries)
    this->withFleetRetries([&](FleetRetryBudget &Budget) {
      Budget.configure(Limit, Daemons, Rank);
    });
}

Duration ServiceRuntime::getTypicalTime(const std::string &Route,
                                        Duration Objective) const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Latency.getTypicalTime(Route, Objective);
}

std::vector<double> ServiceRuntime::computeUtilities(const MarkovPolicy &Markov,
                                                     const AttemptNeeds &Needs,
                                                     TimePoint Now) const {
  const Duration IdleServerTime =
      this->Latency.getTypicalTime(Needs.Route, Needs.Objective);
  const std::vector<double> Loads = this->getLoads(Now);
  std::vector<double> Utilities;
  for (size_t I = 0; I < this->countServers(); ++I) {
    const double Factor = getQueueFactor(Loads[I], this->getServer(I).Slots);
    const Duration TypicalTime =
        fromSeconds(toSeconds(IdleServerTime) * Factor);
    Utilities.push_back(computeUtility(Markov.getNewRequestProbabilities(
        I, TypicalTime, Needs.ObjectiveDeadline, Needs.Deadline, Now)));
  }
  return Utilities;
}

/// Returns the index of the best server for a retry that begins now, or -1.
int ServiceRuntime::findBestAlternative(const MarkovPolicy &Markov,
                                        const Attempt &Each,
                                        const AttemptNeeds &Needs,
                                        TimePoint Now) const {
  const std::vector<double> Utilities =
      this->computeUtilities(Markov, Needs, Now);
  int Best = -1;
  for (size_t I = 0; I < this->countServers(); ++I) {
    const bool WasTried = std::find(Needs.Tried.begin(), Needs.Tried.end(),
                                    I) != Needs.Tried.end();
    // Few requests go to other halls, so that servers there are no reason to
    // abandon an attempt.
    if (I == Each.Server || WasTried || !this->Selector.isSameHall(I) ||
        this->isExcludedByNotice(I, Now))
      continue;
    if (Best < 0 || Utilities[I] > Utilities[static_cast<size_t>(Best)])
      Best = static_cast<int>(I);
  }
  return Best;
}

bool ServiceRuntime::shouldAbandonAttempt(const Attempt &Each,
                                          const AttemptNeeds &Needs,
                                          TimePoint Now) const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const auto *Markov = std::get_if<MarkovPolicy>(&this->Policy);
  if (!Markov || !this->isOn(Mechanism::WeighedRetries))
    return false;
  const int Best = this->findBestAlternative(*Markov, Each, Needs, Now);
  if (Best < 0)
    return false;
  const auto Alternative = static_cast<size_t>(Best);
  UnansweredAttempt Silent;
  Silent.Elapsed = Now - Each.Began;
  Silent.TypicalTime =
      fromSeconds(toSeconds(Each.TypicalTime) * Each.QueueFactor);
  Silent.UnhealthyProbability =
      Markov->getUnhealthyProbability(Each.Server, Now);
  Silent.AlternativeAnswerProbability =
      Markov->getSuccessProbability(Alternative, Now);
  Silent.AlternativeTypicalTime = fromSeconds(
      toSeconds(this->Latency.getTypicalTime(Needs.Route, Needs.Objective)) *
      getQueueFactor(Markov->getInFlight().getLoad(Alternative, Now),
                     this->getServer(Alternative).Slots));
  Silent.TimeToObjective = Needs.ObjectiveDeadline - Now;
  Silent.TimeToDeadline = Needs.Deadline - Now;
  Silent.RetryCost = computeRetryCost(
      this->FleetRetries
          ? this->withFleetRetries([Now](FleetRetryBudget &Budget) {
              return Budget.getUsedPart(Now);
            })
          : 0);
  return shouldRetryElsewhere(Silent, Markov->getLatencyDistribution());
}

} // namespace canvaswick
