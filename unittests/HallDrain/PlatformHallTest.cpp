//===- PlatformHallTest.cpp - Drained halls on the platform ---------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests how the operators' keys reach the configuration: only the removal of a
/// key returns a hall, not a store that is away or has lost it.
///
//===----------------------------------------------------------------------===//

#include "PlatformAdapter/PlatformFixture.h"
#include "PlatformAdapter/ViewChanges.h"
#include "platform/FleetView.h"

#include <doctest/doctest.h>

using namespace canvaswick;
using namespace canvaswick::platform;

static constexpr TimePoint Start{fromSeconds(100)};

static const char *const Rules = R"({"version": 2, "limits": {},
    "clusters": [{"name": "s", "warmupS": 3, "warmupPerS": 5.5}],
    "listeners": []})";

using Halls = std::set<std::string>;

namespace {

struct ViewFixture {
  ViewFixture() : View({70}, fromSeconds(2)) {
    replaceAll(this->View, {this->Config, this->Key}, {1, 10}, Start);
  }

  Halls getDrained() const { return this->View.compileConfig()->DrainedHalls; }

  const StoreItem Config{"op/config", Rules, {1, 5}, false};
  const StoreItem Key{"op/evacuate/h", "{}", {1, 9}, false};
  FleetView View;
};

} // namespace

TEST_CASE("a key drains a hall until it is removed") {
  ViewFixture Fixture;
  CHECK(Fixture.getDrained() == Halls{"h"});
  const uint64_t Before = Fixture.View.getChangeCounts().Config;
  applyEvents(Fixture.View, {{"op/evacuate/k", "{}", {1, 11}, false}}, {1, 11},
              Start);
  CHECK(Fixture.getDrained() == Halls{"h", "k"});
  CHECK(Fixture.View.getChangeCounts().Config > Before);
  applyEvents(Fixture.View, {{"op/evacuate/h", "", {1, 12}, true}}, {1, 12},
              Start);
  CHECK(Fixture.getDrained() == Halls{"k"});
}

TEST_CASE("a key that a complete read no longer lists was removed") {
  ViewFixture Fixture;
  Fixture.View.recordStoreFailure(Start);
  replaceAll(Fixture.View, {Fixture.Config}, {1, 20}, Start + fromSeconds(1));
  CHECK(Fixture.getDrained().empty());
}

TEST_CASE("a hall stays drained if the store was restored without its key") {
  ViewFixture Fixture;
  replaceAll(Fixture.View, {Fixture.Config}, {2, 8}, Start + fromSeconds(1));
  CHECK(Fixture.getDrained() == Halls{"h"});
  applyEvents(Fixture.View, {{"op/evacuate/k", "{}", {2, 11}, false}}, {2, 11},
              Start);
  CHECK(Fixture.getDrained() == Halls{"h", "k"});
  // Operators return it by writing the key again and removing it.
  applyEvents(Fixture.View, {{"op/evacuate/h", "{}", {2, 12}, false}}, {2, 12},
              Start);
  applyEvents(Fixture.View, {{"op/evacuate/h", "", {2, 13}, true}}, {2, 13},
              Start);
  CHECK(Fixture.getDrained() == Halls{"k"});
}

TEST_CASE("a hall stays drained if the store has lost its key in one epoch") {
  ViewFixture Fixture;
  Fixture.View.markStale(Start);
  replaceAll(Fixture.View, {Fixture.Config}, {1, 6}, Start + fromSeconds(1));
  CHECK(Fixture.getDrained() == Halls{"h"});
}

TEST_CASE("a peer's replica brings drained halls too") {
  ViewFixture Fixture;
  FleetView Newcomer({70}, fromSeconds(2));
  Newcomer.apply(Fixture.View.getChangesAfter({}), Start);
  CHECK(Newcomer.compileConfig()->DrainedHalls == Halls{"h"});
}

TEST_CASE("what cold servers bear is decoded with the service") {
  ViewFixture Fixture;
  const ServiceConfig Service = Fixture.View.compileConfig()->Services[0];
  CHECK(Service.WarmupPerSecond == doctest::Approx(5.5));
  CHECK(Service.WarmupMs == 3000);
}

TEST_CASE("a daemon that starts knows of a drained hall before it is ready") {
  PlatformFixture Fixture;
  Fixture.writeConfig(2);
  Fixture.Store.put("servers/i-1", Fixture.One.makeEntry("ready", 1, "h"));
  Fixture.Store.put("servers/i-2", Fixture.Two.makeEntry("ready", 1, "k"));
  Fixture.Store.put("op/evacuate/h", "{}");
  const DaemonConfig Config = Fixture.makeDaemonConfig("d1");
  PlatformDaemon Daemon(Config);
  REQUIRE(Daemon.start());
  Fixture.waitFor(
      [&] { return Fixture.get(Config.Ready, "/ready").Status == 200; });
  for (int I = 0; I < 20; ++I)
    CHECK(Fixture.sendRequestTo(Config.Callers, "GET", "/x/1").Status == 200);
  CHECK(Fixture.One.Arrivals == 0);
  CHECK(Fixture.Two.Arrivals == 20);
}
