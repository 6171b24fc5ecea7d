//===- ItemTable.h - Replica of the store -----------------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The items that the platform's store holds for this fleet, as far as this
/// daemon knows. Updates may come from the store or from another daemon,
/// repeatedly and in any order; an update older than the known item changes
/// nothing.
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
#include <set>
#include <string>
#include <vector>

namespace canvaswick {

/// One item of the store, or the removal of one.
struct StoreItem {
  std::string Key;
  std::string Value;
  /// The revision of the last change of the item, in the epoch in which it was
  /// read.
  StorePosition At;
  bool IsRemoved = false;

  bool operator==(const StoreItem &) const = default;
};

/// Values longer than this are large: above the record of a server or daemon,
/// below a configuration of twenty routes.
inline constexpr size_t LargeValueBytes = 4096;

inline bool isLarge(const StoreItem &Item) {
  return Item.Value.size() > LargeValueBytes;
}

/// A large item as the difference from the item that it replaced.
struct ItemDelta {
  std::string Key;
  StorePosition At;
  /// Position of the replaced item.
  StorePosition Base;
  TextDelta Change;

  bool operator==(const ItemDelta &) const = default;
};

/// Positions of items by key.
using ItemPositions = std::map<std::string, StorePosition>;

/// The changes between two positions.
struct ItemChanges {
  /// Whether Items contains all items and not only those that changed.
  bool IsFull = false;
  /// Whether items with large values are left out. The items in here are valid,
  /// but applying them does not bring the replica up to AsOf.
  bool OmitsLarge = false;
  std::vector<StoreItem> Items;
  /// Items that are sent as differences.
  std::vector<ItemDelta> Deltas;
  StorePosition AsOf;
};

/// The replica: items by key. Not thread-safe.
class ItemTable {
public:
  using ItemMap = std::map<std::string, StoreItem>;

  /// Applies an update of one item. Returns whether it changed the table.
  bool apply(const StoreItem &Update);

  /// Applies a complete read of the store as it was at AsOf or later. Items
  /// that are not listed are removed, unless they are newer than AsOf. Returns
  /// whether the table changed.
  bool replaceAll(const std::vector<StoreItem> &Items,
                  const StorePosition &AsOf);

  /// Resets all positions, so that whatever is applied next replaces the known
  /// items. Used when the store has lost changes without a new epoch.
  void markStale();

  /// Records that all changes up to AsOf were applied.
  void advanceTo(const StorePosition &AsOf);

  /// Returns the position up to which the table is complete, or none if nothing
  /// was read yet.
  const StorePosition &getAsOf() const { return this->AsOf; }

  /// Returns the keys of the items that were written or removed since the last
  /// call, each once and in their order.
  std::set<std::string> drainChangedKeys();

  /// Returns an item, or null if there is none with this key.
  const StoreItem *find(const std::string &Key) const;

  /// Returns the items whose keys begin with Prefix.
  std::vector<const StoreItem *> list(const std::string &Prefix) const;

  /// Returns the changes that bring a table that is complete up to After to the
  /// state of this one. Held names the large items of the other table: one that
  /// it has is left out, and one whose previous value it has is sent as a
  /// difference if that is small.
  ItemChanges getChangesAfter(const StorePosition &After,
                              const ItemPositions &Held = {}) const;

  /// Returns the positions of the large items in the table.
  ItemPositions listLarge() const;

  /// Rebuilds an item from a difference. Fails with NotFound if the table does
  /// not hold the base item.
  Result<StoreItem> resolve(const ItemDelta &Delta) const;

  const ItemMap &getItems() const { return this->Items; }

private:
  void recordRemoval(const std::string &Key, const StorePosition &At);
  bool wasRemovedSince(const StoreItem &Update) const;
  void put(const StoreItem &Update);
  void recordDelta(const StoreItem &Known, const StoreItem &Update);
  void useDeltas(ItemChanges &Changes, const ItemPositions &Held) const;

  ItemMap Items;
  std::set<std::string> ChangedKeys;
  /// The last changes of large items, as far as they are small as differences.
  std::map<std::string, ItemDelta> LastDeltas;
  StorePosition AsOf;
  /// Recent removals, oldest first, and the position from which on the list is
  /// complete.
  std::deque<StoreItem> Removals;
  StorePosition RemovalsSince;
};

} // namespace canvaswick

#endif // CANVASWICK_DIRECTORY_ITEMTABLE_H
