//===- FleetLivenessTest.cpp - Tests of which daemons are heard -----------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//

#include "canvaswick/Admission/FleetLiveness.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace canvaswick;

static const TimePoint Begin = TimePoint{} + fromSeconds(1000);

/// A daemon among so many others of its hall and one other hall of five.
static FleetLiveness makeFleet(size_t Near) {
  std::vector<std::string> Names;
  Names.reserve(Near);
  for (size_t I = 0; I < Near; ++I)
    Names.push_back(fmt::format("d{:02}", I));
  FleetLiveness Fleet;
  Fleet.setFleet(Names, {{"far", 5}}, Begin);
  return Fleet;
}

TEST_CASE("a fleet is this daemon, its hall's and the other halls'") {
  const FleetLiveness Fleet = makeFleet(10);
  CHECK(Fleet.countDaemons() == 16);
  CHECK(Fleet.countHallPeers() == 10);
}

TEST_CASE("nobody is silent before there was time to speak") {
  const FleetLiveness Fleet = makeFleet(10);
  CHECK(Fleet.countSilent(Begin + fromMillis(100)) == 0);
}

TEST_CASE("who misses some messages is silent, and is heard again") {
  FleetLiveness Fleet = makeFleet(2);
  TimePoint Now = Begin;
  for (int I = 0; I < 12; ++I) {
    Now += QuotaReportInterval;
    Fleet.recordPeerMessage("d00", Now);
    Fleet.recordHallMessage("far", Now);
  }
  CHECK(Fleet.countSilent(Now) == 1);
  Fleet.recordPeerMessage("d01", Now);
  CHECK(Fleet.countSilent(Now) == 0);
  // A hall that is silent counts with all its daemons.
  for (int I = 0; I < 12; ++I) {
    Now += QuotaReportInterval;
    Fleet.recordPeerMessage("d00", Now);
    Fleet.recordPeerMessage("d01", Now);
  }
  CHECK(Fleet.countSilent(Now) == 5);
}

TEST_CASE("who hears nobody of a large hall is cut off within 0.3 s") {
  FleetLiveness Fleet = makeFleet(37);
  for (size_t I = 0; I < 37; ++I)
    Fleet.recordPeerMessage(fmt::format("d{:02}", I), Begin);
  Fleet.recordHallMessage("far", Begin);
  CHECK_FALSE(Fleet.isIsolated(Begin + fromMillis(200)));
  CHECK(Fleet.isIsolated(Begin + fromMillis(300)));
  CHECK(Fleet.countSilent(Begin + fromMillis(300)) == 42);
  // One message of any shows that it was for a moment only.
  Fleet.recordPeerMessage("d05", Begin + fromMillis(300));
  CHECK(Fleet.countSilent(Begin + fromMillis(310)) == 0);
}

TEST_CASE("a daemon that has no other of its hall is never cut off from them") {
  const FleetLiveness Fleet = makeFleet(0);
  CHECK_FALSE(Fleet.isIsolated(Begin + fromSeconds(100)));
}

TEST_CASE("who is not listed any more is not missed") {
  FleetLiveness Fleet = makeFleet(2);
  Fleet.setFleet({"d00"}, {}, Begin);
  CHECK(Fleet.countDaemons() == 2);
  Fleet.recordPeerMessage("d00", Begin + fromSeconds(10));
  CHECK(Fleet.countSilent(Begin + fromSeconds(10)) == 0);
}

TEST_CASE("who has left is gone, and its place is another's") {
  FleetLiveness Fleet = makeFleet(2);
  const size_t Kept = Fleet.countTracked();
  for (int I = 0; I < 100; ++I) {
    const TimePoint Now = Begin + fromSeconds(10 * (I + 1));
    Fleet.setFleet({"d00", fmt::format("new-{}", I)}, {{"far", 5}}, Now);
    Fleet.recordPeerMessage("d00", Now);
    Fleet.forgetDeparted(Now);
  }
  CHECK(Fleet.countTracked() <= Kept + 1);
  // One that is heard before it is listed has just come.
  const TimePoint Now = Begin + fromSeconds(5000);
  const size_t Early = Fleet.findOrAddSource("early", false, Now);
  Fleet.recordPeerMessage("early", Now);
  CHECK_FALSE(Fleet.hasLeft(Fleet.get(Early), Now + fromMillis(100)));
  CHECK(Fleet.hasLeft(Fleet.get(Early), Now + fromSeconds(10)));
}
