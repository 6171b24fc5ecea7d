//===- LargeSettingsTest.cpp - Settings of many routes on thin links ------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests how a large configuration reaches the daemons of a hall, and what
/// happens to small items meanwhile.
///
//===----------------------------------------------------------------------===//

#include "PlatformAdapter/HallFixture.h"
#include "PlatformAdapter/ViewChanges.h"
#include "canvaswick/Daemon/DirectoryCalls.h"
#include "canvaswick/Json/JsonText.h"
#include "platform/PeerFollower.h"
#include "platform/StoreWatcher.h"

#include <doctest/doctest.h>

#include <atomic>
#include <random>

using namespace canvaswick;
using namespace canvaswick::platform;

namespace {

constexpr const char *ConfigKey = "op/config";

/// The bandwidth of the slow links, in bytes per second.
constexpr int64_t SlowLink = 100000;

/// Takes longer over the slow link than any limit for a whole answer, and does
/// not get smaller when packed.
constexpr size_t SlowValueBytes = 200000;

std::string makeRandomText(size_t Bytes) {
  static constexpr std::string_view Letters =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+-";
  std::mt19937_64 Random(1);
  std::string Text;
  while (Text.size() < Bytes)
    Text += Letters[Random() % Letters.size()];
  return Text;
}

/// Returns the rules of Count routes to service s.
std::string makeRules(int Count) {
  std::mt19937_64 Random(7);
  std::string Rules;
  for (int I = 0; I < Count; ++I)
    Rules += fmt::format(
        R"({}{{"name": "r-{:08x}", "kind": "idempotent", "goalS": 1,
        "match": {{"pathPrefix": "/{:010x}/"}},
        "action": {{"service": "s", "timeoutS": 2, "attempts": 2}}}})",
        I == 0 ? "" : ",", Random() >> 32, Random() >> 24);
  return Rules;
}

std::string makeConfig(uint64_t Version, int RouteCount) {
  return fmt::format(R"({{"version": {}, "limits": {{}},
      "clusters": [{{"name": "s", "healthPath": "/healthz", "maxConns": 300}}],
      "listeners": [{{"host": "a.example", "rules": [{}]}}]}})",
                     Version, makeRules(RouteCount));
}

/// A peer behind a slow link, with a replica that a test writes to.
struct SlowPeer {
  SlowPeer()
      : Server(HttpServerLimits{},
               [this](HttpExchange &Exchange) {
                 serveUnsignedCall(Exchange, this->Dispatcher);
               }),
        Responder(
            [this](const ChangesRequest &Request) {
              return this->View.getChangesAfter(Request.After, Request.Held);
            },
            [] { return true; }) {
    addDirectoryMethod(this->Dispatcher, this->Responder);
    REQUIRE(this->Server.start({"127.0.0.1", 0}));
    this->Link = std::make_unique<RelayStandIn>(
        Endpoint{"127.0.0.1", this->Server.getPort()});
    REQUIRE(this->Link->start({"127.0.0.1", 0}));
    this->Link->getFaults().BytesPerSecond = SlowLink;
  }

  void write(const std::string &Key, const std::string &Value) {
    const StorePosition At{0, ++this->Revision};
    applyEvents(this->View, {{Key, Value, At, false}}, At, readSteadyClock());
  }

  JsonRpcDispatcher Dispatcher;
  HttpServer Server;
  FleetView View{{70}, fromSeconds(2)};
  uint64_t Revision = 1;
  ChangesResponder Responder;
  std::unique_ptr<RelayStandIn> Link;
};

/// A follower that has one peer.
struct FollowerFixture {
  FollowerFixture() {
    replaceAll(this->Peer.View, {}, {0, 1}, readSteadyClock());
    replaceAll(this->View, {}, {0, 1}, readSteadyClock());
    this->Follower.setDaemons(
        {{"peer", "h", {"127.0.0.1", this->Peer.Link->getPort()}, {}}},
        readSteadyClock());
  }

  /// Passes on the position of the peer's replica and runs a round.
  void follow() {
    PeerMessage Message;
    Message.Source = "peer";
    Message.Hall = "h";
    Message.AsOf = this->Peer.View.getAsOf();
    this->Follower.handleMessage(Message, readSteadyClock());
    this->Follower.runRound(readSteadyClock());
  }

  template <typename Check> void followUntil(Check Done) {
    const TimePoint GiveUpAt = readSteadyClock() + fromSeconds(10);
    while (!Done() && readSteadyClock() < GiveUpAt) {
      this->follow();
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    REQUIRE(Done());
  }

  bool has(const std::string &Key) const {
    return this->View.findItem(Key).has_value();
  }

  SlowPeer Peer;
  CounterTable Counters;
  FleetView View{{70}, fromSeconds(2)};
  PeerFollower Follower{{"a", "h", {}, {}}, {}, {}, View, Counters, [] {}};
};

} // namespace

// A hall of 36 asks one daemon, whose link carries 10 Mbit/s, within 0.6 s.
static constexpr size_t MaxSmallAnswerBytes = 20000;

TEST_CASE("an answer for small items stays small if half of the settings are "
          "new") {
  ItemTable Table;
  Table.apply({ConfigKey, makeConfig(12, 1400), {0, 3}, false});
  Table.apply({ConfigKey, makeConfig(14, 2800), {0, 6}, false});
  Table.apply(
      makeChanges({}, {{"servers/i-1", "leaves", {0, 7}, false}}, {0, 7}));
  ChangesResponder Responder(
      [&Table](const ChangesRequest &Request) {
        return Table.getChangesAfter(Request.After, Request.Held);
      },
      [] { return true; });
  const Json::Value Answer =
      Responder.answer({{0, 3}, false, {{ConfigKey, {0, 3}}}}, TimePoint{});
  CHECK(writeJson(Answer).size() <= MaxSmallAnswerBytes);
  const ItemChanges Changes = decodeChanges(Answer).value();
  CHECK(Changes.Extent == ChangesExtent::Small);
  REQUIRE(Changes.Items.size() == 1);
  CHECK(Changes.Items[0].Key == "servers/i-1");
}

TEST_CASE("a large value that arrives slowly from a peer is not given up") {
  FollowerFixture Fixture;
  Fixture.Peer.write("large", makeRandomText(SlowValueBytes));
  Fixture.followUntil([&] { return Fixture.has("large"); });
  CHECK(Fixture.View.getAsOf() == Fixture.Peer.View.getAsOf());
  CHECK(Fixture.Peer.Link->countBytesBackward() < 2 * SlowValueBytes);
}

TEST_CASE("small items are applied while a large value is on its way") {
  FollowerFixture Fixture;
  Fixture.Peer.write("large", makeRandomText(SlowValueBytes));
  // Until the link carries the large value.
  Fixture.followUntil([&] {
    return Fixture.Peer.Link->countBytesBackward() > SlowValueBytes / 10;
  });
  Fixture.Peer.write("servers/i-1", "leaves");
  Fixture.followUntil([&] { return Fixture.has("servers/i-1"); });
  CHECK_FALSE(Fixture.has("large"));
  Fixture.followUntil([&] {
    return Fixture.has("large") &&
           Fixture.View.getAsOf() == Fixture.Peer.View.getAsOf();
  });
}

TEST_CASE("small items are fetched after the store has lost changes") {
  FollowerFixture Fixture;
  Fixture.Peer.write("large", makeRandomText(SlowValueBytes));
  for (int I = 0; I < 10; ++I)
    Fixture.Peer.write("servers/i-1", fmt::format("{}", I));
  Fixture.followUntil([&] { return Fixture.has("servers/i-1"); });
  REQUIRE_FALSE(Fixture.has("large"));
  // The same epoch goes on with a lower revision.
  for (FleetView *View : {&Fixture.View, &Fixture.Peer.View}) {
    View->markStale(readSteadyClock());
    replaceAll(*View, {}, {0, 3}, readSteadyClock());
  }
  Fixture.Peer.Revision = 3;
  Fixture.Peer.write("servers/i-2", "leaves");
  Fixture.followUntil([&] { return Fixture.has("servers/i-2"); });
  // The large answer that was on its way is of before.
  std::this_thread::sleep_for(std::chrono::seconds(4));
  CHECK_FALSE(Fixture.has("large"));
  CHECK(Fixture.View.getAsOf() == Fixture.Peer.View.getAsOf());
}

TEST_CASE("a large value that arrives slowly from the store is not given up") {
  StoreStandIn Store;
  REQUIRE(Store.start());
  RelayStandIn Link(Store.getAddress());
  REQUIRE(Link.start({"127.0.0.1", 0}));
  CounterTable Counters;
  StoreClient Client({"127.0.0.1", Link.getPort()}, Counters);
  FleetView View{{70}, fromSeconds(2)};
  StoreWatcher Watcher{Client, View, FirstReadSchedule(true, 0, {}), [] {}};
  Watcher.runRound();
  Watcher.runRound();
  REQUIRE(Watcher.isSynced());
  Link.getFaults().BytesPerSecond = SlowLink;
  Store.put("large", makeRandomText(SlowValueBytes));
  Watcher.runRound();
  CHECK(View.findItem("large").has_value());
  CHECK(Watcher.isSynced());
}

TEST_CASE("a hall stays with its watchers while they receive a large "
          "configuration") {
  Hall Fixture(4);
  Fixture.startServing();
  // Watches that were begun before the hall had its watchers end by then.
  std::this_thread::sleep_for(std::chrono::milliseconds(2500));
  const std::vector<Member *> Watchers = Fixture.listWatchers();
  for (const std::unique_ptr<Member> &Each : Fixture.Members)
    Each->StoreRelay.getFaults().BytesPerSecond = SlowLink;
  const std::string Config = makeConfig(3, 800);
  REQUIRE(Config.size() > SlowValueBytes / 2);
  const std::string Target = fmt::format(
      "{}1", Config.substr(Config.find("/", Config.find("pathPrefix")), 12));
  Fixture.Store.put(ConfigKey, Config);
  for (const std::unique_ptr<Member> &Each : Fixture.Members)
    Fixture.waitFor([&] { return Fixture.serves(*Each, Target); });
  for (const std::unique_ptr<Member> &Each : Fixture.Members)
    if (std::find(Watchers.begin(), Watchers.end(), Each.get()) ==
        Watchers.end())
      CHECK(Each->StoreRelay.countBytesBackward() < Config.size() / 2);
}
