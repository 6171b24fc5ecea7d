//===- ServiceRuntime.cpp - One service as a daemon runs it ---------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Every method takes the one mutex, works on plain decision objects and
/// returns; none waits for anything.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Proxy/ServiceRuntime.h"
#include "canvaswick/Support/Hash.h"

#include <algorithm>
#include <cassert>

namespace canvaswick {

/// When nothing can take a request now, coming back sooner makes no sense.
static constexpr Duration BusyWait = fromSeconds(1);

static uint64_t makeSeed(const std::string &Service, const std::string &Daemon,
                         TimePoint Now) {
  return hashText(Service + "@" + Daemon,
                  static_cast<uint64_t>(Now.time_since_epoch().count()));
}

ServiceRuntime::ServiceRuntime(ServiceConfig Given,
                               const DaemonIdentity &Identity,
                               const ServiceRuntime *Previous, TimePoint Now)
    : Config(std::move(Given)),
      Subset(chooseSubset(this->Config, Identity.Name, Identity.Daemons,
                          Identity.ExpectedDaemons)),
      Policy(this->makeSetup(Identity)),
      Selector(this->makeSelectable(Identity, Previous, Now),
               fromMillis(this->Config.ColdStartMs)),
      Latency(fromMillis(this->Config.SlowAfterMs)),
      Retries(this->Config.RetryPercent), InFlight(this->Config.MaxInFlight),
      Random(makeSeed(this->Config.Name, Identity.Name, Now)),
      LeavingByList(this->Subset.Servers.size(), false),
      IsLeaving(this->Subset.Servers.size(), false),
      Metrics(Previous ? Previous->Metrics
                       : std::make_shared<ServiceMetrics>()) {
  if (Previous) {
    std::lock_guard<std::mutex> Lock(Previous->Mutex);
    this->Policy.adopt(Previous->Policy, Now);
    this->Latency = Previous->Latency;
    this->Latency.setFixed(fromMillis(this->Config.SlowAfterMs));
  }
  for (size_t I = 0; I < this->countServers(); ++I)
    this->applyLeaving(I, Now);
  this->Policy.advance(Now);
}

const ServerConfig &ServiceRuntime::getServer(size_t Index) const {
  return this->Config.Servers[this->Subset.Servers[Index]];
}

bool ServiceRuntime::isFor(const ServiceConfig &Other,
                           const DaemonIdentity &Identity) const {
  if (!(this->Config == Other))
    return false;
  const ServerSubset Wanted = chooseSubset(
      Other, Identity.Name, Identity.Daemons, Identity.ExpectedDaemons);
  return Wanted.Servers == this->Subset.Servers &&
         Wanted.Connections == this->Subset.Connections;
}

std::vector<SelectableServer>
ServiceRuntime::makeSelectable(const DaemonIdentity &Identity,
                               const ServiceRuntime *Previous,
                               TimePoint Now) const {
  std::set<std::string> Known;
  if (Previous)
    for (const ServerConfig &Server : Previous->Config.Servers)
      Known.insert(Server.Name);
  std::vector<SelectableServer> Servers;
  for (size_t I = 0; I < this->Subset.Servers.size(); ++I) {
    const ServerConfig &Server = this->getServer(I);
    SelectableServer Entry;
    Entry.Slots = Server.Slots;
    Entry.Limit = std::min(Server.Slots, this->Subset.Connections[I]);
    Entry.IsNear = Server.Hall == Identity.Hall;
    // Only a server that was added to a running service is a cold one.
    const bool IsNew = Previous && Known.count(Server.Name) == 0;
    Entry.Since = IsNew ? Now : Now - fromMillis(this->Config.ColdStartMs);
    Servers.push_back(Entry);
  }
  return Servers;
}

PolicySetup ServiceRuntime::makeSetup(const DaemonIdentity &Identity) const {
  PolicySetup Setup;
  Setup.Service = this->Config.Name;
  Setup.Source = Identity.Name;
  Setup.Hall = Identity.Hall;
  Setup.Preference = this->Config.Preference;
  Setup.ColdStart = fromMillis(this->Config.ColdStartMs);
  Setup.FirstSequence = Identity.StartMillis;
  Setup.FloorPercent = this->Config.FloorPercent;
  for (size_t I = 0; I < this->Subset.Servers.size(); ++I) {
    const ServerConfig &Server = this->getServer(I);
    Setup.Servers.push_back(
        {getServerId(this->Config.Name, Server.Name), Server.Slots});
  }
  return Setup;
}

void ServiceRuntime::applyLeaving(size_t Server, TimePoint Now) {
  const bool IsLeaving =
      this->getServer(Server).State == ServerState::Draining ||
      this->LeavingByList[Server];
  if (this->IsLeaving[Server] && !IsLeaving)
    this->Selector.restartColdStart(Server, Now);
  this->IsLeaving[Server] = IsLeaving;
  this->Policy.setLeaving(Server, IsLeaving, Now);
}

Refusal ServiceRuntime::admit(Duration Left, TimePoint Now, Duration &Wait) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  Wait = BusyWait;
  if (!hasChance(Left, this->Latency.getMedian()))
    return Refusal::DeadlineTooShort;
  if (!this->InFlight.tryBegin())
    return Refusal::ServiceBusy;
  this->Retries.noteRequest(Now);
  return Refusal::None;
}

void ServiceRuntime::finish(AnswerKind Kind, Duration Latency, TimePoint Now) {
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->InFlight.end();
  }
  this->Metrics->add(Kind, Latency, fromMillis(this->Config.ObjectiveMs), Now);
}

bool ServiceRuntime::begin(Attempt &Next, const std::vector<size_t> &Tried,
                           TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  std::vector<double> Shares;
  Shares.reserve(this->countServers());
  for (size_t I = 0; I < this->countServers(); ++I)
    Shares.push_back(this->Policy.getShare(I));
  const int Server = this->Selector.pick(Shares, Tried, Now, this->Random);
  if (Server < 0)
    return false;
  Next.Server = static_cast<size_t>(Server);
  Next.Began = Now;
  Next.IsNotedLate = false;
  this->Selector.begin(Next.Server);
  this->Attempts.push_back(Next);
  return true;
}

void ServiceRuntime::end(Attempt &Ended, RequestOutcome Outcome,
                         TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Attempts.erase(this->Attempts.iterator_to(Ended));
  this->Selector.end(Ended.Server, Outcome, Now);
  const Duration Took = Now - Ended.Began;
  const bool IsLate = Took > this->Latency.getSlowAfter();
  RequestOutcome Evidence = Outcome;
  if (Outcome == RequestOutcome::Good && IsLate)
    Evidence = RequestOutcome::Slow;
  if (Outcome == RequestOutcome::Good)
    this->Latency.add(Took);
  // A late request was counted as slow while it was under way.
  if (Evidence == RequestOutcome::Slow && Ended.IsNotedLate)
    return;
  this->Policy.recordOutcome(Ended.Server, Evidence, Now);
}

bool ServiceRuntime::tryRepeat(TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Retries.tryTake(Now);
}

void ServiceRuntime::advance(TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const Duration SlowAfter = this->Latency.getSlowAfter();
  for (Attempt &Each : this->Attempts) {
    if (Each.IsNotedLate || Now - Each.Began <= SlowAfter)
      continue;
    Each.IsNotedLate = true;
    this->Policy.recordOutcome(Each.Server, RequestOutcome::Slow, Now);
  }
  this->Policy.advance(Now);
}

std::optional<EvidenceReport> ServiceRuntime::makeReport(TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Policy.makeReport(Now);
}

void ServiceRuntime::takeDigest(const EvidenceDigest &Digest, TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Policy.takeDigest(Digest, Now);
}

void ServiceRuntime::setLeavingAddresses(const std::set<std::string> &Addresses,
                                         TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  for (size_t I = 0; I < this->countServers(); ++I) {
    const ServerConfig &Server = this->getServer(I);
    this->LeavingByList[I] = Addresses.count(Server.Address.Host) > 0 ||
                             Addresses.count(Server.Address.format()) > 0;
    this->applyLeaving(I, Now);
  }
}

void ServiceRuntime::noteLoad(size_t Server, double Load, TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Selector.noteReportedLoad(Server, Load, Now);
}

std::vector<ServerStatus> ServiceRuntime::describe() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  std::vector<ServerStatus> All;
  for (size_t I = 0; I < this->countServers(); ++I) {
    const ServerConfig &Server = this->getServer(I);
    All.push_back({Server.Name, Server.Address, this->Selector.countInFlight(I),
                   this->Policy.explain(I)});
  }
  return All;
}

} // namespace canvaswick
