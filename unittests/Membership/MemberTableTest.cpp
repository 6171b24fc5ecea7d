//===- MemberTableTest.cpp - Tests of the member table --------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests the precedence of records, suspicion and refutation. A property test
/// checks that after any sequence of lost messages all tables agree again once
/// they can exchange messages.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Membership/MemberTable.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace canvaswick;

static MemberRecord makeRecord(const std::string &Name,
                               uint64_t Incarnation = 1,
                               MemberState State = MemberState::Alive) {
  return {Name, "a", {"127.0.0.1", 1}, Incarnation, State};
}

static MemberTable makeTable(const std::string &Name, TimePoint Now) {
  return MemberTable(makeRecord(Name), MembershipTuning(), Now);
}

TEST_CASE("the newer incarnation takes precedence, then the later state") {
  TimePoint Now{};
  MemberTable Table = makeTable("self", Now);
  CHECK(Table.applyRecord(makeRecord("x", 5), Now));
  CHECK(!Table.applyRecord(makeRecord("x", 4, MemberState::Dead), Now));
  CHECK(!Table.applyRecord(makeRecord("x", 5), Now));
  CHECK(Table.applyRecord(makeRecord("x", 5, MemberState::Suspect), Now));
  CHECK(!Table.applyRecord(makeRecord("x", 5, MemberState::Alive), Now));
  CHECK(Table.applyRecord(makeRecord("x", 6, MemberState::Alive), Now));
}

TEST_CASE("a member is suspected before it is declared dead") {
  TimePoint Now{};
  MemberTable Table = makeTable("self", Now);
  Table.applyRecord(makeRecord("x"), Now);
  Table.recordUnreachable("x", Now);
  CHECK(Table.getWorking().size() == 2);
  Now += fromSeconds(3);
  CHECK(Table.advance(Now) == 0);
  Now += fromSeconds(2);
  CHECK(Table.advance(Now) == 1);
  CHECK(Table.getWorking() == std::vector<std::string>{"self"});
  // The old record of the member does not revive it, but a newer incarnation
  // does.
  CHECK(!Table.applyRecord(makeRecord("x"), Now));
  CHECK(Table.applyRecord(makeRecord("x", 2), Now));
  CHECK(Table.getWorking().size() == 2);
}

TEST_CASE("a suspect member that sends messages is not declared dead") {
  TimePoint Now{};
  MemberTable Table = makeTable("self", Now);
  Table.applyRecord(makeRecord("x"), Now);
  Table.recordUnreachable("x", Now);
  for (int I = 0; I < 10; ++I) {
    Now += fromSeconds(2);
    Table.recordContact("x", Now);
    CHECK(Table.advance(Now) == 0);
  }
}

TEST_CASE("a wrong record about this daemon is refuted") {
  TimePoint Now{};
  MemberTable Table = makeTable("self", Now);
  Table.applyRecord(makeRecord("self", 1, MemberState::Dead), Now);
  CHECK(Table.getSelf().Incarnation == 2);
  CHECK(Table.getSelf().State == MemberState::Alive);
  CHECK(Table.collectChanges("anyone").front().Incarnation == 2);
}

TEST_CASE("a member that is considered dead receives its own record") {
  TimePoint Now{};
  MemberTable Table = makeTable("self", Now);
  Table.applyRecord(makeRecord("x"), Now);
  Table.recordUnreachable("x", Now);
  Now += fromSeconds(10);
  Table.advance(Now);
  const std::vector<MemberRecord> Changes = Table.collectChanges("x");
  CHECK(std::any_of(
      Changes.begin(), Changes.end(), [](const MemberRecord &Record) {
        return Record.Name == "x" && Record.State == MemberState::Dead;
      }));
}

TEST_CASE("a leaving member shares no work and is removed") {
  TimePoint Now{};
  MemberTable Table = makeTable("self", Now);
  Table.applyRecord(makeRecord("x", 2, MemberState::Leaving), Now);
  CHECK(Table.getWorking().size() == 1);
  Now += fromSeconds(5);
  Table.advance(Now);
  CHECK(Table.getAll().size() == 1);
}

TEST_CASE("each member is pinged once per round") {
  TimePoint Now{};
  MemberTable Table = makeTable("self", Now);
  for (int I = 0; I < 10; ++I)
    Table.applyRecord(makeRecord(fmt::format("m{}", I)), Now);
  std::mt19937_64 Random(1);
  std::vector<std::string> Round;
  Round.reserve(10);
  for (int I = 0; I < 10; ++I)
    Round.push_back(Table.choosePingTarget(Random)->Name);
  std::sort(Round.begin(), Round.end());
  CHECK(std::unique(Round.begin(), Round.end()) == Round.end());
}

TEST_CASE("a change is sent a bounded number of times") {
  TimePoint Now{};
  MemberTable Table = makeTable("self", Now);
  Table.applyRecord(makeRecord("x"), Now);
  int Sent = 0;
  for (int I = 0; I < 100; ++I)
    for (const MemberRecord &Record : Table.collectChanges("other"))
      Sent += Record.Name == "x";
  CHECK(Sent > 0);
  CHECK(Sent < 20);
}

/// Lets every table send its changes and its records to every other table once.
static void exchangeAll(std::vector<MemberTable> &Tables, TimePoint Now) {
  for (MemberTable &From : Tables)
    for (MemberTable &To : Tables) {
      if (&From == &To)
        continue;
      for (const MemberRecord &Record : From.collectChanges(To.getSelf().Name))
        To.applyRecord(Record, Now);
      for (const MemberRecord &Record : From.getAll())
        To.applyRecord(Record, Now);
    }
}

TEST_CASE("tables agree again after any sequence of lost messages") {
  CHECK(rc::check([] {
    static constexpr size_t Count = 4;
    TimePoint Now{};
    std::vector<MemberTable> Tables;
    for (size_t I = 0; I < Count; ++I)
      Tables.push_back(makeTable(fmt::format("m{}", I), Now));
    const int Steps = *rc::gen::inRange(0, 60);
    for (int I = 0; I < Steps; ++I) {
      const size_t From = *rc::gen::inRange<size_t>(0, Count);
      const size_t To = *rc::gen::inRange<size_t>(0, Count);
      Now += fromMillis(*rc::gen::inRange(0, 3000));
      const bool IsLost = *rc::gen::inRange(0, 3) == 0;
      if (From == To)
        continue;
      const std::string Name = Tables[To].getSelf().Name;
      if (IsLost)
        Tables[From].recordUnreachable(Name, Now);
      else
        for (const MemberRecord &Record : Tables[From].collectChanges(Name))
          Tables[To].applyRecord(Record, Now);
      Tables[From].advance(Now);
    }
    // All messages are delivered again: a few rounds restore every member.
    for (int Round = 0; Round < 4; ++Round)
      exchangeAll(Tables, Now);
    for (MemberTable &Each : Tables)
      RC_ASSERT(Each.getWorking().size() == Count);
  }));
}
