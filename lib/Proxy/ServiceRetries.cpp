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

#include "canvaswick/Health/RepeatTiming.h"
#include "canvaswick/Proxy/ServiceRuntime.h"

#include <algorithm>

namespace canvaswick {

/// Returns what a request's chances are worth: of an answer in time, and of one
/// at all.
static double weigh(const AnswerChances &Chances) {
  return Chances.InTime + LateWorth * (Chances.AtAll - Chances.InTime);
}

FleetRepeatBudgetRef
ServiceRuntime::makeRepeats(const DaemonIdentity &Identity,
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

void ServiceRuntime::setRetryLimit(const RepeatAllowance &Allowance,
                                   size_t Daemons, size_t Rank) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  if (this->FleetRetries)
    this->FleetRetries->configure(Allowance, Daemons, Rank);
}

Duration ServiceRuntime::getRetryCheckDelay(const std::string &Route,
                                            Duration Objective) const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Latency.getUsual(Route, Objective);
}

std::vector<double> ServiceRuntime::getWorths(const SpellPolicy &Spells,
                                              const AttemptNeeds &Needs,
                                              TimePoint Now) const {
  const Duration Alone = this->Latency.getUsual(Needs.Route, Needs.Objective);
  const std::vector<double> Loads = this->getLoads(Now);
  std::vector<double> Worths;
  for (size_t I = 0; I < this->countServers(); ++I) {
    const double Factor = getQueueFactor(Loads[I], this->getServer(I).Slots);
    const Duration Usual = fromSeconds(toSeconds(Alone) * Factor);
    Worths.push_back(weigh(Spells.getNewAnswerChances(
        I, Usual, Needs.ObjectiveDeadline, Needs.Deadline, Now)));
  }
  return Worths;
}

/// Returns the best server for an attempt that could begin now elsewhere, or
/// -1.
int ServiceRuntime::findBestElsewhere(const SpellPolicy &Spells,
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
  const auto *Spells = std::get_if<SpellPolicy>(&this->Policy);
  if (!Spells || !this->isOn(Mechanism::WeighedRepeats))
    return false;
  const int Best = this->findBestElsewhere(*Spells, Each, Needs, Now);
  if (Best < 0)
    return false;
  const auto Elsewhere = static_cast<size_t>(Best);
  SilentAttempt Silent;
  Silent.Out = Now - Each.Began;
  Silent.Usual = fromSeconds(toSeconds(Each.Usual) * Each.QueueFactor);
  Silent.Sickness = Spells->getSickness(Each.Server, Now);
  Silent.AnswersElsewhere = Spells->getAnswerPart(Elsewhere, Now);
  Silent.UsualElsewhere = fromSeconds(
      toSeconds(this->Latency.getUsual(Needs.Route, Needs.Objective)) *
      getQueueFactor(Spells->getInFlight().getLoad(Elsewhere, Now),
                     this->getServer(Elsewhere).Slots));
  Silent.UntilAim = Needs.ObjectiveDeadline - Now;
  Silent.UntilDeadline = Needs.Deadline - Now;
  Silent.Price = getRepeatPrice(
      this->FleetRetries ? this->FleetRetries->getUsedPart(Now) : 0);
  return shouldLeave(Silent, Spells->getAnswerTimes());
}

} // namespace canvaswick
