//===- ItemTable.cpp - A copy of the store that only moves forward --------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// An item that is gone needs no mark: whatever is not newer than the revision
/// up to which the table is complete is already in it.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Directory/ItemTable.h"

#include <algorithm>
#include <set>

namespace canvaswick {

bool ItemTable::apply(const StoreItem &News) {
  if (News.At <= this->AsOf)
    return false;
  const auto Found = this->Items.find(News.Key);
  const bool IsKnown = Found != this->Items.end();
  if (IsKnown && Found->second.At >= News.At)
    return false;
  if (!News.IsRemoved) {
    if (!IsKnown && this->wasRemovedSince(News))
      return false;
    this->put(News);
    return true;
  }
  if (!IsKnown)
    return false;
  this->Items.erase(Found);
  this->Earlier.erase(News.Key);
  this->noteRemoval(News.Key, News.At);
  return true;
}

/// Puts an item in place, and remembers what it was if it is large: its change
/// can be told to who has that.
void ItemTable::put(const StoreItem &News) {
  StoreItem &Known = this->Items[News.Key];
  if (isLarge(Known) && isLarge(News))
    this->Earlier[News.Key] = std::move(Known);
  Known = News;
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
  IsChanged |=
      std::erase_if(this->Items, [&](const auto &Entry) {
        return Listed.count(Entry.first) == 0 && Entry.second.At <= ReadAt;
      }) > 0;
  this->AsOf = ReadAt;
  // When what is missing now was removed is not known.
  this->Removals.clear();
  this->RemovalsSince = ReadAt;
  return IsChanged;
}

/// Returns whether an item that is not known has been removed since it was as
/// News says. Single items may be taken ahead of AsOf; a peer that is not as
/// far must not bring back what these removed.
bool ItemTable::wasRemovedSince(const StoreItem &News) const {
  return std::any_of(this->Removals.begin(), this->Removals.end(),
                     [&News](const StoreItem &Removal) {
                       return Removal.Key == News.Key && Removal.At > News.At;
                     });
}

/// Removals that are remembered, for peers that lag behind.
static constexpr size_t RemovalsKept = 1000;

void ItemTable::noteRemoval(const std::string &Key, const StorePosition &At) {
  this->Removals.push_back({Key, "", At, true});
  if (this->Removals.size() <= RemovalsKept)
    return;
  // Single items may be taken out of order.
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
    return makeError(ErrorKind::NotFound, "a difference to what is not held");
  BOOST_OUTCOME_TRY(std::string Value, applyDelta(Known->Value, Delta.Change));
  return StoreItem{Delta.Key, std::move(Value), Delta.At, false};
}

/// A difference of more than this part of the value is not worth it.
static constexpr double MostDeltaPart = 0.5;

/// Replaces items of Changes by differences to what Held says of them.
static void useDeltas(ItemChanges &Changes, const ItemTable::ItemMap &Earlier,
                      const ItemPositions &Held) {
  std::erase_if(Changes.Items, [&](const StoreItem &Item) {
    const auto Base = Earlier.find(Item.Key);
    const auto Has = Held.find(Item.Key);
    if (!isLarge(Item) || Base == Earlier.end() || Has == Held.end() ||
        Has->second != Base->second.At)
      return false;
    // What tells a difference names one epoch only.
    if (Item.At.Epoch != Changes.AsOf.Epoch ||
        Has->second.Epoch != Item.At.Epoch)
      return false;
    TextDelta Change = diffTexts(Base->second.Value, Item.Value);
    if (static_cast<double>(measureDelta(Change)) >
        MostDeltaPart * static_cast<double>(Item.Value.size()))
      return false;
    Changes.Deltas.push_back(
        {Item.Key, Item.At, Has->second, std::move(Change)});
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
