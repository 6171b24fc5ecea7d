//===- FleetRecordsTest.cpp - Tests of building a configuration -----------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Routes, splits and servers are combined by the names of services.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Directory/FleetRecords.h"

#include <doctest/doctest.h>

using namespace canvaswick;

static RoutingRules makeRules() {
  RoutingRules Rules;
  Rules.Version = 7;
  Rules.Services = {{"a", "/health", 330}, {"b", "/health", 200}};
  RouteRule Plain;
  Plain.Name = "plain";
  Plain.Host = "x.example";
  Plain.Prefix = "/p/";
  Plain.Class = RouteClass::Repeatable;
  Plain.Parts = {{"a", 1}};
  Plain.TimeoutMs = 2500;
  Plain.MaxAttempts = 2;
  RouteRule Split = Plain;
  Split.Name = "split";
  Split.Prefix = "/s/";
  Split.Parts = {{"a", 90}, {"b", 10}};
  RouteRule Broken = Plain;
  Broken.Name = "broken";
  Broken.Parts = {{"missing", 1}};
  Rules.Routes = {Plain, Split, Broken};
  return Rules;
}

static KnownServer makeServer(const std::string &Id, const std::string &Name) {
  KnownServer Known;
  Known.Record.Id = Id;
  Known.Record.Service = Name;
  Known.Record.Address = {"10.0.0.1", 80};
  Known.Record.Hall = "h";
  Known.Record.Slots = 3;
  return Known;
}

/// Returns what refers to the servers of a map.
static KnownServers
listServers(const std::map<std::string, KnownServer> &Servers) {
  KnownServers All;
  for (const auto &[Id, Known] : Servers)
    All.push_back(&Known);
  return All;
}

TEST_CASE("routes, splits and servers make up a fleet") {
  std::map<std::string, KnownServer> Servers;
  Servers["i-1"] = makeServer("i-1", "a");
  Servers["i-2"] = makeServer("i-2", "b");
  Servers["i-3"] = makeServer("i-3", "unknown");
  Servers["i-2"].Record.IsDraining = true;
  const FleetConfigRef Config =
      compileFleetConfig(makeRules(), listServers(Servers), {70});
  REQUIRE(Config->Services.size() == 2);
  CHECK(Config->Version == 7);
  CHECK(Config->Services[0].FloorPercent == 70);
  REQUIRE(Config->Services[0].Servers.size() == 1);
  CHECK(Config->Services[0].Servers[0].Instance == "i-1");
  CHECK(Config->Services[0].Servers[0].Connections == 330);
  REQUIRE(Config->Services[1].Servers.size() == 1);
  CHECK(Config->Services[1].Servers[0].State == ServerState::Draining);
  // A route to a service that does not exist is left out.
  REQUIRE(Config->Routes.size() == 2);
  CHECK(Config->Routes[0].Split.empty());
  CHECK(Config->Routes[0].TimeoutMs == 2500);
  REQUIRE(Config->Routes[1].Split.size() == 2);
  CHECK(Config->Routes[1].Split[1].Weight == 10);
}

TEST_CASE("services that did not change compare equal") {
  std::map<std::string, KnownServer> Servers;
  Servers["i-1"] = makeServer("i-1", "a");
  const FleetConfigRef One =
      compileFleetConfig(makeRules(), listServers(Servers), {70});
  const FleetConfigRef Two =
      compileFleetConfig(makeRules(), listServers(Servers), {70});
  CHECK(One->Services == Two->Services);
}
