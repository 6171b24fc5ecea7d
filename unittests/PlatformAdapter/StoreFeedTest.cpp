//===- StoreFeedTest.cpp - Tests of following the store -------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The client, the feed and the registry against the stand-in for the store.
///
//===----------------------------------------------------------------------===//

#include "platform/StoreFeed.h"
#include "canvaswick/StandIn/RelayStandIn.h"
#include "platform/DaemonRegistry.h"
#include "platform/RecordDecoder.h"
#include "platform/standin/StoreStandIn.h"

#include <doctest/doctest.h>

using namespace canvaswick;
using namespace canvaswick::platform;

namespace {

/// A store, a client and a view of it.
struct Bench {
  Bench() : Client(start(Store), Counters) {}

  static Endpoint start(StoreStandIn &Store) {
    REQUIRE(Store.start());
    return Store.getAddress();
  }

  StoreStandIn Store;
  CounterTable Counters;
  StoreClient Client;
  FleetView View{{70}, fromSeconds(2)};
  StoreFeed Feed{Client, View, [] {}};
  DaemonRecord Self{"d1", "h", {"10.0.0.1", 80}, {"10.0.0.1", 81}};
};

} // namespace

static const std::string DaemonKey = "canvaswick/daemons/d1";

TEST_CASE("all pages are read and changes follow") {
  Bench Under;
  for (char Name = 'a'; Name <= 'h'; ++Name)
    Under.Store.put(std::string("canvaswick/daemons/") + Name,
                    encodeDaemon(Under.Self));
  Under.Feed.runRound();
  CHECK(Under.View.compile().Daemons.size() == 8);
  CHECK(Under.Store.countCalls("/kv-range") == 3);
  Under.Store.remove("canvaswick/daemons/c");
  Under.Feed.runRound();
  CHECK(Under.View.compile().Daemons.size() == 7);
}

TEST_CASE("a store that has forgotten its history is read anew") {
  Bench Under;
  Under.Store.put(DaemonKey, encodeDaemon(Under.Self));
  Under.Feed.runRound();
  Under.Store.remove(DaemonKey);
  Under.Store.forgetHistory();
  Under.Feed.runRound();
  Under.Feed.runRound();
  CHECK(Under.View.compile().Daemons.empty());
}

TEST_CASE("what changed while the store was away is learned on its return") {
  Bench Under;
  Under.Store.put(DaemonKey, encodeDaemon(Under.Self));
  Under.Feed.runRound();
  CHECK(Under.Feed.isSound());
  Under.Store.setFaults({.IsDown = true});
  Under.Feed.runRound();
  CHECK_FALSE(Under.Feed.isSound());
  CHECK(Under.View.compile().Daemons.size() == 1);
  Under.Store.remove(DaemonKey);
  Under.Store.setFaults({});
  Under.Feed.runRound();
  CHECK(Under.Feed.isSound());
  CHECK(Under.View.compile().Daemons.empty());
}

TEST_CASE("an answer without changes shows that the store is reached") {
  Bench Under;
  Under.Store.put(DaemonKey, encodeDaemon(Under.Self));
  CHECK(Under.Feed.getHeardAt() == TimePoint{});
  Under.Feed.runRound();
  const TimePoint Read = Under.Feed.getHeardAt();
  CHECK(Read > TimePoint{});
  Under.Feed.runRound();
  CHECK(Under.Feed.getHeardAt() > Read);
  CHECK(Under.Store.countCalls("/kv-watch") == 1);
  CHECK(Under.Store.countCalls("/kv-range") == 1);
}

TEST_CASE("after a watch that was not answered, what has changed is read") {
  Bench Under;
  RelayStandIn Way(Under.Store.getAddress());
  REQUIRE(Way.start({"127.0.0.1", 0}));
  StoreClient Client({"127.0.0.1", Way.getPort()}, Under.Counters);
  StoreFeed Feed(Client, Under.View, [] {});
  Under.Store.put(DaemonKey, encodeDaemon(Under.Self));
  Feed.runRound();
  Way.silenceOpenConnections();
  Under.Store.remove(DaemonKey);
  Feed.runRound();
  CHECK_FALSE(Feed.isSound());
  // On a new connection, and at once.
  Feed.runRound();
  CHECK(Feed.isSound());
  CHECK(Under.View.compile().Daemons.empty());
  // All, how far the store is, and all again.
  CHECK(Under.Store.countCalls("/kv-range") == 3);
}

TEST_CASE("changes that a watch withholds are read") {
  Bench Under;
  Under.Store.put(DaemonKey, encodeDaemon(Under.Self));
  Under.Feed.runRound();
  Under.Store.setFaults({.WithholdsChanges = true});
  Under.Store.remove(DaemonKey);
  Under.Feed.runRound();
  CHECK_FALSE(Under.Feed.isSound());
  Under.Feed.runRound();
  CHECK(Under.Feed.isSound());
  CHECK(Under.View.compile().Daemons.empty());
}

TEST_CASE("a daemon that rests counts for nothing until the store answers it") {
  Bench Under;
  Under.Feed.runRound();
  CHECK(Under.Feed.isSound());
  Under.Feed.rest();
  CHECK_FALSE(Under.Feed.isSound());
  Under.Feed.runRound();
  CHECK(Under.Feed.isSound());
}

TEST_CASE("writes are conditional, and leases take their items along") {
  Bench Under;
  StoreTransaction First;
  First.Expected.emplace_back("k", 0);
  First.Writes.push_back({"k", "one", 0});
  Result<uint64_t> Written = Under.Client.write(First);
  REQUIRE(Written);
  Result<uint64_t> Again = Under.Client.write(First);
  REQUIRE_FALSE(Again);
  CHECK(Again.error().Kind == ErrorKind::Conflict);
  Result<uint64_t> Lease = Under.Client.openLease(fromSeconds(5));
  REQUIRE(Lease);
  StoreTransaction Leased;
  Leased.Writes.push_back({"l", "x", Lease.value()});
  REQUIRE(Under.Client.write(Leased));
  CHECK(Under.Client.keepLease(Lease.value()));
  CHECK(Under.Client.endLease(Lease.value()));
  CHECK(Under.Store.peek("l").empty());
  Result<void> Late = Under.Client.keepLease(Lease.value());
  REQUIRE_FALSE(Late);
  CHECK(Late.error().Kind == ErrorKind::NotFound);
}

TEST_CASE("a daemon registers, and again when its lease has ended") {
  Bench Under;
  Under.Store.put("op/config", "{}");
  Under.Feed.runRound();
  DaemonRegistry Registry(Under.Client, Under.View, Under.Self,
                          fromSeconds(60));
  const TimePoint Now = readSteadyClock();
  Registry.runRound(Now);
  CHECK_FALSE(Under.Store.peek(DaemonKey).empty());
  // The view has not reached the write yet: nothing is written twice.
  Registry.runRound(Now + fromSeconds(3));
  CHECK(Under.Store.countCalls("/kv-txn") == 1);
  Under.Store.endLeases();
  Under.Feed.runRound();
  Registry.runRound(Now + fromSeconds(4));
  CHECK_FALSE(Under.Store.peek(DaemonKey).empty());
  CHECK(Under.Store.countCalls("/kv-txn") == 2);
  Registry.leave();
  CHECK(Under.Store.peek(DaemonKey).empty());
}

TEST_CASE("a write whose answer was lost is looked up first") {
  Bench Under;
  Under.Store.put("op/config", "{}");
  Under.Feed.runRound();
  DaemonRegistry Registry(Under.Client, Under.View, Under.Self,
                          fromSeconds(60));
  Under.Store.setFaults({.LosesAnswers = true});
  const TimePoint Now = readSteadyClock();
  Registry.runRound(Now);
  CHECK_FALSE(Under.Store.peek(DaemonKey).empty());
  Under.Store.setFaults({});
  Under.Feed.runRound();
  Registry.runRound(Now + fromSeconds(3));
  CHECK(Under.Store.countCalls("/kv-txn") == 1);
}
