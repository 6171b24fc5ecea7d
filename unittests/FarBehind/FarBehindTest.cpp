//===- FarBehindTest.cpp - Settings of a daemon that is far behind --------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A daemon that lacks hundreds of changes waits for the snapshot in the store,
/// which may come after many seconds. Settings must be in force within two.
///
//===----------------------------------------------------------------------===//

#include "PlatformAdapter/ViewChanges.h"
#include "canvaswick/Daemon/DirectoryCalls.h"
#include "platform/PeerFollower.h"

#include <doctest/doctest.h>

#include <atomic>
#include <fmt/format.h>

using namespace canvaswick;
using namespace canvaswick::platform;

static constexpr const char *ConfigKey = "op/config";

/// More changes, and more items, than a daemon asks a peer for at once.
static constexpr uint64_t ManyChanges = 600;

/// More items than a daemon that is far behind has a peer send it.
static constexpr uint64_t VeryManyItems = 2500;

/// Returns so many items of a fleet as of the first revision.
static std::vector<StoreItem> makeItems(uint64_t Count) {
  std::vector<StoreItem> Items;
  for (uint64_t I = 0; I < Count; ++I)
    Items.push_back({fmt::format("canvaswick/other-{}", I), "", {0, 1}, false});
  return Items;
}

/// Returns the entry of a server, written for the given time.
static std::string makeServer(const char *State, int Sequence) {
  return fmt::format(R"({{"address": "127.0.0.1:9", "info": {{"service": "s",
      "version": "v1", "zone": "h", "slots": 3}},
      "status": {{"state": "{}", "seq": {}, "warmupLeftS": 0}}}})",
                     State, Sequence);
}

static constexpr Duration SettingsTime = fromSeconds(2);

/// Returns whether a daemon that holds this view would still use a server.
static bool isInUse(const FleetView &View, const std::string &Id) {
  const std::optional<StoreItem> Entry = View.findItem("servers/" + Id);
  return Entry && Entry->Value.find("draining") == std::string::npos;
}

namespace {

/// A peer that answers as a daemon does, and counts what it is asked for.
struct CountingPeer {
  CountingPeer()
      : Responder(
            [this](const ChangesRequest &Request) {
              this->count(Request.Scope);
              return this->View.listChanges(Request);
            },
            [] { return true; }),
        Server(HttpServerLimits{}, [this](HttpExchange &Exchange) {
          serveUnsignedCall(Exchange, this->Dispatcher);
        }) {
    addDirectoryMethod(this->Dispatcher, this->Responder);
    REQUIRE(this->Server.start({"127.0.0.1", 0}));
  }

  void count(ChangesScope Scope) {
    switch (Scope) {
    case ChangesScope::Settings:
      ++this->SettingsAsked;
      return;
    case ChangesScope::Departures:
      ++this->DeparturesAsked;
      return;
    case ChangesScope::All:
      ++this->OthersAsked;
    }
  }

  std::atomic<int> SettingsAsked{0};
  std::atomic<int> DeparturesAsked{0};
  std::atomic<int> OthersAsked{0};
  FleetView View{{70}, fromSeconds(2)};
  JsonRpcDispatcher Dispatcher;
  ChangesResponder Responder;
  HttpServer Server;
};

/// A daemon that follows one peer of its hall. Both begin with the same items.
struct FollowingFixture {
  FollowingFixture(const std::vector<StoreItem> &Items,
                   const StorePosition &AsOf)
      : Follower({"a", "h", {}, {}}, {}, {}, this->View, this->Counters,
                 [] {}) {
    replaceAll(this->Peer.View, Items, AsOf, readSteadyClock());
    replaceAll(this->View, Items, AsOf, readSteadyClock());
    this->Follower.setDaemons(
        {{"peer", "h", {"127.0.0.1", this->Peer.Server.getPort()}, {}}},
        readSteadyClock());
  }

  /// Follows the peer until Condition holds, or for two seconds.
  template <typename Check> void follow(Check Condition) {
    PeerMessage Message;
    Message.Source = "peer";
    Message.Hall = "h";
    Message.AsOf = this->Peer.View.getAsOf();
    const TimePoint GiveUpAt = readSteadyClock() + SettingsTime;
    while (!Condition() && readSteadyClock() < GiveUpAt) {
      this->Follower.handleMessage(Message, readSteadyClock());
      this->Follower.runRound(readSteadyClock());
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  }

  CountingPeer Peer;
  CounterTable Counters;
  FleetView View{{70}, fromSeconds(2)};
  PeerFollower Follower;
};

} // namespace

static StoreItem makeConfig() {
  return {ConfigKey, std::string(5000, ' '), {0, ManyChanges}, false};
}

TEST_CASE("a daemon that lacks hundreds of changes has new settings in time") {
  FollowingFixture Fixture({}, {0, 1});
  applyEvents(Fixture.Peer.View, {makeConfig()}, {0, ManyChanges + 1},
              readSteadyClock());
  const auto HasConfig = [&] {
    return Fixture.View.findItem(ConfigKey).has_value();
  };
  Fixture.follow(HasConfig);
  CHECK(HasConfig());
}

TEST_CASE(
    "a daemon that is far behind asks a peer for the settings alone, once "
    "a second") {
  FollowingFixture Fixture(makeItems(VeryManyItems), {0, 1});
  CountingPeer &Peer = Fixture.Peer;
  const uint64_t Newest = VeryManyItems + ManyChanges;
  applyEvents(Peer.View,
              {makeConfig(), {"servers/i-1", "{}", {0, Newest - 1}, false}},
              {0, Newest}, readSteadyClock());
  Fixture.follow([] { return false; });
  const std::optional<StoreItem> Config = Fixture.View.findItem(ConfigKey);
  REQUIRE(Config.has_value());
  CHECK(Config->At == makeConfig().At);
  // The rest comes with the snapshot, which its replica is not complete
  // without.
  CHECK(!Fixture.View.findItem("servers/i-1").has_value());
  CHECK(Fixture.View.getAsOf() == StorePosition{0, 1});
  CHECK(Peer.OthersAsked == 0);
  CHECK(Peer.SettingsAsked >= 1);
  CHECK(Peer.SettingsAsked <= 3);
  // What has left is asked for as long as the peer is ahead with that.
  CHECK(Peer.DeparturesAsked >= 1);
  CHECK(Peer.DeparturesAsked <= 5);
}

// Guards against daemons of a large store that wait for a snapshot which is far
// behind again as soon as it was written.
TEST_CASE("a daemon that is far behind by a few hundred items has a peer send "
          "them") {
  FollowingFixture Fixture(makeItems(ManyChanges), {0, 1});
  applyEvents(Fixture.Peer.View, {{"servers/i-1", "{}", {0, 9000}, false}},
              {0, 9000}, readSteadyClock());
  Fixture.follow([&] {
    return Fixture.View.getAsOf() == StorePosition{0, 9000};
  });
  CHECK(Fixture.View.getAsOf() == StorePosition{0, 9000});
  CHECK(Fixture.View.findItem("servers/i-1").has_value());
}

/// Checks that servers which have left or said so, among so many items, are
/// used no more soon.
static void checkDepartures(uint64_t ItemCount, bool CanPeerTell) {
  CAPTURE(ItemCount);
  CAPTURE(CanPeerTell);
  std::vector<StoreItem> Items = makeItems(ItemCount);
  for (const char *Id : {"servers/i-1", "servers/i-2", "servers/i-3"})
    Items.push_back({Id, makeServer("ready", 1), {0, 1}, false});
  FollowingFixture Fixture(Items, {0, 2});
  FleetView &PeerView = Fixture.Peer.View;
  applyEvents(PeerView,
              {{"servers/i-1", "", {0, 5}, true},
               {"servers/i-2", makeServer("draining", 2), {0, 6}, false},
               {"servers/i-3", makeServer("ready", 9), {0, 9000}, false}},
              {0, 9000}, readSteadyClock());
  if (!CanPeerTell) {
    // Who has read everything anew does not know what was removed before.
    const std::vector<StoreItem> All = PeerView.getChangesAfter({}).Items;
    replaceAll(PeerView, All, {0, 9001}, readSteadyClock());
  }
  FleetView &View = Fixture.View;
  Fixture.follow(
      [&] { return !isInUse(View, "i-1") && !isInUse(View, "i-2"); });
  CHECK_FALSE(isInUse(View, "i-1"));
  CHECK_FALSE(isInUse(View, "i-2"));
  CHECK(isInUse(View, "i-3"));
}

// Guards against requests to servers that have left or said so, while a large
// store's snapshot is waited for (DRAIN).
TEST_CASE("a daemon that is far behind stops using servers that have left or "
          "said so, however often other entries were written") {
  for (const uint64_t ItemCount : {ManyChanges, VeryManyItems})
    for (const bool CanPeerTell : {true, false})
      checkDepartures(ItemCount, CanPeerTell);
}

TEST_CASE("a daemon of a small fleet that starts from an old snapshot stops "
          "using a server that has left since") {
  FollowingFixture Fixture({{"servers/i-1", "{}", {0, 2}, false}}, {0, 2});
  applyEvents(Fixture.Peer.View,
              {{"servers/i-1", "", {0, 5}, true},
               {"servers/i-2", "{}", {0, ManyChanges}, false}},
              {0, ManyChanges + 1}, readSteadyClock());
  const auto HasEntry = [&](const char *Key) {
    return Fixture.View.findItem(Key).has_value();
  };
  Fixture.follow([&] { return !HasEntry("servers/i-1"); });
  CHECK_FALSE(HasEntry("servers/i-1"));
  CHECK(HasEntry("servers/i-2"));
}
