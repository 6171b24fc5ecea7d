//===- FleetRecords.cpp - Building the configuration of a fleet -----------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The result depends only on the arguments, so that services that did not
/// change compare equal and keep their state.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Directory/FleetRecords.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace canvaswick {

/// Defaults where neither the operators nor the request specify a deadline or
/// objective.
static constexpr int64_t DefaultDeadlineMs = 10000;
static constexpr int64_t DefaultObjectiveMs = 1000;

/// Time without a byte after which the body of an answer counts as stalled.
static constexpr int64_t DefaultStallMs = 5000;

/// A server that has just started reaches its full share over this time, the
/// longest warm-up of today's services.
static constexpr int64_t DefaultColdStartMs = 3000;

/// Number of requests of one service that a daemon holds at once; its workers
/// are fewer.
static constexpr int64_t DefaultMaxInFlight = 512;

static ServiceConfig compileService(const ServiceRule &Rule,
                                    const ServiceDefaults &Defaults,
                                    const CallerLimits &Limits) {
  ServiceConfig Config;
  Config.Name = Rule.Name;
  Config.FloorPercent = Defaults.FloorPercent;
  Config.Preference = EjectionPreference::Detection;
  Config.DeadlineMs = DefaultDeadlineMs;
  Config.StallMs = DefaultStallMs;
  Config.ColdStartMs = DefaultColdStartMs;
  Config.WarmupPerSecond = Rule.WarmupPerSecond;
  Config.WarmupMs = Rule.WarmupMs;
  Config.MaxInFlight = DefaultMaxInFlight;
  Config.ObjectivePercent = 99;
  Config.ObjectiveMs = DefaultObjectiveMs;
  Config.MaxBodyBytes =
      Limits.MaxBodyBytes > 0 ? Limits.MaxBodyBytes : int64_t(1) << 30;
  Config.ProbePath = Rule.ProbePath;
  return Config;
}

std::string getInstanceName(const ServerRecord &Record) {
  if (Record.Born == 0)
    return Record.Id;
  return fmt::format("{}@{:x}", Record.Id, Record.Born);
}

static ServerConfig compileServer(const KnownServer &Known,
                                  const ServiceRule &Rule) {
  const ServerRecord &Record = Known.Record;
  ServerConfig Config;
  Config.Name = getInstanceName(Record);
  Config.Instance = Record.Id;
  Config.Address = Record.Address;
  Config.Hall = Record.Hall;
  Config.Slots = std::max(1, Record.Slots);
  Config.Connections =
      static_cast<int>(std::max<int64_t>(1, Rule.MaxConnections));
  Config.State =
      Record.IsDraining ? ServerState::Draining : ServerState::Active;
  Config.WarmAt = Known.LearnedAt + Record.WarmupLeft;
  return Config;
}

static bool compileRoute(const RouteRule &Rule,
                         const std::map<std::string, uint32_t> &ServiceIndex,
                         RouteConfig &Route) {
  Route.Name = Rule.Name;
  Route.Host = Rule.Host;
  Route.Prefix = Rule.Prefix;
  Route.Class = Rule.Class;
  Route.TimeoutMs = Rule.TimeoutMs;
  Route.ObjectiveMs = Rule.ObjectiveMs;
  Route.MaxAttempts = Rule.MaxAttempts;
  Route.Priority = Rule.Priority;
  Route.IsPublic = Rule.IsPublic;
  for (const RouteTarget &Part : Rule.Parts) {
    const auto Found = ServiceIndex.find(Part.Service);
    if (Found == ServiceIndex.end())
      return false;
    Route.Split.push_back({Found->second, Part.Weight});
  }
  if (Route.Split.empty())
    return false;
  Route.Service = Route.Split[0].Service;
  if (Route.Split.size() == 1)
    Route.Split.clear();
  return true;
}

FleetConfigRef compileFleetConfig(const RoutingRules &Rules,
                                  const KnownServers &Servers,
                                  const ServiceDefaults &Defaults,
                                  std::set<std::string> DrainedHalls,
                                  const StorePosition &AsOf) {
  boost::intrusive_ptr<FleetConfig> Config(new FleetConfig);
  Config->Version = Rules.Version;
  Config->DrainedHalls = std::move(DrainedHalls);
  if (!AsOf.isNone())
    Config->ListedAsOf = fmt::format("{}", AsOf);
  Config->Limits = Rules.Limits;
  Config->Organisations = Rules.Organisations;
  std::map<std::string, uint32_t> ServiceIndex;
  for (const ServiceRule &Rule : Rules.Services) {
    ServiceIndex[Rule.Name] = static_cast<uint32_t>(Config->Services.size());
    Config->Services.push_back(compileService(Rule, Defaults, Rules.Limits));
  }
  for (const KnownServer *Known : Servers) {
    const auto Found = ServiceIndex.find(Known->Record.Service);
    if (Found != ServiceIndex.end())
      Config->Services[Found->second].Servers.push_back(
          compileServer(*Known, Rules.Services[Found->second]));
  }
  for (const RouteRule &Rule : Rules.Routes) {
    RouteConfig Route;
    if (compileRoute(Rule, ServiceIndex, Route))
      Config->Routes.push_back(std::move(Route));
  }
  return Config;
}

} // namespace canvaswick
