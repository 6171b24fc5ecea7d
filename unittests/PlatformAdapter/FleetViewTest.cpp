//===- FleetViewTest.cpp - Tests of the view of the store -----------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Configuration only moves forward; servers that leave are dropped at once,
/// and those that may only have lapsed are kept a little.
///
//===----------------------------------------------------------------------===//

#include "platform/FleetView.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace canvaswick;
using namespace canvaswick::platform;

static constexpr TimePoint Start{fromSeconds(100)};

static std::string makeRules(uint64_t Version) {
  return fmt::format(
      R"({{"version": {}, "limits": {{}}, "clusters": [{{"name": "s"}}],
      "listeners": [{{"host": "a", "rules": [{{"name": "r{}",
      "kind": "idempotent", "match": {{"pathPrefix": "/x/"}},
      "action": {{"service": "s", "attempts": 2}}}}]}}]}})",
      Version, Version);
}

static std::string makeServer(const std::string &State) {
  return fmt::format(
      R"({{"address": "10.0.0.9:80", "info": {{"service": "s", "version": "v",
      "zone": "h", "slots": 3}}, "status": {{"state": "{}"}}}})",
      State);
}

static size_t countServers(const FleetView &View) {
  return View.compile().Config->Services[0].Servers.size();
}

/// A view with one configuration and one server.
static void fill(FleetView &View) {
  View.replaceAll({{"op/config", makeRules(2), 5, false},
                   {"servers/i-1", makeServer("ready"), 6, false}},
                  10, Start);
}

TEST_CASE("nothing is in force before the first configuration") {
  FleetView View({70}, fromSeconds(2));
  View.replaceAll({{"servers/i-1", makeServer("ready"), 6, false}}, 10, Start);
  CHECK(View.compile().Config == nullptr);
}

TEST_CASE("a configuration never goes back") {
  FleetView View({70}, fromSeconds(2));
  fill(View);
  CHECK(View.compile().Config->Version == 2);
  View.applyEvents({{"op/config", makeRules(4), 12, false}}, 12, Start);
  CHECK(View.compile().Config->Version == 4);
  // An older version with a newer revision, a broken one, an old revision.
  View.applyEvents({{"op/config", makeRules(3), 13, false}}, 13, Start);
  CHECK(View.compile().Config->Version == 4);
  View.applyEvents({{"op/config", "{", 14, false}}, 14, Start);
  CHECK(View.compile().Config->Version == 4);
  View.applyEvents({{"op/config", makeRules(9), 11, false}}, 14, Start);
  CHECK(View.compile().Config->Version == 4);
}

TEST_CASE("a draining server is known as such, a gone one is dropped") {
  FleetView View({70}, fromSeconds(2));
  fill(View);
  View.applyEvents({{"servers/i-1", makeServer("draining"), 11, false}}, 11,
                   Start);
  CHECK(View.compile().Config->Services[0].Servers[0].State ==
        ServerState::Draining);
  View.applyEvents({{"servers/i-1", "", 12, true}}, 12, Start);
  CHECK(countServers(View) == 0);
}

TEST_CASE("entries that vanish together around trouble are kept a while") {
  FleetView View({70}, fromSeconds(2));
  fill(View);
  View.applyEvents({{"servers/i-2", makeServer("ready"), 11, false},
                    {"servers/i-3", makeServer("ready"), 12, false}},
                   12, Start);
  View.noteTrouble(Start);
  View.replaceAll({{"op/config", makeRules(2), 5, false}}, 20,
                  Start + fromSeconds(1));
  CHECK(countServers(View) == 3);
  SUBCASE("one comes back") {
    View.applyEvents({{"servers/i-1", makeServer("ready"), 22, false}}, 22,
                     Start + fromSeconds(2));
    CHECK(View.dropLapsed(Start + fromSeconds(9)));
    CHECK(countServers(View) == 1);
  }
  SUBCASE("none does") {
    CHECK_FALSE(View.dropLapsed(Start + fromSeconds(2.9)));
    CHECK(View.dropLapsed(Start + fromSeconds(3)));
    CHECK(countServers(View) == 0);
  }
}

TEST_CASE("a single entry that vanishes around trouble has left") {
  FleetView View({70}, fromSeconds(2));
  fill(View);
  View.applyEvents({{"servers/i-2", makeServer("ready"), 11, false}}, 12,
                   Start);
  View.noteTrouble(Start);
  View.applyEvents({{"servers/i-2", "", 13, true}}, 13, Start + fromSeconds(1));
  CHECK(countServers(View) == 1);
}

TEST_CASE("without trouble an entry that vanishes is gone at once") {
  FleetView View({70}, fromSeconds(2));
  fill(View);
  View.noteTrouble(Start - fromSeconds(60));
  View.applyEvents({{"servers/i-1", "", 12, true}}, 12, Start);
  CHECK(countServers(View) == 0);
}

TEST_CASE("a peer's copy is taken like the store's own answer") {
  FleetView Ahead({70}, fromSeconds(2));
  fill(Ahead);
  Ahead.applyEvents(
      {{"servers/i-1", "", 12, true}, {"op/config", makeRules(5), 13, false}},
      13, Start);
  FleetView Behind({70}, fromSeconds(2));
  fill(Behind);
  CHECK(Behind.applyChanges(Ahead.getChangesAfter(Behind.getAsOf()), Start));
  CHECK(Behind.getAsOf() == 13);
  CHECK(countServers(Behind) == 0);
  CHECK(Behind.compile().Config->Version == 5);
  FleetView Empty({70}, fromSeconds(2));
  CHECK(Empty.applyChanges(Ahead.getChangesAfter(0), Start));
  CHECK(Empty.compile().Config->Version == 5);
}
