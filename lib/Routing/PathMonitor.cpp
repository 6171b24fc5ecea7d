//===- PathMonitor.cpp - Whether servers can be reached -------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Implements PathMonitor.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Routing/PathMonitor.h"

#include <algorithm>

namespace canvaswick {

/// How often the servers of a service that is cut off are probed.
static constexpr Duration ProbeInterval = fromMillis(500);

/// A service that is cut off again this soon needs twice as many good probes as
/// the last time, at most MaxNeededProbes.
static constexpr Duration FlapTime = fromSeconds(10);
static constexpr int MaxNeededProbes = 8;

/// A connection that was established this soon after a request began may be its
/// own, and does not show that the path worked later.
static constexpr Duration OwnConnectTime = fromMillis(50);

const PathMonitor::Service *PathMonitor::find(ServerId Id) const {
  const auto Found = this->Services.find(Id);
  return Found == this->Services.end() ? nullptr : &Found->second;
}

bool PathMonitor::recordConnected(ServerId Id, TimePoint Now) {
  return recordReached(this->Services[Id], Now);
}

/// Records that a server was reached. Returns whether the service was cut off
/// before and no longer is.
bool PathMonitor::recordReached(Service &Changed, TimePoint Now) {
  Changed.ConnectedAt = std::max(Changed.ConnectedAt, Now);
  if (!Changed.State.IsCutOff || ++Changed.GoodProbes < Changed.NeededProbes)
    return false;
  Changed.GoodProbes = 0;
  Changed.State = {};
  Changed.RestoredAt = Now;
  return true;
}

void PathMonitor::recordAnswer(ServerId Id, TimePoint Now) {
  Service &Changed = this->Services[Id];
  Changed.AnsweredAt = std::max(Changed.AnsweredAt, Now);
}

void PathMonitor::recordFailure(ServerId Id, TimePoint Began) {
  Service &Changed = this->Services[Id];
  if (Began > Changed.ConnectedAt)
    Changed.IsSuspect = true;
}

void PathMonitor::recordSilence(ServerId Id, TimePoint Began) {
  Service &Changed = this->Services[Id];
  if (Began > Changed.AnsweredAt &&
      Began + OwnConnectTime > Changed.ConnectedAt)
    Changed.IsSuspect = true;
}

bool PathMonitor::isProbeDue(ServerId Id, TimePoint Now) const {
  const Service *Found = this->find(Id);
  return Found && (Found->IsSuspect ||
                   (Found->State.IsCutOff && Now >= Found->NextProbeAt));
}

void PathMonitor::cutOff(Service &Changed, TimePoint Now) {
  const bool IsFlapping =
      Changed.RestoredAt != TimePoint{} && Now - Changed.RestoredAt < FlapTime;
  Changed.NeededProbes =
      IsFlapping ? std::min(2 * Changed.NeededProbes, MaxNeededProbes) : 1;
  Changed.State.IsCutOff = true;
  for (auto &[Id, Other] : this->Services)
    if (!Other.State.IsCutOff)
      Other.IsSuspect = true;
}

bool PathMonitor::applyProbe(ServerId Id, const PathProbe &Probe,
                             TimePoint Now) {
  Service &Changed = this->Services[Id];
  Changed.IsSuspect = false;
  Changed.NextProbeAt = Now + ProbeInterval;
  if (Probe.Probed == 0)
    return false;
  Changed.State.IsSilent = Probe.HasTimedOut;
  if (Probe.Reached == 0) {
    Changed.GoodProbes = 0;
    const bool WasCutOff = Changed.State.IsCutOff;
    if (!WasCutOff)
      this->cutOff(Changed, Now);
    return !WasCutOff;
  }
  return recordReached(Changed, Now);
}

PathState PathMonitor::getState(ServerId Id) const {
  const Service *Found = this->find(Id);
  return Found ? Found->State : PathState{};
}

bool PathMonitor::hasConnectedSince(ServerId Id, TimePoint Since) const {
  const Service *Found = this->find(Id);
  return Found && Found->ConnectedAt >= Since;
}

size_t PathMonitor::countCutOff() const {
  return static_cast<size_t>(std::count_if(
      this->Services.begin(), this->Services.end(),
      [](const auto &Each) { return Each.second.State.IsCutOff; }));
}

void PathMonitor::setServices(const std::set<ServerId> &Kept) {
  std::erase_if(this->Services, [&Kept](const auto &Each) {
    return Kept.count(Each.first) == 0;
  });
  for (const ServerId Id : Kept)
    this->Services.try_emplace(Id);
}

bool PathMonitor::isIsolated() const {
  return !this->Services.empty() &&
         this->countCutOff() == this->Services.size();
}

} // namespace canvaswick
