//===- ServerLeavingTest.cpp - Tests of servers that leave ----------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests that a server whose response says that it leaves gets no more requests
/// from the daemon that received it, whatever the directory lists.
///
//===----------------------------------------------------------------------===//

#include "../Proxy/ProxyFixture.h"
#include "../Proxy/ServiceFixture.h"

#include <doctest/doctest.h>

using namespace canvaswick;

static ServerNotice makeLeavingNotice() {
  ServerNotice Notice;
  Notice.IsLeaving = true;
  return Notice;
}

static constexpr TimePoint Later = FixtureStart + fromSeconds(2);

TEST_CASE("a server whose response says that it leaves gets no more requests") {
  ServiceFixture Fixture;
  Fixture.answerWithNotice("b0", makeLeavingNotice(), RequestOutcome::Good,
                           FixtureStart);
  std::map<std::string, int> Sent = Fixture.send(400, Later);
  CHECK(Sent["b0"] == 0);
  CHECK(Sent[""] == 0);
}

TEST_CASE("a new version of the settings keeps leaving servers out of use") {
  ServiceFixture Fixture;
  Fixture.answerWithNotice("b0", makeLeavingNotice(), RequestOutcome::Good,
                           FixtureStart);
  Fixture.Config.Servers.push_back(ServiceFixture::makeServer("b9"));
  Fixture.rebuild(Later);
  CHECK(Fixture.send(400, Later)["b0"] == 0);
}

TEST_CASE("a leaving notice to a request of an earlier version applies to "
          "later ones") {
  ServiceFixture Fixture;
  const ServiceRuntimeRef Earlier = Fixture.Service;
  Fixture.Config.Servers.push_back(ServiceFixture::makeServer("b9"));
  Fixture.rebuild(FixtureStart);
  Attempt Current;
  REQUIRE(Earlier->begin(Current, ServiceFixture::makeNeeds(FixtureStart),
                         FixtureStart));
  const std::string Server = Earlier->getServer(Current.Server).Name;
  (void)Earlier->handleNotice(Current, makeLeavingNotice(), FixtureStart);
  Earlier->end(Current, RequestOutcome::Good, FixtureStart);
  CHECK(Fixture.send(400, Later)[Server] == 0);
}

TEST_CASE("the next instance of a leaving server is used") {
  ServiceFixture Fixture;
  Fixture.answerWithNotice("b0", makeLeavingNotice(), RequestOutcome::Good,
                           FixtureStart);
  Fixture.Config.Servers[0] = ServiceFixture::makeServer("b0@1f");
  Fixture.rebuild(Later);
  CHECK(Fixture.send(400, Later)["b0@1f"] > 20);
}

TEST_CASE("where all servers leave, requests are refused at once") {
  ServiceFixture Fixture(2);
  (void)Fixture.send(100, FixtureStart, RequestOutcome::Good,
                     makeLeavingNotice());
  CHECK(Fixture.send(10, Later)[""] == 10);
  Duration RetryAfter{};
  CHECK(Fixture.Service->admit("r", fromSeconds(5), Later, RetryAfter) ==
        Refusal::NoServer);
  CHECK(RetryAfter > Duration::zero());
}

TEST_CASE("the floor does not count a server that leaves") {
  ServiceFixture Fixture;
  Fixture.Config.Servers.resize(2);
  Fixture.Config.FloorPercent = 50;
  Fixture.Config.Preference = EjectionPreference::Detection;
  Fixture.Identity.Source = SettingsSource::OperatorTree;
  Fixture.Service.reset();
  Fixture.rebuild(FixtureStart);
  Fixture.answerWithNotice("b0", makeLeavingNotice(), RequestOutcome::Good,
                           FixtureStart);
  // The floor keeps the other server in use, however unhealthy it is.
  for (int I = 0; I < 20; ++I)
    CHECK(Fixture.send(20, FixtureStart + fromSeconds(0.1 * I),
                       RequestOutcome::Failed)[""] == 0);
}

TEST_CASE("a leaving notice expires after five minutes") {
  ServiceFixture Fixture;
  Fixture.answerWithNotice("b0", makeLeavingNotice(), RequestOutcome::Good,
                           FixtureStart);
  CHECK(Fixture.send(400, FixtureStart + fromSeconds(299))["b0"] == 0);
  CHECK(Fixture.send(400, FixtureStart + fromSeconds(301))["b0"] > 0);
}

TEST_CASE("over real connections a server that leaves gets no more requests") {
  ProxyFixture Fixture;
  BackendFaults Leaving;
  Leaving.SendsLeaving = true;
  Fixture.Backends[0]->setFaults(Leaving);
  for (int I = 0; I < 40; ++I)
    CHECK(Fixture.send("GET", "/read/1").Status == 200);
  CHECK(Fixture.Backends[0]->countRuns() <= 1);
}
