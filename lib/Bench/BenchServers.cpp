//===- BenchServers.cpp - Simulated backend servers -----------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A request takes the slot that becomes free first. If the wait for it is too
/// long, the request is shed.
///
//===----------------------------------------------------------------------===//

#include "BenchServers.h"

#include <algorithm>
#include <cstdlib>
#include <numeric>
#include <sstream>

namespace canvaswick {

/// Requests per slot that may wait before the server sheds requests.
static constexpr int QueuePerSlot = 4;

/// Time until a refused connection, an immediate error or a shed request is
/// answered.
static constexpr Duration QuickAnswer = fromMillis(2);

/// Delay until the daemons know that a server is leaving.
static constexpr Duration LeavingLag = fromSeconds(2);

bool ActiveFault::isActive(TimePoint Now) const {
  const Duration At = Now.time_since_epoch();
  return At >= this->Description.Start && At < this->Description.End;
}

bool ActiveFault::isOn(TimePoint Now) const {
  if (!this->isActive(Now))
    return false;
  if (this->Description.Kind != FaultKind::Flap)
    return true;
  const Duration Into = Now.time_since_epoch() - this->Description.Start;
  return Into % this->Description.Period < this->Description.Period / 2;
}

bool ActiveFault::isServerFault() const {
  switch (this->Description.Kind) {
  case FaultKind::Fail:
  case FaultKind::Hang:
  case FaultKind::Slow:
  case FaultKind::Refuse:
  case FaultKind::Flap:
    return true;
  case FaultKind::Shed:
  case FaultKind::Cold:
  case FaultKind::Drain:
  case FaultKind::UnhealthyDaemon:
    return false;
  }
  return false;
}

/// Returns the set that Text describes (see Fault::Servers) of Count servers or
/// daemons.
static std::vector<bool> drawSet(const std::string &Text, size_t Count,
                                 const std::vector<std::string> &Halls,
                                 RandomSource &Random) {
  std::vector<bool> Set(Count, false);
  if (Text == "all")
    return std::vector<bool>(Count, true);
  if (Text.compare(0, 5, "hall:") == 0) {
    for (size_t I = 0; I < Count; ++I)
      Set[I] = Halls[I % Halls.size()] == Text.substr(5);
    return Set;
  }
  if (Text.compare(0, 7, "random:") == 0) {
    std::vector<size_t> All(Count);
    std::iota(All.begin(), All.end(), 0);
    std::shuffle(All.begin(), All.end(), Random);
    const size_t Wanted = std::strtoul(Text.c_str() + 7, nullptr, 10);
    for (size_t I = 0; I < std::min(Wanted, Count); ++I)
      Set[All[I]] = true;
    return Set;
  }
  std::istringstream Stream(Text);
  size_t Index = 0;
  while (Stream >> Index)
    if (Index < Count)
      Set[Index] = true;
  return Set;
}

std::vector<ActiveFault> drawFaults(const Scenario &Spec,
                                    RandomSource &Random) {
  std::vector<ActiveFault> Drawn;
  for (const Fault &Each : Spec.Faults) {
    ActiveFault Active;
    Active.Description = Each;
    Active.Servers = drawSet(Each.Servers, static_cast<size_t>(Spec.Servers),
                             Spec.Halls, Random);
    Active.Daemons = drawSet(Each.Daemons, static_cast<size_t>(Spec.Daemons),
                             Spec.Halls, Random);
    Drawn.push_back(std::move(Active));
  }
  return Drawn;
}

FakeServers::FakeServers(const Scenario &Spec, std::vector<ActiveFault> Faults,
                         RandomSource &Random)
    : Spec(Spec), Faults(std::move(Faults)), Random(Random),
      SlotFree(static_cast<size_t>(Spec.Servers),
               std::vector<TimePoint>(static_cast<size_t>(Spec.Slots))) {}

const ActiveFault *FakeServers::findFault(size_t Server, size_t Daemon,
                                          TimePoint Now) {
  std::uniform_real_distribution<double> Draw(0, 1);
  for (const ActiveFault &Each : this->Faults)
    if (Each.isOn(Now) && Each.Servers[Server] && Each.Daemons[Daemon] &&
        Draw(this->Random) < Each.Description.Part)
      return &Each;
  return nullptr;
}

FakeAnswer FakeServers::work(size_t Server, TimePoint Now, TimePoint Deadline,
                             double Factor, RequestOutcome Outcome) {
  std::vector<TimePoint> &Slots = this->SlotFree[Server];
  const auto First = std::min_element(Slots.begin(), Slots.end());
  const TimePoint Begin = std::max(Now, *First);
  // Typical wait behind a full queue.
  const Duration QueueLimit = this->Spec.ServiceTime * QueuePerSlot;
  if (Begin - Now > QueueLimit)
    return {RequestOutcome::Shed, Now + QuickAnswer};
  std::lognormal_distribution<double> Draw(
      std::log(toSeconds(this->Spec.ServiceTime)), this->Spec.Spread);
  const TimePoint End = Begin + fromSeconds(Draw(this->Random) * Factor);
  // A request that reaches its deadline is canceled and frees its slot.
  *First = std::min(End, Deadline);
  return {Outcome, End};
}

FakeAnswer FakeServers::serve(size_t Server, size_t Daemon, TimePoint Now,
                              TimePoint Deadline) {
  const ActiveFault *Active = this->findFault(Server, Daemon, Now);
  if (!Active) {
    std::bernoulli_distribution Fails(this->Spec.BackgroundFailures);
    return this->work(Server, Now, Deadline, 1,
                      Fails(this->Random) ? RequestOutcome::Failed
                                          : RequestOutcome::Good);
  }
  switch (Active->Description.Kind) {
  case FaultKind::Fail:
  case FaultKind::Refuse:
  case FaultKind::Flap:
  case FaultKind::UnhealthyDaemon:
    return {RequestOutcome::Failed, Now + QuickAnswer};
  case FaultKind::Hang:
    return {RequestOutcome::Failed, TimePoint::max()};
  case FaultKind::Slow:
    return this->work(Server, Now, Deadline, Active->Description.Factor,
                      RequestOutcome::Good);
  case FaultKind::Shed:
  case FaultKind::Drain:
    return {RequestOutcome::Shed, Now + QuickAnswer};
  case FaultKind::Cold:
    return this->work(Server, Now, Deadline, Active->Description.Factor,
                      RequestOutcome::Good);
  }
  return {RequestOutcome::Good, Now};
}

bool FakeServers::isLeaving(size_t Server, TimePoint Now) const {
  for (const ActiveFault &Each : this->Faults)
    if (Each.Description.Kind == FaultKind::Drain && Each.Servers[Server] &&
        Each.isActive(Now) && Each.isActive(Now - LeavingLag))
      return true;
  return false;
}

bool FakeServers::isUnhealthy(size_t Server, TimePoint Now) const {
  for (const ActiveFault &Each : this->Faults)
    if (Each.isServerFault() && Each.Servers[Server] && Each.isActive(Now))
      return true;
  return false;
}

} // namespace canvaswick
