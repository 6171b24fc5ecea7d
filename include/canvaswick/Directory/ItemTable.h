//===- ItemTable.h - A copy of the store that only moves forward -*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The items that the platform's store holds for this fleet, as far as this daemon
/// knows. News may come from the store or from another daemon, twice or in any
/// order; what is older than what is known changes nothing.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_DIRECTORY_ITEMTABLE_H
#define CANVASWICK_DIRECTORY_ITEMTABLE_H

#include <cstdint>
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

  const ItemMap &getItems() const { return this->Items; }

private:
  ItemMap Items;
  uint64_t AsOf = 0;
};

} // namespace canvaswick

#endif // CANVASWICK_DIRECTORY_ITEMTABLE_H
