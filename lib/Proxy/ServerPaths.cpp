//===- ServerPaths.cpp - Paths of one daemon to its servers ---------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Implements ServerPaths.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Proxy/ServerPaths.h"
#include "canvaswick/Support/Log.h"

#include <random>

namespace canvaswick {

ServerPaths::ServerPaths() : Random(std::random_device()()) {}

void ServerPaths::setPeers(const std::string &Hall,
                           std::vector<TunnelPeer> Given) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Peers.setPeers(Hall, std::move(Given));
}

void ServerPaths::setServices(const std::set<ServerId> &Services) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Monitor.setServices(Services);
}

bool ServerPaths::hasPeers() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return !this->Peers.isEmpty();
}

bool ServerPaths::hasPeerAt(const std::string &Host) const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Peers.hasHost(Host);
}

void ServerPaths::recordPeerMessage(const std::string &Peer, bool IsCutOff,
                                    bool WasAnswered, TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Peers.recordMessage(Peer, IsCutOff, WasAnswered, Now);
}

void ServerPaths::recordConnected(const ServiceRuntime &Service,
                                  TimePoint Now) {
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->FailingSince = TimePoint{};
    if (!this->Monitor.recordConnected(Service.getId(), Now))
      return;
  }
  logWarning("servers-in-reach", "service={} by=request",
             Service.getConfig().Name);
}

void ServerPaths::recordFailure(ServerId Service, TimePoint Began) {
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    if (this->FailingSince == TimePoint{})
      this->FailingSince = Began;
    this->Monitor.recordFailure(Service, Began);
  }
  if (this->ProbeListener)
    this->ProbeListener();
}

void ServerPaths::recordAnswer(ServerId Service, TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Monitor.recordAnswer(Service, Now);
}

void ServerPaths::recordSilence(ServerId Service, TimePoint Began) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Monitor.recordSilence(Service, Began);
}

bool ServerPaths::isProbeDue(ServerId Service, TimePoint Now) const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Monitor.isProbeDue(Service, Now);
}

bool ServerPaths::applyProbe(const ServiceRuntime &Service,
                             const PathProbe &Probe, TimePoint Now) {
  const ServerId Id = Service.getId();
  bool IsCutOff = false;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    if (!this->Monitor.applyProbe(Id, Probe, Now))
      return false;
    IsCutOff = this->Monitor.getState(Id).IsCutOff;
    if (IsCutOff && this->FailingSince == TimePoint{})
      this->FailingSince = Now;
  }
  logWarning(IsCutOff ? "servers-out-of-reach" : "servers-in-reach",
             "service={} probed={} reached={} timed-out={}",
             Service.getConfig().Name, Probe.Probed, Probe.Reached,
             Probe.HasTimedOut);
  return IsCutOff;
}

PathState ServerPaths::getState(ServerId Service) const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Monitor.getState(Service);
}

bool ServerPaths::needsPeer(ServerId Service,
                            const std::optional<TimePoint> &FailedAt) const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  if (this->Peers.isEmpty())
    return false;
  if (this->Monitor.getState(Service).IsCutOff)
    return true;
  return FailedAt && !this->Monitor.hasConnectedSince(Service, *FailedAt);
}

size_t ServerPaths::countCutOff() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Monitor.countCutOff();
}

bool ServerPaths::isIsolated() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Monitor.isIsolated();
}

std::optional<TunnelPeer>
ServerPaths::choosePeer(const std::vector<std::string> &Excluded,
                        TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const TimePoint Since =
      this->FailingSince == TimePoint{} ? Now : this->FailingSince;
  return this->Peers.choose(Excluded, Since, Now, this->Random);
}

TunnelTarget ServerPaths::makeTarget(const TunnelPeer &Peer,
                                     const std::string &Service,
                                     const std::string &Server) const {
  TunnelTarget Target;
  Target.Peer = Peer.Address;
  if (this->Sign)
    Target.Headers = this->Sign(Service + "/" + Server);
  Target.Headers.emplace(TunnelServiceHeader, Service);
  Target.Headers.emplace(TunnelServerHeader, Server);
  return Target;
}

void ServerPaths::recordDeclined(const TunnelPeer &Peer, TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Peers.recordDeclined(Peer.Name, Now);
}

} // namespace canvaswick
