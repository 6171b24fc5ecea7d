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

#include "canvaswick/Health/RepeatTiming.h"
#include "canvaswick/Proxy/ServiceRuntime.h"

#include <algorithm>

namespace canvaswick {

/// Returns the expected utility of a request, from the probabilities of a
/// response in time and of any response.
static double computeUtility(const AnswerChances &Chances) {
  return Chances.InTime + LateWorth * (Chances.AtAll - Chances.InTime);
}

FleetRepeatBudgetRef
ServiceRuntime::makeRetryBudget(const DaemonIdentity &Identity,
                                const ServiceRuntime *Previous) const {
  if (Identity.Source != SettingsSource::Platform)
    return nullptr;
  FleetRepeatBudgetRef Budget;
  if (Previous)
    Budget = Previous->FleetRetries;
  if (!Budget)
    Budget.reset(new FleetRepeatBudget(Identity.Repeats, Identity.Started));
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

void ServiceRuntime::setRetryLimit(const RepeatAllowance &Limit, size_t Daemons,
                                   size_t Rank) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  if (this->FleetRetries)
    this->FleetRetries->configure(Limit, Daemons, Rank);
}

Duration ServiceRuntime::getRetryCheckDelay(const std::string &Route,
                                            Duration Objective) const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Latency.getUsual(Route, Objective);
}

std::vector<double> ServiceRuntime::computeUtilities(const SpellPolicy &Markov,
                                                     const AttemptNeeds &Needs,
                                                     TimePoint Now) const {
  const Duration IdleServerTime =
      this->Latency.getUsual(Needs.Route, Needs.Objective);
  const std::vector<double> Loads = this->getLoads(Now);
  std::vector<double> Utilities;
  for (size_t I = 0; I < this->countServers(); ++I) {
    const double Factor = getQueueFactor(Loads[I], this->getServer(I).Slots);
    const Duration Usual = fromSeconds(toSeconds(IdleServerTime) * Factor);
    Utilities.push_back(computeUtility(Markov.getNewAnswerChances(
        I, Usual, Needs.ObjectiveDeadline, Needs.Deadline, Now)));
  }
  return Utilities;
}

/// Returns the index of the best server for a retry that begins now, or -1.
int ServiceRuntime::findBestAlternative(const SpellPolicy &Markov,
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
  const auto *Markov = std::get_if<SpellPolicy>(&this->Policy);
  if (!Markov || !this->isOn(Mechanism::WeighedRepeats))
    return false;
  const int Best = this->findBestAlternative(*Markov, Each, Needs, Now);
  if (Best < 0)
    return false;
  const auto Alternative = static_cast<size_t>(Best);
  SilentAttempt Silent;
  Silent.Out = Now - Each.Began;
  Silent.Usual = fromSeconds(toSeconds(Each.Usual) * Each.QueueFactor);
  Silent.Sickness = Markov->getSickness(Each.Server, Now);
  Silent.AnswersElsewhere = Markov->getAnswerPart(Alternative, Now);
  Silent.UsualElsewhere = fromSeconds(
      toSeconds(this->Latency.getUsual(Needs.Route, Needs.Objective)) *
      getQueueFactor(Markov->getInFlight().getLoad(Alternative, Now),
                     this->getServer(Alternative).Slots));
  Silent.UntilAim = Needs.ObjectiveDeadline - Now;
  Silent.UntilDeadline = Needs.Deadline - Now;
  Silent.Price = getRepeatPrice(
      this->FleetRetries ? this->FleetRetries->getUsedPart(Now) : 0);
  return shouldLeave(Silent, Markov->getAnswerTimes());
}

} // namespace canvaswick
