//===- ItemChanges.h - Changes of a replica ---------------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The items of the store and what daemons send each other of them.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_DIRECTORY_ITEMCHANGES_H
#define CANVASWICK_DIRECTORY_ITEMCHANGES_H

#include "canvaswick/Directory/StorePosition.h"
#include "canvaswick/Support/TextDelta.h"

#include <cstdint>
#include <map>
#include <optional>
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

/// Which of the items between two positions some changes contain.
enum class ChangesExtent : uint8_t {
  /// Some. They are valid, but no position is reached by them.
  Excerpt,
  /// All removals, and the items of the servers that leave.
  Departures,
  /// All but the large ones, and all removals.
  Small,
  All,
};

/// Returns the name of an extent in logs.
const char *getName(ChangesExtent Extent);

/// Changes of a replica.
struct ItemChanges {
  /// The position after which the changes begin. Has no meaning if IsFull.
  StorePosition After;
  /// Whether Items contains all items that exist, so that the others do not.
  bool IsFull = false;
  ChangesExtent Extent = ChangesExtent::All;
  std::vector<StoreItem> Items;
  /// Items that are sent as differences.
  std::vector<ItemDelta> Deltas;
  /// The large items that are left out, if the sender lists them. Without the
  /// list, full changes of small items do not show what was removed.
  std::optional<ItemPositions> Omitted;
  /// The position up to which the changes are complete.
  StorePosition AsOf;
  /// The newest change that full changes may reflect, if that is after AsOf: a
  /// list that was read in parts may lack what was removed meanwhile.
  StorePosition NewestAt;
  /// Where the changes come from, for logs.
  std::string Source;
};

/// Returns all changes after one position up to another.
ItemChanges makeChanges(const StorePosition &After,
                        std::vector<StoreItem> Items,
                        const StorePosition &AsOf);

/// Returns all items as they were at a position or later.
ItemChanges makeFullChanges(std::vector<StoreItem> Items,
                            const StorePosition &AsOf);

} // namespace canvaswick

#endif // CANVASWICK_DIRECTORY_ITEMCHANGES_H
