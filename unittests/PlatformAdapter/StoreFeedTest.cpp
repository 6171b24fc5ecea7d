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

#include "PlatformAdapter/FeedBench.h"
#include "canvaswick/StandIn/RelayStandIn.h"
#include "canvaswick/Support/Packing.h"
#include "platform/CopyKeeper.h"
#include "platform/DaemonRegistry.h"
#include "platform/RecordDecoder.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace canvaswick;
using namespace canvaswick::platform;
using Bench = FeedBench;

static const std::string DaemonKey = "canvaswick/daemons/d1";

TEST_CASE("all pages are read and changes follow") {
  Bench Under;
  for (char Name = 'a'; Name <= 'h'; ++Name)
    Under.Store.put(std::string("canvaswick/daemons/") + Name,
                    encodeDaemon(Under.Self));
  Under.Feed.runRound();
  CHECK(Under.View.listDaemons().size() == 8);
  CHECK(Under.Store.countCalls("/kv-range") == 3);
  Under.Store.remove("canvaswick/daemons/c");
  Under.Feed.runRound();
  CHECK(Under.View.listDaemons().size() == 7);
}

TEST_CASE("a store that has forgotten its history is read anew") {
  Bench Under;
  Under.Store.put(DaemonKey, encodeDaemon(Under.Self));
  Under.Feed.runRound();
  Under.Store.remove(DaemonKey);
  Under.Store.forgetHistory();
  Under.Feed.runRound();
  Under.Feed.runRound();
  CHECK(Under.View.listDaemons().empty());
}

TEST_CASE("what changed while the store was away is learned on its return") {
  Bench Under;
  Under.Store.put(DaemonKey, encodeDaemon(Under.Self));
  Bench::settle(Under.Feed);
  Under.Store.setFaults({.IsDown = true});
  Under.Feed.runRound();
  CHECK_FALSE(Under.Feed.isSound());
  CHECK(Under.View.listDaemons().size() == 1);
  Under.Store.remove(DaemonKey);
  Under.Store.setFaults({});
  Under.Feed.runRound();
  CHECK(Under.Feed.isSound());
  CHECK(Under.View.listDaemons().empty());
}

TEST_CASE("an answer without changes shows that the store is reached") {
  Bench Under;
  Under.Store.put(DaemonKey, encodeDaemon(Under.Self));
  Under.Feed.runRound();
  // What it read may be old.
  CHECK(Under.Feed.getHeardAt() == TimePoint{});
  Under.Feed.runRound();
  const TimePoint Watched = Under.Feed.getHeardAt();
  CHECK(Watched > TimePoint{});
  Under.Feed.runRound();
  CHECK(Under.Feed.getHeardAt() > Watched);
  CHECK(Under.Store.countCalls("/kv-watch") == 2);
  CHECK(Under.Store.countCalls("/kv-range") == 1);
}

TEST_CASE("after a watch that was not answered, what has changed is read") {
  Bench Under;
  RelayStandIn Way(Under.Store.getAddress());
  REQUIRE(Way.start({"127.0.0.1", 0}));
  StoreClient Client({"127.0.0.1", Way.getPort()}, Under.Counters);
  StoreFeed Feed(Client, Under.View, [] {});
  Under.Store.put(DaemonKey, encodeDaemon(Under.Self));
  Bench::settle(Feed);
  Way.silenceOpenConnections();
  Under.Store.remove(DaemonKey);
  Feed.runRound();
  CHECK_FALSE(Feed.isSound());
  // On a new connection, and at once.
  Feed.runRound();
  CHECK(Feed.isSound());
  CHECK(Under.View.listDaemons().empty());
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
  CHECK(Under.View.listDaemons().empty());
}

TEST_CASE("a daemon that rests counts for nothing until the store answers it") {
  Bench Under;
  Bench::settle(Under.Feed);
  Under.Feed.rest();
  CHECK_FALSE(Under.Feed.isSound());
  Under.Feed.runRound();
  CHECK(Under.Feed.isSound());
}

TEST_CASE("pages that are not equally old are complete up to the oldest") {
  Bench Under;
  for (char Name = 'a'; Name <= 'h'; ++Name)
    Under.Store.put(std::string("canvaswick/daemons/") + Name,
                    encodeDaemon(Under.Self));
  Under.Store.keepOldPages();
  // The later pages do not show it, and the first one's revision is past it.
  Under.Store.remove("canvaswick/daemons/h");
  Under.Feed.runRound();
  CHECK(Under.View.listDaemons().size() == 8);
  Under.Feed.runRound();
  CHECK(Under.View.listDaemons().size() == 7);
}

/// Returns a copy as a fleet leaves it at the store.
static std::string makeCopy(const Bench &Under, uint64_t AsOf) {
  ItemChanges All;
  All.IsFull = true;
  All.AsOf = {1, AsOf};
  All.Items.push_back({DaemonKey, encodeDaemon(Under.Self), {1, AsOf}, false});
  return encodeCopy(All);
}

TEST_CASE("a daemon that starts takes the copy that its fleet keeps") {
  Bench Under;
  const uint64_t AsOf = Under.Store.put(DaemonKey, encodeDaemon(Under.Self));
  Under.Store.put("canvaswick/copy", makeCopy(Under, AsOf));
  // The copy does not know of this one.
  Under.Store.put("canvaswick/daemons/d2", encodeDaemon(Under.Self));
  Under.Feed.runRound();
  CHECK(Under.View.listDaemons().size() == 1);
  CHECK(Under.Store.countCalls("/kv-range") == 0);
  CHECK(Under.Store.countPricedCalls() == doctest::Approx(0.1));
  Under.Feed.runRound();
  CHECK(Under.View.listDaemons().size() == 2);
  // Nor is the copy one of the items that it would hold.
  CHECK(Under.View.getChangesAfter({}).Items.size() == 2);
  CHECK(Under.View.getCopyPosition() == StorePosition(1, AsOf + 1));
}

TEST_CASE("a copy that is broken, of a part, or too old is made up for") {
  Bench Under;
  const uint64_t AsOf = Under.Store.put(DaemonKey, encodeDaemon(Under.Self));
  SUBCASE("broken") { Under.Store.put("canvaswick/copy", "no copy"); }
  SUBCASE("of a part") {
    ItemChanges Part;
    Part.AsOf = {1, AsOf};
    Under.Store.put("canvaswick/copy", encodeCopy(Part));
  }
  SUBCASE("too old") {
    Under.Store.put("canvaswick/copy", makeCopy(Under, AsOf));
    Under.Store.put("canvaswick/daemons/d2", encodeDaemon(Under.Self));
    Under.Store.remove(DaemonKey);
    Under.Store.forgetHistory();
    Under.Store.put(DaemonKey, encodeDaemon(Under.Self));
    Under.Store.remove("canvaswick/daemons/d2");
  }
  for (int I = 0; I < 3; ++I)
    Under.Feed.runRound();
  CHECK(Under.View.listDaemons().size() == 1);
  CHECK(Under.Feed.isSound());
}

TEST_CASE("random bytes for a copy are refused") {
  CHECK(rc::check([](const std::string &Bytes) {
    (void)decodeCopy(Bytes);
    RC_ASSERT(!decodeCopy(packText(Bytes)));
  }));
}

TEST_CASE("the copy is written when it is behind, by who leads, now and then") {
  Bench Under;
  Under.Store.put(DaemonKey, encodeDaemon(Under.Self));
  Bench::settle(Under.Feed);
  CopyKeeper Keeper(Under.Client, Under.View);
  const TimePoint Start = readSteadyClock();
  const auto IsWritten = [&](WatchRole Role, size_t HallRank, Duration After) {
    const size_t Before = Under.Store.countCalls("/kv-txn");
    Keeper.runRound(Role, HallRank, Start + After);
    return Under.Store.countCalls("/kv-txn") > Before;
  };
  CHECK_FALSE(IsWritten(WatchRole::Lead, 0, Duration::zero()));
  CHECK_FALSE(IsWritten(WatchRole::Lead, 0, fromSeconds(4.9)));
  CHECK_FALSE(IsWritten(WatchRole::StandBy, 0, fromSeconds(5)));
  CHECK_FALSE(IsWritten(WatchRole::Lead, 1, fromSeconds(5)));
  CHECK(IsWritten(WatchRole::Lead, 0, fromSeconds(5)));
  const Result<ItemChanges> Copy =
      decodeCopy(Under.Store.peek("canvaswick/copy"));
  REQUIRE(Copy);
  CHECK(Copy.value().Items.size() == 1);
  // Its own write is no change that another copy would be due for.
  Under.Feed.runRound();
  CHECK_FALSE(IsWritten(WatchRole::Lead, 0, fromSeconds(11)));
  Under.Store.put("canvaswick/daemons/d2", encodeDaemon(Under.Self));
  Under.Feed.runRound();
  CHECK(IsWritten(WatchRole::Lead, 0, fromSeconds(12)));
}

TEST_CASE("of two that write the copy at once one is refused and waits") {
  Bench Under;
  Under.Store.put(DaemonKey, encodeDaemon(Under.Self));
  Bench::settle(Under.Feed);
  CopyKeeper One(Under.Client, Under.View);
  CopyKeeper Two(Under.Client, Under.View);
  const TimePoint Start = readSteadyClock();
  for (const Duration After :
       {Duration::zero(), fromSeconds(5), fromSeconds(6)})
    for (CopyKeeper *Each : {&One, &Two})
      Each->runRound(WatchRole::Lead, 0, Start + After);
  CHECK(Under.Store.countCalls("/kv-txn") == 2);
  CHECK(decodeCopy(Under.Store.peek("canvaswick/copy")));
}

TEST_CASE("writes are conditional, and leases take their items along") {
  Bench Under;
  StoreTransaction First;
  First.Expected.emplace_back("k", 0);
  First.Writes.push_back({"k", "one", 0});
  Result<StorePosition> Written = Under.Client.write(First);
  REQUIRE(Written);
  Result<StorePosition> Again = Under.Client.write(First);
  REQUIRE_FALSE(Again);
  CHECK(Again.error().Kind == ErrorKind::Conflict);
  Result<StoreLease> Lease = Under.Client.openLease(fromSeconds(5));
  REQUIRE(Lease);
  StoreTransaction Leased;
  Leased.Writes.push_back({"l", "x", Lease.value().Number});
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

TEST_CASE("a daemon that comes back goes on with its entry and its lease") {
  Bench Under;
  Under.Store.put("op/config", "{}");
  Bench::settle(Under.Feed);
  const TimePoint Now = readSteadyClock();
  DaemonRegistry Before(Under.Client, Under.View, Under.Self, fromSeconds(60));
  Before.runRound(Now);
  Under.Feed.runRound();
  // It lost power: nothing was ended.
  const double Price = Under.Store.countPricedCalls();
  DaemonRegistry After(Under.Client, Under.View, Under.Self, fromSeconds(60));
  After.runRound(Now);
  CHECK(Under.Store.countPricedCalls() - Price == doctest::Approx(0.1));
  SUBCASE("it leaves by it") {
    After.leave();
    CHECK(Under.Store.peek(DaemonKey).empty());
  }
  SUBCASE("the lease has ended, though the view lists the entry") {
    Under.Store.endLeases();
    DaemonRegistry Third(Under.Client, Under.View, Under.Self, fromSeconds(60));
    Third.runRound(Now);
    CHECK_FALSE(Under.Store.peek(DaemonKey).empty());
    CHECK(Under.Store.countCalls("/kv-txn") == 2);
  }
  SUBCASE("it comes back at another address") {
    DaemonRecord Moved = Under.Self;
    Moved.Control.Port = 99;
    DaemonRegistry Third(Under.Client, Under.View, Moved, fromSeconds(60));
    Third.runRound(Now);
    CHECK(Under.Store.countCalls("/kv-txn") == 2);
  }
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
