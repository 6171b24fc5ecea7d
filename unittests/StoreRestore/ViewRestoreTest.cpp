//===- ViewRestoreTest.cpp - Tests of FleetView after a restore -----------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//

#include "PlatformAdapter/ViewChanges.h"
#include "canvaswick/Daemon/DirectoryCalls.h"
#include "platform/FleetView.h"
#include "platform/RecordDecoder.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace canvaswick;
using namespace canvaswick::platform;

static const TimePoint Start{fromSeconds(1000)};

static std::string makeServer(int Sequence, const std::string &State) {
  return fmt::format(
      R"({{"address": "10.0.0.9:80", "info": {{"service": "s", "version": "v1",
      "zone": "h", "slots": 3}}, "status": {{"state": "{}", "seq": {},
      "warmupLeftS": 0}}}})",
      State, Sequence);
}

static std::string makeSettings(int Version) {
  return fmt::format(R"({{"version": {}, "limits": {{}}, "clusters":
      [{{"name": "s", "healthPath": "/healthz", "maxConns": 300}}],
      "listeners": []}})",
                     Version);
}

static StoreItem makeItem(const std::string &Key, const std::string &Value,
                          StorePosition At) {
  return {Key, Value, At, false};
}

static StoreItem makeDaemonItem(const std::string &Name, StorePosition At) {
  return makeItem("canvaswick/daemons/" + Name,
                  encodeDaemon({Name, "h", {"10.0.0.1", 80}, {"10.0.0.1", 81}}),
                  At);
}

namespace {

/// A view with settings, a server and a daemon, at epoch 1, revision 50.
struct RestoreFixture {
  RestoreFixture() {
    replaceAll(this->View,
               {makeItem("op/config", makeSettings(5), {1, 48}),
                makeItem("servers/i-1", makeServer(7, "ready"), {1, 20}),
                makeDaemonItem("d1", {1, 49})},
               {1, 50}, Start);
  }

  /// Replaces the view's items by those of a restored store.
  void restore(std::vector<StoreItem> Items, StorePosition AsOf) {
    CHECK(replaceAll(this->View, Items, AsOf, this->Now));
  }

  /// Returns the server's state in the compiled configuration, or nothing if it
  /// has none.
  std::optional<ServerState> findState() {
    const FleetConfigRef Config = this->View.compileConfig();
    REQUIRE(Config);
    for (const ServerConfig &Server : Config->Services[0].Servers)
      if (Server.Instance == "i-1")
        return Server.State;
    return std::nullopt;
  }

  TimePoint Now = Start + fromSeconds(5);
  FleetView View{{70}, fromSeconds(2)};
};

} // namespace

TEST_CASE("settings in force stay although the store holds older ones") {
  RestoreFixture Fixture;
  Fixture.restore({makeItem("op/config", makeSettings(3), {2, 10})}, {2, 20});
  CHECK(Fixture.View.compileConfig()->Version == 5);
  applyEvents(Fixture.View, {makeItem("op/config", makeSettings(5), {2, 21})},
              {2, 21}, Fixture.Now);
  CHECK(Fixture.View.compileConfig()->Version == 5);
  applyEvents(Fixture.View, {makeItem("op/config", makeSettings(6), {2, 22})},
              {2, 22}, Fixture.Now);
  CHECK(Fixture.View.compileConfig()->Version == 6);
}

TEST_CASE(
    "a draining server stays draining although a backup lists it as ready") {
  RestoreFixture Fixture;
  applyEvents(Fixture.View,
              {makeItem("servers/i-1", makeServer(8, "draining"), {1, 51})},
              {1, 51}, Start);
  Fixture.restore({makeItem("servers/i-1", makeServer(7, "ready"), {2, 20})},
                  {2, 30});
  CHECK(Fixture.findState() == ServerState::Draining);
  SUBCASE("as long as the entry does not change") {
    Fixture.View.resolveMissing(Fixture.Now + fromSeconds(60));
    CHECK(Fixture.findState() == ServerState::Draining);
  }
  SUBCASE("until the server writes a later entry") {
    applyEvents(Fixture.View,
                {makeItem("servers/i-1", makeServer(9, "ready"), {2, 31})},
                {2, 31}, Fixture.Now);
    CHECK(Fixture.findState() == ServerState::Active);
  }
}

TEST_CASE("a draining server stays draining where no epoch shows the restore") {
  RestoreFixture Fixture;
  applyEvents(Fixture.View,
              {makeItem("servers/i-1", makeServer(8, "draining"), {1, 51})},
              {1, 51}, Start);
  Fixture.View.markStale(Fixture.Now);
  Fixture.restore({makeItem("servers/i-1", makeServer(7, "ready"), {1, 20})},
                  {1, 30});
  CHECK(Fixture.findState() == ServerState::Draining);
  applyEvents(Fixture.View,
              {makeItem("servers/i-1", makeServer(9, "ready"), {1, 31})},
              {1, 31}, Fixture.Now);
  CHECK(Fixture.findState() == ServerState::Active);
}

TEST_CASE("a removed server is not used although a backup lists it") {
  RestoreFixture Fixture;
  applyEvents(Fixture.View, {{"servers/i-1", "", {1, 51}, true}}, {1, 51},
              Start);
  REQUIRE_FALSE(Fixture.findState());
  Fixture.restore({makeItem("servers/i-1", makeServer(7, "ready"), {2, 20})},
                  {2, 30});
  CHECK_FALSE(Fixture.findState());
  SUBCASE("it runs and writes its entry again") {
    applyEvents(Fixture.View,
                {makeItem("servers/i-1", makeServer(9, "ready"), {2, 31})},
                {2, 31}, Fixture.Now);
    CHECK(Fixture.findState() == ServerState::Active);
  }
  SUBCASE("its entry outlasts that of a silent server") {
    CHECK_FALSE(Fixture.View.resolveMissing(Fixture.Now + fromSeconds(9.9)));
    CHECK(Fixture.View.resolveMissing(Fixture.Now + fromSeconds(10)));
    CHECK(Fixture.findState() == ServerState::Active);
  }
  SUBCASE("its entry is removed") {
    applyEvents(Fixture.View, {{"servers/i-1", "", {2, 31}, true}}, {2, 31},
                Fixture.Now);
    Fixture.View.resolveMissing(Fixture.Now + fromSeconds(20));
    CHECK_FALSE(Fixture.findState());
  }
}

TEST_CASE("a server that drained and was removed is not used however long a "
          "backup lists it") {
  RestoreFixture Fixture;
  applyEvents(Fixture.View,
              {makeItem("servers/i-1", makeServer(8, "draining"), {1, 51})},
              {1, 51}, Start);
  applyEvents(Fixture.View, {{"servers/i-1", "", {1, 52}, true}}, {1, 52},
              Start);
  Fixture.restore({makeItem("servers/i-1", makeServer(7, "ready"), {2, 20})},
                  {2, 30});
  for (const double Seconds : {1.0, 10.0, 20.0, 300.0}) {
    Fixture.View.resolveMissing(Fixture.Now + fromSeconds(Seconds));
    CHECK_FALSE(Fixture.findState());
  }
}

TEST_CASE(
    "a server that the backup lacks is kept until it has had time to write") {
  RestoreFixture Fixture;
  Fixture.restore({makeItem("op/config", makeSettings(5), {2, 10})}, {2, 20});
  CHECK(Fixture.findState() == ServerState::Active);
  SUBCASE("it is removed if it has not written") {
    CHECK_FALSE(Fixture.View.resolveMissing(Fixture.Now + fromSeconds(1.9)));
    CHECK(Fixture.View.resolveMissing(Fixture.Now + fromSeconds(2)));
    CHECK_FALSE(Fixture.findState());
  }
  SUBCASE("it stays if it has written") {
    applyEvents(Fixture.View,
                {makeItem("servers/i-1", makeServer(9, "ready"), {2, 21})},
                {2, 21}, Fixture.Now);
    Fixture.View.resolveMissing(Fixture.Now + fromSeconds(20));
    CHECK(Fixture.findState() == ServerState::Active);
  }
  SUBCASE("a server that is removed after the restore is not kept") {
    applyEvents(Fixture.View,
                {makeItem("servers/i-1", makeServer(9, "ready"), {2, 21})},
                {2, 21}, Fixture.Now);
    applyEvents(Fixture.View, {{"servers/i-1", "", {2, 22}, true}}, {2, 22},
                Fixture.Now + fromSeconds(7));
    CHECK_FALSE(Fixture.findState());
  }
}

TEST_CASE("daemons that the backup lacks are counted for ten seconds") {
  RestoreFixture Fixture;
  Fixture.restore({makeItem("op/config", makeSettings(5), {2, 10})}, {2, 20});
  CHECK(Fixture.View.listDaemons().size() == 1);
  SUBCASE("a daemon that does not write again is then removed") {
    CHECK_FALSE(Fixture.View.resolveMissing(Fixture.Now + fromSeconds(1)));
    Fixture.View.resolveMissing(Fixture.Now + fromSeconds(10));
    CHECK(Fixture.View.listDaemons().empty());
  }
  SUBCASE("a daemon that writes again stays") {
    applyEvents(Fixture.View, {makeDaemonItem("d1", {2, 21})}, {2, 21},
                Fixture.Now);
    Fixture.View.resolveMissing(Fixture.Now + fromSeconds(10));
    CHECK(Fixture.View.listDaemons().size() == 1);
  }
}

TEST_CASE(
    "no daemon's part grows while a large fleet writes its entries again") {
  for (const size_t Count : {36, 113, 443}) {
    CAPTURE(Count);
    FleetView View({70}, fromSeconds(2));
    const auto MakeName = [](size_t I) { return fmt::format("d{}", I); };
    std::vector<StoreItem> All;
    for (size_t I = 0; I < Count; ++I)
      All.push_back(makeDaemonItem(MakeName(I), {1, 10 + I}));
    replaceAll(View, All, {1, 1000}, Start);
    // The backup lists the first third of the daemons.
    const size_t ListedCount = Count / 3;
    for (size_t I = 0; I < ListedCount; ++I)
      All[I].At = {2, 10 + I};
    All.resize(ListedCount);
    replaceAll(View, All, {2, 500}, Start);
    CHECK(View.listDaemons().size() == Count);
    // Three daemons have died; the others write again within Count / 100
    // seconds.
    const size_t DeadCount = 3;
    const double Spread = static_cast<double>(Count) / 100;
    const size_t MissingCount = Count - ListedCount - DeadCount;
    for (size_t I = 0; I < MissingCount; ++I) {
      const TimePoint Now =
          Start + fromSeconds(Spread * static_cast<double>(I) /
                              static_cast<double>(MissingCount));
      View.resolveMissing(Now);
      const StorePosition At(2, 501 + I);
      applyEvents(View, {makeDaemonItem(MakeName(ListedCount + I), At)}, At,
                  Now);
      REQUIRE(View.listDaemons().size() == Count);
    }
    View.resolveMissing(Start + fromSeconds(10));
    CHECK(View.listDaemons().size() == Count - DeadCount);
  }
}

TEST_CASE("a peer of an earlier epoch is never ahead and changes nothing") {
  RestoreFixture Fixture;
  FleetView EarlierPeer({70}, fromSeconds(2));
  replaceAll(EarlierPeer,
             {makeItem("op/config", makeSettings(5), {1, 48}),
              makeItem("servers/i-9", makeServer(1, "ready"), {1, 90})},
             {1, 900}, Start);
  Fixture.restore({makeItem("op/config", makeSettings(5), {2, 10})}, {2, 20});
  CHECK(Fixture.View.getAsOf() > EarlierPeer.getAsOf());
  const ItemChanges Sent = EarlierPeer.getChangesAfter(Fixture.View.getAsOf());
  CHECK_FALSE(Fixture.View.apply(Sent, Fixture.Now).IsChanged);
  CHECK(Fixture.View.getAsOf() == StorePosition(2, 20));
}

TEST_CASE("a peer of a later epoch sends all items, over the wire too") {
  RestoreFixture Fixture;
  FleetView LaterPeer({70}, fromSeconds(2));
  replaceAll(LaterPeer,
             {makeItem("op/config", makeSettings(6), {2, 10}),
              makeItem("servers/i-1", makeServer(8, "draining"), {2, 11})},
             {2, 20}, Start);
  const ItemChanges Sent = LaterPeer.getChangesAfter(Fixture.View.getAsOf());
  CHECK(Sent.IsFull);
  const Result<ItemChanges> Received = decodeChanges(encodeChanges(Sent));
  REQUIRE(Received);
  CHECK(Fixture.View.apply(Received.value(), Fixture.Now).IsChanged);
  CHECK(Fixture.View.getAsOf() == StorePosition(2, 20));
  CHECK(Fixture.View.compileConfig()->Version == 6);
  CHECK(Fixture.findState() == ServerState::Draining);
}

TEST_CASE("an item of another epoch keeps its epoch over the wire") {
  ItemChanges Changes;
  Changes.AsOf = {1, 50};
  Changes.Items = {{"a", "x", {1, 40}, false},
                   {"b", "y", {2, 7}, false},
                   {"c", "", {2, 8}, true}};
  const Result<ItemChanges> Received = decodeChanges(encodeChanges(Changes));
  REQUIRE(Received);
  CHECK(Received.value().Items == Changes.Items);
  // A daemon without support for epochs sends none.
  Json::Value WithoutEpoch = encodeChanges(Changes);
  WithoutEpoch.removeMember("epoch");
  REQUIRE(decodeChanges(WithoutEpoch));
  CHECK(decodeChanges(WithoutEpoch).value().AsOf == StorePosition(0, 50));
}
