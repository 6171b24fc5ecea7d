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

/// More changes, and more items, than a daemon asks a peer for.
static constexpr uint64_t ManyChanges = 600;

/// Returns the items of a large fleet as of the first revision.
static std::vector<StoreItem> makeManyItems() {
  std::vector<StoreItem> Items;
  for (uint64_t I = 0; I < ManyChanges; ++I)
    Items.push_back({fmt::format("canvaswick/other-{}", I), "", {0, 1}, false});
  return Items;
}

static constexpr Duration SettingsTime = fromSeconds(2);

TEST_CASE("a daemon that lacks hundreds of changes has new settings in time") {
  FleetView PeerView{{70}, fromSeconds(2)};
  replaceAll(PeerView, {}, {0, 1}, readSteadyClock());
  const StorePosition ConfigAt{0, ManyChanges};
  applyEvents(PeerView, {{ConfigKey, std::string(5000, ' '), ConfigAt, false}},
              {0, ManyChanges + 1}, readSteadyClock());
  JsonRpcDispatcher Dispatcher;
  ChangesResponder Responder(
      [&PeerView](const ChangesRequest &Request) {
        return PeerView.getChangesAfter(Request.After, Request.Held);
      },
      [] { return true; });
  addDirectoryMethod(Dispatcher, Responder);
  HttpServer Server(HttpServerLimits{}, [&](HttpExchange &Exchange) {
    serveUnsignedCall(Exchange, Dispatcher);
  });
  REQUIRE(Server.start({"127.0.0.1", 0}));

  CounterTable Counters;
  FleetView View{{70}, fromSeconds(2)};
  replaceAll(View, {}, {0, 1}, readSteadyClock());
  PeerFollower Follower({"a", "h", {}, {}}, {}, {}, View, Counters, [] {});
  Follower.setDaemons({{"peer", "h", {"127.0.0.1", Server.getPort()}, {}}},
                      readSteadyClock());
  PeerMessage Message;
  Message.Source = "peer";
  Message.Hall = "h";
  Message.AsOf = PeerView.getAsOf();
  const TimePoint GiveUpAt = readSteadyClock() + SettingsTime;
  while (!View.findItem(ConfigKey) && readSteadyClock() < GiveUpAt) {
    Follower.handleMessage(Message, readSteadyClock());
    Follower.runRound(readSteadyClock());
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  CHECK(View.findItem(ConfigKey).has_value());
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
    replaceAll(this->View, {}, {0, 1}, readSteadyClock());
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

} // namespace

TEST_CASE(
    "a daemon that is far behind asks a peer for the settings alone, once "
    "a second") {
  CountingPeer Peer;
  const StorePosition ConfigAt{0, ManyChanges};
  applyEvents(Peer.View,
              {{ConfigKey, std::string(5000, ' '), ConfigAt, false},
               {"servers/i-1", "{}", {0, ManyChanges - 1}, false}},
              {0, ManyChanges + 1}, readSteadyClock());
  CounterTable Counters;
  FleetView View{{70}, fromSeconds(2)};
  replaceAll(View, makeManyItems(), {0, 1}, readSteadyClock());
  PeerFollower Follower({"a", "h", {}, {}}, {}, {}, View, Counters, [] {});
  Follower.setDaemons({{"peer", "h", {"127.0.0.1", Peer.Server.getPort()}, {}}},
                      readSteadyClock());
  PeerMessage Message;
  Message.Source = "peer";
  Message.Hall = "h";
  Message.AsOf = Peer.View.getAsOf();
  const TimePoint Began = readSteadyClock();
  while (readSteadyClock() < Began + SettingsTime) {
    Follower.handleMessage(Message, readSteadyClock());
    Follower.runRound(readSteadyClock());
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  REQUIRE(View.findItem(ConfigKey).has_value());
  CHECK(View.findItem(ConfigKey)->At == ConfigAt);
  // The rest comes with the snapshot, which its replica is not complete
  // without.
  CHECK(!View.findItem("servers/i-1").has_value());
  CHECK(View.getAsOf() == StorePosition{0, 1});
  CHECK(Peer.OthersAsked == 0);
  CHECK(Peer.SettingsAsked >= 1);
  CHECK(Peer.SettingsAsked <= 3);
  // What has left is asked for as long as the peer is ahead with that.
  CHECK(Peer.DeparturesAsked >= 1);
  CHECK(Peer.DeparturesAsked <= 5);
}

/// Returns the entry of a server, written for the given time.
static std::string makeServer(const char *State, int Sequence) {
  return fmt::format(R"({{"address": "127.0.0.1:9", "info": {{"service": "s",
      "version": "v1", "zone": "h", "slots": 3}},
      "status": {{"state": "{}", "seq": {}, "warmupLeftS": 0}}}})",
                     State, Sequence);
}

/// Returns whether a daemon that holds this view would still use a server.
static bool isInUse(const FleetView &View, const std::string &Id) {
  const std::optional<StoreItem> Entry = View.findItem("servers/" + Id);
  return Entry && Entry->Value.find("draining") == std::string::npos;
}

// Guards against requests to servers that have left or said so, while a large
// store's snapshot is waited for (DRAIN).
TEST_CASE("a daemon that is far behind stops using servers that have left or "
          "said so, however often other entries were written") {
  CountingPeer Peer;
  std::vector<StoreItem> Items = makeManyItems();
  for (const char *Id : {"servers/i-1", "servers/i-2", "servers/i-3"})
    Items.push_back({Id, makeServer("ready", 1), {0, 1}, false});
  replaceAll(Peer.View, Items, {0, 2}, readSteadyClock());
  applyEvents(Peer.View,
              {{"servers/i-1", "", {0, 5}, true},
               {"servers/i-2", makeServer("draining", 2), {0, 6}, false},
               {"servers/i-3", makeServer("ready", 9), {0, 900}, false}},
              {0, 900}, readSteadyClock());
  CounterTable Counters;
  FleetView View{{70}, fromSeconds(2)};
  replaceAll(View, Items, {0, 2}, readSteadyClock());
  PeerFollower Follower({"a", "h", {}, {}}, {}, {}, View, Counters, [] {});
  Follower.setDaemons({{"peer", "h", {"127.0.0.1", Peer.Server.getPort()}, {}}},
                      readSteadyClock());
  PeerMessage Message;
  Message.Source = "peer";
  Message.Hall = "h";
  Message.AsOf = Peer.View.getAsOf();
  const TimePoint GiveUpAt = readSteadyClock() + SettingsTime;
  while ((isInUse(View, "i-1") || isInUse(View, "i-2")) &&
         readSteadyClock() < GiveUpAt) {
    Follower.handleMessage(Message, readSteadyClock());
    Follower.runRound(readSteadyClock());
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  CHECK_FALSE(isInUse(View, "i-1"));
  CHECK_FALSE(isInUse(View, "i-2"));
  CHECK(isInUse(View, "i-3"));
}

TEST_CASE("a daemon of a small fleet that starts from an old snapshot stops "
          "using a server that has left since") {
  CountingPeer Peer;
  const std::string Ready = "{}";
  replaceAll(Peer.View, {{"servers/i-1", Ready, {0, 2}, false}}, {0, 2},
             readSteadyClock());
  applyEvents(Peer.View,
              {{"servers/i-1", "", {0, 5}, true},
               {"servers/i-2", Ready, {0, ManyChanges}, false}},
              {0, ManyChanges + 1}, readSteadyClock());
  CounterTable Counters;
  FleetView View{{70}, fromSeconds(2)};
  replaceAll(View, {{"servers/i-1", Ready, {0, 2}, false}}, {0, 2},
             readSteadyClock());
  PeerFollower Follower({"a", "h", {}, {}}, {}, {}, View, Counters, [] {});
  Follower.setDaemons({{"peer", "h", {"127.0.0.1", Peer.Server.getPort()}, {}}},
                      readSteadyClock());
  PeerMessage Message;
  Message.Source = "peer";
  Message.Hall = "h";
  Message.AsOf = Peer.View.getAsOf();
  const TimePoint GiveUpAt = readSteadyClock() + SettingsTime;
  while (View.findItem("servers/i-1") && readSteadyClock() < GiveUpAt) {
    Follower.handleMessage(Message, readSteadyClock());
    Follower.runRound(readSteadyClock());
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  CHECK_FALSE(View.findItem("servers/i-1").has_value());
  CHECK(View.findItem("servers/i-2").has_value());
}
