//===- Replica.h - A replica of the store in virtual time -------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// An ItemTable with the calls by which daemons bring each other up to date.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_UNITTESTS_REPLICAMODEL_REPLICA_H
#define CANVASWICK_UNITTESTS_REPLICAMODEL_REPLICA_H

#include "canvaswick/Daemon/DirectoryCalls.h"

#include <rapidcheck.h>

#include <utility>
#include <vector>

namespace canvaswick {

/// What the value of an item begins with whose server leaves.
inline constexpr const char *LeavingMark = "leaving";

inline bool isLeaving(const StoreItem &Item) {
  return !Item.IsRemoved && Item.Value.starts_with(LeavingMark);
}

/// One daemon's replica, without threads or sockets.
class Replica {
public:
  StorePosition getComplete() const {
    return this->Table.getPosition().Complete;
  }
  StorePosition getSmall() const { return this->Table.getPosition().Small; }
  StorePosition getDepartures() const {
    return this->Table.getPosition().Departures;
  }
  const StoreItem *find(const std::string &Key) const {
    return this->Table.find(Key);
  }
  size_t countItems() const { return this->Table.getItems().size(); }

  std::optional<ReplicaDigest> getDigest() const {
    return this->Table.getDigest();
  }

  void markStale() { this->Table.markStale(); }

  /// Applies the answer of a watch.
  void applyEvents(const std::vector<StoreItem> &Events,
                   const StorePosition &Before, const StorePosition &AsOf) {
    this->Table.apply(makeChanges(Before, Events, AsOf));
  }

  /// Applies a read of the whole store.
  void applyAll(const std::vector<StoreItem> &Items,
                const StorePosition &AsOf) {
    this->Table.apply(makeFullChanges(Items, AsOf));
  }

  /// Applies a snapshot that a daemon has written.
  void applySnapshot(const ItemChanges &Snapshot) {
    this->Table.apply(Snapshot);
  }

  /// Returns the snapshot that a daemon writes, as the next one reads it.
  ItemChanges makeSnapshot() const {
    return decodeChanges(encodeChanges(this->Table.getChangesAfter({})))
        .value();
  }

  ChangesRequest makeDeparturesRequest() const {
    ChangesRequest Request;
    Request.WantsLarge = false;
    Request.Scope = ChangesScope::Departures;
    Request.After = this->getDepartures();
    return Request;
  }

  ChangesRequest makeRequest(bool WantsLarge) const {
    ChangesRequest Request;
    Request.WantsLarge = WantsLarge;
    Request.After = WantsLarge ? this->getComplete() : this->getSmall();
    Request.Held = this->Table.listLarge();
    return Request;
  }

  /// Answers a peer as a daemon does, over the wire.
  ItemChanges answer(const ChangesRequest &Asked) const {
    const ChangesRequest Request = decodeRequest(encodeRequest(Asked)).value();
    ChangesResponder Responder(
        [this](const ChangesRequest &Each) {
          return Each.Scope == ChangesScope::Departures
                     ? this->Table.getDeparturesAfter(Each.After,
                                                      this->listLeaving())
                     : this->Table.getChangesAfter(Each.After, Each.Held);
        },
        [] { return true; });
    Result<ItemChanges> Changes =
        decodeChanges(Responder.answer(Request, TimePoint{}));
    RC_ASSERT(Changes.has_value());
    return std::move(Changes.value());
  }

  /// Applies a peer's answer.
  void applyAnswer(ItemChanges Changes, const ChangesRequest &Request) {
    Changes.After = Request.After;
    if (Request.Scope == ChangesScope::Departures)
      Changes.Extent = ChangesExtent::Departures;
    this->Table.apply(Changes);
  }

private:
  std::set<std::string> listLeaving() const {
    std::set<std::string> Keys;
    for (const auto &[Key, Item] : this->Table.getItems())
      if (isLeaving(Item))
        Keys.insert(Key);
    return Keys;
  }

  ItemTable Table;
};

} // namespace canvaswick

#endif // CANVASWICK_UNITTESTS_REPLICAMODEL_REPLICA_H
