//===- FeedRestoreTest.cpp - Tests of StoreWatcher after a restore --------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//

#include "PlatformAdapter/StoreWatcherFixture.h"
#include "canvaswick/Daemon/DirectoryCalls.h"
#include "platform/DaemonRegistration.h"
#include "platform/RecordDecoder.h"
#include "platform/SnapshotWriter.h"

#include <doctest/doctest.h>

using namespace canvaswick;
using namespace canvaswick::platform;

static const std::string DaemonKey = "canvaswick/daemons/d1";

/// Writes an item that no daemon reads Count times.
static void writeUnrelatedItem(StoreStandIn &Store, int Count) {
  for (int I = 0; I < Count; ++I)
    Store.put("other/item", fmt::format("{}", I));
}

/// Runs up to Rounds rounds until the view is at the store's epoch and
/// revision. Returns whether it got there.
static bool catchesUp(StoreWatcherFixture &Fixture, int Rounds) {
  for (int I = 0; I < Rounds; ++I) {
    Fixture.Watcher.runRound();
    if (Fixture.View.getAsOf().Revision == Fixture.Store.getRevision() &&
        Fixture.View.getAsOf().Epoch == Fixture.Client.getEpoch())
      return true;
  }
  return false;
}

namespace {

/// A watcher whose view is newer than the backup of its store.
struct RestoreFixture : StoreWatcherFixture {
  RestoreFixture() {
    this->Store.put(DaemonKey, encodeDaemon(this->Self));
    synchronize(this->Watcher);
    this->Store.takeBackup();
    writeUnrelatedItem(this->Store, 20);
    CHECK(catchesUp(*this, 3));
  }
};

} // namespace

TEST_CASE("changes are read although the revision passed the old one again") {
  RestoreFixture Fixture;
  Fixture.Store.restoreBackup();
  Fixture.Store.remove(DaemonKey);
  writeUnrelatedItem(Fixture.Store, 40);
  CHECK(catchesUp(Fixture, 3));
  CHECK(Fixture.View.listDaemons().size() == 1);
  Fixture.View.resolveMissing(readSteadyClock() + fromSeconds(10));
  CHECK(Fixture.View.listDaemons().empty());
}

TEST_CASE("a restored store that sends no new epoch is read again") {
  RestoreFixture Fixture;
  Fixture.Store.restoreBackup();
  SUBCASE("it sends no epoch") { Fixture.Store.setEpochText(std::nullopt); }
  SUBCASE("it sends the earlier epoch") { Fixture.Store.setEpochText("1"); }
  Fixture.Store.remove(DaemonKey);
  Fixture.Watcher.runRound();
  Fixture.Watcher.runRound();
  Fixture.Watcher.runRound();
  CHECK(Fixture.View.getAsOf().Revision == Fixture.Store.getRevision());
}

TEST_CASE("an epoch that is not a number, or two different ones, is ignored") {
  const auto ReadTexts = [](std::vector<std::string> Texts) {
    httplib::Headers Headers;
    for (std::string &Text : Texts)
      Headers.emplace("Store-Era", std::move(Text));
    return readEpoch(Headers);
  };
  CHECK(ReadTexts({"7"}) == 7);
  CHECK(ReadTexts({"7", "7"}) == 7);
  CHECK_FALSE(ReadTexts({}));
  CHECK_FALSE(ReadTexts({""}));
  CHECK_FALSE(ReadTexts({"7", "8"}));
  for (const char *Text : {"-1", "+1", " 7", "7 ", "7.0", "1e3", "0x7", "seven",
                           "7,7", "18446744073709551616"}) {
    CAPTURE(Text);
    CHECK_FALSE(ReadTexts({Text}));
  }
}

TEST_CASE("answers without a valid epoch count as of the known epoch") {
  RestoreFixture Fixture;
  Fixture.Store.setEpochText("x");
  Fixture.Store.remove(DaemonKey);
  CHECK(catchesUp(Fixture, 2));
  CHECK(Fixture.View.listDaemons().empty());
}

TEST_CASE("an answer of an earlier epoch changes nothing") {
  RestoreFixture Fixture;
  Fixture.Store.restoreBackup();
  CHECK(catchesUp(Fixture, 4));
  const StorePosition Known = Fixture.View.getAsOf();
  // The store answers as of the earlier epoch.
  Fixture.Store.setEpochText("1");
  Fixture.Store.remove(DaemonKey);
  Fixture.Watcher.runRound();
  Fixture.Watcher.runRound();
  CHECK(Fixture.View.getAsOf() == Known);
  CHECK_FALSE(Fixture.Watcher.isSynced());
  Fixture.Store.setEpochText("2");
  CHECK(catchesUp(Fixture, 4));
  CHECK(Fixture.View.listDaemons().empty());
}

TEST_CASE("an epoch that skips numbers is accepted") {
  RestoreFixture Fixture;
  Fixture.Store.restoreBackup();
  Fixture.Store.setEpochText("12");
  CHECK(catchesUp(Fixture, 4));
  CHECK(Fixture.View.getAsOf().Epoch == 12);
}

TEST_CASE("a store that keeps losing its history gets few calls") {
  RestoreFixture Fixture;
  const double Before = Fixture.Store.sumCallCosts();
  const TimePoint Begin = readSteadyClock();
  constexpr int Rounds = 8;
  for (int I = 0; I < Rounds; ++I) {
    writeUnrelatedItem(Fixture.Store, 1);
    Fixture.Store.forgetHistory();
    Fixture.Watcher.runRound();
  }
  // Every second round waits, and the backoff grows.
  CHECK(readSteadyClock() - Begin >= fromMillis(200));
  CHECK(Fixture.Store.sumCallCosts() - Before <= 2 * Rounds);
}

TEST_CASE(
    "a lease of an earlier epoch is dropped without ending it at the store") {
  StoreWatcherFixture Fixture;
  Fixture.Store.put("op/config", "{}");
  StoreWatcherFixture::synchronize(Fixture.Watcher);
  Fixture.Store.takeBackup();
  DaemonRegistration Registry(Fixture.Client, Fixture.View, Fixture.Self,
                              fromSeconds(60));
  const TimePoint Now = readSteadyClock();
  Registry.runRound(Now);
  CHECK(catchesUp(Fixture, 2));
  Fixture.Store.restoreBackup();
  // The store gives the same number to another lease.
  Result<StoreLease> OtherLease = Fixture.Client.openLease(fromSeconds(60));
  REQUIRE(OtherLease);
  StoreTransaction Write;
  Write.Writes.push_back(
      {"canvaswick/daemons/d2",
       encodeDaemon({"d2", "h", {"10.0.0.2", 80}, {"10.0.0.2", 81}},
                    OtherLease.value().Number),
       OtherLease.value().Number});
  REQUIRE(Fixture.Client.write(Write));
  SUBCASE("the daemon leaves before it has read the store again") {
    Registry.leave();
    CHECK_FALSE(Fixture.Store.peek("canvaswick/daemons/d2").empty());
  }
  SUBCASE("the daemon is listed again, with a new lease") {
    CHECK(catchesUp(Fixture, 3));
    for (int Seconds = 0; Seconds < 3; ++Seconds)
      Registry.runRound(Now + fromSeconds(Seconds));
    CHECK_FALSE(Fixture.Store.peek(DaemonKey).empty());
    Registry.leave();
    CHECK(Fixture.Store.peek(DaemonKey).empty());
    CHECK_FALSE(Fixture.Store.peek("canvaswick/daemons/d2").empty());
  }
}

TEST_CASE("a daemon whose entry the backup holds keeps its lease") {
  StoreWatcherFixture Fixture;
  Fixture.Store.put("op/config", "{}");
  StoreWatcherFixture::synchronize(Fixture.Watcher);
  DaemonRegistration Registry(Fixture.Client, Fixture.View, Fixture.Self,
                              fromSeconds(60));
  const TimePoint Now = readSteadyClock();
  Registry.runRound(Now);
  CHECK(catchesUp(Fixture, 2));
  Fixture.Store.takeBackup();
  Fixture.Store.restoreBackup();
  CHECK(catchesUp(Fixture, 3));
  const double Before = Fixture.Store.sumCallCosts();
  Registry.runRound(Now + fromSeconds(1));
  CHECK(Fixture.Store.sumCallCosts() - Before == doctest::Approx(0.1));
  Registry.leave();
  CHECK(Fixture.Store.peek(DaemonKey).empty());
}

TEST_CASE("the snapshot is written again soon after a restore") {
  RestoreFixture Fixture;
  SnapshotWriter Writer(Fixture.Client, Fixture.View);
  const TimePoint Start = readSteadyClock();
  Writer.runRound(WatchRole::Lead, 0, Start);
  Writer.runRound(WatchRole::Lead, 0, Start + fromSeconds(5));
  REQUIRE(decodeSnapshot(Fixture.Store.peek("canvaswick/copy")));
  Fixture.Store.restoreBackup();
  CHECK(Fixture.Store.peek("canvaswick/copy").empty());
  // It is not written from a view of an earlier epoch.
  (void)Fixture.Client.readItem(DaemonKey, ReadConsistency::Linearizable);
  Writer.runRound(WatchRole::Lead, 0, Start + fromSeconds(20));
  CHECK(Fixture.Store.peek("canvaswick/copy").empty());
  CHECK(catchesUp(Fixture, 3));
  Writer.runRound(WatchRole::Lead, 0, Start + fromSeconds(21));
  Writer.runRound(WatchRole::Lead, 0, Start + fromSeconds(26));
  const Result<ItemChanges> Snapshot =
      decodeSnapshot(Fixture.Store.peek("canvaswick/copy"));
  REQUIRE(Snapshot);
  CHECK(Snapshot.value().AsOf.Epoch == 2);
}

TEST_CASE("a snapshot of an earlier epoch is followed by a read of all items") {
  RestoreFixture Fixture;
  ItemChanges All = Fixture.View.getChangesAfter({});
  All.IsFull = true;
  Fixture.Store.put("canvaswick/copy", encodeSnapshot(All));
  Fixture.Store.takeBackup();
  Fixture.Store.restoreBackup();
  FleetView View{{70}, fromSeconds(2)};
  StoreClient Client(Fixture.Store.getAddress(), Fixture.Counters);
  StoreWatcher Watcher(Client, View, FirstReadSchedule(true, 0, {}), [] {});
  Watcher.runRound();
  CHECK(View.getAsOf().Epoch == 1);
  const size_t Before = Fixture.Store.countCalls("/kv-range");
  Watcher.runRound();
  CHECK(Fixture.Store.countCalls("/kv-range") > Before);
  CHECK(View.getAsOf() == StorePosition(2, Fixture.Store.getRevision()));
}
