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
  /// The store's counter at the item's last change.
  uint64_t Revision = 0;
  bool IsGone = false;

  bool operator==(const StoreItem &) const = default;
};

/// What changed between two revisions.
struct ItemChanges {
  /// Whether Items are all there are, and not only those that changed.
  bool IsAll = false;
  /// Whether items with large values are left out. Those that are here count by
  /// themselves; AsOf is not reached by taking them.
  bool IsPartial = false;
  std::vector<StoreItem> Items;
  uint64_t AsOf = 0;
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
  bool replaceAll(const std::vector<StoreItem> &Items, uint64_t AsOf);

  /// Notes that all changes up to AsOf were taken.
  void advanceTo(uint64_t AsOf);

  /// Returns the revision up to which the table is complete; 0: nothing was
  /// read yet.
  uint64_t getAsOf() const { return this->AsOf; }

  /// Returns an item, or null.
  const StoreItem *find(const std::string &Key) const;

  /// Returns the items whose keys begin with Prefix.
  std::vector<const StoreItem *> list(const std::string &Prefix) const;

  /// Returns what a table that is complete up to After must take to be as far
  /// as this one.
  ItemChanges getChangesAfter(uint64_t After) const;

  const ItemMap &getItems() const { return this->Items; }

private:
  void noteRemoval(const std::string &Key, uint64_t Revision);
  bool wasRemovedSince(const StoreItem &News) const;

  ItemMap Items;
  uint64_t AsOf = 0;
  /// What was removed of late, oldest first, and the revision since when.
  std::deque<StoreItem> Removals;
  uint64_t RemovalsSince = 0;
};

} // namespace canvaswick

#endif // CANVASWICK_DIRECTORY_ITEMTABLE_H
