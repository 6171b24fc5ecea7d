//===- ItemTable.cpp - Replica of the store -------------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Removed items need no tombstones: an update that is not newer than AsOf is
/// already contained in the table.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Directory/ItemTable.h"

#include <algorithm>
#include <set>
#include <utility>

namespace canvaswick {

bool ItemTable::apply(const StoreItem &Update) {
  if (Update.At <= this->AsOf)
    return false;
  const auto Found = this->Items.find(Update.Key);
  const bool IsKnown = Found != this->Items.end();
  if (IsKnown && Found->second.At >= Update.At)
    return false;
  if (!Update.IsRemoved) {
    if (!IsKnown && this->wasRemovedSince(Update))
      return false;
    this->put(Update);
    return true;
  }
  if (!IsKnown)
    return false;
  this->Items.erase(Found);
  this->ChangedKeys.insert(Update.Key);
  this->LastDeltas.erase(Update.Key);
  this->recordRemoval(Update.Key, Update.At);
  return true;
}

void ItemTable::put(const StoreItem &Update) {
  StoreItem &Known = this->Items[Update.Key];
  this->ChangedKeys.insert(Update.Key);
  this->recordDelta(Known, Update);
  Known = Update;
}

/// Keeps the change of a large item as a difference if that is small: it is
/// sent with small items, to whoever holds the previous value.
void ItemTable::recordDelta(const StoreItem &Known, const StoreItem &Update) {
  this->LastDeltas.erase(Update.Key);
  const bool GrowsMuch =
      Update.Value.size() > Known.Value.size() + LargeValueBytes;
  // The encoding of a difference carries only one epoch.
  if (!isLarge(Known) || !isLarge(Update) || GrowsMuch ||
      Known.At.Epoch != Update.At.Epoch)
    return;
  TextDelta Change = diffTexts(Known.Value, Update.Value);
  if (measureDelta(Change) <= LargeValueBytes)
    this->LastDeltas[Update.Key] = {Update.Key, Update.At, Known.At,
                                    std::move(Change)};
}

bool ItemTable::replaceAll(const std::vector<StoreItem> &Given,
                           const StorePosition &ReadAt) {
  if (ReadAt < this->AsOf)
    return false;
  bool IsChanged = false;
  std::set<std::string> Listed;
  for (const StoreItem &Item : Given) {
    Listed.insert(Item.Key);
    const StoreItem *Known = this->find(Item.Key);
    if (Known && Known->At >= Item.At)
      continue;
    this->put(Item);
    IsChanged = true;
  }
  IsChanged |= std::erase_if(this->Items, [&](const auto &Entry) {
                 const bool IsGone = Listed.count(Entry.first) == 0 &&
                                     Entry.second.At <= ReadAt;
                 if (IsGone)
                   this->ChangedKeys.insert(Entry.first);
                 return IsGone;
               }) > 0;
  this->AsOf = ReadAt;
  // It is not known when the items that are missing now were removed.
  this->Removals.clear();
  this->RemovalsSince = ReadAt;
  return IsChanged;
}

/// Returns whether an unknown item was removed after the change in Update.
/// Single updates may be applied ahead of AsOf, and a peer that lags must not
/// restore what these removed.
bool ItemTable::wasRemovedSince(const StoreItem &Update) const {
  return std::any_of(this->Removals.begin(), this->Removals.end(),
                     [&Update](const StoreItem &Removal) {
                       return Removal.Key == Update.Key &&
                              Removal.At > Update.At;
                     });
}

/// Number of removals that are remembered for peers that lag.
static constexpr size_t MaxRemovals = 1000;

void ItemTable::recordRemoval(const std::string &Key, const StorePosition &At) {
  this->Removals.push_back({Key, "", At, true});
  if (this->Removals.size() <= MaxRemovals)
    return;
  // Single updates may be applied out of order.
  this->RemovalsSince =
      std::max(this->RemovalsSince, this->Removals.front().At);
  this->Removals.pop_front();
}

ItemPositions ItemTable::listLarge() const {
  ItemPositions Large;
  for (const auto &[Key, Item] : this->Items)
    if (isLarge(Item))
      Large[Key] = Item.At;
  return Large;
}

Result<StoreItem> ItemTable::resolve(const ItemDelta &Delta) const {
  const StoreItem *Known = this->find(Delta.Key);
  if (!Known || Known->At != Delta.Base)
    return makeError(ErrorKind::NotFound,
                     "base item of the difference not found");
  BOOST_OUTCOME_TRY(std::string Value, applyDelta(Known->Value, Delta.Change));
  return StoreItem{Delta.Key, std::move(Value), Delta.At, false};
}

/// Leaves out the large items that Held names, and replaces others by
/// differences from them.
void ItemTable::useDeltas(ItemChanges &Changes,
                          const ItemPositions &Held) const {
  std::erase_if(Changes.Items, [&](const StoreItem &Item) {
    const auto HeldPosition = Held.find(Item.Key);
    if (!isLarge(Item) || HeldPosition == Held.end())
      return false;
    if (HeldPosition->second == Item.At)
      return true;
    const auto Delta = this->LastDeltas.find(Item.Key);
    if (Delta == this->LastDeltas.end() ||
        Delta->second.Base != HeldPosition->second ||
        Delta->second.At.Epoch != Changes.AsOf.Epoch)
      return false;
    Changes.Deltas.push_back(Delta->second);
    return true;
  });
}

ItemChanges ItemTable::getChangesAfter(const StorePosition &After,
                                       const ItemPositions &Held) const {
  ItemChanges Changes;
  Changes.AsOf = this->AsOf;
  Changes.IsFull = After < this->RemovalsSince;
  for (const auto &[Key, Item] : this->Items)
    if (Changes.IsFull || Item.At > After)
      Changes.Items.push_back(Item);
  if (Changes.IsFull)
    return Changes;
  this->useDeltas(Changes, Held);
  for (const StoreItem &Removal : this->Removals)
    if (Removal.At > After)
      Changes.Items.push_back(Removal);
  return Changes;
}

void ItemTable::markStale() {
  this->AsOf = {};
  this->LastDeltas.clear();
  for (auto &[Key, Item] : this->Items)
    Item.At = {};
}

std::set<std::string> ItemTable::drainChangedKeys() {
  return std::exchange(this->ChangedKeys, {});
}

void ItemTable::advanceTo(const StorePosition &Reached) {
  this->AsOf = std::max(this->AsOf, Reached);
}

const StoreItem *ItemTable::find(const std::string &Key) const {
  const auto Found = this->Items.find(Key);
  return Found == this->Items.end() ? nullptr : &Found->second;
}

std::vector<const StoreItem *>
ItemTable::list(const std::string &Prefix) const {
  std::vector<const StoreItem *> Found;
  for (auto Each = this->Items.lower_bound(Prefix);
       Each != this->Items.end() && Each->first.starts_with(Prefix); ++Each)
    Found.push_back(&Each->second);
  return Found;
}

} // namespace canvaswick
