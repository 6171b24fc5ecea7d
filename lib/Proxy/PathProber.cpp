//===- PathProber.cpp - Probes whether servers can be reached -------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Implements PathProber.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Proxy/PathProber.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <random>

namespace canvaswick {

/// Servers of one service that are probed at once. Some may have ended.
static constexpr size_t ProbesPerService = 3;

/// Servers that are probed at once, whatever the number of services.
static constexpr size_t MaxProbes = 16;

/// Time limit of a probe. A connection takes a round trip, a few milliseconds.
static constexpr Duration ProbeLimit = fromMillis(250);

PathProber::PathProber(const FleetRuntimeSlot &Fleet, ServerPaths &Paths)
    : Fleet(Fleet), Paths(Paths), Random(std::random_device()()) {}

void PathProber::watchServices(const FleetRuntimeRef &Current) {
  if (Current == this->Watched)
    return;
  std::set<ServerId> Ids;
  for (const ServiceRuntimeRef &Service : Current->getServices())
    Ids.insert(Service->getId());
  this->Paths.setServices(Ids);
  this->Watched = Current;
}

/// Adds some servers of a service that are not leaving.
void PathProber::chooseTargets(const ServiceRuntimeRef &Service,
                               std::vector<Target> &Targets) {
  std::vector<Endpoint> Usable;
  for (size_t I = 0; I < Service->countServers(); ++I)
    if (Service->getServer(I).State == ServerState::Active)
      Usable.push_back(Service->getServer(I).Address);
  std::vector<Endpoint> Chosen;
  std::sample(Usable.begin(), Usable.end(), std::back_inserter(Chosen),
              ProbesPerService, this->Random);
  for (const Endpoint &Each : Chosen)
    if (Targets.size() < MaxProbes)
      Targets.push_back({Service, Each});
}

void PathProber::apply(const std::vector<Target> &Targets,
                       const std::vector<ConnectionProbe> &Results,
                       TimePoint Now) {
  std::map<ServiceRuntime *, PathProbe> Probes;
  for (size_t I = 0; I < Targets.size(); ++I) {
    PathProbe &Probe = Probes[Targets[I].Service.get()];
    ++Probe.Probed;
    Probe.Reached += Results[I] == ConnectionProbe::Connected ? 1 : 0;
    Probe.HasTimedOut |= Results[I] == ConnectionProbe::TimedOut;
  }
  for (const auto &[Service, Probe] : Probes)
    if (this->Paths.applyProbe(*Service, Probe, Now))
      Service->disregardDirectAttempts();
}

void PathProber::runRound(TimePoint Now) {
  const FleetRuntimeRef Current = this->Fleet.get();
  if (!Current || !this->Paths.hasPeers())
    return;
  this->watchServices(Current);
  std::vector<Target> Targets;
  for (const ServiceRuntimeRef &Service : Current->getServices()) {
    if (const std::optional<TimePoint> Since = Service->findSilence(Now))
      this->Paths.recordSilence(Service->getId(), *Since);
    if (this->Paths.isProbeDue(Service->getId(), Now))
      this->chooseTargets(Service, Targets);
  }
  if (Targets.empty())
    return;
  std::vector<Endpoint> Addresses;
  Addresses.reserve(Targets.size());
  for (const Target &Each : Targets)
    Addresses.push_back(Each.Address);
  this->apply(Targets, probeConnections(Addresses, Now + ProbeLimit),
              readSteadyClock());
}

} // namespace canvaswick
