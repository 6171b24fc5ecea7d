//===- ClaimLogTest.cpp - Tests of the claim log --------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests the claim log against the stand-in platform. Writers race, are paused,
/// lose responses of the platform and prune the log; each key must be granted
/// to at most one of them.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Claims/ClaimLog.h"
#include "canvaswick/StandIn/PlatformStandIn.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <map>
#include <thread>

using namespace canvaswick;

static constexpr Duration Memory = fromSeconds(3600);
static constexpr int64_t Start = 1700000000000;

namespace {

/// A stand-in platform and a client that is connected to it.
struct ClaimLogFixture {
  ClaimLogFixture() {
    REQUIRE(this->Platform.start({"127.0.0.1", 0}));
    this->Client = std::make_unique<PlatformClient>(
        Endpoint{"127.0.0.1", this->Platform.getPort()}, nullptr);
  }

  ClaimLog makeWriter(size_t Shard = 0) {
    return ClaimLog(*this->Client, Shard, Memory);
  }

  PlatformStandIn Platform;
  std::unique_ptr<PlatformClient> Client;
};

} // namespace

static ClaimVerdict begin(ClaimLog &Log, const std::string &Key, uint64_t Claim,
                          int64_t Now = Start) {
  PendingEntry Pending;
  Pending.Entry.Key = Key;
  Pending.Entry.Claim = Claim;
  Pending.Entry.Fingerprint = "f";
  Pending.Entry.Holder = "d#1";
  Pending.Entry.TimeMillis = Now;
  std::vector<PendingEntry *> Batch = {&Pending};
  Log.append(Batch, Now);
  return Pending.Verdict;
}

static void end(ClaimLog &Log, const std::string &Key, uint64_t Claim,
                ClaimEntryKind Kind, int64_t Now = Start) {
  PendingEntry Pending;
  Pending.Entry.Kind = Kind;
  Pending.Entry.Key = Key;
  Pending.Entry.Claim = Claim;
  Pending.Entry.TimeMillis = Now;
  Pending.Entry.Answer = {200, "text/plain", "done", true};
  std::vector<PendingEntry *> Batch = {&Pending};
  Log.append(Batch, Now);
}

TEST_CASE("a paused writer reads new entries before it writes") {
  ClaimLogFixture Fixture;
  ClaimLog First = Fixture.makeWriter();
  ClaimLog Second = Fixture.makeWriter();
  CHECK(begin(First, "a", 1).Kind == ClaimKind::Granted);
  // Second has read nothing yet, and First has written since.
  CHECK(begin(Second, "a", 2).Kind == ClaimKind::StillRunning);
  CHECK(begin(Second, "b", 3).Kind == ClaimKind::Granted);
  // The revision that First holds is stale.
  CHECK(begin(First, "b", 4).Kind == ClaimKind::StillRunning);
  end(Second, "b", 3, ClaimEntryKind::Ran);
  const ClaimVerdict Retried = begin(First, "b", 5);
  CHECK(Retried.Kind == ClaimKind::FirstAnswer);
  CHECK(Retried.Answer.Body == "done");
}

TEST_CASE("a batch is one write and grants each of its keys once") {
  ClaimLogFixture Fixture;
  ClaimLog Log = Fixture.makeWriter();
  std::vector<PendingEntry> Entries(50);
  std::vector<PendingEntry *> Batch;
  for (size_t I = 0; I < Entries.size(); ++I) {
    Entries[I].Entry.Key = fmt::format("k{}", I % 25);
    Entries[I].Entry.Claim = I + 1;
    Entries[I].Entry.TimeMillis = Start;
    Batch.push_back(&Entries[I]);
  }
  Log.append(Batch, Start);
  CHECK(Log.countWrites() == 1);
  int Granted = 0;
  for (const PendingEntry &Each : Entries)
    Granted += Each.Verdict.Kind == ClaimKind::Granted;
  CHECK(Granted == 25);
}

TEST_CASE("the outcome of a write with a lost response is recovered") {
  ClaimLogFixture Fixture;
  ClaimLog Log = Fixture.makeWriter();
  PlatformFaults Lose;
  Lose.LoseAnswers = 1;
  Fixture.Platform.setFaults(Lose);
  CHECK(begin(Log, "a", 1).Kind == ClaimKind::Granted);
  Lose = PlatformFaults();
  Lose.LoseWrites = 1;
  Fixture.Platform.setFaults(Lose);
  CHECK(begin(Log, "b", 2).Kind == ClaimKind::Granted);
}

TEST_CASE("nothing is granted while the platform is unavailable") {
  ClaimLogFixture Fixture;
  ClaimLog Log = Fixture.makeWriter();
  CHECK(begin(Log, "a", 1).Kind == ClaimKind::Granted);
  PlatformFaults Down;
  Down.IsDown = true;
  Fixture.Platform.setFaults(Down);
  CHECK(begin(Log, "b", 2).Kind == ClaimKind::Unavailable);
  Fixture.Platform.setFaults(PlatformFaults());
  CHECK(begin(Log, "b", 3).Kind == ClaimKind::Granted);
  CHECK(begin(Log, "a", 4).Kind == ClaimKind::StillRunning);
}

TEST_CASE("a known response is returned while the platform is unavailable") {
  ClaimLogFixture Fixture;
  ClaimLog Log = Fixture.makeWriter();
  CHECK(begin(Log, "a", 1).Kind == ClaimKind::Granted);
  end(Log, "a", 1, ClaimEntryKind::Ran);
  PlatformFaults Down;
  Down.IsDown = true;
  Fixture.Platform.setFaults(Down);
  CHECK(begin(Log, "b", 2).Kind == ClaimKind::Unavailable);
  CHECK(begin(Log, "a", 3).Kind == ClaimKind::FirstAnswer);
}

TEST_CASE("an abandoned claim that was stored is released") {
  ClaimLogFixture Fixture;
  ClaimLog Writer = Fixture.makeWriter();
  ClaimLog Requester = Fixture.makeWriter();
  // The writer was granted the claim, but the requester did not learn of the
  // grant and gave the claim up.
  CHECK(begin(Writer, "a", 1).Kind == ClaimKind::Granted);
  Requester.abandonClaim("a", 1);
  CHECK(begin(Requester, "a", 2).Kind == ClaimKind::Granted);
  CHECK(begin(Writer, "a", 3).Kind == ClaimKind::StillRunning);
}

TEST_CASE("a request that was not run leaves its key free") {
  ClaimLogFixture Fixture;
  ClaimLog Log = Fixture.makeWriter();
  CHECK(begin(Log, "a", 1).Kind == ClaimKind::Granted);
  end(Log, "a", 1, ClaimEntryKind::NotRun);
  CHECK(begin(Log, "a", 2).Kind == ClaimKind::Granted);
}

/// Appends entries until at least Count chunks are sealed.
static void fillChunks(ClaimLog &Log, int Count) {
  const std::string Long(2000, 'x');
  for (int I = 0; I < Count * 40; ++I) {
    const std::string Key = fmt::format("fill{}", I);
    begin(Log, Key, 1000 + static_cast<uint64_t>(I));
    PendingEntry Pending;
    Pending.Entry.Kind = ClaimEntryKind::Ran;
    Pending.Entry.Key = Key;
    Pending.Entry.Claim = 1000 + static_cast<uint64_t>(I);
    Pending.Entry.TimeMillis = Start;
    Pending.Entry.Answer = {200, "text/plain", Long, true};
    std::vector<PendingEntry *> Batch = {&Pending};
    Log.append(Batch, Start);
  }
}

TEST_CASE(
    "the log continues after sealed chunks, and a new reader follows it") {
  ClaimLogFixture Fixture;
  ClaimLog Log = Fixture.makeWriter();
  CHECK(begin(Log, "a", 1).Kind == ClaimKind::Granted);
  fillChunks(Log, 2);
  CHECK(!Fixture.Platform.peek("canvaswick/claims/0/chunk/1").empty());
  ClaimLog Late = Fixture.makeWriter();
  CHECK(begin(Late, "a", 2).Kind == ClaimKind::StillRunning);
  CHECK(begin(Late, "new", 3).Kind == ClaimKind::Granted);
}

TEST_CASE("a writer that was paused before pruning cannot start a second log") {
  ClaimLogFixture Fixture;
  ClaimLog Log = Fixture.makeWriter();
  ClaimLog Paused = Fixture.makeWriter();
  CHECK(begin(Log, "a", 1).Kind == ClaimKind::Granted);
  CHECK(begin(Paused, "p", 2).Kind == ClaimKind::Granted);
  fillChunks(Log, 3);
  const int64_t Later = Start + toMillis(Memory) + 1000;
  CHECK(begin(Log, "recent", 3, Later).Kind == ClaimKind::Granted);
  Log.prune(Later);
  Log.prune(Later);
  CHECK(begin(Paused, "recent", 4, Later).Kind == ClaimKind::StillRunning);
  ClaimLog Fresh = Fixture.makeWriter();
  CHECK(begin(Fresh, "recent", 5, Later).Kind == ClaimKind::StillRunning);
}

TEST_CASE("racing writers grant each key at most once despite lost messages") {
  ClaimLogFixture Fixture;
  static constexpr int Writers = 4;
  static constexpr int Keys = 40;
  std::vector<std::map<std::string, int>> Granted(Writers);
  std::atomic<uint64_t> NextClaim{1};
  std::vector<std::thread> Threads;
  Threads.reserve(Writers);
  for (int W = 0; W < Writers; ++W)
    Threads.emplace_back([&, W] {
      ClaimLog Log = Fixture.makeWriter();
      for (int I = 0; I < Keys; ++I) {
        if (W == 0 && I % 5 == 0) {
          PlatformFaults Lose;
          Lose.LoseAnswers = 1;
          Lose.LoseWrites = I % 2;
          Fixture.Platform.setFaults(Lose);
        }
        const std::string Key = fmt::format("k{}", I);
        if (begin(Log, Key, NextClaim++).Kind == ClaimKind::Granted)
          ++Granted[static_cast<size_t>(W)][Key];
      }
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  std::map<std::string, int> Total;
  for (const std::map<std::string, int> &Each : Granted)
    for (const auto &[Key, Count] : Each)
      Total[Key] += Count;
  for (const auto &[Key, Count] : Total)
    CHECK(Count <= 1);
  CHECK(Total.size() >= Keys / 2);
}
