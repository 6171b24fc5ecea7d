//===- ViewRestoreTest.cpp - What outlasts a store that goes back ---------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//

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

static std::string makeRules(int Version) {
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

/// A view with settings, a server and a daemon, as of 1:50.
struct RestoreBench {
  RestoreBench() {
    this->View.replaceAll(
        {makeItem("op/config", makeRules(5), {1, 48}),
         makeItem("servers/i-1", makeServer(7, "ready"), {1, 20}),
         makeDaemonItem("d1", {1, 49})},
        {1, 50}, Start);
  }

  /// The store is restored, in a later epoch, with these.
  void restore(std::vector<StoreItem> Items, StorePosition AsOf) {
    CHECK(this->View.replaceAll(Items, AsOf, this->Now));
  }

  /// Returns the server's state as a daemon runs it, or nothing.
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

TEST_CASE("settings in force stay though the store holds older ones") {
  RestoreBench Under;
  Under.restore({makeItem("op/config", makeRules(3), {2, 10})}, {2, 20});
  CHECK(Under.View.compileConfig()->Version == 5);
  Under.View.applyEvents({makeItem("op/config", makeRules(5), {2, 21})},
                         {2, 21}, Under.Now);
  CHECK(Under.View.compileConfig()->Version == 5);
  Under.View.applyEvents({makeItem("op/config", makeRules(6), {2, 22})},
                         {2, 22}, Under.Now);
  CHECK(Under.View.compileConfig()->Version == 6);
}

TEST_CASE("who said that it leaves still does though a backup calls it ready") {
  RestoreBench Under;
  Under.View.applyEvents(
      {makeItem("servers/i-1", makeServer(8, "draining"), {1, 51})}, {1, 51},
      Start);
  Under.restore({makeItem("servers/i-1", makeServer(7, "ready"), {2, 20})},
                {2, 30});
  CHECK(Under.findState() == ServerState::Draining);
  SUBCASE("for as long as that stands there") {
    Under.View.settleLapsed(Under.Now + fromSeconds(60));
    CHECK(Under.findState() == ServerState::Draining);
  }
  SUBCASE("until it says something later") {
    Under.View.applyEvents(
        {makeItem("servers/i-1", makeServer(9, "ready"), {2, 31})}, {2, 31},
        Under.Now);
    CHECK(Under.findState() == ServerState::Active);
  }
}

TEST_CASE("who said that it leaves still does where no epoch shows a loss") {
  RestoreBench Under;
  Under.View.applyEvents(
      {makeItem("servers/i-1", makeServer(8, "draining"), {1, 51})}, {1, 51},
      Start);
  Under.View.markStale(Under.Now);
  Under.restore({makeItem("servers/i-1", makeServer(7, "ready"), {1, 20})},
                {1, 30});
  CHECK(Under.findState() == ServerState::Draining);
  Under.View.applyEvents(
      {makeItem("servers/i-1", makeServer(9, "ready"), {1, 31})}, {1, 31},
      Under.Now);
  CHECK(Under.findState() == ServerState::Active);
}

TEST_CASE("who has left is not used though it stands in a backup") {
  RestoreBench Under;
  Under.View.applyEvents({{"servers/i-1", "", {1, 51}, true}}, {1, 51}, Start);
  REQUIRE_FALSE(Under.findState());
  Under.restore({makeItem("servers/i-1", makeServer(7, "ready"), {2, 20})},
                {2, 30});
  CHECK_FALSE(Under.findState());
  SUBCASE("it lives and writes again") {
    Under.View.applyEvents(
        {makeItem("servers/i-1", makeServer(9, "ready"), {2, 31})}, {2, 31},
        Under.Now);
    CHECK(Under.findState() == ServerState::Active);
  }
  SUBCASE("its entry stands for longer than a silent server's") {
    CHECK_FALSE(Under.View.settleLapsed(Under.Now + fromSeconds(9.9)));
    CHECK(Under.View.settleLapsed(Under.Now + fromSeconds(10)));
    CHECK(Under.findState() == ServerState::Active);
  }
  SUBCASE("its entry goes") {
    Under.View.applyEvents({{"servers/i-1", "", {2, 31}, true}}, {2, 31},
                           Under.Now);
    Under.View.settleLapsed(Under.Now + fromSeconds(20));
    CHECK_FALSE(Under.findState());
  }
}

TEST_CASE("who said that it leaves, and left, is not used however long it "
          "stands in a backup") {
  RestoreBench Under;
  Under.View.applyEvents(
      {makeItem("servers/i-1", makeServer(8, "draining"), {1, 51})}, {1, 51},
      Start);
  Under.View.applyEvents({{"servers/i-1", "", {1, 52}, true}}, {1, 52}, Start);
  Under.restore({makeItem("servers/i-1", makeServer(7, "ready"), {2, 20})},
                {2, 30});
  for (const double Seconds : {1.0, 10.0, 20.0, 300.0}) {
    Under.View.settleLapsed(Under.Now + fromSeconds(Seconds));
    CHECK_FALSE(Under.findState());
  }
}

TEST_CASE("a server that the backup lacks is kept until it can have written") {
  RestoreBench Under;
  Under.restore({makeItem("op/config", makeRules(5), {2, 10})}, {2, 20});
  CHECK(Under.findState() == ServerState::Active);
  SUBCASE("it is gone if it has not") {
    CHECK_FALSE(Under.View.settleLapsed(Under.Now + fromSeconds(1.9)));
    CHECK(Under.View.settleLapsed(Under.Now + fromSeconds(2)));
    CHECK_FALSE(Under.findState());
  }
  SUBCASE("it stays if it has") {
    Under.View.applyEvents(
        {makeItem("servers/i-1", makeServer(9, "ready"), {2, 21})}, {2, 21},
        Under.Now);
    Under.View.settleLapsed(Under.Now + fromSeconds(20));
    CHECK(Under.findState() == ServerState::Active);
  }
  SUBCASE("one that leaves after the return is not kept") {
    Under.View.applyEvents(
        {makeItem("servers/i-1", makeServer(9, "ready"), {2, 21})}, {2, 21},
        Under.Now);
    Under.View.applyEvents({{"servers/i-1", "", {2, 22}, true}}, {2, 22},
                           Under.Now + fromSeconds(7));
    CHECK_FALSE(Under.findState());
  }
}

TEST_CASE("daemons that the backup lacks are counted for ten seconds") {
  RestoreBench Under;
  Under.restore({makeItem("op/config", makeRules(5), {2, 10})}, {2, 20});
  CHECK(Under.View.listDaemons().size() == 1);
  SUBCASE("who does not write again is gone then") {
    CHECK_FALSE(Under.View.settleLapsed(Under.Now + fromSeconds(1)));
    Under.View.settleLapsed(Under.Now + fromSeconds(10));
    CHECK(Under.View.listDaemons().empty());
  }
  SUBCASE("who does stays") {
    Under.View.applyEvents({makeDaemonItem("d1", {2, 21})}, {2, 21}, Under.Now);
    Under.View.settleLapsed(Under.Now + fromSeconds(10));
    CHECK(Under.View.listDaemons().size() == 1);
  }
}

TEST_CASE("nobody's part grows while a large fleet writes its entries again") {
  for (const size_t Count : {36, 113, 443}) {
    CAPTURE(Count);
    FleetView View({70}, fromSeconds(2));
    const auto MakeName = [](size_t I) { return fmt::format("d{}", I); };
    std::vector<StoreItem> All;
    for (size_t I = 0; I < Count; ++I)
      All.push_back(makeDaemonItem(MakeName(I), {1, 10 + I}));
    View.replaceAll(All, {1, 1000}, Start);
    // The backup is of a moment at which a third was there.
    const size_t Listed = Count / 3;
    for (size_t I = 0; I < Listed; ++I)
      All[I].At = {2, 10 + I};
    All.resize(Listed);
    View.replaceAll(All, {2, 500}, Start);
    CHECK(View.listDaemons().size() == Count);
    // Three died meanwhile; the others write again within size / 100 seconds.
    const size_t Dead = 3;
    const double Spread = static_cast<double>(Count) / 100;
    const size_t Missing = Count - Listed - Dead;
    for (size_t I = 0; I < Missing; ++I) {
      const TimePoint Now =
          Start + fromSeconds(Spread * static_cast<double>(I) /
                              static_cast<double>(Missing));
      View.settleLapsed(Now);
      const StorePosition At(2, 501 + I);
      View.applyEvents({makeDaemonItem(MakeName(Listed + I), At)}, At, Now);
      REQUIRE(View.listDaemons().size() == Count);
    }
    View.settleLapsed(Start + fromSeconds(10));
    CHECK(View.listDaemons().size() == Count - Dead);
  }
}

TEST_CASE("a peer of an earlier epoch is never ahead and changes nothing") {
  RestoreBench Under;
  FleetView Behind({70}, fromSeconds(2));
  Behind.replaceAll({makeItem("op/config", makeRules(5), {1, 48}),
                     makeItem("servers/i-9", makeServer(1, "ready"), {1, 90})},
                    {1, 900}, Start);
  Under.restore({makeItem("op/config", makeRules(5), {2, 10})}, {2, 20});
  CHECK(Under.View.getAsOf() > Behind.getAsOf());
  const ItemChanges Told = Behind.getChangesAfter(Under.View.getAsOf());
  CHECK_FALSE(Under.View.applyChanges(Told, Under.Now));
  CHECK(Under.View.getAsOf() == StorePosition(2, 20));
}

TEST_CASE("a peer of a later epoch tells all, over the wire too") {
  RestoreBench Under;
  FleetView Ahead({70}, fromSeconds(2));
  Ahead.replaceAll(
      {makeItem("op/config", makeRules(6), {2, 10}),
       makeItem("servers/i-1", makeServer(8, "draining"), {2, 11})},
      {2, 20}, Start);
  const ItemChanges Told = Ahead.getChangesAfter(Under.View.getAsOf());
  CHECK(Told.IsFull);
  const Result<ItemChanges> Heard = decodeChanges(encodeChanges(Told));
  REQUIRE(Heard);
  CHECK(Under.View.applyChanges(Heard.value(), Under.Now));
  CHECK(Under.View.getAsOf() == StorePosition(2, 20));
  CHECK(Under.View.compileConfig()->Version == 6);
  CHECK(Under.findState() == ServerState::Draining);
}

TEST_CASE("an item of another epoch keeps it over the wire") {
  ItemChanges Changes;
  Changes.AsOf = {1, 50};
  Changes.Items = {{"a", "x", {1, 40}, false},
                   {"b", "y", {2, 7}, false},
                   {"c", "", {2, 8}, true}};
  const Result<ItemChanges> Heard = decodeChanges(encodeChanges(Changes));
  REQUIRE(Heard);
  CHECK(Heard.value().Items == Changes.Items);
  // A daemon that knows no epochs tells none.
  Json::Value Old = encodeChanges(Changes);
  Old.removeMember("epoch");
  REQUIRE(decodeChanges(Old));
  CHECK(decodeChanges(Old).value().AsOf == StorePosition(0, 50));
}
