//===- GatewayFleet.cpp - Changes of a gateway's fleet --------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Implements the part of Gateway that puts settings, servers and daemons in
/// force.
///
//===----------------------------------------------------------------------===//

#include "GatewayImpl.h"

#include <algorithm>

namespace canvaswick {

/// Applies the operators' limits for callers. The daemon's defaults apply where
/// operators set none.
void Gateway::Impl::applyCallerLimits(const CallerLimits &Given) {
  const HttpServerLimits Defaults;
  const auto DefaultIdle =
      fromSeconds(static_cast<double>(this->Config.IdleSeconds));
  this->Callers->setCallerBounds(
      Given.MaxHeadBytes > 0 ? static_cast<size_t>(Given.MaxHeadBytes)
                             : Defaults.MaxHeadBytes,
      Given.HeadMs > 0 ? fromMillis(Given.HeadMs) : Defaults.HeadTime,
      Given.IdleMs > 0 ? fromMillis(Given.IdleMs) : DefaultIdle);
}

/// Builds the runtime that serves Next. The caller holds BuildMutex.
void Gateway::Impl::build(const FleetConfigRef &Next) {
  DaemonIdentity Identity;
  Identity.Name = this->Config.Name;
  Identity.Hall = this->Config.Hall;
  Identity.Notices = this->Notices;
  Identity.Halls = this->Halls;
  Identity.Daemons = this->DaemonNames;
  Identity.ExpectedDaemons = this->Config.ExpectedDaemons;
  Identity.Source = SettingsSource::Platform;
  Identity.RetryLimit = this->RetryLimit;
  Identity.Started = this->Started;
  Identity.Switches = this->Config.Policy;
  const FleetRuntimeRef Previous = this->Fleet.get();
  const FleetRuntimeRef Runtime(
      new FleetRuntime(Next, Identity, Previous.get(), readSteadyClock()));
  this->distributeRetryLimit(*Runtime);
  Runtime->limitConnections(this->Upstreams, Previous.get());
  this->applyCallerLimits(Next->Limits);
  this->Proxy.configure(*Next);
  this->Fleet.set(Runtime);
  this->Counters.add(Counter::FleetBuilds);
}

/// Sets this daemon's part of the fleet's retry limit in all services. The
/// caller holds BuildMutex.
void Gateway::Impl::distributeRetryLimit(const FleetRuntime &Runtime) {
  // DaemonNames is sorted, so that the daemons have distinct ranks.
  const auto Rank = static_cast<size_t>(std::find(this->DaemonNames.begin(),
                                                  this->DaemonNames.end(),
                                                  this->Config.Name) -
                                        this->DaemonNames.begin());
  // A daemon that knows only a few of the expected daemons must not use the
  // parts of the others.
  const size_t Count =
      std::max(this->DaemonNames.size(),
               static_cast<size_t>(this->Config.ExpectedDaemons));
  for (const ServiceRuntimeRef &Service : Runtime.getServices())
    Service->setRetryLimit(this->RetryLimit, Count, Rank);
}

void Gateway::Impl::setFleet(const FleetConfigRef &Next) {
  logHallChanges(this->Halls->update(Next->DrainedHalls, readSteadyClock()));
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
  this->Notices->with([&](ServerNotices &Known) {
    Known.setFleet(makeFleetMap(this->Config.Name, Daemons), readSteadyClock());
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

void Gateway::Impl::setRetryLimit(const FleetRetryLimit &Limit) {
  std::lock_guard<std::mutex> Lock(this->BuildMutex);
  this->RetryLimit = Limit;
  if (const FleetRuntimeRef Current = this->Fleet.get())
    this->build(FleetConfigRef(&Current->getConfig()));
}

void Gateway::Impl::setStoreState(const StoreState &State, bool ShouldNotify) {
  {
    std::lock_guard<std::mutex> Lock(this->StoreMutex);
    this->Store = State;
  }
  if (this->Peers)
    this->Peers->setStoreState(State, ShouldNotify, readSteadyClock());
}

} // namespace canvaswick
