//===- ReplicaAuditTest.cpp - Tests of the comparison of replicas ---------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Watchers read the store, the others copy a watcher, and neither too often.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Directory/ReplicaAudit.h"
#include "canvaswick/Directory/ItemTable.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace canvaswick;

static constexpr TimePoint Start{fromSeconds(100)};

TEST_CASE("replicas are compared at positions that both have been at") {
  DigestHistory History;
  for (uint64_t I = 1; I <= 40; ++I)
    History.record({{1, I}, I});
  CHECK(History.compare({{1, 40}, 40}) == DigestMatch::Equal);
  CHECK(History.compare({{1, 30}, 40}) == DigestMatch::Different);
  CHECK(History.compare({{1, 41}, 41}) == DigestMatch::Unknown);
  CHECK(History.compare({{1, 2}, 2}) == DigestMatch::Unknown);
  // What was found out about the same position replaces what was thought.
  History.record({{1, 40}, 50});
  CHECK(History.compare({{1, 40}, 40}) == DigestMatch::Different);
}

TEST_CASE(
    "a watcher reads the store if another watcher or two daemons differ") {
  ReplicaAudit Audit;
  CHECK(Audit.recordDifferent("a", false, true, Start) == AuditStep::None);
  CHECK(Audit.recordDifferent("a", false, true, Start) == AuditStep::None);
  CHECK(Audit.recordDifferent("b", false, true, Start) == AuditStep::ReadStore);
  CHECK(Audit.recordDifferent("w", true, true, Start + fromSeconds(9)) ==
        AuditStep::None);
  CHECK(Audit.recordDifferent("w", true, true, Start + fromSeconds(10)) ==
        AuditStep::ReadStore);
}

TEST_CASE("a follower copies a watcher that goes on to differ") {
  ReplicaAudit Audit;
  const auto Differ = [&](const char *Peer, bool IsWatching, double Seconds) {
    return Audit.recordDifferent(Peer, IsWatching, false,
                                 Start + fromSeconds(Seconds));
  };
  CHECK(Differ("w", true, 0) == AuditStep::None);
  CHECK(Differ("a", false, 0.6) == AuditStep::None);
  Audit.recordEqual("w");
  CHECK(Differ("w", true, 0.6) == AuditStep::None);
  CHECK(Differ("w", true, 1.2) == AuditStep::CopyPeer);
  CHECK(Differ("w", true, 2) == AuditStep::None);
  CHECK(Differ("w", true, 4.3) == AuditStep::CopyPeer);
}

TEST_CASE("a list that was read in parts is not compared at its position") {
  ItemTable Table;
  ItemChanges Read = makeFullChanges({{"a", "v", {1, 5}, false}}, {1, 10});
  Read.NewestAt = {1, 12};
  Table.apply(Read);
  CHECK_FALSE(Table.getDigest().has_value());
  // Nor is the replica that copies it.
  ItemTable Copy;
  Copy.apply(Table.getChangesAfter({}));
  CHECK_FALSE(Copy.getDigest().has_value());
  Table.apply(makeChanges({1, 10}, {}, {1, 12}));
  CHECK(Table.getDigest().has_value());
}

TEST_CASE("the digest depends on what a replica holds, not on how it came") {
  CHECK(rc::check([] {
    ItemTable InOrder;
    ItemTable AtOnce;
    const auto Writes =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 12));
    for (const int Write : Writes) {
      const std::string Key(1, static_cast<char>('a' + Write % 4));
      const StorePosition After = InOrder.getPosition().Complete;
      const StorePosition At{1, After.Revision + 1};
      InOrder.apply(makeChanges(After, {{Key, "v", At, Write >= 8}}, At));
    }
    std::vector<StoreItem> Items;
    for (const auto &[Key, Item] : InOrder.getItems())
      Items.push_back(Item);
    AtOnce.apply(makeFullChanges(Items, InOrder.getPosition().Complete));
    RC_ASSERT(InOrder.getDigest() == AtOnce.getDigest());
    // An item that was heard ahead hides what the replica was.
    AtOnce.apply({"z", "v", {1, 1000}, false});
    RC_ASSERT(!AtOnce.getDigest().has_value());
  }));
}
