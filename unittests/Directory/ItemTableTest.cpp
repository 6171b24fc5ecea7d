//===- ItemTableTest.cpp - Tests of the replica of the store --------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The table only moves forward, in whatever order updates arrive.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Directory/ItemTable.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <utility>

using namespace canvaswick;

TEST_CASE("an update older than the known item changes nothing") {
  ItemTable Table;
  CHECK(Table.apply({"a", "new", {0, 5}, false}));
  CHECK_FALSE(Table.apply({"a", "old", {0, 4}, false}));
  CHECK_FALSE(Table.apply({"a", "", {0, 5}, true}));
  REQUIRE(Table.find("a"));
  CHECK(Table.find("a")->Value == "new");
}

TEST_CASE("an old update does not restore a removed item") {
  ItemTable Table;
  Table.apply({"a", "x", {0, 3}, false});
  Table.apply({"a", "", {0, 6}, true});
  Table.apply(makeChanges({0, 0}, {}, {0, 6}));
  CHECK(Table.find("a") == nullptr);
  CHECK_FALSE(Table.apply({"a", "x", {0, 3}, false}));
  CHECK(Table.find("a") == nullptr);
}

TEST_CASE("a peer that lags does not restore an item removed ahead of AsOf") {
  ItemTable Table;
  Table.apply({"a", "x", {0, 3}, false});
  Table.apply(makeChanges({0, 0}, {}, {0, 8}));
  // A single update, applied ahead of AsOf.
  CHECK(Table.apply({"a", "", {0, 15}, true}));
  // A peer that lags still lists the item.
  CHECK_FALSE(Table.apply({"a", "y", {0, 10}, false}));
  Table.apply(makeChanges({0, 8}, {}, {0, 12}));
  CHECK(Table.find("a") == nullptr);
  // The item may be created again later.
  CHECK(Table.apply({"a", "z", {0, 20}, false}));
  CHECK(Table.find("a"));
}

TEST_CASE("a full read removes items that it does not list, unless newer") {
  ItemTable Table;
  Table.apply({"old", "x", {0, 3}, false});
  Table.apply({"newer", "y", {0, 12}, false});
  CHECK(Table.apply(makeFullChanges({{"other", "z", {0, 8}, false}}, {0, 10}))
            .IsChanged);
  CHECK(Table.find("old") == nullptr);
  CHECK(Table.find("newer"));
  CHECK(Table.find("other"));
  CHECK(Table.getPosition().Complete == StorePosition(0, 10));
  CHECK_FALSE(Table.apply(makeFullChanges({}, {0, 9})).IsChanged);
  CHECK(Table.find("other"));
}

TEST_CASE("items are listed by prefix") {
  ItemTable Table;
  Table.apply({"op/config", "c", {0, 1}, false});
  Table.apply({"servers/a", "a", {0, 2}, false});
  Table.apply({"servers/b", "b", {0, 3}, false});
  Table.apply({"t", "t", {0, 4}, false});
  CHECK(Table.list("servers/").size() == 2);
  CHECK(Table.list("op/").size() == 1);
  CHECK(Table.list("none/").empty());
}

TEST_CASE("updates in any order, repeated, leave the newest item of each key") {
  CHECK(rc::check([] {
    const auto Changes =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8));
    std::vector<StoreItem> Updates;
    std::map<std::string, StoreItem> Newest;
    uint64_t Revision = 0;
    for (const int Choice : Changes) {
      StoreItem Item{std::string(1, static_cast<char>('a' + Choice % 4)),
                     std::to_string(Revision),
                     {0, ++Revision},
                     Choice >= 6};
      Updates.push_back(Item);
      Newest[Item.Key] = Item;
    }
    // Removals are only safe in the store's order; other updates in any order.
    std::erase_if(Updates,
                  [](const StoreItem &Item) { return Item.IsRemoved; });
    std::erase_if(Newest,
                  [](const auto &Entry) { return Entry.second.IsRemoved; });
    ItemTable Table;
    for (auto Each = Updates.rbegin(); Each != Updates.rend(); ++Each)
      Table.apply(*Each);
    for (const StoreItem &Item : Updates)
      Table.apply(Item);
    for (const auto &[Key, Item] : Newest) {
      RC_ASSERT(Table.find(Key));
      RC_ASSERT(Table.find(Key)->At == Item.At);
    }
  }));
}

TEST_CASE("only keys that were written or removed are reported as changed") {
  ItemTable Table;
  using Keys = std::set<std::string>;
  Table.apply(makeFullChanges(
      {{"a", "1", {1, 2}, false}, {"b", "1", {1, 3}, false}}, {1, 5}));
  CHECK(Table.drainChangedKeys() == Keys{"a", "b"});
  CHECK(Table.drainChangedKeys().empty());
  Table.apply({"a", "2", {1, 6}, false});
  // An older write, and the removal of an item that does not exist.
  Table.apply({"b", "0", {1, 3}, false});
  Table.apply({"c", "", {1, 7}, true});
  CHECK(Table.drainChangedKeys() == Keys{"a"});
  Table.apply({"b", "", {1, 8}, true});
  CHECK(Table.drainChangedKeys() == Keys{"b"});
  // A complete read reports what it replaces and what it no longer lists.
  Table.apply(makeFullChanges({{"d", "1", {1, 9}, false}}, {1, 10}));
  CHECK(Table.drainChangedKeys() == Keys{"a", "d"});
}

/// Returns what a follower holds that fetches everything after Known.
static ItemTable follow(ItemTable Follower, const ItemTable &Peer) {
  Follower.apply(Peer.getChangesAfter(Follower.getPosition().Complete));
  return Follower;
}

static bool holds(const ItemTable &Table, const std::string &Key) {
  return Table.find(Key) != nullptr;
}

TEST_CASE("a removal heard ahead outlasts a snapshot from before it") {
  ItemTable Table;
  Table.apply(makeFullChanges({{"a", "x", {1, 90}, false}}, {1, 100}));
  Table.apply({"a", "", {1, 150}, true});
  Table.apply(makeFullChanges({{"a", "x", {1, 90}, false}}, {1, 120}));
  CHECK_FALSE(holds(Table, "a"));
}

TEST_CASE("a replica passes on the removal of what it never held") {
  ItemTable Lagging;
  Lagging.apply(makeFullChanges({{"a", "x", {1, 51}, false}}, {1, 188}));
  ItemTable Restarted;
  Restarted.apply(makeFullChanges({}, {1, 23}));
  Restarted.apply(makeChanges({1, 23}, {{"a", "", {1, 202}, true}}, {1, 204}));
  CHECK_FALSE(holds(follow(Lagging, Restarted), "a"));
}

TEST_CASE("a replica passes on a removal that it heard before a full read") {
  ItemTable Lagging;
  Lagging.apply(makeFullChanges({{"a", "x", {1, 90}, false}}, {1, 130}));
  ItemTable Table;
  Table.apply(makeFullChanges({{"a", "x", {1, 90}, false}}, {1, 100}));
  Table.apply({"a", "", {1, 150}, true});
  Table.apply(makeFullChanges({{"a", "x", {1, 90}, false}}, {1, 120}));
  Table.apply(makeChanges({1, 120}, {{"a", "", {1, 150}, true}}, {1, 150}));
  CHECK_FALSE(holds(follow(Lagging, Table), "a"));
}

TEST_CASE("what is missing from a full list of small items is removed") {
  ItemTable Table;
  const std::string Large(LargeValueBytes + 1, 'x');
  Table.apply(makeFullChanges({{"a", "x", {1, 90}, false},
                               {"config", Large, {1, 91}, false},
                               {"old-config", Large, {1, 92}, false}},
                              {1, 100}));
  ItemChanges Small = makeFullChanges({{"b", "x", {1, 110}, false}}, {1, 120});
  Small.Extent = ChangesExtent::Small;
  // A peer that does not list what it leaves out proves nothing.
  CHECK(Table.apply(Small).IsUnconnected);
  CHECK(holds(Table, "a"));
  CHECK(holds(Table, "b"));
  CHECK(Table.getPosition() == ReplicaPosition{{1, 100}, {1, 100}, {1, 100}});
  Small.Omitted = {{"config", {1, 115}}};
  CHECK_FALSE(Table.apply(Small).IsUnconnected);
  CHECK_FALSE(holds(Table, "a"));
  CHECK_FALSE(holds(Table, "old-config"));
  CHECK(holds(Table, "config"));
  CHECK(Table.getPosition() == ReplicaPosition{{1, 100}, {1, 120}, {1, 120}});
  // A peer that lags does not bring it back.
  Table.apply(makeChanges({1, 100}, {{"a", "y", {1, 105}, false}}, {1, 110}));
  CHECK_FALSE(holds(Table, "a"));
}

TEST_CASE(
    "a large item that was left out and then removed does not come back") {
  ItemTable Table;
  Table.apply(makeFullChanges({}, {1, 100}));
  ItemChanges Small = makeChanges({1, 100}, {}, {1, 110});
  Small.Extent = ChangesExtent::Small;
  Small.Omitted = {{"config", {1, 105}}};
  Table.apply(Small);
  ItemChanges Later = makeFullChanges({}, {1, 120});
  Later.Extent = ChangesExtent::Small;
  Later.Omitted.emplace();
  Table.apply(Later);
  Table.apply({"config", "x", {1, 105}, false});
  CHECK_FALSE(holds(Table, "config"));
}

// Guards against a server that is listed again after it had left (DRAIN).
TEST_CASE("a full list of a peer that lags does not bring back what a newer "
          "list of small items lacked") {
  ItemTable Table;
  Table.apply(makeFullChanges({}, {1, 2}));
  const auto MakeSmall = [](const std::vector<StoreItem> &Items,
                            const StorePosition &AsOf) {
    ItemChanges Small = makeFullChanges(Items, AsOf);
    Small.Extent = ChangesExtent::Small;
    Small.Omitted.emplace();
    return Small;
  };
  Table.apply(MakeSmall({}, {1, 9}));
  // A watch that had begun before brings what has been removed by then.
  Table.apply(makeChanges({1, 2}, {{"a", "x", {1, 3}, false}}, {1, 4}));
  CHECK_FALSE(holds(Table, "a"));
  Table.apply(MakeSmall({{"a", "x", {1, 3}, false}}, {1, 5}));
  CHECK_FALSE(holds(Table, "a"));
  // A list that is as new as what is known heals a replica.
  Table.apply(MakeSmall({{"a", "x", {1, 3}, false}}, {1, 9}));
  CHECK(holds(Table, "a"));
}

TEST_CASE("changes that do not follow what is known move no position") {
  ItemTable Table;
  Table.apply(makeFullChanges({{"a", "x", {1, 90}, false}}, {1, 100}));
  const ItemChanges Later =
      makeChanges({1, 110}, {{"b", "x", {1, 115}, false}}, {1, 120});
  CHECK(Table.apply(Later).IsUnconnected);
  CHECK(holds(Table, "b"));
  CHECK(Table.getPosition().Small == StorePosition(1, 100));
  Table.markStale();
  CHECK(Table.apply(Later).IsUnconnected);
  CHECK(Table.getPosition().Small.isNone());
  Table.apply(makeFullChanges({{"b", "z", {1, 80}, false}}, {1, 85}));
  CHECK_FALSE(holds(Table, "a"));
  CHECK(Table.find("b")->Value == "z");
}
