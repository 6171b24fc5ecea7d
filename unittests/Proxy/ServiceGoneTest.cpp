//===- ServiceGoneTest.cpp - Tests of services whose servers are gone -----===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests that a server whose address another process has taken over gets no
/// more requests, from any daemon, until the directory names another instance.
///
//===----------------------------------------------------------------------===//

#include "ServiceFixture.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace canvaswick;

/// Longer than a server that cannot be connected to is left alone.
static constexpr TimePoint Later = FixtureStart + fromMillis(1500);

/// Sends requests until one is answered by the process that has taken over the
/// address of Server. Returns the reports for peers.
static std::vector<GoneReport> findGone(ServiceFixture &Fixture,
                                        const std::string &Server) {
  for (int I = 0; I < 1000; ++I) {
    Attempt Current;
    REQUIRE(Fixture.Service->begin(
        Current, ServiceFixture::makeNeeds(FixtureStart), FixtureStart));
    const bool IsIt = Fixture.Service->getServer(Current.Server).Name == Server;
    if (IsIt)
      (void)Fixture.Service->recordGone(Current, FixtureStart);
    Fixture.Service->end(
        Current, IsIt ? RequestOutcome::Misdirected : RequestOutcome::Good,
        FixtureStart);
    if (IsIt)
      break;
  }
  return Fixture.Identity.Notices->with([](ServerNotices &All) {
    return All.drainGoneReports(10, FixtureStart);
  });
}

TEST_CASE("a server that is gone gets no more requests") {
  ServiceFixture Fixture;
  CHECK(findGone(Fixture, "b0").size() == 1);
  std::map<std::string, int> Sent = Fixture.send(400, Later);
  CHECK(Sent["b0"] == 0);
  CHECK(Sent[""] == 0);
}

TEST_CASE("a server that a peer found gone gets no requests") {
  ServiceFixture Finder;
  ServiceFixture Peer;
  for (const GoneReport &Each : findGone(Finder, "b0"))
    CHECK(Peer.Service->applyPeerGone(Each, FixtureStart).size() == 1);
  CHECK(Peer.send(400, FixtureStart)["b0"] == 0);
  CHECK(Peer.Service->applyPeerGone({12345, Duration::zero()}, Later).empty());
}

TEST_CASE("a server that was wrongly taken to be gone is used again") {
  ServiceFixture Fixture;
  findGone(Fixture, "b0");
  CHECK(Fixture.send(400, FixtureStart + fromSeconds(9))["b0"] > 20);
}

TEST_CASE("the next instance of a server that is gone is used at once") {
  ServiceFixture Fixture;
  findGone(Fixture, "b0");
  Fixture.Config.Servers[0] = ServiceFixture::makeServer("b0@1f");
  Fixture.rebuild(Later);
  CHECK(Fixture.send(400, Later)["b0@1f"] > 20);
}

/// Sends requests for two seconds. Those at the servers in Failing fail, and a
/// quarter of the others, so that the floor is in force. Returns how many each
/// server got in the second half.
static std::map<std::string, int>
sendWithFailures(ServiceFixture &Fixture,
                 const std::vector<std::string> &Failing) {
  std::map<std::string, int> Sent;
  for (int Millis = 0; Millis < 2000; Millis += 5) {
    const TimePoint Now = FixtureStart + fromMillis(Millis);
    Fixture.Service->advance(Now);
    Attempt Current;
    REQUIRE(
        Fixture.Service->begin(Current, ServiceFixture::makeNeeds(Now), Now));
    const std::string Name = Fixture.Service->getServer(Current.Server).Name;
    const bool IsFailing =
        Millis % 20 == 0 ||
        std::find(Failing.begin(), Failing.end(), Name) != Failing.end();
    Fixture.Service->end(
        Current, IsFailing ? RequestOutcome::Failed : RequestOutcome::Good,
        Now + fromMillis(2));
    Sent[Name] += Millis >= 1000 ? 1 : 0;
  }
  return Sent;
}

TEST_CASE("the floor is kept among the servers that are left") {
  ServiceFixture Fixture(10);
  for (const char *Name : {"b0", "b1", "b2", "b3", "b4", "b5"})
    (void)Fixture.Service->applyPeerGone({getServerId("s", Name), Duration{}},
                                         FixtureStart);
  // Three of the four that are left must be reached within the second.
  std::map<std::string, int> Sent = sendWithFailures(Fixture, {"b6", "b7"});
  CHECK(Sent["b0"] == 0);
  CHECK(Sent["b6"] + Sent["b7"] >= 1);
}

TEST_CASE("where all servers are gone, requests are refused at once") {
  ServiceFixture Fixture(2);
  findGone(Fixture, "b0");
  findGone(Fixture, "b1");
  CHECK(Fixture.send(10, Later)[""] == 10);
  Duration RetryAfter{};
  CHECK(Fixture.Service->admit("r", fromSeconds(5), Later, RetryAfter) ==
        Refusal::NoServer);
  CHECK(RetryAfter > Duration::zero());
  CHECK(RetryAfter <= fromSeconds(1));
}

TEST_CASE("servers that are gone get requests where the mechanism is off") {
  ServiceFixture Fixture;
  Fixture.Identity.Switches.set(Mechanism::GoneServers, false);
  Fixture.rebuild(FixtureStart);
  CHECK(findGone(Fixture, "b0").empty());
  CHECK(Fixture.send(400, Later)["b0"] > 0);
}
