//===- FeedRestoreTest.cpp - What one daemon learns of a restored store --===//
//----===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//

#include "PlatformAdapter/FeedBench.h"
#include "canvaswick/Daemon/DirectoryCalls.h"
#include "platform/CopyKeeper.h"
#include "platform/DaemonRegistry.h"
#include "platform/RecordDecoder.h"

#include <doctest/doctest.h>

using namespace canvaswick;
using namespace canvaswick::platform;

static const std::string DaemonKey = "canvaswick/daemons/d1";

/// Changes an item that means nothing so often.
static void change(StoreStandIn &Store, int Count) {
  for (int I = 0; I < Count; ++I)
    Store.put("other/item", fmt::format("{}", I));
}

/// Runs rounds until the view is as far as the store, or says that it is not.
static bool catchesUp(FeedBench &Under, int Rounds) {
  for (int I = 0; I < Rounds; ++I) {
    Under.Feed.runRound();
    if (Under.View.getAsOf().Revision == Under.Store.getRevision() &&
        Under.View.getAsOf().Epoch == Under.Client.getEpoch())
      return true;
  }
  return false;
}

namespace {

/// A feed that is further than the copy to which its store goes back.
struct RestoreBench : FeedBench {
  RestoreBench() {
    this->Store.put(DaemonKey, encodeDaemon(this->Self));
    settle(this->Feed);
    this->Store.keepBackup();
    change(this->Store, 20);
    CHECK(catchesUp(*this, 3));
  }
};

} // namespace

TEST_CASE("changes in a gap that revisions have passed again are read") {
  RestoreBench Under;
  Under.Store.restoreBackup();
  Under.Store.remove(DaemonKey);
  change(Under.Store, 40);
  CHECK(catchesUp(Under, 3));
  CHECK(Under.View.listDaemons().size() == 1);
  Under.View.settleLapsed(readSteadyClock() + fromSeconds(10));
  CHECK(Under.View.listDaemons().empty());
}

TEST_CASE("a store that goes back and tells no epoch is believed") {
  RestoreBench Under;
  Under.Store.restoreBackup();
  SUBCASE("it never told one") { Under.Store.setEpochText(std::nullopt); }
  SUBCASE("it tells the one before") { Under.Store.setEpochText("1"); }
  Under.Store.remove(DaemonKey);
  Under.Feed.runRound();
  Under.Feed.runRound();
  Under.Feed.runRound();
  CHECK(Under.View.getAsOf().Revision == Under.Store.getRevision());
}

TEST_CASE("an epoch that is no number, or two, is none") {
  const auto Read = [](std::vector<std::string> Texts) {
    httplib::Headers Headers;
    for (std::string &Text : Texts)
      Headers.emplace("Store-Era", std::move(Text));
    return readEpoch(Headers);
  };
  CHECK(Read({"7"}) == 7);
  CHECK(Read({"7", "7"}) == 7);
  CHECK_FALSE(Read({}));
  CHECK_FALSE(Read({""}));
  CHECK_FALSE(Read({"7", "8"}));
  for (const char *Text : {"-1", "+1", " 7", "7 ", "7.0", "1e3", "0x7", "seven",
                           "7,7", "18446744073709551616"}) {
    CAPTURE(Text);
    CHECK_FALSE(Read({Text}));
  }
}

TEST_CASE("answers without an epoch count as of the one that is known") {
  RestoreBench Under;
  Under.Store.setEpochText("x");
  Under.Store.remove(DaemonKey);
  CHECK(catchesUp(Under, 2));
  CHECK(Under.View.listDaemons().empty());
}

TEST_CASE("an answer of an epoch that is over changes nothing") {
  RestoreBench Under;
  Under.Store.restoreBackup();
  CHECK(catchesUp(Under, 4));
  const StorePosition Known = Under.View.getAsOf();
  // The store answers as it would have before.
  Under.Store.setEpochText("1");
  Under.Store.remove(DaemonKey);
  Under.Feed.runRound();
  Under.Feed.runRound();
  CHECK(Under.View.getAsOf() == Known);
  CHECK_FALSE(Under.Feed.isSound());
  Under.Store.setEpochText("2");
  CHECK(catchesUp(Under, 4));
  CHECK(Under.View.listDaemons().empty());
}

TEST_CASE("an epoch that jumps is taken like the next") {
  RestoreBench Under;
  Under.Store.restoreBackup();
  Under.Store.setEpochText("12");
  CHECK(catchesUp(Under, 4));
  CHECK(Under.View.getAsOf().Epoch == 12);
}

TEST_CASE("a store that forgets its history all the time is not stormed") {
  RestoreBench Under;
  const double Before = Under.Store.countPricedCalls();
  const TimePoint Began = readSteadyClock();
  constexpr int Rounds = 8;
  for (int I = 0; I < Rounds; ++I) {
    change(Under.Store, 1);
    Under.Store.forgetHistory();
    Under.Feed.runRound();
  }
  // Every second round pauses, longer each time.
  CHECK(readSteadyClock() - Began >= fromMillis(200));
  CHECK(Under.Store.countPricedCalls() - Before <= 2 * Rounds);
}

TEST_CASE("a lease number of an earlier epoch is let go, and not ended") {
  FeedBench Under;
  Under.Store.put("op/config", "{}");
  FeedBench::settle(Under.Feed);
  Under.Store.keepBackup();
  DaemonRegistry Registry(Under.Client, Under.View, Under.Self,
                          fromSeconds(60));
  const TimePoint Now = readSteadyClock();
  Registry.runRound(Now);
  CHECK(catchesUp(Under, 2));
  Under.Store.restoreBackup();
  // The number is given out again.
  Result<StoreLease> Others = Under.Client.openLease(fromSeconds(60));
  REQUIRE(Others);
  StoreTransaction Write;
  Write.Writes.push_back(
      {"canvaswick/daemons/d2",
       encodeDaemon({"d2", "h", {"10.0.0.2", 80}, {"10.0.0.2", 81}},
                    Others.value().Number),
       Others.value().Number});
  REQUIRE(Under.Client.write(Write));
  SUBCASE("it leaves before it has read the store again") {
    Registry.leave();
    CHECK_FALSE(Under.Store.peek("canvaswick/daemons/d2").empty());
  }
  SUBCASE("it is listed again, by a lease of its own") {
    CHECK(catchesUp(Under, 3));
    for (int Seconds = 0; Seconds < 3; ++Seconds)
      Registry.runRound(Now + fromSeconds(Seconds));
    CHECK_FALSE(Under.Store.peek(DaemonKey).empty());
    Registry.leave();
    CHECK(Under.Store.peek(DaemonKey).empty());
    CHECK_FALSE(Under.Store.peek("canvaswick/daemons/d2").empty());
  }
}

TEST_CASE("a daemon whose entry the copy holds goes on with its lease") {
  FeedBench Under;
  Under.Store.put("op/config", "{}");
  FeedBench::settle(Under.Feed);
  DaemonRegistry Registry(Under.Client, Under.View, Under.Self,
                          fromSeconds(60));
  const TimePoint Now = readSteadyClock();
  Registry.runRound(Now);
  CHECK(catchesUp(Under, 2));
  Under.Store.keepBackup();
  Under.Store.restoreBackup();
  CHECK(catchesUp(Under, 3));
  const double Before = Under.Store.countPricedCalls();
  Registry.runRound(Now + fromSeconds(1));
  CHECK(Under.Store.countPricedCalls() - Before == doctest::Approx(0.1));
  Registry.leave();
  CHECK(Under.Store.peek(DaemonKey).empty());
}

TEST_CASE("the copy for starts is written again soon after a restore") {
  RestoreBench Under;
  CopyKeeper Keeper(Under.Client, Under.View);
  const TimePoint Start = readSteadyClock();
  Keeper.runRound(WatchRole::Lead, 0, Start);
  Keeper.runRound(WatchRole::Lead, 0, Start + fromSeconds(5));
  REQUIRE(decodeCopy(Under.Store.peek("canvaswick/copy")));
  Under.Store.restoreBackup();
  CHECK(Under.Store.peek("canvaswick/copy").empty());
  // Not from what is of an earlier epoch.
  (void)Under.Client.readItem(DaemonKey, Recency::Newest);
  Keeper.runRound(WatchRole::Lead, 0, Start + fromSeconds(20));
  CHECK(Under.Store.peek("canvaswick/copy").empty());
  CHECK(catchesUp(Under, 3));
  Keeper.runRound(WatchRole::Lead, 0, Start + fromSeconds(21));
  Keeper.runRound(WatchRole::Lead, 0, Start + fromSeconds(26));
  const Result<ItemChanges> Copy =
      decodeCopy(Under.Store.peek("canvaswick/copy"));
  REQUIRE(Copy);
  CHECK(Copy.value().AsOf.Epoch == 2);
}

TEST_CASE(
    "a copy for starts of an earlier epoch is followed by a read of all") {
  RestoreBench Under;
  ItemChanges All = Under.View.getChangesAfter({});
  All.IsFull = true;
  Under.Store.put("canvaswick/copy", encodeCopy(All));
  Under.Store.keepBackup();
  Under.Store.restoreBackup();
  FleetView View{{70}, fromSeconds(2)};
  StoreClient Client(Under.Store.getAddress(), Under.Counters);
  StoreFeed Feed(Client, View, [] {});
  Feed.runRound();
  CHECK(View.getAsOf().Epoch == 1);
  const size_t Before = Under.Store.countCalls("/kv-range");
  Feed.runRound();
  CHECK(Under.Store.countCalls("/kv-range") > Before);
  CHECK(View.getAsOf() == StorePosition(2, Under.Store.getRevision()));
}
