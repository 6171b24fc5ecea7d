//===- LeavingAgent.cpp - Tracks backend servers that leave ---------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Rendezvous hashing assigns the work: three daemons read the platform's list
/// for all, and two probe each server.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Daemon/LeavingAgent.h"
#include "canvaswick/Json/JsonText.h"
#include "canvaswick/Support/Hash.h"
#include "canvaswick/Support/Log.h"

#include <algorithm>

namespace canvaswick {

/// A server's own statement is valid for this time unless it is renewed.
static constexpr int64_t StatusExpiryMillis = 30000;

/// An unchanged statement is sent again after this time.
static constexpr int64_t StatusRenewMillis = 10000;

static constexpr size_t ListReaders = 3;
static constexpr size_t ProbersPerServer = 2;
/// A daemon with many servers to probe takes several rounds for them, so that
/// the cost of probing per round does not grow with the fleet.
static constexpr size_t ProbesPerRound = 8;
static constexpr size_t UpdateFanOut = 4;
static constexpr Duration ProbeTimeout = fromMillis(500);
static constexpr Duration UpdateTimeout = fromSeconds(1);

bool LeavingServerTable::mergeStatus(const std::string &Address,
                                     const LeavingStatus &Status) {
  LeavingStatus &Known = this->Statuses[Address];
  if (Status.AtMillis <= Known.AtMillis)
    return false;
  const bool HasChanged =
      Status.IsLeaving != Known.IsLeaving ||
      (Status.IsLeaving &&
       Status.AtMillis - Known.AtMillis >= StatusRenewMillis);
  if (HasChanged || !Status.IsLeaving)
    Known = Status;
  return HasChanged;
}

bool LeavingServerTable::mergeList(uint64_t Revision,
                                   std::set<std::string> Addresses) {
  if (Revision <= this->ListRevision)
    return false;
  this->ListRevision = Revision;
  this->List = std::move(Addresses);
  return true;
}

std::set<std::string> LeavingServerTable::getLeaving(int64_t NowMillis) const {
  std::set<std::string> Leaving = this->List;
  for (const auto &[Address, Status] : this->Statuses)
    if (Status.IsLeaving && NowMillis - Status.AtMillis < StatusExpiryMillis)
      Leaving.insert(Address);
  return Leaving;
}

LeavingAgent::LeavingAgent(const ControlContext &Context,
                           MembershipAgent &Members)
    : Context(Context), Members(Members), Probes(1) {}

void LeavingAgent::addMethods(JsonRpcDispatcher &Dispatcher) {
  Dispatcher.add("leaving.news", [this](const Json::Value &Params) {
    return this->handleUpdate(Params);
  });
}

/// Returns whether fewer than Count daemons rank before Self for a key.
static bool isAmongFirst(const std::string &Key, const std::string &Self,
                         const std::vector<std::string> &Working,
                         size_t Count) {
  const uint64_t KeyHash = hashText(Key);
  const uint64_t SelfHash = hashText(Self, KeyHash);
  const auto Before = std::count_if(
      Working.begin(), Working.end(), [&](const std::string &Other) {
        const uint64_t Hash = hashText(Other, KeyHash);
        return Hash > SelfHash || (Hash == SelfHash && Other < Self);
      });
  return static_cast<size_t>(Before) < Count;
}

void LeavingAgent::runRound() {
  const std::vector<std::string> Working = this->Members.getWorking();
  if (isAmongFirst("vm-list", this->Context.Config.Name, Working, ListReaders))
    this->readList();
  this->probeServers();
  this->apply();
}

void LeavingAgent::readList() {
  Result<VmList> List = this->Context.Platform.listVms();
  if (!List)
    return;
  std::set<std::string> Leaving;
  std::vector<Endpoint> Peers;
  for (const VmEntry &Entry : List.value().Entries) {
    if (Entry.IsLeaving)
      Leaving.insert(Entry.Address);
    Result<Endpoint> Address = parseEndpoint(Entry.Address);
    if (Entry.Tag == "canvaswick" && !Entry.IsLeaving && Address)
      Peers.push_back(Address.value());
  }
  this->Members.addSeeds(Peers);
  bool HasChanged = false;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    HasChanged =
        this->Table.mergeList(List.value().Revision, std::move(Leaving));
  }
  if (HasChanged)
    this->gossip(this->buildListUpdate(), "");
}

/// Lists the servers that this daemon probes. Ranking every server against
/// every daemon is expensive, so the list is rebuilt only when either has
/// changed.
void LeavingAgent::updateProbeTargets(const FleetRuntimeRef &Fleet) {
  const uint64_t Members = this->Members.getWorkingVersion();
  if (this->TargetsFleet == Fleet && this->TargetsVersion == Members)
    return;
  this->TargetsFleet = Fleet;
  this->TargetsVersion = Members;
  this->ProbeTargets.clear();
  this->NextTarget = 0;
  const std::vector<std::string> Working = this->Members.getWorking();
  for (const ServiceRuntimeRef &Service : Fleet->getServices())
    for (size_t I = 0; I < Service->countServers(); ++I) {
      const std::string Address = Service->getServer(I).Address.format();
      if (isAmongFirst(Address, this->Context.Config.Name, Working,
                       ProbersPerServer))
        this->ProbeTargets.push_back({Service, I});
    }
}

void LeavingAgent::probeServers() {
  const FleetRuntimeRef Fleet = this->Context.Fleet.get();
  if (!Fleet)
    return;
  this->updateProbeTargets(Fleet);
  const size_t Count = std::min(ProbesPerRound, this->ProbeTargets.size());
  for (size_t I = 0; I < Count; ++I) {
    const ProbeTarget &Target = this->ProbeTargets[this->NextTarget];
    this->probeServer(Target.Service, Target.Server);
    this->NextTarget = (this->NextTarget + 1) % this->ProbeTargets.size();
  }
}

/// Probes one server. A failed health check or a missing answer proves nothing
/// here: only a server's own statement that it is leaving counts.
void LeavingAgent::probeServer(const ServiceRuntimeRef &Service,
                               size_t Server) {
  const Endpoint Address = Service->getServer(Server).Address;
  OutgoingRequest Request;
  Request.Target = Service->getConfig().ProbePath;
  const ExchangeResult Answer = this->Probes.exchange(
      Address, Request, readSteadyClock() + ProbeTimeout, -1, nullptr);
  if (Answer.End != ExchangeEnd::Complete)
    return;
  Json::Value State;
  if (!parseJson(Answer.Body, State) || !State.isObject())
    return;
  if (State["load"].isNumeric())
    Service->recordLoadReport(Server, State["load"].asDouble(),
                              readSteadyClock());
  const LeavingStatus Status{State.get("state", "").asString() == "leaving",
                             readCalendarMillis()};
  bool HasChanged = false;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    HasChanged = this->Table.mergeStatus(Address.format(), Status);
  }
  if (!HasChanged)
    return;
  Json::Value Update;
  Update["address"] = Address.format();
  Update["leaving"] = Status.IsLeaving;
  Update["at"] = static_cast<Json::Int64>(Status.AtMillis);
  this->gossip(Update, "");
}

void LeavingAgent::apply() {
  const FleetRuntimeRef Fleet = this->Context.Fleet.get();
  if (!Fleet)
    return;
  std::set<std::string> Leaving;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    Leaving = this->Table.getLeaving(readCalendarMillis());
  }
  for (const ServiceRuntimeRef &Service : Fleet->getServices())
    Service->setLeavingAddresses(Leaving, readSteadyClock());
}

void LeavingAgent::gossip(const Json::Value &Update,
                          const std::string &Except) {
  for (const MemberRecord &Peer : this->Members.choose(UpdateFanOut, Except))
    this->Context.Calls.trySubmit([this, Peer, Update] {
      (void)this->Context.Caller.call(Peer.Control, "leaving.news", Update,
                                      UpdateTimeout);
    });
}

Json::Value LeavingAgent::buildListUpdate() {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  Json::Value Update;
  Update["revision"] = static_cast<Json::UInt64>(this->Table.getListRevision());
  Update["list"] = Json::arrayValue;
  for (const std::string &Address : this->Table.getList())
    Update["list"].append(Address);
  return Update;
}

Json::Value LeavingAgent::handleUpdate(const Json::Value &Params) {
  bool HasChanged = false;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    if (Params.isMember("list")) {
      std::set<std::string> Addresses;
      for (const Json::Value &Address : Params["list"])
        Addresses.insert(Address.asString());
      HasChanged = this->Table.mergeList(Params["revision"].asUInt64(),
                                         std::move(Addresses));
    } else {
      HasChanged = this->Table.mergeStatus(
          Params["address"].asString(),
          {Params["leaving"].asBool(), Params["at"].asInt64()});
    }
  }
  if (HasChanged) {
    this->apply();
    this->gossip(Params, "");
  }
  return Json::Value(Json::objectValue);
}

void LeavingAgent::writeVersions(Json::Value &Message) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  Message["vms"] = static_cast<Json::UInt64>(this->Table.getListRevision());
}

void LeavingAgent::readVersions(const MemberRecord &Peer,
                                const Json::Value &Message) {
  bool IsPeerBehind = false;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    IsPeerBehind =
        Message.get("vms", 0).asUInt64() < this->Table.getListRevision();
  }
  if (!IsPeerBehind)
    return;
  const Json::Value Update = this->buildListUpdate();
  this->Context.Calls.trySubmit([this, Peer, Update] {
    (void)this->Context.Caller.call(Peer.Control, "leaving.news", Update,
                                    UpdateTimeout);
  });
}

} // namespace canvaswick
