//===- ServiceRuntime.cpp - Runtime state of one service ------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Every method takes the mutex, works on plain decision objects and returns
/// without waiting. ServiceEvidence.cpp handles evidence, ServiceNotices.cpp
/// server notices and ServiceRetries.cpp retries.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Proxy/ServiceRuntime.h"
#include "canvaswick/Support/Hash.h"

#include <algorithm>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace canvaswick {

/// The Retry-After of a refused request: an earlier retry would hardly be
/// admitted.
static constexpr Duration BusyRetryAfter = fromSeconds(1);

/// Bounds of the Retry-After if server notices exclude all servers.
static constexpr Duration MinNoticeWait = fromMillis(100);
static constexpr Duration MaxNoticeWait = fromSeconds(30);

/// The weight of a server in another hall relative to one in the same hall, on
/// the users' platform. Traffic between halls has a price there, and a large
/// response costs more than it is worth.
static constexpr double RemoteWeightOfSmall = 0.06;
static constexpr double RemoteWeightOfLarge = 0.001;

static uint64_t makeSeed(const std::string &Service, const std::string &Daemon,
                         TimePoint Now) {
  return hashText(Service + "@" + Daemon,
                  static_cast<uint64_t>(Now.time_since_epoch().count()));
}

/// Returns the ids of the subset's servers in messages.
static std::vector<ServerId> makeIds(const ServiceConfig &Config,
                                     const ServerSubset &Subset) {
  std::vector<ServerId> Ids;
  Ids.reserve(Subset.Servers.size());
  for (const size_t Index : Subset.Servers)
    Ids.push_back(getServerId(Config.Name, Config.Servers[Index].Name));
  return Ids;
}

ServiceRuntime::ServiceRuntime(ServiceConfig Given,
                               const DaemonIdentity &Identity,
                               const ServiceRuntime *Previous, TimePoint Now)
    : Config(std::move(Given)),
      Subset(chooseSubset(this->Config, Identity.Name, Identity.Daemons,
                          Identity.ExpectedDaemons)),
      Ids(makeIds(this->Config, this->Subset)),
      Notices(chooseNoticeTable(Identity, Previous)),
      Halls(chooseHallDrains(Identity, Previous)), Switches(Identity.Switches),
      Policy(this->makePolicy(Identity)),
      Selector(this->makeSelectable(Identity, Previous, Now),
               fromMillis(this->Config.ColdStartMs)),
      Latency(fromMillis(this->Config.SlowAfterMs)),
      Retries(this->Config.RetryPercent),
      FleetRetries(this->makeRetryBudget(Identity, Previous)),
      Room(Previous ? Previous->Room
                    : ServiceWaitingRoomRef(new ServiceWaitingRoom)),
      InFlight(this->Config.MaxInFlight),
      Random(makeSeed(this->Config.Name, Identity.Name, Now)),
      LeavingByList(this->Subset.Servers.size(), false),
      LeavingByNotice(this->Subset.Servers.size(), false),
      LeavingByHall(this->Subset.Servers.size(), false),
      IsLeaving(this->Subset.Servers.size(), false),
      JoinedAt(this->Subset.Servers.size()),
      Metrics(Previous ? Previous->Metrics
                       : std::make_shared<ServiceMetrics>()) {
  if (Previous) {
    std::lock_guard<std::mutex> Lock(Previous->Mutex);
    std::visit(
        [&](auto &ActivePolicy) {
          using PolicyT = std::decay_t<decltype(ActivePolicy)>;
          if (const auto *Old = std::get_if<PolicyT>(&Previous->Policy))
            ActivePolicy.adopt(*Old, Now);
        },
        this->Policy);
    const std::vector<int> Matches = this->matchServers(*Previous);
    this->Selector.adopt(Previous->Selector, Matches);
    this->Latency.adopt(Previous->Latency, Now);
    this->adoptJoinTimes(*Previous, Matches, Now);
    for (size_t I = 0; I < Matches.size(); ++I)
      this->LeavingByHall[I] =
          Matches[I] >= 0 &&
          Previous->LeavingByHall[static_cast<size_t>(Matches[I])];
  }
  for (size_t I = 0; I < this->countServers(); ++I)
    this->applyLeaving(I, Now);
  this->updateHalls(Now);
  this->updateLeaving(Now);
  this->recordWarmups(Now);
  std::visit([Now](auto &ActivePolicy) { ActivePolicy.advance(Now); },
             this->Policy);
}

/// Returns for each server its index in Other, or -1.
std::vector<int>
ServiceRuntime::matchServers(const ServiceRuntime &Other) const {
  std::unordered_map<std::string_view, int> Known;
  for (size_t I = 0; I < Other.countServers(); ++I)
    Known[Other.getServer(I).Name] = static_cast<int>(I);
  std::vector<int> Matches;
  for (size_t I = 0; I < this->countServers(); ++I) {
    const auto Found = Known.find(this->getServer(I).Name);
    Matches.push_back(Found == Known.end() ? -1 : Found->second);
  }
  return Matches;
}

std::vector<size_t>
ServiceRuntime::mapServers(const std::vector<size_t> &Servers,
                           const ServiceRuntime &Other) const {
  std::vector<size_t> Mapped;
  for (const size_t Each : Servers)
    if (const auto Index = this->findServerIndex(Other.Ids[Each]))
      Mapped.push_back(*Index);
  return Mapped;
}

bool ServiceRuntime::mayReceive(const std::string &Server, TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->updateHalls(Now);
  const auto Index =
      this->findServerIndex(getServerId(this->Config.Name, Server));
  if (Index)
    return !this->IsLeaving[*Index] && !this->isLeavingByNotice(*Index, Now);
  // A peer may use other servers than this daemon.
  return std::any_of(this->Config.Servers.begin(), this->Config.Servers.end(),
                     [&Server](const ServerConfig &Each) {
                       return Each.Name == Server &&
                              Each.State == ServerState::Active;
                     });
}

ServiceRuntime::Policies
ServiceRuntime::makePolicy(const DaemonIdentity &Identity) const {
  if (Identity.Source == SettingsSource::Platform)
    return MarkovPolicy(this->makeSetup(Identity));
  return PooledPolicy(this->makeSetup(Identity));
}

/// A large response from another hall costs more than it is worth, so that
/// downloads need stronger evidence before they avoid the servers of their own
/// hall.
static FailureCost chooseCaution(const AttemptNeeds &Needs) {
  if (Needs.Class == RouteClass::Download)
    return Needs.IsLast ? FailureCost::High : FailureCost::Low;
  return Needs.IsLast ? FailureCost::High : FailureCost::Medium;
}

std::vector<ServerShare> ServiceRuntime::getShares(const AttemptNeeds &Needs,
                                                   TimePoint Now) const {
  const FailureCost Cost = chooseCaution(Needs);
  if (const auto *Markov = std::get_if<MarkovPolicy>(&this->Policy))
    return Markov->getSharesByUtility(
        this->computeUtilities(*Markov, Needs, Now), Cost, Now);
  const auto &Pooled = std::get<PooledPolicy>(this->Policy);
  std::vector<ServerShare> Shares;
  Shares.reserve(this->countServers());
  for (size_t I = 0; I < this->countServers(); ++I)
    Shares.push_back({Pooled.getShare(I), false});
  return Shares;
}

const ServerConfig &ServiceRuntime::getServer(size_t Index) const {
  return this->Config.Servers[this->Subset.Servers[Index]];
}

bool ServiceRuntime::matchesSubset(const DaemonIdentity &Identity) const {
  const ServerSubset Wanted = chooseSubset(
      this->Config, Identity.Name, Identity.Daemons, Identity.ExpectedDaemons);
  return Wanted.Servers == this->Subset.Servers &&
         Wanted.Connections == this->Subset.Connections;
}

std::vector<SelectableServer>
ServiceRuntime::makeSelectable(const DaemonIdentity &Identity,
                               const ServiceRuntime *Previous,
                               TimePoint Now) const {
  std::unordered_set<std::string_view> Known;
  if (Previous)
    for (const ServerConfig &Server : Previous->Config.Servers)
      Known.insert(Server.Name);
  std::vector<SelectableServer> Servers;
  for (size_t I = 0; I < this->Subset.Servers.size(); ++I) {
    const ServerConfig &Server = this->getServer(I);
    SelectableServer Entry;
    Entry.Slots = Server.Slots;
    Entry.ConcurrencyLimit =
        std::min(Server.Slots, this->Subset.Connections[I]);
    Entry.IsSameHall = Server.Hall == Identity.Hall;
    // Only a server that is added to a running service needs a cold start.
    const bool IsNew = Previous && Known.count(Server.Name) == 0;
    Entry.FirstSeen = IsNew ? Now : Now - fromMillis(this->Config.ColdStartMs);
    if (Server.WarmAt != TimePoint{})
      Entry.FirstSeen = Server.WarmAt - fromMillis(this->Config.ColdStartMs);
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
  Setup.Switches = Identity.Switches;
  if (!this->hasManyServers())
    for (const Mechanism Which :
         {Mechanism::EvidenceAtArrival, Mechanism::LearnedOutcomes})
      Setup.Switches.set(Which, false);
  for (size_t I = 0; I < this->Subset.Servers.size(); ++I)
    Setup.Servers.push_back({this->Ids[I], this->getServer(I).Slots});
  return Setup;
}

void ServiceRuntime::applyLeaving(size_t Server, TimePoint Now) {
  const bool IsLeaving =
      this->getServer(Server).State == ServerState::Draining ||
      this->LeavingByList[Server] || this->LeavingByNotice[Server] ||
      this->LeavingByHall[Server];
  if (this->IsLeaving[Server] && !IsLeaving)
    this->Selector.restartColdStart(Server, Now);
  this->IsLeaving[Server] = IsLeaving;
  std::visit(
      [&](auto &ActivePolicy) {
        ActivePolicy.setLeaving(Server, IsLeaving, Now);
      },
      this->Policy);
}

Refusal ServiceRuntime::admit(const std::string &Route, Duration Left,
                              TimePoint Now, Duration &Wait) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  Wait = BusyRetryAfter;
  this->updateHalls(Now);
  if (!canMeetDeadline(Left, this->Latency.getMedian(Route)))
    return Refusal::DeadlineTooShort;
  if (const std::optional<Duration> NoticeWait = this->computeNoticeWait(Now)) {
    Wait = std::clamp(*NoticeWait, MinNoticeWait, MaxNoticeWait);
    return Refusal::NoServer;
  }
  if (!this->InFlight.tryBegin())
    return Refusal::ServiceBusy;
  this->Retries.recordRequest(Now);
  if (this->FleetRetries)
    this->withFleetRetries(
        [Now](FleetRetryBudget &Budget) { Budget.recordRequest(Now); });
  return Refusal::None;
}

void ServiceRuntime::finish(AnswerKind Kind, Duration Latency, TimePoint Now) {
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->InFlight.end();
  }
  this->Metrics->add(Kind, Latency, fromMillis(this->Config.ObjectiveMs), Now);
}

SelectionRules ServiceRuntime::makeSelectionRules(RouteClass Class) const {
  SelectionRules Rules;
  if (std::holds_alternative<PooledPolicy>(this->Policy))
    return Rules;
  if (this->isOn(Mechanism::SameHallFirst))
    Rules.RemoteWeight = Class == RouteClass::Download ? RemoteWeightOfLarge
                                                       : RemoteWeightOfSmall;
  Rules.IsLoadInShares = true;
  return Rules;
}

int ServiceRuntime::selectByShares(Attempt &Next, const AttemptNeeds &Needs,
                                   TimePoint Now) {
  const std::vector<ServerShare> Granted = this->getShares(Needs, Now);
  std::vector<double> Shares;
  Shares.reserve(Granted.size());
  for (const ServerShare &Each : Granted)
    Shares.push_back(Each.Share);
  this->applyLoads(Shares, Now);
  Next.ExcludedServers = this->applyNotices(Shares, Now);
  const SelectionRules Rules = this->makeSelectionRules(Needs.Class);
  const int Server =
      this->Selector.pick(Shares, Needs.Tried, Now, this->Random, Rules);
  if (Server < 0)
    return Server;
  Next.Share = Granted[static_cast<size_t>(Server)].Share;
  Next.IsTest = Granted[static_cast<size_t>(Server)].IsTest;
  return Server;
}

bool ServiceRuntime::begin(Attempt &Next, const AttemptNeeds &Needs,
                           TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->updateHalls(Now);
  const int Server = this->select(Next, Needs, Now);
  if (Server < 0)
    return false;
  Next.Server = static_cast<size_t>(Server);
  Next.Route = Needs.Route;
  Next.Began = Now;
  Next.Deadline = Needs.Deadline;
  Next.IsCountedSlow = false;
  Next.WasTimedOut = false;
  Next.IsThroughPeer = Needs.IsThroughPeer;
  Next.IsDisregarded = false;
  if (!this->Notices->isEmpty())
    this->Notices->with([&](ServerNotices &All) {
      All.recordRequestSent(this->Ids[Next.Server], Now);
    });
  this->Selector.begin(Next.Server);
  this->beginInFlight(Next, Needs, Now);
  this->Attempts.push_back(Next);
  return true;
}

/// Classifies the end of an attempt as evidence of the server's health,
/// compared with the typical time of its route.
RequestOutcome ServiceRuntime::classifyEnd(const Attempt &Ended,
                                           RequestOutcome Outcome,
                                           Duration Took) const {
  const bool IsMarkov = std::holds_alternative<MarkovPolicy>(this->Policy);
  if (Ended.WasTimedOut && IsMarkov && !Ended.IsDisregarded)
    return RequestOutcome::Overdue;
  if (isFailure(Outcome))
    return this->Latency.classifyFailure(Ended.Route, Took);
  const bool IsLate = Took > this->Latency.getSlowThreshold(Ended.Route);
  return Outcome == RequestOutcome::Good && IsLate ? RequestOutcome::Slow
                                                   : Outcome;
}

void ServiceRuntime::end(Attempt &Ended, RequestOutcome Outcome,
                         TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Attempts.erase(this->Attempts.iterator_to(Ended));
  // A server that asks for a backoff gets no requests for that time. It is not
  // treated as unhealthy.
  if (Ended.HasBackoffRequest && Outcome == RequestOutcome::Shed)
    Outcome = RequestOutcome::Canceled;
  const bool IsFailed =
      isFailure(Outcome) || Ended.WasTimedOut || isServerMissing(Outcome);
  if (Ended.HadNoTunnel || (Ended.IsDisregarded && IsFailed))
    Outcome = RequestOutcome::Canceled;
  this->Selector.end(Ended.Server, Outcome, Now);
  const Duration Took = Now - Ended.Began;
  // The time spent in the queue says nothing about this kind of request.
  const Duration IdleServerTime =
      fromSeconds(toSeconds(Took) / Ended.QueueFactor);
  const RequestOutcome Evidence =
      this->classifyEnd(Ended, Outcome, IdleServerTime);
  const int LatencyRatioPercent = this->computeLatencyRatioPercent(Ended, Now);
  // A timed-out attempt would have taken even longer. If it were ignored, a
  // service that has become slow would seem as fast as before.
  const bool IsLonger = Ended.WasTimedOut && !Ended.IsDisregarded &&
                        IdleServerTime > Ended.TypicalTime;
  if (Outcome == RequestOutcome::Good || IsLonger)
    this->Latency.add(Ended.Route, IdleServerTime, Now);
  if (auto *Markov = std::get_if<MarkovPolicy>(&this->Policy)) {
    Markov->getInFlight().end(Ended.InFlightNumber);
    if (Ended.Load >= 0)
      Markov->getInFlight().recordReportedLoad(Ended.Server, Ended.Load, Now);
    Markov->recordOutcome(Ended.Server, Evidence, Now, Ended.Load,
                          LatencyRatioPercent, Took);
    return;
  }
  if (Ended.Load >= 0)
    this->Selector.recordReportedLoad(Ended.Server, Ended.Load, Now);
  // A slow request was already counted while it was in flight.
  if (Evidence == RequestOutcome::Slow && Ended.IsCountedSlow)
    return;
  std::get<PooledPolicy>(this->Policy)
      .recordOutcome(Ended.Server, Evidence, Now);
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

} // namespace canvaswick
