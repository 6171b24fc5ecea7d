//===- ClaimLogTest.cpp - Tests of the claim log against the platform's stand-in
//-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Writers that race, are paused, lose answers and prune: a key is granted to
/// one of them at most.
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

/// A stand-in platform and a client of it.
struct Bench {
  Bench() {
    REQUIRE(this->Stand.start({"127.0.0.1", 0}));
    this->Client = std::make_unique<PlatformClient>(
        Endpoint{"127.0.0.1", this->Stand.getPort()}, nullptr);
  }

  ClaimLog makeWriter(size_t Shard = 0) {
    return ClaimLog(*this->Client, Shard, Memory);
  }

  PlatformStandIn Stand;
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

TEST_CASE("a writer that was paused learns before it writes") {
  Bench Under;
  ClaimLog First = Under.makeWriter();
  ClaimLog Second = Under.makeWriter();
  CHECK(begin(First, "a", 1).Kind == ClaimKind::Granted);
  // Second has never read; First was the last to write.
  CHECK(begin(Second, "a", 2).Kind == ClaimKind::StillRunning);
  CHECK(begin(Second, "b", 3).Kind == ClaimKind::Granted);
  // First still believes that its revision is the newest.
  CHECK(begin(First, "b", 4).Kind == ClaimKind::StillRunning);
  end(Second, "b", 3, ClaimEntryKind::Ran);
  const ClaimVerdict Repeat = begin(First, "b", 5);
  CHECK(Repeat.Kind == ClaimKind::FirstAnswer);
  CHECK(Repeat.Answer.Body == "done");
}

TEST_CASE("a batch is one write, and one key in it is granted once") {
  Bench Under;
  ClaimLog Log = Under.makeWriter();
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

TEST_CASE("a write whose answer is lost is found out") {
  Bench Under;
  ClaimLog Log = Under.makeWriter();
  PlatformFaults Lose;
  Lose.LoseAnswers = 1;
  Under.Stand.setFaults(Lose);
  CHECK(begin(Log, "a", 1).Kind == ClaimKind::Granted);
  Lose = PlatformFaults();
  Lose.LoseWrites = 1;
  Under.Stand.setFaults(Lose);
  CHECK(begin(Log, "b", 2).Kind == ClaimKind::Granted);
}

TEST_CASE("while the platform is away nothing is granted") {
  Bench Under;
  ClaimLog Log = Under.makeWriter();
  CHECK(begin(Log, "a", 1).Kind == ClaimKind::Granted);
  PlatformFaults Down;
  Down.IsDown = true;
  Under.Stand.setFaults(Down);
  CHECK(begin(Log, "b", 2).Kind == ClaimKind::Unavailable);
  Under.Stand.setFaults(PlatformFaults());
  CHECK(begin(Log, "b", 3).Kind == ClaimKind::Granted);
  CHECK(begin(Log, "a", 4).Kind == ClaimKind::StillRunning);
}

TEST_CASE("while the platform is away a known answer is still given") {
  Bench Under;
  ClaimLog Log = Under.makeWriter();
  CHECK(begin(Log, "a", 1).Kind == ClaimKind::Granted);
  end(Log, "a", 1, ClaimEntryKind::Ran);
  PlatformFaults Down;
  Down.IsDown = true;
  Under.Stand.setFaults(Down);
  CHECK(begin(Log, "b", 2).Kind == ClaimKind::Unavailable);
  CHECK(begin(Log, "a", 3).Kind == ClaimKind::FirstAnswer);
}

TEST_CASE("a claim that was given up is released wherever it landed") {
  Bench Under;
  ClaimLog Writer = Under.makeWriter();
  ClaimLog Asker = Under.makeWriter();
  // The writer granted it, but the asker never heard and gave it up.
  CHECK(begin(Writer, "a", 1).Kind == ClaimKind::Granted);
  Asker.abandonClaim("a", 1);
  CHECK(begin(Asker, "a", 2).Kind == ClaimKind::Granted);
  CHECK(begin(Writer, "a", 3).Kind == ClaimKind::StillRunning);
}

TEST_CASE("a claim that was not run leaves its key free") {
  Bench Under;
  ClaimLog Log = Under.makeWriter();
  CHECK(begin(Log, "a", 1).Kind == ClaimKind::Granted);
  end(Log, "a", 1, ClaimEntryKind::NotRun);
  CHECK(begin(Log, "a", 2).Kind == ClaimKind::Granted);
}

/// Fills chunks until at least Count are sealed.
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

TEST_CASE("the log goes on over sealed chunks, and a late reader follows") {
  Bench Under;
  ClaimLog Log = Under.makeWriter();
  CHECK(begin(Log, "a", 1).Kind == ClaimKind::Granted);
  fillChunks(Log, 2);
  CHECK(!Under.Stand.peek("canvaswick/claims/0/chunk/1").empty());
  ClaimLog Late = Under.makeWriter();
  CHECK(begin(Late, "a", 2).Kind == ClaimKind::StillRunning);
  CHECK(begin(Late, "new", 3).Kind == ClaimKind::Granted);
}

TEST_CASE("a writer paused since before the pruning cannot begin anew") {
  Bench Under;
  ClaimLog Log = Under.makeWriter();
  ClaimLog Paused = Under.makeWriter();
  CHECK(begin(Log, "a", 1).Kind == ClaimKind::Granted);
  CHECK(begin(Paused, "p", 2).Kind == ClaimKind::Granted);
  fillChunks(Log, 3);
  const int64_t Later = Start + toMillis(Memory) + 1000;
  CHECK(begin(Log, "recent", 3, Later).Kind == ClaimKind::Granted);
  Log.prune(Later);
  Log.prune(Later);
  CHECK(begin(Paused, "recent", 4, Later).Kind == ClaimKind::StillRunning);
  ClaimLog Fresh = Under.makeWriter();
  CHECK(begin(Fresh, "recent", 5, Later).Kind == ClaimKind::StillRunning);
}

TEST_CASE("racing writers grant each key once, whatever is lost") {
  Bench Under;
  static constexpr int Writers = 4;
  static constexpr int Keys = 40;
  std::vector<std::map<std::string, int>> Granted(Writers);
  std::atomic<uint64_t> NextClaim{1};
  std::vector<std::thread> Threads;
  Threads.reserve(Writers);
  for (int W = 0; W < Writers; ++W)
    Threads.emplace_back([&, W] {
      ClaimLog Log = Under.makeWriter();
      for (int I = 0; I < Keys; ++I) {
        if (W == 0 && I % 5 == 0) {
          PlatformFaults Lose;
          Lose.LoseAnswers = 1;
          Lose.LoseWrites = I % 2;
          Under.Stand.setFaults(Lose);
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
