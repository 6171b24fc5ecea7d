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
/// What a replica promises to its followers: all changes after one position up
/// to another, removals included. Only apply moves a position, by changes that
/// state what lies before it.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_DIRECTORY_ITEMTABLE_H
#define CANVASWICK_DIRECTORY_ITEMTABLE_H

#include "canvaswick/Directory/ItemChanges.h"
#include "canvaswick/Directory/RemovalLog.h"
#include "canvaswick/Directory/ReplicaAudit.h"
#include "canvaswick/Directory/StorePosition.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace canvaswick {

/// The positions that a replica has reached.
struct ReplicaPosition {
  /// Everything up to here is known.
  StorePosition Complete;
  /// All but large items are known up to here; not before Complete.
  StorePosition Small;
  /// What has left up to here is known; not before Small.
  StorePosition Departures;

  bool operator==(const ReplicaPosition &) const = default;
};

/// What applying some changes has done.
struct ApplyResult {
  /// Whether any item was written or removed.
  bool IsChanged = false;
  /// Whether the changes were full and came too late, or did not follow what is
  /// known: they moved no position.
  bool IsUnconnected = false;
  /// Differences from values that are not held. Their items are missing.
  std::vector<ItemDelta> UnknownBases;
};

/// The replica: items by key. Not thread-safe.
class ItemTable {
public:
  using ItemMap = std::map<std::string, StoreItem>;

  /// Applies changes, and moves the positions as far as the changes show what
  /// lies before them.
  ApplyResult apply(const ItemChanges &Changes);

  /// Applies an update of one item. No position moves. Returns whether an item
  /// was written or removed.
  bool apply(const StoreItem &Update);

  /// Resets all positions, so that the next full changes replace the known
  /// items; until then, changes that are not full are ignored. Used when the
  /// store has lost changes without a new epoch.
  void markStale();

  const ReplicaPosition &getPosition() const { return this->Position; }

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

  /// Returns what has left after After: the removals, and the items of Leaving,
  /// the keys of the servers that leave. The changes are full, and empty, if
  /// this table does not know all removals since then.
  ItemChanges getDeparturesAfter(const StorePosition &After,
                                 const std::set<std::string> &Leaving) const;

  /// Returns a digest of the keys and positions of all items, or nothing while
  /// some are known that are newer than what the table is complete up to.
  std::optional<ReplicaDigest> getDigest() const;

  /// Returns the positions of the large items in the table.
  ItemPositions listLarge() const;

  const ItemMap &getItems() const { return this->Items; }

private:
  bool isContained(const StoreItem &Update) const;
  bool remove(const StoreItem &Update);
  void put(const StoreItem &Update);
  bool replaceAll(const ItemChanges &Changes);
  bool putListed(const StoreItem &Item, const StorePosition &ReadAt);
  bool removeUnlisted(const ItemChanges &Changes);
  std::vector<StoreItem> resolveDeltas(const std::vector<ItemDelta> &Deltas,
                                       ApplyResult &Applied) const;
  bool follows(const ItemChanges &Changes) const;
  void move(const ItemChanges &Changes, ChangesExtent Extent);
  void recordMissing(const std::string &Key, const StorePosition &At);
  void forgetMissing();
  void listRemovals(ItemChanges &Changes) const;
  void recordDelta(const StoreItem &Known, const StoreItem &Update);
  void useDeltas(ItemChanges &Changes, const ItemPositions &Held) const;

  ItemMap Items;
  std::set<std::string> ChangedKeys;
  /// The last changes of large items, as far as they are small as differences.
  std::map<std::string, ItemDelta> LastDeltas;
  ReplicaPosition Position;
  /// Large items that exist and whose value was not received yet. All of them
  /// are newer than Position.Complete.
  ItemPositions Missing;
  /// Large items up to here may be missing without being listed there: daemons
  /// of earlier versions leave them out without a word.
  StorePosition LeftOutUnlistedUpTo;
  RemovalLog Removals;
  /// The digests of all items combined, and the newest change known.
  uint64_t CombinedDigest = 0;
  StorePosition NewestAt;
  /// True from markStale until the next full changes.
  bool IsStale = false;
};

} // namespace canvaswick

#endif // CANVASWICK_DIRECTORY_ITEMTABLE_H
