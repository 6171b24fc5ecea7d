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
  if (News.Revision <= this->AsOf)
    return false;
  const auto Found = this->Items.find(News.Key);
  const bool IsKnown = Found != this->Items.end();
  if (IsKnown && Found->second.Revision >= News.Revision)
    return false;
  if (!News.IsGone) {
    if (!IsKnown && this->wasRemovedSince(News))
      return false;
    this->Items[News.Key] = News;
    return true;
  }
  if (!IsKnown)
    return false;
  this->Items.erase(Found);
  this->noteRemoval(News.Key, News.Revision);
  return true;
}

bool ItemTable::replaceAll(const std::vector<StoreItem> &Given,
                           uint64_t ReadAt) {
  if (ReadAt < this->AsOf)
    return false;
  bool IsChanged = false;
  std::set<std::string> Listed;
  for (const StoreItem &Item : Given) {
    Listed.insert(Item.Key);
    StoreItem &Known = this->Items[Item.Key];
    if (Known.Revision >= Item.Revision)
      continue;
    Known = Item;
    IsChanged = true;
  }
  IsChanged |= std::erase_if(this->Items, [&](const auto &Entry) {
                 return Listed.count(Entry.first) == 0 &&
                        Entry.second.Revision <= ReadAt;
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
                       return Removal.Key == News.Key &&
                              Removal.Revision > News.Revision;
                     });
}

/// Removals that are remembered, for peers that lag behind.
static constexpr size_t RemovalsKept = 1000;

void ItemTable::noteRemoval(const std::string &Key, uint64_t Revision) {
  this->Removals.push_back({Key, "", Revision, true});
  if (this->Removals.size() <= RemovalsKept)
    return;
  // Single items may be taken out of order.
  this->RemovalsSince =
      std::max(this->RemovalsSince, this->Removals.front().Revision);
  this->Removals.pop_front();
}

ItemChanges ItemTable::getChangesAfter(uint64_t After) const {
  ItemChanges Changes;
  Changes.AsOf = this->AsOf;
  Changes.IsAll = After < this->RemovalsSince;
  for (const auto &[Key, Item] : this->Items)
    if (Changes.IsAll || Item.Revision > After)
      Changes.Items.push_back(Item);
  if (Changes.IsAll)
    return Changes;
  for (const StoreItem &Removal : this->Removals)
    if (Removal.Revision > After)
      Changes.Items.push_back(Removal);
  return Changes;
}

void ItemTable::advanceTo(uint64_t Reached) {
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
