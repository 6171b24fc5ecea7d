//===- OperatorApi.cpp - Operators' queries -------------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Reads the current state and encodes it as JSON. Changes nothing.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Daemon/OperatorApi.h"
#include "HealthEndpoints.h"
#include "canvaswick/Metrics/BurnReport.h"

#include <fmt/format.h>

#include <cmath>

namespace canvaswick {

OperatorApi::OperatorApi(const ControlContext &Context,
                         MembershipAgent &Members, ConfigAgent &Config,
                         const RequestQuarantine &Quarantine,
                         OrganisationQuotas &Organisations,
                         const ServerPaths &Paths)
    : Context(Context), Members(Members), Config(Config),
      Quarantine(Quarantine), Organisations(Organisations), Paths(Paths) {}

void OperatorApi::addMethods(JsonRpcDispatcher &Dispatcher) {
  Dispatcher.add("operator.status",
                 [this](const Json::Value &) { return this->handleStatus(); });
  Dispatcher.add("operator.explain", [this](const Json::Value &Params) {
    return this->handleExplain(Params);
  });
  Dispatcher.add("operator.burn",
                 [this](const Json::Value &) { return this->handleBurn(); });
  Dispatcher.add("operator.held", [this](const Json::Value &) {
    return this->handleQuarantined();
  });
  Dispatcher.add("operator.organisations", [this](const Json::Value &) {
    return this->handleOrganisations();
  });
}

static Json::Value describeServer(const ServerStatus &Status, TimePoint Now) {
  const ShareExplanation &Why = Status.Explanation;
  Json::Value Value;
  Value["name"] = Status.Name;
  Value["address"] = Status.Address.format();
  Value["in-flight"] = Status.InFlight;
  Value["share"] = Why.Share;
  Value["wanted-share"] = Why.WantedShare;
  Value["reason"] = getName(Why.Reason);
  Value["own-score"] = std::round(Why.LocalScore * 10) / 10;
  Value["pool-score"] = std::round(Why.PoolScore * 10) / 10;
  Value["pool-sources"] = Why.PoolSources;
  Value["good"] = Why.LocalCounts.Good;
  Value["slow"] = Why.LocalCounts.Slow;
  Value["failed"] = Why.LocalCounts.Failed;
  Value["since-s"] = Why.Since == TimePoint{}
                         ? -1.0
                         : std::round(toSeconds(Now - Why.Since) * 10) / 10;
  return Value;
}

Json::Value OperatorApi::handleStatus() const {
  const TimePoint Now = readSteadyClock();
  Json::Value Answer;
  Answer["name"] = this->Context.Config.Name;
  Answer["hall"] = this->Context.Config.Hall;
  Answer["version"] = static_cast<Json::UInt64>(this->Config.getVersion());
  Answer["confirmed-ms"] =
      static_cast<Json::Int64>(this->Config.getConfirmedAgeMillis());
  Answer["members"] = Json::arrayValue;
  for (const MemberRecord &Record : this->Members.getAll())
    Answer["members"].append(encodeMember(Record));
  Answer["services"] = Json::arrayValue;
  const FleetRuntimeRef Fleet = this->Context.Fleet.get();
  if (!Fleet)
    return Answer;
  for (const ServiceRuntimeRef &Service : Fleet->getServices()) {
    Json::Value Entry;
    Entry["name"] = Service->getConfig().Name;
    Entry["floor-percent"] = Service->getConfig().FloorPercent;
    Entry["out-of-reach"] = this->Paths.getState(Service->getId()).IsCutOff;
    Entry["servers"] = Json::arrayValue;
    for (const ServerStatus &Status : Service->describe(Now))
      Entry["servers"].append(describeServer(Status, Now));
    Answer["services"].append(Entry);
  }
  return Answer;
}

Json::Value OperatorApi::handleExplain(const Json::Value &Params) const {
  const FleetRuntimeRef Fleet = this->Context.Fleet.get();
  const std::string Service = Params["service"].asString();
  const std::string Server = Params["server"].asString();
  const ServiceRuntimeRef Found = Fleet ? Fleet->findService(Service) : nullptr;
  if (!Found)
    return makeCallError({ErrorKind::NotFound, "no service " + Service});
  for (const ServerStatus &Status : Found->describe(readSteadyClock())) {
    if (Status.Name != Server)
      continue;
    Json::Value Answer = describeServer(Status, readSteadyClock());
    Answer["daemon"] = this->Context.Config.Name;
    Answer["hall"] = this->Context.Config.Hall;
    Answer["floor-percent"] = Found->getConfig().FloorPercent;
    return Answer;
  }
  return makeCallError(
      {ErrorKind::NotFound, "this daemon does not use " + Server});
}

Json::Value OperatorApi::handleBurn() const {
  const TimePoint Now = readSteadyClock();
  Json::Value Answer;
  Answer["samples"] = Json::arrayValue;
  const FleetRuntimeRef Fleet = this->Context.Fleet.get();
  if (!Fleet)
    return Answer;
  for (const ServiceRuntimeRef &Service : Fleet->getServices()) {
    Json::Value Sample;
    Sample["service"] = Service->getConfig().Name;
    Sample["hall"] = this->Context.Config.Hall;
    Sample["objective"] =
        static_cast<Json::Int64>(Service->getConfig().ObjectivePercent);
    Sample["totals"] = Json::arrayValue;
    for (const int Minutes : BurnWindows) {
      const ServiceTotals Totals =
          Service->getMetrics().getTotals(Minutes, Now);
      Json::Value Pair(Json::arrayValue);
      Pair.append(static_cast<Json::UInt64>(Totals.All));
      Pair.append(static_cast<Json::UInt64>(Totals.Good));
      Sample["totals"].append(Pair);
    }
    Answer["samples"].append(Sample);
  }
  return Answer;
}

Json::Value OperatorApi::handleQuarantined() const {
  const TimePoint Now = readSteadyClock();
  Json::Value Answer;
  Answer["requests"] = Json::arrayValue;
  for (const PoisonRequestStatus &Status : this->Quarantine.describe()) {
    Json::Value Entry;
    Entry["asks"] = fmt::format("{:016x}", Status.Record.Request);
    Entry["held"] = Status.IsQuarantined;
    Entry["ends"] = static_cast<Json::UInt64>(Status.Record.Ends.size());
    Entry["tries"] = Status.Record.Probes;
    Entry["last-end-s"] = toSeconds(Now - Status.Record.Ends.back().Ended);
    Entry["next-try-s"] = std::max(0.0, toSeconds(Status.NextProbe - Now));
    Answer["requests"].append(Entry);
  }
  return Answer;
}

std::vector<QuotaStatus> OperatorApi::listOrganisations() const {
  const TimePoint Now = readSteadyClock();
  return this->Organisations.with([Now](FleetQuota &Quota) {
    return Quota.describe(MaxListedOrganisations, Now);
  });
}

Json::Value OperatorApi::handleOrganisations() const {
  Json::Value Answer;
  Answer["organisations"] = Json::arrayValue;
  for (const QuotaStatus &Status : this->listOrganisations()) {
    Json::Value Entry;
    Entry["name"] = Status.Name;
    Entry["limit-per-s"] = Status.RequestsPerSecond;
    Entry["asked-per-s"] = Status.LocalDemand;
    Entry["fleet-asked-per-s"] = Status.FleetDemand;
    Entry["tokens"] = Status.Tokens;
    Entry["admitted"] = static_cast<Json::Int64>(Status.Admitted);
    Entry["refused"] = static_cast<Json::UInt64>(Status.Refused);
    Entry["silent"] = static_cast<Json::UInt64>(Status.Silent);
    Answer["organisations"].append(Entry);
  }
  return Answer;
}

std::string OperatorApi::formatMetrics() const {
  std::string Text = this->Context.Counters.format();
  Text +=
      fmt::format("canvaswick_config_version {}\n", this->Config.getVersion());
  Text += fmt::format("canvaswick_config_confirmed_ms {}\n",
                      this->Config.getConfirmedAgeMillis());
  Text +=
      fmt::format("canvaswick_members {}\n", this->Members.getWorking().size());
  Text += formatPoisonRequests(this->Quarantine.describe());
  Text += formatOrganisations(this->listOrganisations());
  Text +=
      formatNotices(this->Context.Notices.with([](const ServerNotices &Known) {
        return Known.count(readSteadyClock());
      }));
  Text += fmt::format("canvaswick_services_out_of_reach {}\n",
                      this->Paths.countCutOff());
  const FleetRuntimeRef Fleet = this->Context.Fleet.get();
  if (!Fleet)
    return Text;
  for (const ServiceRuntimeRef &Service : Fleet->getServices()) {
    const LatencyHistogram &Histogram = Service->getMetrics().getHistogram();
    for (const double Part : {0.5, 0.99, 0.999})
      Text += fmt::format(
          "canvaswick_latency_ms{{service=\"{}\",quantile=\"{}\"}} {:.3f}\n",
          Service->getConfig().Name, Part, getQuantile(Histogram, Part));
    for (const ServerStatus &Status : Service->describe(readSteadyClock()))
      Text += fmt::format(
          "canvaswick_share{{service=\"{}\",server=\"{}\"}} {:.2f}\n",
          Service->getConfig().Name, Status.Name, Status.Explanation.Share);
  }
  return Text;
}

} // namespace canvaswick
