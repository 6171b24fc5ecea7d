//===- RouteTableTest.cpp - Tests of routes, subsets and selection --------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests the longest prefix match, the bound on connections, and the selection
/// of servers.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Routing/RouteTable.h"
#include "canvaswick/Routing/ServerSelector.h"
#include "canvaswick/Routing/SubsetChooser.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <set>

using namespace canvaswick;

static RouteConfig makeRoute(const std::string &Name, const std::string &Host,
                             const std::string &Prefix) {
  RouteConfig Route;
  Route.Name = Name;
  Route.Host = Host;
  Route.Prefix = Prefix;
  return Route;
}

TEST_CASE("the longest prefix at a segment wins, and hosts take precedence") {
  const std::vector<RouteConfig> Routes = {
      makeRoute("root", "", "/"), makeRoute("frames", "", "/frames"),
      makeRoute("deep", "", "/frames/deep/"),
      makeRoute("host", "h.example", "/")};
  const RouteTable Table(Routes);
  const auto Find = [&](const char *Host, const char *Target) {
    const RouteConfig *Found = Table.find(Host, Target);
    return Found ? Found->Name : "none";
  };
  CHECK(Find("x", "/frames") == "frames");
  CHECK(Find("x", "/frames/1?q=/frames/deep") == "frames");
  CHECK(Find("x", "/frames/deep/er") == "deep");
  CHECK(Find("x", "/framesque") == "root");
  CHECK(Find("H.Example:8080", "/frames") == "host");
  CHECK(Find("x", "nonsense") == "none");
}

TEST_CASE("paths that a server could read as another one are ambiguous") {
  for (const char *Path : {"/a/../b", "/a/./b", "/a//b", "/a/%2e%2E/b", "/a/..",
                           "/a%2fb/../c", "/a\\b", "/a/%5c../b"})
    CHECK_MESSAGE(isAmbiguousPath(Path), Path);
  for (const char *Path : {"/", "/a", "/a/", "/a/b.c", "/a/..b", "/a/%20b"})
    CHECK_MESSAGE(!isAmbiguousPath(Path), Path);
}

static ServiceConfig makeService(int Servers, int Connections) {
  ServiceConfig Service;
  Service.Name = "s";
  for (int I = 0; I < Servers; ++I) {
    ServerConfig Server;
    Server.Name = fmt::format("s{}", I);
    Server.Connections = Connections;
    Service.Servers.push_back(Server);
  }
  return Service;
}

TEST_CASE("all daemons together stay within a server's connections") {
  CHECK(rc::check([] {
    const int Daemons = *rc::gen::inRange(1, 300);
    const int Connections = *rc::gen::inRange(10, 260);
    const ServiceConfig Service =
        makeService(*rc::gen::inRange(1, 12), Connections);
    std::vector<std::string> Names;
    Names.reserve(static_cast<size_t>(Daemons));
    for (int I = 0; I < Daemons; ++I)
      Names.push_back(fmt::format("d{}", I));
    std::vector<int> Used(Service.Servers.size(), 0);
    int Alone = 0;
    for (const std::string &Name : Names) {
      const ServerSubset Subset = chooseSubset(Service, Name, Names, Daemons);
      RC_ASSERT(!Subset.Servers.empty());
      // A daemon that is assigned no server uses one connection out of the
      // reserve.
      const bool IsAlone =
          Subset.Servers.size() == 1 && Subset.Connections[0] == 1;
      Alone += IsAlone ? 1 : 0;
      for (size_t I = 0; I < Subset.Servers.size(); ++I)
        Used[Subset.Servers[I]] += IsAlone ? 0 : Subset.Connections[I];
    }
    for (const int Each : Used)
      RC_ASSERT(Each <= Connections);
  }));
}

TEST_CASE("40 daemons share the connections of 16 servers evenly") {
  std::vector<std::string> Names;
  Names.reserve(40);
  for (int I = 0; I < 40; ++I)
    Names.push_back(fmt::format("d{}", I));
  const ServerSubset Subset =
      chooseSubset(makeService(16, 200), "d7", Names, 40);
  CHECK(Subset.Servers.size() == 16);
  CHECK(Subset.Connections[0] == 5);
}

static std::vector<SelectableServer> makeServers(size_t Count) {
  std::vector<SelectableServer> Servers(Count);
  for (SelectableServer &Server : Servers) {
    Server.Slots = 3;
    Server.ConcurrencyLimit = 3;
    Server.FirstSeen = TimePoint{} - fromSeconds(100);
  }
  return Servers;
}

TEST_CASE("a server without a share or a free slot is never selected") {
  ServerSelector Selector(makeServers(3), fromSeconds(10));
  RandomSource Random(1);
  for (int I = 0; I < 3; ++I)
    Selector.begin(1);
  for (int I = 0; I < 200; ++I)
    CHECK(Selector.pick({0, 1, 1}, {}, TimePoint{}, Random) == 2);
  CHECK(Selector.pick({0, 1, 1}, {2}, TimePoint{}, Random) == -1);
}

TEST_CASE("a server with a small share gets about that share") {
  ServerSelector Selector(makeServers(5), fromSeconds(10));
  RandomSource Random(1);
  int ProbePicks = 0;
  static constexpr int Picks = 20000;
  for (int I = 0; I < Picks; ++I)
    ProbePicks +=
        Selector.pick({0.04, 1, 1, 1, 1}, {}, TimePoint{}, Random) == 0;
  const double Fair = Picks / 5.0;
  CHECK(ProbePicks < 0.08 * Fair);
  CHECK(ProbePicks > 0.01 * Fair);
}

TEST_CASE("a server that sheds load gets less and recovers") {
  ServerSelector Selector(makeServers(2), Duration::zero());
  TimePoint Now{};
  for (int I = 0; I < 5; ++I) {
    Selector.begin(0);
    Selector.end(0, RequestOutcome::Shed, Now);
  }
  CHECK(Selector.getReadiness(0, Now) < 0.25);
  CHECK(Selector.getReadiness(0, Now + fromSeconds(20)) > 0.99);
}

TEST_CASE("a cold server gets its share gradually") {
  ServerSelector Selector(makeServers(2), fromSeconds(10));
  const TimePoint Now = TimePoint{} + fromSeconds(50);
  Selector.restartColdStart(0, Now);
  CHECK(Selector.getReadiness(0, Now) <= 0.1);
  CHECK(Selector.getReadiness(0, Now + fromSeconds(5)) == doctest::Approx(0.5));
  CHECK(Selector.getReadiness(0, Now + fromSeconds(10)) == 1);
}
