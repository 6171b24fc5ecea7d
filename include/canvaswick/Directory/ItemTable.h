//===- ItemTable.h - A copy of the store ------------------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The items that the platform's store holds for this fleet, as far as this
/// daemon knows. News may come from the store or from another daemon, twice or
/// in any order; what is older than what is known changes nothing.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_DIRECTORY_ITEMTABLE_H
#define CANVASWICK_DIRECTORY_ITEMTABLE_H

#include "canvaswick/Directory/StorePosition.h"
#include "canvaswick/Support/Error.h"
#include "canvaswick/Support/TextDelta.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace canvaswick {

/// One item of the store, or the news that it is gone.
struct StoreItem {
  std::string Key;
  std::string Value;
  /// The revision of the item's last change, in the epoch in which it was read.
  StorePosition At;
  bool IsRemoved = false;

  bool operator==(const StoreItem &) const = default;
};

/// A value longer than this is large: more than a server's or a daemon's entry,
/// less than a configuration of twenty routes.
inline constexpr size_t LargeValueBytes = 4096;

inline bool isLarge(const StoreItem &Item) {
  return Item.Value.size() > LargeValueBytes;
}

/// A large item as the difference to the one that it took the place of.
struct ItemDelta {
  std::string Key;
  StorePosition At;
  /// Position of the earlier item.
  StorePosition Base;
  TextDelta Change;

  bool operator==(const ItemDelta &) const = default;
};

/// Positions of items by key.
using ItemPositions = std::map<std::string, StorePosition>;

/// What changed between two positions.
struct ItemChanges {
  /// Whether Items are all there are, and not only those that changed.
  bool IsFull = false;
  /// Whether items with large values are left out. Those that are here count by
  /// themselves; AsOf is not reached by taking them.
  bool OmitsLarge = false;
  std::vector<StoreItem> Items;
  /// Those that come as differences.
  std::vector<ItemDelta> Deltas;
  StorePosition AsOf;
};

/// Items by key. Not thread-safe.
class ItemTable {
public:
  using ItemMap = std::map<std::string, StoreItem>;

  /// Takes news of one item. Returns whether it changed the table.
  bool apply(const StoreItem &News);

  /// Takes all items of the store as they were at AsOf, or later. Items that
  /// are not among them are gone, unless they are newer than AsOf. Returns
  /// whether the table changed.
  bool replaceAll(const std::vector<StoreItem> &Items,
                  const StorePosition &AsOf);

  /// Lets whatever is taken next replace what is known. For a store that has
  /// lost something without a new epoch.
  void markStale();

  /// Notes that all changes up to AsOf were taken.
  void advanceTo(const StorePosition &AsOf);

  /// Returns the position up to which the table is complete; none: nothing was
  /// read yet.
  const StorePosition &getAsOf() const { return this->AsOf; }

  /// Returns an item, or null.
  const StoreItem *find(const std::string &Key) const;

  /// Returns the items whose keys begin with Prefix.
  std::vector<const StoreItem *> list(const std::string &Prefix) const;

  /// Returns what a table that is complete up to After must take to be as far
  /// as this one. Large items that took the place of one in Held, what that
  /// table has of them, come as differences.
  ItemChanges getChangesAfter(const StorePosition &After,
                              const ItemPositions &Held = {}) const;

  /// Returns the large items that the table holds.
  ItemPositions listLarge() const;

  /// Makes an item of a difference. Fails with NotFound if the table does not
  /// hold the earlier one.
  Result<StoreItem> resolve(const ItemDelta &Delta) const;

  const ItemMap &getItems() const { return this->Items; }

private:
  void noteRemoval(const std::string &Key, const StorePosition &At);
  bool wasRemovedSince(const StoreItem &News) const;
  void put(const StoreItem &News);

  ItemMap Items;
  /// What large items were before they changed last.
  ItemMap Earlier;
  StorePosition AsOf;
  /// What was removed of late, oldest first, and the position since when.
  std::deque<StoreItem> Removals;
  StorePosition RemovalsSince;
};

} // namespace canvaswick

#endif // CANVASWICK_DIRECTORY_ITEMTABLE_H
