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

#include "../Proxy/ProxyFixture.h"
#include "../Proxy/ServiceFixture.h"

#include <doctest/doctest.h>

using namespace canvaswick;

static ServerNotice sayLeaving() {
  ServerNotice Notice;
  Notice.IsLeaving = true;
  return Notice;
}

static constexpr TimePoint Later = FixtureStart + fromSeconds(2);

TEST_CASE("no request goes to a server after its answer said that it leaves") {
  ServiceFixture Under;
  Under.answerWithNotice("b0", sayLeaving(), RequestOutcome::Good,
                         FixtureStart);
  std::map<std::string, int> Sent = Under.send(400, Later);
  CHECK(Sent["b0"] == 0);
  CHECK(Sent[""] == 0);
}

TEST_CASE("a new version of the settings does not forget who leaves") {
  ServiceFixture Under;
  Under.answerWithNotice("b0", sayLeaving(), RequestOutcome::Good,
                         FixtureStart);
  Under.Config.Servers.push_back(ServiceFixture::makeServer("b9"));
  Under.rebuild(Later);
  CHECK(Under.send(400, Later)["b0"] == 0);
}

TEST_CASE("what a request of an earlier version hears holds for the later") {
  ServiceFixture Under;
  const ServiceRuntimeRef Earlier = Under.Service;
  Under.Config.Servers.push_back(ServiceFixture::makeServer("b9"));
  Under.rebuild(FixtureStart);
  Attempt Try;
  REQUIRE(Earlier->begin(Try, ServiceFixture::makeNeeds(FixtureStart),
                         FixtureStart));
  const std::string Server = Earlier->getServer(Try.Server).Name;
  (void)Earlier->handleNotice(Try, sayLeaving(), FixtureStart);
  Earlier->end(Try, RequestOutcome::Good, FixtureStart);
  CHECK(Under.send(400, Later)[Server] == 0);
}

TEST_CASE("a server's next life is not the one that leaves") {
  ServiceFixture Under;
  Under.answerWithNotice("b0", sayLeaving(), RequestOutcome::Good,
                         FixtureStart);
  Under.Config.Servers[0] = ServiceFixture::makeServer("b0@1f");
  Under.rebuild(Later);
  CHECK(Under.send(400, Later)["b0@1f"] > 20);
}

TEST_CASE("where all servers leave, callers are refused at once") {
  ServiceFixture Under(2);
  (void)Under.send(100, FixtureStart, RequestOutcome::Good, sayLeaving());
  CHECK(Under.send(10, Later)[""] == 10);
  Duration Wait{};
  CHECK(Under.Service->admit("r", fromSeconds(5), Later, Wait) ==
        Refusal::NoServer);
  CHECK(Wait > Duration::zero());
}

TEST_CASE("the floor counts without a server that says it leaves") {
  ServiceFixture Under;
  Under.Config.Servers.resize(2);
  Under.Config.FloorPercent = 50;
  Under.Config.Preference = EjectionPreference::Detection;
  Under.Identity.Source = SettingsSource::Own;
  Under.Service.reset();
  Under.rebuild(FixtureStart);
  Under.answerWithNotice("b0", sayLeaving(), RequestOutcome::Good,
                         FixtureStart);
  // The other one alone is all that the floor may keep, however sick.
  for (int I = 0; I < 20; ++I)
    CHECK(Under.send(20, FixtureStart + fromSeconds(0.1 * I),
                     RequestOutcome::Failed)[""] == 0);
}

TEST_CASE("a word that is five minutes old is asked for again") {
  ServiceFixture Under;
  Under.answerWithNotice("b0", sayLeaving(), RequestOutcome::Good,
                         FixtureStart);
  CHECK(Under.send(400, FixtureStart + fromSeconds(299))["b0"] == 0);
  CHECK(Under.send(400, FixtureStart + fromSeconds(301))["b0"] > 0);
}

TEST_CASE("over real connections a server that says it leaves is left") {
  ProxyFixture Under;
  BackendFaults Leaving;
  Leaving.SendsLeaving = true;
  Under.Backends[0]->setFaults(Leaving);
  for (int I = 0; I < 40; ++I)
    CHECK(Under.send("GET", "/read/1").Status == 200);
  CHECK(Under.Backends[0]->countRuns() <= 1);
}
