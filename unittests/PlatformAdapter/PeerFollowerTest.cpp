//===- PeerFollowerTest.cpp - Tests of learning from other daemons --------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A follower against peers that hold a later copy, some of which fall silent.
///
//===----------------------------------------------------------------------===//

#include "platform/PeerFollower.h"
#include "canvaswick/StandIn/RelayStandIn.h"

#include <doctest/doctest.h>

#include <atomic>

using namespace canvaswick;
using namespace canvaswick::platform;

namespace {

/// A daemon whose copy goes further than the follower's, behind a relay.
struct AheadPeer {
  AheadPeer(std::string Name, const std::atomic<uint64_t> &AsOf)
      : Server(HttpServerLimits{},
               [this](HttpExchange &Exchange) {
                 serveOpenCall(Exchange, this->Dispatcher);
               }),
        Name(std::move(Name)) {
    addDirectoryMethod(this->Dispatcher, [&AsOf](uint64_t) {
      ItemChanges Changes;
      Changes.AsOf = AsOf;
      Changes.Items.push_back({"k", "v", AsOf.load(), false});
      return Changes;
    });
    REQUIRE(this->Server.start({"127.0.0.1", 0}));
    this->Way = std::make_unique<RelayStandIn>(
        Endpoint{"127.0.0.1", this->Server.getPort()});
    REQUIRE(this->Way->start({"127.0.0.1", 0}));
  }

  DaemonRecord getRecord() const {
    return {this->Name, "h", {"127.0.0.1", this->Way->getPort()}, {}};
  }

  JsonRpcDispatcher Dispatcher;
  HttpServer Server;
  const std::string Name;
  std::unique_ptr<RelayStandIn> Way;
};

/// A follower in a hall with two such peers.
struct Bench {
  explicit Bench(const std::string &Name)
      : Follower({Name, "h", {}, {}}, {}, View, Counters, [] {}) {
    this->View.replaceAll({}, 1, readSteadyClock());
    this->Follower.setDaemons({this->One.getRecord(), this->Two.getRecord()});
  }

  /// Moves the peers' copies on and lets the follower hear of it.
  void advance(uint64_t Next, TimePoint Now) {
    this->AsOf = Next;
    for (const AheadPeer *Peer : {&this->One, &this->Two}) {
      PeerMessage Message;
      Message.Source = Peer->Name;
      Message.Hall = "h";
      Message.AsOf = Next;
      CHECK(this->Follower.hear(Message, Now));
    }
  }

  std::atomic<uint64_t> AsOf{1};
  AheadPeer One{"one", AsOf};
  AheadPeer Two{"two", AsOf};
  CounterTable Counters;
  FleetView View{{70}, fromSeconds(2)};
  PeerFollower Follower;
};

} // namespace

/// Followers draw differently: among these some ask either peer first.
static const char *const FollowerNames[] = {"a", "b", "c", "d", "e", "f"};

TEST_CASE("a peer that does not answer is left for another at once") {
  for (const char *Name : FollowerNames) {
    Bench Under(Name);
    Under.One.Way->getFaults().CutBackward = true;
    const TimePoint Now = readSteadyClock();
    Under.advance(5, Now);
    Under.Follower.runRound(Now);
    CHECK(Under.View.getAsOf() == 5);
  }
}

TEST_CASE("kept connections that all went silent cost one short wait") {
  Bench Under("a");
  // Both peers are asked on connections that are kept.
  uint64_t Next = 1;
  for (int I = 0; I < 12; ++I) {
    Under.advance(++Next, readSteadyClock());
    Under.Follower.runRound(readSteadyClock());
  }
  REQUIRE(Under.View.getAsOf() == Next);
  Under.One.Way->silenceOpenConnections();
  Under.Two.Way->silenceOpenConnections();
  Under.advance(++Next, readSteadyClock());
  Under.Follower.runRound(readSteadyClock());
  CHECK(Under.View.getAsOf() == Next);
}

TEST_CASE("only a watch of its own that is answered is waited for") {
  Bench Under("a");
  const TimePoint Heard = readSteadyClock();
  Under.Follower.setOwnWatch(true);
  Under.advance(5, Heard);
  Under.Follower.runRound(Heard + fromMillis(100));
  CHECK(Under.View.getAsOf() == 1);
  SUBCASE("it is no longer answered") {
    Under.Follower.setOwnWatch(false);
    Under.Follower.runRound(Heard + fromMillis(100));
  }
  SUBCASE("it should have told by now") {
    Under.Follower.runRound(Heard + fromMillis(500));
  }
  CHECK(Under.View.getAsOf() == 5);
}
