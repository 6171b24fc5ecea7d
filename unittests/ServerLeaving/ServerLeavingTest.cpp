//===- ServerLeavingTest.cpp - Who says it leaves gets no more ------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A server whose answer says that it leaves gets nothing from the daemon that
/// heard it, whatever the list of servers says.
///
//===----------------------------------------------------------------------===//

#include "../Proxy/ProxyBench.h"
#include "../Proxy/ServiceBench.h"

#include <doctest/doctest.h>

using namespace canvaswick;

static ServerNotice sayLeaving() {
  ServerNotice Notice;
  Notice.IsLeaving = true;
  return Notice;
}

static constexpr TimePoint Later = BenchBegin + fromSeconds(2);

TEST_CASE("no request goes to a server after its answer said that it leaves") {
  ServiceBench Under;
  Under.say("b0", sayLeaving(), RequestOutcome::Good, BenchBegin);
  std::map<std::string, int> Sent = Under.send(400, Later);
  CHECK(Sent["b0"] == 0);
  CHECK(Sent[""] == 0);
}

TEST_CASE("a new version of the settings does not forget who leaves") {
  ServiceBench Under;
  Under.say("b0", sayLeaving(), RequestOutcome::Good, BenchBegin);
  Under.Config.Servers.push_back(ServiceBench::makeServer("b9"));
  Under.rebuild(Later);
  CHECK(Under.send(400, Later)["b0"] == 0);
}

TEST_CASE("what a request of an earlier version hears holds for the later") {
  ServiceBench Under;
  const ServiceRuntimeRef Earlier = Under.Service;
  Under.Config.Servers.push_back(ServiceBench::makeServer("b9"));
  Under.rebuild(BenchBegin);
  Attempt Try;
  REQUIRE(Earlier->begin(Try, ServiceBench::makeNeeds(BenchBegin), BenchBegin));
  const std::string Server = Earlier->getServer(Try.Server).Name;
  (void)Earlier->noteNotice(Try, sayLeaving(), BenchBegin);
  Earlier->end(Try, RequestOutcome::Good, BenchBegin);
  CHECK(Under.send(400, Later)[Server] == 0);
}

TEST_CASE("a server's next life is not the one that leaves") {
  ServiceBench Under;
  Under.say("b0", sayLeaving(), RequestOutcome::Good, BenchBegin);
  Under.Config.Servers[0] = ServiceBench::makeServer("b0@1f");
  Under.rebuild(Later);
  CHECK(Under.send(400, Later)["b0@1f"] > 20);
}

TEST_CASE("where all servers leave, callers are refused at once") {
  ServiceBench Under(2);
  (void)Under.send(100, BenchBegin, RequestOutcome::Good, sayLeaving());
  CHECK(Under.send(10, Later)[""] == 10);
  Duration Wait{};
  CHECK(Under.Service->admit("r", fromSeconds(5), Later, Wait) ==
        Refusal::NoServer);
  CHECK(Wait > Duration::zero());
}

TEST_CASE("the floor counts without a server that says it leaves") {
  ServiceBench Under;
  Under.Config.Servers.resize(2);
  Under.Config.FloorPercent = 50;
  Under.Config.Preference = Weighing::Detection;
  Under.Identity.Source = SettingsSource::Own;
  Under.Service.reset();
  Under.rebuild(BenchBegin);
  Under.say("b0", sayLeaving(), RequestOutcome::Good, BenchBegin);
  // The other one alone is all that the floor may keep, however sick.
  for (int I = 0; I < 20; ++I)
    CHECK(Under.send(20, BenchBegin + fromSeconds(0.1 * I),
                     RequestOutcome::Failed)[""] == 0);
}

TEST_CASE("a word that is five minutes old is asked for again") {
  ServiceBench Under;
  Under.say("b0", sayLeaving(), RequestOutcome::Good, BenchBegin);
  CHECK(Under.send(400, BenchBegin + fromSeconds(299))["b0"] == 0);
  CHECK(Under.send(400, BenchBegin + fromSeconds(301))["b0"] > 0);
}

TEST_CASE("over real connections a server that says it leaves is left") {
  ProxyBench Under;
  BackendFaults Leaving;
  Leaving.SaysLeaving = true;
  Under.Backends[0]->setFaults(Leaving);
  for (int I = 0; I < 40; ++I)
    CHECK(Under.send("GET", "/read/1").Status == 200);
  CHECK(Under.Backends[0]->countRuns() <= 1);
}
