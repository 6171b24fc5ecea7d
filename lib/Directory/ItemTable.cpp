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
  this->Earlier.erase(Update.Key);
  this->recordRemoval(Update.Key, Update.At);
  return true;
}

/// Stores an item, and keeps its previous value if both are large, so that the
/// change can be sent as a difference to peers that hold the previous value.
void ItemTable::put(const StoreItem &Update) {
  StoreItem &Known = this->Items[Update.Key];
  this->ChangedKeys.insert(Update.Key);
  if (isLarge(Known) && isLarge(Update))
    this->Earlier[Update.Key] = std::move(Known);
  Known = Update;
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

/// A difference larger than this fraction of the value is not worth sending.
static constexpr double MaxDeltaFraction = 0.5;

/// Replaces items of Changes by differences from the items in Held.
static void useDeltas(ItemChanges &Changes, const ItemTable::ItemMap &Earlier,
                      const ItemPositions &Held) {
  std::erase_if(Changes.Items, [&](const StoreItem &Item) {
    const auto Base = Earlier.find(Item.Key);
    const auto HeldPosition = Held.find(Item.Key);
    if (!isLarge(Item) || Base == Earlier.end() || HeldPosition == Held.end() ||
        HeldPosition->second != Base->second.At)
      return false;
    // The encoding of a difference carries only one epoch.
    if (Item.At.Epoch != Changes.AsOf.Epoch ||
        HeldPosition->second.Epoch != Item.At.Epoch)
      return false;
    TextDelta Change = diffTexts(Base->second.Value, Item.Value);
    if (static_cast<double>(measureDelta(Change)) >
        MaxDeltaFraction * static_cast<double>(Item.Value.size()))
      return false;
    Changes.Deltas.push_back(
        {Item.Key, Item.At, HeldPosition->second, std::move(Change)});
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
  useDeltas(Changes, this->Earlier, Held);
  for (const StoreItem &Removal : this->Removals)
    if (Removal.At > After)
      Changes.Items.push_back(Removal);
  return Changes;
}

void ItemTable::markStale() {
  this->AsOf = {};
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
