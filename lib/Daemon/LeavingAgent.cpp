//===- LeavingAgent.cpp - Which backend servers are leaving ---------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The board, and the duties by rendezvous ranking: three daemons read the list
/// for all, two probe each server.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Daemon/LeavingAgent.h"
#include "canvaswick/Json/JsonText.h"
#include "canvaswick/Support/Hash.h"
#include "canvaswick/Support/Log.h"

#include <algorithm>

namespace canvaswick {

/// A server's own word counts for this long without being renewed.
static constexpr int64_t SignLifeMillis = 30000;

/// It is told again this often while it stays the same.
static constexpr int64_t SignRenewMillis = 10000;

static constexpr size_t ListReaders = 3;
static constexpr size_t ProbersPerServer = 2;
/// A daemon with many servers to probe takes several rounds for them, so that
/// probing costs the same however large the fleet is.
static constexpr size_t ProbesPerRound = 8;
static constexpr size_t NewsFanOut = 4;
static constexpr Duration ProbeTimeout = fromMillis(500);
static constexpr Duration NewsTimeout = fromSeconds(1);

bool LeavingBoard::takeSign(const std::string &Address,
                            const LeavingSign &Sign) {
  LeavingSign &Known = this->Signs[Address];
  if (Sign.AtMillis <= Known.AtMillis)
    return false;
  const bool IsNews =
      Sign.IsLeaving != Known.IsLeaving ||
      (Sign.IsLeaving && Sign.AtMillis - Known.AtMillis >= SignRenewMillis);
  if (IsNews || !Sign.IsLeaving)
    Known = Sign;
  return IsNews;
}

bool LeavingBoard::takeList(uint64_t Revision,
                            std::set<std::string> Addresses) {
  if (Revision <= this->ListRevision)
    return false;
  this->ListRevision = Revision;
  this->List = std::move(Addresses);
  return true;
}

std::set<std::string> LeavingBoard::getLeaving(int64_t NowMillis) const {
  std::set<std::string> Leaving = this->List;
  for (const auto &[Address, Sign] : this->Signs)
    if (Sign.IsLeaving && NowMillis - Sign.AtMillis < SignLifeMillis)
      Leaving.insert(Address);
  return Leaving;
}

LeavingAgent::LeavingAgent(const ControlContext &Context,
                           MembershipAgent &Members)
    : Context(Context), Members(Members), Probes(1) {}

void LeavingAgent::addMethods(JsonRpcDispatcher &Dispatcher) {
  Dispatcher.add("leaving.news", [this](const Json::Value &Params) {
    return this->answerNews(Params);
  });
}

/// Returns whether fewer than Count daemons rank before Self for a key.
static bool isAmongFirst(const std::string &Key, const std::string &Self,
                         const std::vector<std::string> &Working,
                         size_t Count) {
  const uint64_t KeyHash = hashText(Key);
  const uint64_t Own = hashText(Self, KeyHash);
  const auto Before = std::count_if(
      Working.begin(), Working.end(), [&](const std::string &Other) {
        const uint64_t Hash = hashText(Other, KeyHash);
        return Hash > Own || (Hash == Own && Other < Self);
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
  bool IsNews = false;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    IsNews = this->Board.takeList(List.value().Revision, std::move(Leaving));
  }
  if (IsNews)
    this->spread(this->makeListNews(), "");
}

/// Lists the servers that this daemon probes. Ranking every server against
/// every daemon is dear, so it is done only when either has changed.
void LeavingAgent::updateDuties(const FleetRuntimeRef &Fleet) {
  const uint64_t Members = this->Members.getWorkingVersion();
  if (this->DutiesOf == Fleet && this->DutiesAt == Members)
    return;
  this->DutiesOf = Fleet;
  this->DutiesAt = Members;
  this->Duties.clear();
  this->NextDuty = 0;
  const std::vector<std::string> Working = this->Members.getWorking();
  for (const ServiceRuntimeRef &Service : Fleet->getServices())
    for (size_t I = 0; I < Service->countServers(); ++I) {
      const std::string Address = Service->getServer(I).Address.format();
      if (isAmongFirst(Address, this->Context.Config.Name, Working,
                       ProbersPerServer))
        this->Duties.push_back({Service, I});
    }
}

void LeavingAgent::probeServers() {
  const FleetRuntimeRef Fleet = this->Context.Fleet.get();
  if (!Fleet)
    return;
  this->updateDuties(Fleet);
  const size_t Count = std::min(ProbesPerRound, this->Duties.size());
  for (size_t I = 0; I < Count; ++I) {
    const ProbeDuty &Duty = this->Duties[this->NextDuty];
    this->probeServer(Duty.Service, Duty.Server);
    this->NextDuty = (this->NextDuty + 1) % this->Duties.size();
  }
}

/// Asks one server how it is. Health that is red, or not answered, proves
/// nothing here: only a server that says it is leaving is believed.
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
  const LeavingSign Sign{State.get("state", "").asString() == "leaving",
                         readCalendarMillis()};
  bool IsNews = false;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    IsNews = this->Board.takeSign(Address.format(), Sign);
  }
  if (!IsNews)
    return;
  Json::Value News;
  News["address"] = Address.format();
  News["leaving"] = Sign.IsLeaving;
  News["at"] = static_cast<Json::Int64>(Sign.AtMillis);
  this->spread(News, "");
}

void LeavingAgent::apply() {
  const FleetRuntimeRef Fleet = this->Context.Fleet.get();
  if (!Fleet)
    return;
  std::set<std::string> Leaving;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    Leaving = this->Board.getLeaving(readCalendarMillis());
  }
  for (const ServiceRuntimeRef &Service : Fleet->getServices())
    Service->setLeavingAddresses(Leaving, readSteadyClock());
}

void LeavingAgent::spread(const Json::Value &News, const std::string &Except) {
  for (const MemberRecord &Peer : this->Members.choose(NewsFanOut, Except))
    this->Context.Calls.trySubmit([this, Peer, News] {
      (void)this->Context.Caller.call(Peer.Control, "leaving.news", News,
                                      NewsTimeout);
    });
}

Json::Value LeavingAgent::makeListNews() {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  Json::Value News;
  News["revision"] = static_cast<Json::UInt64>(this->Board.getListRevision());
  News["list"] = Json::arrayValue;
  for (const std::string &Address : this->Board.getList())
    News["list"].append(Address);
  return News;
}

Json::Value LeavingAgent::answerNews(const Json::Value &Params) {
  bool IsNews = false;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    if (Params.isMember("list")) {
      std::set<std::string> Addresses;
      for (const Json::Value &Address : Params["list"])
        Addresses.insert(Address.asString());
      IsNews = this->Board.takeList(Params["revision"].asUInt64(),
                                    std::move(Addresses));
    } else {
      IsNews = this->Board.takeSign(
          Params["address"].asString(),
          {Params["leaving"].asBool(), Params["at"].asInt64()});
    }
  }
  if (IsNews) {
    this->apply();
    this->spread(Params, "");
  }
  return Json::Value(Json::objectValue);
}

void LeavingAgent::writeVersions(Json::Value &Message) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  Message["vms"] = static_cast<Json::UInt64>(this->Board.getListRevision());
}

void LeavingAgent::readVersions(const MemberRecord &Peer,
                                const Json::Value &Message) {
  bool IsPeerBehind = false;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    IsPeerBehind =
        Message.get("vms", 0).asUInt64() < this->Board.getListRevision();
  }
  if (!IsPeerBehind)
    return;
  const Json::Value News = this->makeListNews();
  this->Context.Calls.trySubmit([this, Peer, News] {
    (void)this->Context.Caller.call(Peer.Control, "leaving.news", News,
                                    NewsTimeout);
  });
}

} // namespace canvaswick
