//===- FleetLivenessTest.cpp - Tests of daemon liveness -------------------===//
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

/// Returns the liveness at a daemon with HallPeers peers in its hall and one
/// other hall of five daemons.
static FleetLiveness makeFleet(size_t HallPeers) {
  std::vector<std::string> Names;
  Names.reserve(HallPeers);
  for (size_t I = 0; I < HallPeers; ++I)
    Names.push_back(fmt::format("d{:02}", I));
  FleetLiveness Fleet;
  Fleet.setFleet(Names, {{"far", 5}}, Begin);
  return Fleet;
}

TEST_CASE("a fleet is this daemon, its hall peers and the other halls") {
  const FleetLiveness Fleet = makeFleet(10);
  CHECK(Fleet.countDaemons() == 16);
  CHECK(Fleet.countHallPeers() == 10);
}

TEST_CASE("no source is silent before it had time to report") {
  const FleetLiveness Fleet = makeFleet(10);
  CHECK(Fleet.countSilent(Begin + fromMillis(100)) == 0);
}

TEST_CASE("a source without messages is silent until its next message") {
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
  // A silent hall counts with all its daemons.
  for (int I = 0; I < 12; ++I) {
    Now += QuotaReportInterval;
    Fleet.recordPeerMessage("d00", Now);
    Fleet.recordPeerMessage("d01", Now);
  }
  CHECK(Fleet.countSilent(Now) == 5);
}

TEST_CASE("isolation from a large hall is detected within 0.3 s") {
  FleetLiveness Fleet = makeFleet(37);
  for (size_t I = 0; I < 37; ++I)
    Fleet.recordPeerMessage(fmt::format("d{:02}", I), Begin);
  Fleet.recordHallMessage("far", Begin);
  CHECK_FALSE(Fleet.isIsolated(Begin + fromMillis(200)));
  CHECK(Fleet.isIsolated(Begin + fromMillis(300)));
  CHECK(Fleet.countSilent(Begin + fromMillis(300)) == 42);
  // A single message from any peer shows that the isolation was temporary.
  Fleet.recordPeerMessage("d05", Begin + fromMillis(300));
  CHECK(Fleet.countSilent(Begin + fromMillis(310)) == 0);
}

TEST_CASE("a daemon without hall peers is never isolated") {
  const FleetLiveness Fleet = makeFleet(0);
  CHECK_FALSE(Fleet.isIsolated(Begin + fromSeconds(100)));
}

TEST_CASE("a daemon that is no longer listed is not counted") {
  FleetLiveness Fleet = makeFleet(2);
  Fleet.setFleet({"d00"}, {}, Begin);
  CHECK(Fleet.countDaemons() == 2);
  Fleet.recordPeerMessage("d00", Begin + fromSeconds(10));
  CHECK(Fleet.countSilent(Begin + fromSeconds(10)) == 0);
}

TEST_CASE("a source that has left is removed and its index reused") {
  FleetLiveness Fleet = makeFleet(2);
  const size_t Kept = Fleet.countTracked();
  for (int I = 0; I < 100; ++I) {
    const TimePoint Now = Begin + fromSeconds(10 * (I + 1));
    Fleet.setFleet({"d00", fmt::format("new-{}", I)}, {{"far", 5}}, Now);
    Fleet.recordPeerMessage("d00", Now);
    Fleet.forgetDeparted(Now);
  }
  CHECK(Fleet.countTracked() <= Kept + 1);
  // A source that is heard from before it is listed has just joined.
  const TimePoint Now = Begin + fromSeconds(5000);
  const size_t Early = Fleet.findOrAddSource("early", false, Now);
  Fleet.recordPeerMessage("early", Now);
  CHECK_FALSE(Fleet.hasLeft(Fleet.get(Early), Now + fromMillis(100)));
  CHECK(Fleet.hasLeft(Fleet.get(Early), Now + fromSeconds(10)));
}
