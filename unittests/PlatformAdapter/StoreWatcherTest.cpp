//===- StoreWatcherTest.cpp - Tests of following the store ----------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests the client, the watcher, the writer of snapshots and the registration
/// of a daemon with the stand-in for the store.
///
//===----------------------------------------------------------------------===//

#include "PlatformAdapter/StoreWatcherFixture.h"
#include "PlatformAdapter/ViewChanges.h"
#include "canvaswick/StandIn/RelayStandIn.h"
#include "canvaswick/Support/TextCompression.h"
#include "platform/DaemonRegistration.h"
#include "platform/RecordDecoder.h"
#include "platform/SnapshotWriter.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace canvaswick;
using namespace canvaswick::platform;
using WatcherFixture = StoreWatcherFixture;

static const std::string DaemonKey = "canvaswick/daemons/d1";

TEST_CASE("all pages are read, and later changes are applied") {
  WatcherFixture Fixture;
  for (char Name = 'a'; Name <= 'h'; ++Name)
    Fixture.Store.put(std::string("canvaswick/daemons/") + Name,
                      encodeDaemon(Fixture.Self));
  Fixture.Watcher.runRound();
  CHECK(Fixture.View.listDaemons().size() == 8);
  CHECK(Fixture.Store.countCalls("/kv-range") == 3);
  Fixture.Store.remove("canvaswick/daemons/c");
  Fixture.Watcher.runRound();
  CHECK(Fixture.View.listDaemons().size() == 7);
}

TEST_CASE("everything is read again if the store has discarded its history") {
  WatcherFixture Fixture;
  Fixture.Store.put(DaemonKey, encodeDaemon(Fixture.Self));
  Fixture.Watcher.runRound();
  Fixture.Store.remove(DaemonKey);
  Fixture.Store.forgetHistory();
  Fixture.Watcher.runRound();
  Fixture.Watcher.runRound();
  CHECK(Fixture.View.listDaemons().empty());
}

TEST_CASE(
    "changes made while the store was unreachable are read on its return") {
  WatcherFixture Fixture;
  Fixture.Store.put(DaemonKey, encodeDaemon(Fixture.Self));
  WatcherFixture::synchronize(Fixture.Watcher);
  Fixture.Store.setFaults({.IsDown = true});
  Fixture.Watcher.runRound();
  CHECK_FALSE(Fixture.Watcher.isSynced());
  CHECK(Fixture.View.listDaemons().size() == 1);
  Fixture.Store.remove(DaemonKey);
  Fixture.Store.setFaults({});
  Fixture.Watcher.runRound();
  CHECK(Fixture.Watcher.isSynced());
  CHECK(Fixture.View.listDaemons().empty());
}

TEST_CASE("an answer without changes shows that the store is reachable") {
  WatcherFixture Fixture;
  Fixture.Store.put(DaemonKey, encodeDaemon(Fixture.Self));
  Fixture.Watcher.runRound();
  // What the first round read may be stale.
  CHECK(Fixture.Watcher.getLastAnswerTime() == TimePoint{});
  Fixture.Watcher.runRound();
  const TimePoint Watched = Fixture.Watcher.getLastAnswerTime();
  CHECK(Watched > TimePoint{});
  Fixture.Watcher.runRound();
  CHECK(Fixture.Watcher.getLastAnswerTime() > Watched);
  CHECK(Fixture.Store.countCalls("/kv-watch") == 2);
  CHECK(Fixture.Store.countCalls("/kv-range") == 1);
}

TEST_CASE("after a watch that was not answered, changes are read") {
  WatcherFixture Fixture;
  RelayStandIn Relay(Fixture.Store.getAddress());
  REQUIRE(Relay.start({"127.0.0.1", 0}));
  StoreClient Client({"127.0.0.1", Relay.getPort()}, Fixture.Counters);
  StoreWatcher Watcher(Client, Fixture.View, FirstReadSchedule(true, 0, {}),
                       [] {});
  Fixture.Store.put(DaemonKey, encodeDaemon(Fixture.Self));
  WatcherFixture::synchronize(Watcher);
  Relay.silenceOpenConnections();
  Fixture.Store.remove(DaemonKey);
  Watcher.runRound();
  CHECK_FALSE(Watcher.isSynced());
  // The next call is made at once, on a new connection.
  Watcher.runRound();
  CHECK(Watcher.isSynced());
  CHECK(Fixture.View.listDaemons().empty());
  // A full read, a read of the position of the store, and a full read again.
  CHECK(Fixture.Store.countCalls("/kv-range") == 3);
}

TEST_CASE("changes that a watch withholds are read") {
  WatcherFixture Fixture;
  Fixture.Store.put(DaemonKey, encodeDaemon(Fixture.Self));
  Fixture.Watcher.runRound();
  Fixture.Store.setFaults({.WithholdsChanges = true});
  Fixture.Store.remove(DaemonKey);
  Fixture.Watcher.runRound();
  CHECK_FALSE(Fixture.Watcher.isSynced());
  Fixture.Watcher.runRound();
  CHECK(Fixture.Watcher.isSynced());
  CHECK(Fixture.View.listDaemons().empty());
}

TEST_CASE("a suspended watcher is not synced until the store answers again") {
  WatcherFixture Fixture;
  WatcherFixture::synchronize(Fixture.Watcher);
  Fixture.Watcher.suspend();
  CHECK_FALSE(Fixture.Watcher.isSynced());
  Fixture.Watcher.runRound();
  CHECK(Fixture.Watcher.isSynced());
}

TEST_CASE("pages of different ages are complete up to the oldest") {
  WatcherFixture Fixture;
  for (char Name = 'a'; Name <= 'h'; ++Name)
    Fixture.Store.put(std::string("canvaswick/daemons/") + Name,
                      encodeDaemon(Fixture.Self));
  Fixture.Store.freezeStalePages();
  // The later pages do not include the removal, although the revision of the
  // first one is past it.
  Fixture.Store.remove("canvaswick/daemons/h");
  Fixture.Watcher.runRound();
  CHECK(Fixture.View.listDaemons().size() == 8);
  Fixture.Watcher.runRound();
  CHECK(Fixture.View.listDaemons().size() == 7);
}

/// Returns a snapshot as a fleet writes it to the store.
static std::string makeSnapshot(const WatcherFixture &Fixture, uint64_t AsOf) {
  ItemChanges All;
  All.IsFull = true;
  All.AsOf = {1, AsOf};
  All.Items.push_back(
      {DaemonKey, encodeDaemon(Fixture.Self), {1, AsOf}, false});
  return encodeSnapshot(All);
}

TEST_CASE("a starting daemon loads the snapshot that its fleet keeps") {
  WatcherFixture Fixture;
  const uint64_t AsOf =
      Fixture.Store.put(DaemonKey, encodeDaemon(Fixture.Self));
  Fixture.Store.put("canvaswick/copy", makeSnapshot(Fixture, AsOf));
  // The snapshot does not include this entry.
  Fixture.Store.put("canvaswick/daemons/d2", encodeDaemon(Fixture.Self));
  Fixture.Watcher.runRound();
  CHECK(Fixture.View.listDaemons().size() == 1);
  CHECK(Fixture.Store.countCalls("/kv-range") == 0);
  CHECK(Fixture.Store.sumCallCosts() == doctest::Approx(0.1));
  Fixture.Watcher.runRound();
  CHECK(Fixture.View.listDaemons().size() == 2);
  // The snapshot is not one of the items of the view.
  CHECK(Fixture.View.getChangesAfter({}).Items.size() == 2);
  CHECK(Fixture.View.getSnapshotPosition() == StorePosition(1, AsOf + 1));
}

TEST_CASE("a snapshot that is malformed, incomplete or too old is made up for "
          "by reads") {
  WatcherFixture Fixture;
  const uint64_t AsOf =
      Fixture.Store.put(DaemonKey, encodeDaemon(Fixture.Self));
  SUBCASE("malformed value") {
    Fixture.Store.put("canvaswick/copy", "no copy");
  }
  SUBCASE("incomplete") {
    ItemChanges Part;
    Part.AsOf = {1, AsOf};
    Fixture.Store.put("canvaswick/copy", encodeSnapshot(Part));
  }
  SUBCASE("too old") {
    Fixture.Store.put("canvaswick/copy", makeSnapshot(Fixture, AsOf));
    Fixture.Store.put("canvaswick/daemons/d2", encodeDaemon(Fixture.Self));
    Fixture.Store.remove(DaemonKey);
    Fixture.Store.forgetHistory();
    Fixture.Store.put(DaemonKey, encodeDaemon(Fixture.Self));
    Fixture.Store.remove("canvaswick/daemons/d2");
  }
  for (int I = 0; I < 3; ++I)
    Fixture.Watcher.runRound();
  CHECK(Fixture.View.listDaemons().size() == 1);
  CHECK(Fixture.Watcher.isSynced());
}

TEST_CASE("random bytes are refused as a snapshot") {
  CHECK(rc::check([](const std::string &Bytes) {
    (void)decodeSnapshot(Bytes);
    RC_ASSERT(!decodeSnapshot(compressText(Bytes)));
  }));
}

TEST_CASE("the leader writes the snapshot when it is behind, at intervals") {
  WatcherFixture Fixture;
  Fixture.Store.put(DaemonKey, encodeDaemon(Fixture.Self));
  WatcherFixture::synchronize(Fixture.Watcher);
  SnapshotWriter Writer(Fixture.Client, Fixture.View);
  const TimePoint Start = readSteadyClock();
  const auto IsWritten = [&](WatchRole Role, size_t HallRank, Duration After) {
    const size_t Before = Fixture.Store.countCalls("/kv-txn");
    Writer.runRound(Role, HallRank, Start + After);
    return Fixture.Store.countCalls("/kv-txn") > Before;
  };
  CHECK_FALSE(IsWritten(WatchRole::Lead, 0, Duration::zero()));
  CHECK_FALSE(IsWritten(WatchRole::Lead, 0, fromSeconds(4.9)));
  CHECK_FALSE(IsWritten(WatchRole::StandBy, 0, fromSeconds(5)));
  CHECK_FALSE(IsWritten(WatchRole::Lead, 1, fromSeconds(5)));
  CHECK(IsWritten(WatchRole::Lead, 0, fromSeconds(5)));
  const Result<ItemChanges> Snapshot =
      decodeSnapshot(Fixture.Store.peek("canvaswick/copy"));
  REQUIRE(Snapshot);
  CHECK(Snapshot.value().Items.size() == 1);
  // The write of a snapshot is not a change that makes another one due.
  Fixture.Watcher.runRound();
  CHECK_FALSE(IsWritten(WatchRole::Lead, 0, fromSeconds(11)));
  Fixture.Store.put("canvaswick/daemons/d2", encodeDaemon(Fixture.Self));
  Fixture.Watcher.runRound();
  CHECK(IsWritten(WatchRole::Lead, 0, fromSeconds(12)));
}

TEST_CASE(
    "a daemon that learned the rest from peers replaces the snapshot that "
    "it started from") {
  WatcherFixture Fixture;
  const uint64_t Before =
      Fixture.Store.put(DaemonKey, encodeDaemon(Fixture.Self));
  Fixture.Store.put("canvaswick/copy", makeSnapshot(Fixture, Before));
  Fixture.Watcher.runRound();
  CHECK(Fixture.View.getAsOf() == StorePosition(1, Before));
  const uint64_t After =
      Fixture.Store.put("canvaswick/daemons/d2", encodeDaemon(Fixture.Self));
  applyEvents(Fixture.View,
              {{"canvaswick/daemons/d2",
                encodeDaemon(Fixture.Self),
                {1, After},
                false}},
              {1, After}, readSteadyClock());
  SnapshotWriter Writer(Fixture.Client, Fixture.View);
  const TimePoint Start = readSteadyClock();
  Writer.runRound(WatchRole::Lead, 0, Start);
  Writer.runRound(WatchRole::Lead, 0, Start + fromSeconds(5));
  const Result<ItemChanges> Snapshot =
      decodeSnapshot(Fixture.Store.peek("canvaswick/copy"));
  REQUIRE(Snapshot);
  CHECK(Snapshot.value().Items.size() == 2);
}

TEST_CASE(
    "if two daemons write the snapshot at once, one is refused and waits") {
  WatcherFixture Fixture;
  Fixture.Store.put(DaemonKey, encodeDaemon(Fixture.Self));
  WatcherFixture::synchronize(Fixture.Watcher);
  SnapshotWriter One(Fixture.Client, Fixture.View);
  SnapshotWriter Two(Fixture.Client, Fixture.View);
  const TimePoint Start = readSteadyClock();
  for (const Duration After :
       {Duration::zero(), fromSeconds(5), fromSeconds(6)})
    for (SnapshotWriter *Each : {&One, &Two})
      Each->runRound(WatchRole::Lead, 0, Start + After);
  CHECK(Fixture.Store.countCalls("/kv-txn") == 2);
  CHECK(decodeSnapshot(Fixture.Store.peek("canvaswick/copy")));
}

TEST_CASE("writes are conditional, and the end of a lease removes its items") {
  WatcherFixture Fixture;
  StoreTransaction First;
  First.Expected.emplace_back("k", 0);
  First.Writes.push_back({"k", "one", 0});
  Result<StorePosition> Written = Fixture.Client.write(First);
  REQUIRE(Written);
  Result<StorePosition> Again = Fixture.Client.write(First);
  REQUIRE_FALSE(Again);
  CHECK(Again.error().Kind == ErrorKind::Conflict);
  Result<StoreLease> Lease = Fixture.Client.openLease(fromSeconds(5));
  REQUIRE(Lease);
  StoreTransaction Leased;
  Leased.Writes.push_back({"l", "x", Lease.value().Number});
  REQUIRE(Fixture.Client.write(Leased));
  CHECK(Fixture.Client.renewLease(Lease.value()));
  CHECK(Fixture.Client.endLease(Lease.value()));
  CHECK(Fixture.Store.peek("l").empty());
  Result<void> Late = Fixture.Client.renewLease(Lease.value());
  REQUIRE_FALSE(Late);
  CHECK(Late.error().Kind == ErrorKind::NotFound);
}

TEST_CASE("a daemon registers, and does so again when its lease has ended") {
  WatcherFixture Fixture;
  Fixture.Store.put("op/config", "{}");
  Fixture.Watcher.runRound();
  DaemonRegistration Registration(Fixture.Client, Fixture.View, Fixture.Self,
                                  fromSeconds(60));
  const TimePoint Now = readSteadyClock();
  Registration.runRound(Now);
  CHECK_FALSE(Fixture.Store.peek(DaemonKey).empty());
  // The view has not reached the write yet, and nothing is written twice.
  Registration.runRound(Now + fromSeconds(3));
  CHECK(Fixture.Store.countCalls("/kv-txn") == 1);
  Fixture.Store.endLeases();
  Fixture.Watcher.runRound();
  Registration.runRound(Now + fromSeconds(4));
  CHECK_FALSE(Fixture.Store.peek(DaemonKey).empty());
  CHECK(Fixture.Store.countCalls("/kv-txn") == 2);
  Registration.leave();
  CHECK(Fixture.Store.peek(DaemonKey).empty());
}

TEST_CASE("a restarted daemon takes over its entry and its lease") {
  WatcherFixture Fixture;
  Fixture.Store.put("op/config", "{}");
  WatcherFixture::synchronize(Fixture.Watcher);
  const TimePoint Now = readSteadyClock();
  DaemonRegistration Before(Fixture.Client, Fixture.View, Fixture.Self,
                            fromSeconds(60));
  Before.runRound(Now);
  Fixture.Watcher.runRound();
  // The daemon lost power, so its lease was not ended.
  const double Price = Fixture.Store.sumCallCosts();
  DaemonRegistration After(Fixture.Client, Fixture.View, Fixture.Self,
                           fromSeconds(60));
  After.runRound(Now);
  CHECK(Fixture.Store.sumCallCosts() - Price == doctest::Approx(0.1));
  SUBCASE("it ends the lease when it leaves") {
    After.leave();
    CHECK(Fixture.Store.peek(DaemonKey).empty());
  }
  SUBCASE("the lease has ended, though the view lists the entry") {
    Fixture.Store.endLeases();
    DaemonRegistration Third(Fixture.Client, Fixture.View, Fixture.Self,
                             fromSeconds(60));
    Third.runRound(Now);
    CHECK_FALSE(Fixture.Store.peek(DaemonKey).empty());
    CHECK(Fixture.Store.countCalls("/kv-txn") == 2);
  }
  SUBCASE("it restarts at another address") {
    DaemonRecord Moved = Fixture.Self;
    Moved.Control.Port = 99;
    DaemonRegistration Third(Fixture.Client, Fixture.View, Moved,
                             fromSeconds(60));
    Third.runRound(Now);
    CHECK(Fixture.Store.countCalls("/kv-txn") == 2);
  }
}

TEST_CASE("a write whose answer was lost is looked up before it is retried") {
  WatcherFixture Fixture;
  Fixture.Store.put("op/config", "{}");
  Fixture.Watcher.runRound();
  DaemonRegistration Registration(Fixture.Client, Fixture.View, Fixture.Self,
                                  fromSeconds(60));
  Fixture.Store.setFaults({.LosesAnswers = true});
  const TimePoint Now = readSteadyClock();
  Registration.runRound(Now);
  CHECK_FALSE(Fixture.Store.peek(DaemonKey).empty());
  Fixture.Store.setFaults({});
  Fixture.Watcher.runRound();
  Registration.runRound(Now + fromSeconds(3));
  CHECK(Fixture.Store.countCalls("/kv-txn") == 1);
}
