//===- PeerFollowerTest.cpp - Tests of fetching changes from peers --------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests a follower with peers whose replicas are ahead, some of which stop
/// answering.
///
//===----------------------------------------------------------------------===//

#include "platform/PeerFollower.h"
#include "PlatformAdapter/ViewChanges.h"
#include "canvaswick/StandIn/RelayStandIn.h"

#include <doctest/doctest.h>

#include <atomic>

using namespace canvaswick;
using namespace canvaswick::platform;

namespace {

/// A daemon behind a relay, whose replica is ahead of the follower's.
struct AheadPeer {
  AheadPeer(std::string Name, const std::atomic<uint64_t> &AsOf)
      : Server(HttpServerLimits{},
               [this](HttpExchange &Exchange) {
                 serveUnsignedCall(Exchange, this->Dispatcher);
               }),
        Name(std::move(Name)),
        Answerer(
            [this, &AsOf](const ChangesRequest &Request) {
              return this->listChanges(AsOf, Request.Held);
            },
            [this] { return this->HasCapacity.load(); }) {
    addDirectoryMethod(this->Dispatcher, this->Answerer);
    REQUIRE(this->Server.start({"127.0.0.1", 0}));
    this->Relay = std::make_unique<RelayStandIn>(
        Endpoint{"127.0.0.1", this->Server.getPort()});
    REQUIRE(this->Relay->start({"127.0.0.1", 0}));
  }

  ItemChanges listChanges(uint64_t AsOf, const ItemPositions &Held) const {
    ItemChanges Changes;
    Changes.AsOf = {0, AsOf};
    Changes.Items.push_back({"k", "v", {0, AsOf}, false});
    if (!Held.empty())
      Changes.Deltas.push_back({"large", {0, AsOf}, {0, 1}, {/*Check=*/7, {}}});
    else if (this->HasLarge)
      Changes.Items.push_back(
          {"large", std::string(5000, 'x'), {0, AsOf}, false});
    return Changes;
  }

  DaemonRecord getRecord() const {
    return {this->Name, "h", {"127.0.0.1", this->Relay->getPort()}, {}};
  }

  JsonRpcDispatcher Dispatcher;
  HttpServer Server;
  const std::string Name;
  /// Whether its changes include a large value, and whether it has the capacity
  /// to send one.
  std::atomic<bool> HasLarge{false};
  std::atomic<bool> HasCapacity{true};
  ChangesResponder Answerer;
  std::unique_ptr<RelayStandIn> Relay;
};

/// A follower in a hall with two peers that are ahead.
struct FollowerFixture {
  explicit FollowerFixture(const std::string &Name)
      : Follower({Name, "h", {}, {}}, {}, {}, View, Counters, [] {}) {
    replaceAll(this->View, {}, {0, 1}, readSteadyClock());
    this->Follower.setDaemons({this->One.getRecord(), this->Two.getRecord()},
                              readSteadyClock());
  }

  /// Advances the peers' replicas and passes their messages to the follower.
  void advance(uint64_t Next, TimePoint Now) {
    this->AsOf = Next;
    CHECK(this->passMessages(Now) == 2);
  }

  /// Passes the peers' messages to the follower. Returns after how many of them
  /// there was something small to fetch.
  int passMessages(TimePoint Now) {
    int Count = 0;
    for (const AheadPeer *Peer : {&this->One, &this->Two}) {
      PeerMessage Message;
      Message.Source = Peer->Name;
      Message.Hall = "h";
      Message.AsOf = {0, this->AsOf};
      Count += this->Follower.handleMessage(Message, Now) ? 1 : 0;
    }
    return Count;
  }

  /// Waits until the follower's other thread has completed the replica.
  void waitUntilComplete(uint64_t Revision) {
    const TimePoint GiveUpAt = readSteadyClock() + fromSeconds(5);
    while (this->View.getAsOf() != StorePosition(0, Revision) &&
           readSteadyClock() < GiveUpAt)
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    REQUIRE(this->View.getAsOf() == StorePosition(0, Revision));
  }

  std::atomic<uint64_t> AsOf{1};
  AheadPeer One{"one", AsOf};
  AheadPeer Two{"two", AsOf};
  CounterTable Counters;
  FleetView View{{70}, fromSeconds(2)};
  PeerFollower Follower;
};

} // namespace

/// Followers choose peers at random, depending on their names: with these
/// names, each peer is asked first by some follower.
static const char *const FollowerNames[] = {"a", "b", "c", "d", "e", "f"};

TEST_CASE("another peer is asked at once if one does not answer") {
  for (const char *Name : FollowerNames) {
    FollowerFixture Fixture(Name);
    Fixture.One.Relay->getFaults().CutBackward = true;
    const TimePoint Now = readSteadyClock();
    Fixture.advance(5, Now);
    Fixture.Follower.runRound(Now);
    CHECK(Fixture.View.getAsOf() == StorePosition(0, 5));
  }
}

TEST_CASE("open connections that are all dead cost one short timeout") {
  FollowerFixture Fixture("a");
  // Both peers are asked on connections that stay open.
  uint64_t Next = 1;
  for (int I = 0; I < 12; ++I) {
    Fixture.advance(++Next, readSteadyClock());
    Fixture.Follower.runRound(readSteadyClock());
  }
  REQUIRE(Fixture.View.getAsOf() == StorePosition(0, Next));
  Fixture.One.Relay->silenceOpenConnections();
  Fixture.Two.Relay->silenceOpenConnections();
  Fixture.advance(++Next, readSteadyClock());
  Fixture.Follower.runRound(readSteadyClock());
  CHECK(Fixture.View.getAsOf() == StorePosition(0, Next));
}

TEST_CASE("a follower waits for its own watch only if that is answered") {
  FollowerFixture Fixture("a");
  const TimePoint Heard = readSteadyClock();
  Fixture.Follower.setLocalWatchAnswered(true);
  Fixture.advance(5, Heard);
  Fixture.Follower.runRound(Heard + fromMillis(100));
  CHECK(Fixture.View.getAsOf() == StorePosition(0, 1));
  SUBCASE("the watch is no longer answered") {
    Fixture.Follower.setLocalWatchAnswered(false);
    Fixture.Follower.runRound(Heard + fromMillis(100));
  }
  SUBCASE("the watch should have returned the changes by now") {
    Fixture.Follower.runRound(Heard + fromMillis(500));
  }
  CHECK(Fixture.View.getAsOf() == StorePosition(0, 5));
}

// Guards against a delay of small items behind a large value. A server was sent
// requests 2.8 s after it had announced that it leaves, 0.3 s longer than
// allowed: its entry arrived in one answer with a changed configuration of
// 1,130 routes, which 36 daemons of a hall fetched from two over links of 10
// Mbit/s. The fetches of the daemon from both failed after 0.6 s each, four
// times; the answer that arrived at last held 34 items, 33 of them entries of
// servers.
TEST_CASE(
    "small items are applied if peers have no capacity for a large value") {
  FollowerFixture Fixture("a");
  for (AheadPeer *Peer : {&Fixture.One, &Fixture.Two}) {
    Peer->HasLarge = true;
    Peer->HasCapacity = false;
  }
  const TimePoint Now = readSteadyClock();
  Fixture.advance(5, Now);
  Fixture.Follower.runRound(Now);
  // The small item has arrived, the large one has not.
  const ItemChanges Taken = Fixture.View.getChangesAfter({});
  REQUIRE(Taken.Items.size() == 1);
  CHECK(Taken.Items[0].Key == "k");
  CHECK(Fixture.View.getAsOf() == StorePosition(0, 1));
  SUBCASE("one of them has capacity later") {
    Fixture.Two.HasCapacity = true;
    // The small item is not fetched again.
    CHECK(Fixture.passMessages(readSteadyClock()) == 0);
    Fixture.waitUntilComplete(5);
    CHECK(Fixture.View.getChangesAfter({}).Items.size() == 2);
  }
}

TEST_CASE("a delta that cannot be applied is followed by the whole value") {
  FollowerFixture Fixture("a");
  const StoreItem Held{"large", std::string(5000, 'y'), {0, 2}, false};
  replaceAll(Fixture.View, {Held}, {0, 2}, readSteadyClock());
  for (AheadPeer *Peer : {&Fixture.One, &Fixture.Two})
    Peer->HasLarge = true;
  Fixture.advance(5, readSteadyClock());
  Fixture.Follower.runRound(readSteadyClock());
  Fixture.waitUntilComplete(5);
  const ItemChanges Taken = Fixture.View.getChangesAfter({0, 2});
  REQUIRE(Taken.Items.size() == 2);
  CHECK(Taken.Items[1].Value == std::string(5000, 'x'));
}
