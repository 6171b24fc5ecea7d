//===- GatewayFleet.cpp - What is fed to a gateway ------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The part of Gateway that takes settings, servers and daemons, and puts them
/// in force.
///
//===----------------------------------------------------------------------===//

#include "GatewayImpl.h"

#include <algorithm>

namespace canvaswick {

/// Puts the operators' bounds for callers in force; where they set none, the
/// daemon's own hold.
void Gateway::Impl::boundCallers(const CallerLimits &Given) {
  const HttpServerLimits Own;
  const auto OwnIdle =
      fromSeconds(static_cast<double>(this->Config.IdleSeconds));
  this->Callers->setCallerBounds(
      Given.MaxHeadBytes > 0 ? static_cast<size_t>(Given.MaxHeadBytes)
                             : Own.MaxHeadBytes,
      Given.HeadMs > 0 ? fromMillis(Given.HeadMs) : Own.HeadTime,
      Given.IdleMs > 0 ? fromMillis(Given.IdleMs) : OwnIdle);
}

/// Builds what serves Next. The caller holds BuildMutex.
void Gateway::Impl::build(const FleetConfigRef &Next) {
  DaemonIdentity Identity;
  Identity.Name = this->Config.Name;
  Identity.Hall = this->Config.Hall;
  Identity.Notices = this->Notices;
  Identity.Daemons = this->DaemonNames;
  Identity.ExpectedDaemons = this->Config.ExpectedDaemons;
  Identity.Source = SettingsSource::Platform;
  Identity.Repeats = this->Repeats;
  Identity.Started = this->Started;
  Identity.Switches = this->Config.Policy;
  const FleetRuntimeRef Previous = this->Fleet.get();
  const FleetRuntimeRef Runtime(
      new FleetRuntime(Next, Identity, Previous.get(), readSteadyClock()));
  this->giveRepeats(*Runtime);
  Runtime->limitConnections(this->Upstreams);
  this->boundCallers(Next->Limits);
  this->Proxy.configure(*Next);
  this->Fleet.set(Runtime);
  this->Counters.add(Counter::FleetBuilds);
}

/// Tells the services which part of the fleet's repeats is this daemon's. The
/// caller holds BuildMutex.
void Gateway::Impl::giveRepeats(const FleetRuntime &Runtime) {
  // Names come in order.
  const auto Rank = static_cast<size_t>(std::find(this->DaemonNames.begin(),
                                                  this->DaemonNames.end(),
                                                  this->Config.Name) -
                                        this->DaemonNames.begin());
  // A daemon that sees few others must not take their parts too.
  const size_t Count =
      std::max(this->DaemonNames.size(),
               static_cast<size_t>(this->Config.ExpectedDaemons));
  for (const ServiceRuntimeRef &Service : Runtime.getServices())
    Service->setRetryLimit(this->Repeats, Count, Rank);
}

void Gateway::Impl::setFleet(const FleetConfigRef &Next) {
  std::lock_guard<std::mutex> Lock(this->BuildMutex);
  this->build(Next);
  if (this->Callers)
    this->Callers->beginAccepting();
}

static FleetDaemons makeFleetMap(const std::string &Self,
                                 const std::vector<DaemonRecord> &Daemons) {
  FleetDaemons Fleet;
  Fleet.Self = Self;
  for (const DaemonRecord &Each : Daemons) {
    Fleet.Halls[Each.Hall].push_back(Each.Name);
    Fleet.All.push_back(Each.Name);
  }
  return Fleet;
}

void Gateway::Impl::setDaemons(const std::vector<DaemonRecord> &Daemons) {
  if (this->Peers)
    this->Peers->setPeers(Daemons);
  this->Notices->with([&](ServerNotices &All) {
    All.setFleet(makeFleetMap(this->Config.Name, Daemons), readSteadyClock());
  });
  std::vector<std::string> Names;
  Names.reserve(Daemons.size());
  for (const DaemonRecord &Daemon : Daemons)
    Names.push_back(Daemon.Name);
  std::lock_guard<std::mutex> Lock(this->BuildMutex);
  if (Names == this->DaemonNames)
    return;
  this->DaemonNames = std::move(Names);
  if (const FleetRuntimeRef Current = this->Fleet.get())
    this->build(FleetConfigRef(&Current->getConfig()));
}

void Gateway::Impl::setRetryLimit(const FleetRetryLimit &Allowance) {
  std::lock_guard<std::mutex> Lock(this->BuildMutex);
  this->Repeats = Allowance;
  if (const FleetRuntimeRef Current = this->Fleet.get())
    this->build(FleetConfigRef(&Current->getConfig()));
}

void Gateway::Impl::setStoreState(const StoreState &State, bool IsNews) {
  {
    std::lock_guard<std::mutex> Lock(this->StoreMutex);
    this->Store = State;
  }
  if (this->Peers)
    this->Peers->setStoreState(State, IsNews, readSteadyClock());
}

} // namespace canvaswick
