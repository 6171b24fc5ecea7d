//===- EvidenceAgent.cpp - Exchange of health evidence --------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Messages carry counts as short arrays. The answer to a report carries the
/// summary for its service, so that most summaries need no message of their
/// own.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Daemon/EvidenceAgent.h"
#include "canvaswick/Support/Hash.h"
#include "canvaswick/Support/Log.h"

#include <algorithm>
#include <cmath>

namespace canvaswick {

static constexpr Duration ReportTimeout = fromSeconds(1);

/// Summaries are sent to the daemons that reported within this time.
static constexpr Duration SubscriptionTimeout = fromSeconds(30);

Json::Value encodeReport(const EvidenceReport &Report) {
  Json::Value Value;
  Value["s"] = Report.Service;
  Value["f"] = Report.Source;
  Value["h"] = Report.Hall;
  Value["n"] = static_cast<Json::UInt64>(Report.Sequence);
  Value["g"] = Report.OtherGood;
  Value["u"] = Report.UsedServers;
  Value["e"] = Json::arrayValue;
  for (const ServerEvidence &Evidence : Report.Servers) {
    Json::Value Entry(Json::arrayValue);
    Entry.append(Evidence.Server);
    Entry.append(Evidence.Counts.Good);
    Entry.append(Evidence.Counts.Slow);
    Entry.append(Evidence.Counts.Failed);
    Value["e"].append(Entry);
  }
  return Value;
}

bool decodeReport(const Json::Value &Value, EvidenceReport &Report) {
  if (!Value.isObject() || !Value["s"].isString() || !Value["f"].isString() ||
      !Value["h"].isString() || !Value["n"].isUInt64() ||
      !Value["g"].isUInt() || !Value["u"].isUInt() || !Value["e"].isArray())
    return false;
  Report.Service = Value["s"].asString();
  Report.Source = Value["f"].asString();
  Report.Hall = Value["h"].asString();
  Report.Sequence = Value["n"].asUInt64();
  Report.OtherGood = Value["g"].asUInt();
  Report.UsedServers = Value["u"].asUInt();
  for (const Json::Value &Entry : Value["e"]) {
    if (!Entry.isArray() || Entry.size() != 4)
      return false;
    for (const Json::Value &Number : Entry)
      if (!Number.isUInt())
        return false;
    Report.Servers.push_back(
        {Entry[0].asUInt(),
         {Entry[1].asUInt(), Entry[2].asUInt(), Entry[3].asUInt()}});
  }
  return true;
}

Json::Value encodeSummary(const EvidenceSummary &Summary) {
  Json::Value Value;
  Value["s"] = Summary.Service;
  Value["o"] = Summary.Owner;
  Value["r"] = Summary.Rank;
  Value["n"] = static_cast<Json::UInt64>(Summary.Sequence);
  Value["e"] = Json::arrayValue;
  for (const ServerSummary &Server : Summary.Servers) {
    Json::Value Entry(Json::arrayValue);
    Entry.append(Server.Server);
    Entry.append(static_cast<int>(std::lround(Server.Share * 100)));
    Entry.append(static_cast<int>(std::lround(Server.Score * 10)));
    Entry.append(Server.Sources);
    Entry.append(Server.IsHallOnly ? 1 : 0);
    Value["e"].append(Entry);
  }
  return Value;
}

bool decodeSummary(const Json::Value &Value, EvidenceSummary &Summary) {
  if (!Value.isObject() || !Value["s"].isString() || !Value["o"].isString() ||
      !Value["r"].isUInt() || !Value["n"].isUInt64() || !Value["e"].isArray())
    return false;
  Summary.Rank = Value["r"].asUInt();
  Summary.Service = Value["s"].asString();
  Summary.Owner = Value["o"].asString();
  Summary.Sequence = Value["n"].asUInt64();
  for (const Json::Value &Entry : Value["e"]) {
    if (!Entry.isArray() || Entry.size() != 5)
      return false;
    for (const Json::Value &Number : Entry)
      if (!Number.isUInt())
        return false;
    ServerSummary Server;
    Server.Server = Entry[0].asUInt();
    Server.Share = std::min(1.0, Entry[1].asUInt() / 100.0);
    Server.Score = Entry[2].asUInt() / 10.0;
    Server.Sources = Entry[3].asUInt();
    Server.IsHallOnly = Entry[4].asUInt() != 0;
    Summary.Servers.push_back(Server);
  }
  return true;
}

EvidenceAgent::EvidenceAgent(const ControlContext &Context,
                             MembershipAgent &Members)
    : Context(Context), Members(Members) {}

void EvidenceAgent::addMethods(JsonRpcDispatcher &Dispatcher) {
  Dispatcher.add("evidence.report", [this](const Json::Value &Params) {
    return this->handleReport(Params);
  });
  Dispatcher.add("evidence.digest", [this](const Json::Value &Params) {
    return this->handleSummaries(Params);
  });
}

std::vector<std::string> EvidenceAgent::getOwners(const std::string &Service) {
  const std::vector<std::string> Working = this->Members.getWorking();
  const std::vector<size_t> Order =
      rankByRendezvous("pool/" + Service, Working);
  std::vector<std::string> Owners;
  for (size_t I = 0; I < std::min(PoolOwners, Order.size()); ++I)
    Owners.push_back(Working[Order[I]]);
  return Owners;
}

/// Returns this daemon's rank among the owners of a pool, or their number if it
/// is not an owner.
uint32_t EvidenceAgent::getRank(const std::string &Service) {
  const std::vector<std::string> Owners = this->getOwners(Service);
  const auto Found =
      std::find(Owners.begin(), Owners.end(), this->Context.Config.Name);
  return static_cast<uint32_t>(Found - Owners.begin());
}

void EvidenceAgent::runRound() {
  const TimePoint Now = readSteadyClock();
  this->sendReports(Now);
  this->advancePools(Now);
}

void EvidenceAgent::sendReports(TimePoint Now) {
  const FleetRuntimeRef Fleet = this->Context.Fleet.get();
  if (!Fleet)
    return;
  std::map<std::string, std::vector<EvidenceReport>> ByOwner;
  for (const ServiceRuntimeRef &Service : Fleet->getServices()) {
    Service->advance(Now);
    const std::optional<EvidenceReport> Report = Service->makeReport(Now);
    if (!Report)
      continue;
    for (const std::string &Owner : this->getOwners(Report->Service))
      ByOwner[Owner].push_back(*Report);
  }
  for (auto &[Owner, Reports] : ByOwner) {
    if (Owner == this->Context.Config.Name)
      this->applySummaries(this->mergeReports(Reports, Now), Now);
    else
      this->sendTo(Owner, std::move(Reports));
  }
}

void EvidenceAgent::sendTo(const std::string &Owner,
                           std::vector<EvidenceReport> Reports) {
  const std::optional<MemberRecord> Peer = this->Members.find(Owner);
  if (!Peer)
    return;
  this->Context.Calls.trySubmit(
      [this, Peer = *Peer, Reports = std::move(Reports)] {
        Json::Value Params;
        for (const EvidenceReport &Report : Reports)
          Params["reports"].append(encodeReport(Report));
        this->Context.Counters.add(Counter::ReportsSent, Reports.size());
        Result<Json::Value> Answer = this->Context.Caller.call(
            Peer.Control, "evidence.report", Params, ReportTimeout);
        if (Answer)
          this->handleSummaries(Answer.value());
      });
}

EvidencePool *EvidenceAgent::findPool(const std::string &Service) {
  const FleetRuntimeRef Fleet = this->Context.Fleet.get();
  const int Index = Fleet ? Fleet->getConfig().findService(Service) : -1;
  if (Index < 0)
    return nullptr;
  const ServiceConfig &Config =
      Fleet->getConfig().Services[static_cast<size_t>(Index)];
  std::vector<PooledServer> Servers;
  for (const ServerConfig &Server : Config.Servers)
    Servers.push_back({getServerId(Config.Name, Server.Name), Server.Slots});
  std::unique_ptr<EvidencePool> &Pool = this->Pools[Service];
  if (Pool && Pool->getServers() == Servers &&
      Pool->getFloorPercent() == Config.FloorPercent)
    return Pool.get();
  auto Next = std::make_unique<EvidencePool>(
      Service, this->Context.Config.Name, getTuning(Config.Preference),
      std::move(Servers), Config.FloorPercent, this->Context.StartMillis);
  if (Pool)
    Next->adopt(*Pool);
  Pool = std::move(Next);
  return Pool.get();
}

/// Merges a report, and logs if its source begins or ceases to be credible.
static void mergeAndLog(EvidencePool &Pool, const EvidenceReport &Report,
                        TimePoint Now) {
  const bool WasCredible = Pool.isCredible(Report.Source, Now);
  Pool.mergeReport(Report, Now);
  const bool IsCredible = Pool.isCredible(Report.Source, Now);
  if (IsCredible == WasCredible)
    return;
  size_t Failing = 0;
  for (const ServerEvidence &Each : Report.Servers)
    Failing += Each.Counts.countBad() > 0 ? 1 : 0;
  logInfo(IsCredible ? "source-believed" : "source-disbelieved",
          "service={} source={} hall={} servers={} failing-now={}",
          Report.Service, Report.Source, Report.Hall, Report.UsedServers,
          Failing);
}

EvidenceAgent::Summaries
EvidenceAgent::mergeReports(const std::vector<EvidenceReport> &Reports,
                            TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  Summaries Built;
  for (const EvidenceReport &Report : Reports) {
    EvidencePool *Pool = this->findPool(Report.Service);
    if (!Pool)
      continue;
    this->Context.Counters.add(Counter::ReportsMerged);
    mergeAndLog(*Pool, Report, Now);
    Pool->advance(Now);
    if (Pool->hasSuspects())
      Built.push_back(Pool->buildSummary(Report.Hall));
  }
  return Built;
}

void EvidenceAgent::applySummaries(const Summaries &Received, TimePoint Now) {
  const FleetRuntimeRef Fleet = this->Context.Fleet.get();
  if (!Fleet)
    return;
  for (const EvidenceSummary &Summary : Received)
    if (const ServiceRuntimeRef Service = Fleet->findService(Summary.Service)) {
      this->Context.Counters.add(Counter::SummariesApplied);
      Service->applySummary(Summary, Now);
    }
}

void EvidenceAgent::advancePools(TimePoint Now) {
  std::map<std::string, Summaries> BySubscriber;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    for (auto &[Name, Pool] : this->Pools) {
      Pool->setRank(this->getRank(Name));
      Pool->advance(Now);
      for (const std::string &Hall : Pool->getHalls()) {
        if (!Pool->hasUpdates(Hall))
          continue;
        const EvidenceSummary Summary = Pool->buildSummary(Hall);
        Pool->recordSent(Hall);
        for (const std::string &Subscriber :
             Pool->getSources(Hall, Now - SubscriptionTimeout))
          BySubscriber[Subscriber].push_back(Summary);
      }
    }
  }
  for (auto &[Subscriber, Built] : BySubscriber) {
    if (Subscriber == this->Context.Config.Name) {
      this->applySummaries(Built, Now);
      continue;
    }
    const std::optional<MemberRecord> Peer = this->Members.find(Subscriber);
    if (!Peer)
      continue;
    this->Context.Counters.add(Counter::SummariesSent, Built.size());
    this->Context.Calls.trySubmit([this, Peer = *Peer, Built = Built] {
      Json::Value Params;
      for (const EvidenceSummary &Summary : Built)
        Params["digests"].append(encodeSummary(Summary));
      (void)this->Context.Caller.call(Peer.Control, "evidence.digest", Params,
                                      ReportTimeout);
    });
  }
}

Json::Value EvidenceAgent::handleReport(const Json::Value &Params) {
  std::vector<EvidenceReport> Reports;
  for (const Json::Value &Value : Params["reports"]) {
    EvidenceReport Report;
    if (decodeReport(Value, Report))
      Reports.push_back(std::move(Report));
  }
  Json::Value Answer(Json::objectValue);
  for (const EvidenceSummary &Summary :
       this->mergeReports(Reports, readSteadyClock()))
    Answer["digests"].append(encodeSummary(Summary));
  return Answer;
}

Json::Value EvidenceAgent::handleSummaries(const Json::Value &Params) {
  Summaries Received;
  for (const Json::Value &Value : Params["digests"]) {
    EvidenceSummary Summary;
    if (decodeSummary(Value, Summary))
      Received.push_back(std::move(Summary));
  }
  this->applySummaries(Received, readSteadyClock());
  return Json::Value(Json::objectValue);
}

} // namespace canvaswick
