//===- HallDrainTest.cpp - Tests of drained halls -------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests that no way leads to the servers of a drained hall, also for requests
/// that began before, and that nothing old is believed of a returned one.
///
//===----------------------------------------------------------------------===//

#include "../Proxy/ServiceFixture.h"
#include "canvaswick/Operator/HallRoom.h"

#include <doctest/doctest.h>

using namespace canvaswick;

namespace {

/// A service with two servers in the daemon's own hall, a, and two in hall b.
struct HallFixture : ServiceFixture {
  HallFixture() {
    this->Identity.Halls.reset(new HallDrains);
    this->Config.Servers[2].Hall = "b";
    this->Config.Servers[3].Hall = "b";
    this->Service.reset();
    this->rebuild(FixtureStart);
  }

  void drain(const std::set<std::string> &Halls, TimePoint Now) {
    (void)this->Identity.Halls->update(Halls, Now);
  }

  /// Sends requests and returns how many reached servers of the daemon's hall.
  int countOwnHall(int Count, TimePoint Now) {
    std::map<std::string, int> Sent = this->send(Count, Now);
    return Sent["b0"] + Sent["b1"];
  }
};

} // namespace

static constexpr TimePoint Later = FixtureStart + fromSeconds(2);

TEST_CASE("servers of a drained hall get no requests, those of others do") {
  HallFixture Fixture;
  CHECK(Fixture.countOwnHall(200, FixtureStart) > 100);
  Fixture.drain({"a"}, Later);
  std::map<std::string, int> Sent = Fixture.send(200, Later);
  CHECK(Sent["b0"] + Sent["b1"] == 0);
  CHECK(Sent["b2"] + Sent["b3"] == 200);
}

TEST_CASE("a request of an earlier version obeys a later drain") {
  HallFixture Fixture;
  const ServiceRuntimeRef Earlier = Fixture.Service;
  Fixture.Config.Servers.push_back(ServiceFixture::makeServer("b9"));
  Fixture.rebuild(FixtureStart);
  Fixture.drain({"a"}, Later);
  for (int I = 0; I < 100; ++I) {
    Attempt Second;
    REQUIRE(Earlier->begin(Second, ServiceFixture::makeNeeds(Later), Later));
    CHECK(Earlier->getServer(Second.Server).Hall == "b");
    Earlier->end(Second, RequestOutcome::Good, Later);
  }
}

TEST_CASE("a new version of the settings keeps a hall drained") {
  HallFixture Fixture;
  Fixture.drain({"a"}, FixtureStart);
  Fixture.Config.Servers.push_back(ServiceFixture::makeServer("b9"));
  Fixture.rebuild(Later);
  CHECK(Fixture.send(200, Later)["b9"] == 0);
  CHECK(Fixture.countOwnHall(200, Later) == 0);
}

TEST_CASE("a server that joins a drained hall gets no trial") {
  HallFixture Fixture;
  (void)Fixture.send(50, FixtureStart);
  Fixture.drain({"b"}, Later);
  ServerConfig Joined = ServiceFixture::makeServer("joined");
  Joined.Hall = "b";
  Fixture.Config.Servers.push_back(Joined);
  Fixture.rebuild(Later);
  CHECK(Fixture.send(400, Later + fromSeconds(5))["joined"] == 0);
}

TEST_CASE("where all halls are drained, requests are refused at once") {
  HallFixture Fixture;
  Fixture.drain({"a", "b"}, Later);
  CHECK(Fixture.send(10, Later)[""] == 10);
  Duration RetryAfter{};
  CHECK(Fixture.Service->admit("r", fromSeconds(5), Later, RetryAfter) ==
        Refusal::NoServer);
  CHECK(RetryAfter > Duration::zero());
}

TEST_CASE("a returned hall is used again, and judged anew") {
  HallFixture Fixture;
  // Both servers of hall a fail, so that hall b gets the requests.
  for (int I = 0; I < 10; ++I) {
    Fixture.answerWithNotice("b0", {}, RequestOutcome::Failed, FixtureStart);
    Fixture.answerWithNotice("b1", {}, RequestOutcome::Failed, FixtureStart);
  }
  Fixture.drain({"a"}, FixtureStart);
  (void)Fixture.send(1, FixtureStart);
  Fixture.drain({}, FixtureStart + fromMillis(10));
  CHECK(Fixture.countOwnHall(200, FixtureStart + fromMillis(20)) > 50);
}

TEST_CASE("servers of a returned hall are cold for the time of a start") {
  HallFixture Fixture;
  Fixture.Config.WarmupPerSecond = 5;
  Fixture.Config.WarmupMs = 3000;
  FleetDaemons Fleet;
  Fleet.Self = "d";
  Fleet.All = {"d"};
  Fleet.Halls["a"] = Fleet.All;
  Fixture.Identity.Notices->with(
      [&](ServerNotices &All) { All.setFleet(Fleet, FixtureStart); });
  Fixture.rebuild(FixtureStart);
  Fixture.drain({"a"}, FixtureStart);
  (void)Fixture.send(1, FixtureStart);
  Fixture.drain({}, Later);
  // One second of requests: two servers of five requests per second each.
  CHECK(Fixture.countOwnHall(1000, Later) <= 2 * (5 + 1));
  CHECK(Fixture.countOwnHall(200, Later + fromSeconds(10)) > 100);
}

TEST_CASE("the floor does not count the servers of a drained hall") {
  HallFixture Fixture;
  Fixture.Config.FloorPercent = 50;
  Fixture.Config.Preference = EjectionPreference::Detection;
  Fixture.Identity.Source = SettingsSource::OperatorTree;
  Fixture.Service.reset();
  Fixture.rebuild(FixtureStart);
  Fixture.drain({"b"}, FixtureStart);
  // The floor keeps a server of hall a in use, however unhealthy both are.
  for (int I = 0; I < 20; ++I)
    CHECK(Fixture.send(20, FixtureStart + fromSeconds(0.1 * I),
                       RequestOutcome::Failed)[""] == 0);
}

TEST_CASE("changes of halls are reported once, with their length") {
  HallDrains Halls;
  CHECK(Halls.getVersion() == 0);
  CHECK(Halls.update({}, FixtureStart).empty());
  CHECK(Halls.update({"a"}, FixtureStart).size() == 1);
  CHECK(Halls.update({"a"}, Later).empty());
  const std::vector<HallChange> Changes = Halls.update({"b"}, Later);
  REQUIRE(Changes.size() == 2);
  CHECK(Changes[0].Step == HallStep::Drained);
  CHECK(Changes[1].Step == HallStep::Returned);
  CHECK(Changes[1].Lasted == fromSeconds(2));
  REQUIRE(Halls.list().size() == 1);
  CHECK(Halls.list()[0].Hall == "b");
  CHECK(Halls.list()[0].Since == Later);
}

static SettingsTree parseTree(const std::string &DrainedHalls) {
  const std::string Text = "[region r]\nslots = 3\n"
                           "drained-halls = " +
                           DrainedHalls +
                           "\n[service s]\nregion = r\n"
                           "[server s/1]\naddress = 10.0.0.1:80\nhall = a\n"
                           "[server s/2]\naddress = 10.0.0.2:80\nhall = b\n"
                           "[server s/3]\naddress = 10.0.0.3:80\nhall = c\n"
                           "state = draining\n";
  return SettingsTree::parse(Text, "tree").value();
}

TEST_CASE("drained halls of the settings tree reach the configuration") {
  CHECK(compileFleetConfig(parseTree("a  b"), 1)->DrainedHalls ==
        std::set<std::string>{"a", "b"});
  CHECK(compileFleetConfig(parseTree(""), 1)->DrainedHalls.empty());
}

TEST_CASE("the room without a hall leaves out what is out of use already") {
  std::vector<ServiceRoom> Room = computeHallRoom(parseTree(""), "a");
  REQUIRE(Room.size() == 1);
  CHECK(Room[0].Service == "s");
  CHECK(Room[0].Usable == 6);
  CHECK(Room[0].Remaining == 3);
  Room = computeHallRoom(parseTree("b"), "a");
  CHECK(Room[0].Usable == 3);
  CHECK(Room[0].Remaining == 0);
  CHECK(computeHallRoom(parseTree(""), "z").empty());
  CHECK(listHalls(parseTree("")) == std::set<std::string>{"a", "b", "c"});
  CHECK(listRegionsOfHall(parseTree(""), "a") == std::set<std::string>{"r"});
}
