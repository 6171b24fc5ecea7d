//===- ItemTable.cpp - Replica of the store -------------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// An update that is not newer than the position up to which the table is
/// complete is contained in the table. Beyond it, items and removals may be
/// known already, so that only the newer one of each key counts.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Directory/ItemTable.h"
#include "canvaswick/Support/Hash.h"

#include <algorithm>
#include <set>
#include <utility>

namespace canvaswick {

/// Returns the part of an item in the digest of a table. The order of items
/// must not matter.
static uint64_t digestItem(const StoreItem &Item) {
  return hashText(Item.Key, Item.At.Revision);
}

std::optional<ReplicaDigest> ItemTable::getDigest() const {
  const StorePosition &Complete = this->Position.Complete;
  if (Complete.isNone() || this->NewestAt > Complete || !this->Missing.empty())
    return std::nullopt;
  return ReplicaDigest{Complete, this->CombinedDigest};
}

/// Returns whether the table already reflects an update or something newer.
bool ItemTable::isContained(const StoreItem &Update) const {
  if (Update.At <= this->Position.Complete ||
      this->Removals.find(Update.Key) >= Update.At)
    return true;
  if (const StoreItem *Known = this->find(Update.Key))
    return Known->At >= Update.At;
  if (Update.IsRemoved || Update.At > this->Position.Small)
    return false;
  // Such an item exists no more, although its removal is not in the log: full
  // changes did not list it. Unless it is one of those that were left out.
  const bool MayBeLeftOut =
      isLarge(Update) && Update.At <= this->LeftOutUnlistedUpTo;
  return !MayBeLeftOut && this->Missing.count(Update.Key) == 0;
}

bool ItemTable::apply(const StoreItem &Update) {
  if (this->isContained(Update))
    return false;
  if (Update.IsRemoved)
    return this->remove(Update);
  this->put(Update);
  return true;
}

/// Removes an item. The removal is recorded in any case: a follower may hold
/// what this table never held.
bool ItemTable::remove(const StoreItem &Update) {
  this->Removals.record(Update.Key, Update.At);
  this->NewestAt = std::max(this->NewestAt, Update.At);
  const auto Found = this->Items.find(Update.Key);
  if (Found == this->Items.end())
    return false;
  this->CombinedDigest ^= digestItem(Found->second);
  this->Items.erase(Found);
  this->ChangedKeys.insert(Update.Key);
  this->LastDeltas.erase(Update.Key);
  return true;
}

void ItemTable::put(const StoreItem &Update) {
  this->Removals.forget(Update.Key);
  const auto [Entry, IsNew] = this->Items.try_emplace(Update.Key);
  StoreItem &Known = Entry->second;
  if (!IsNew)
    this->CombinedDigest ^= digestItem(Known);
  this->CombinedDigest ^= digestItem(Update);
  this->NewestAt = std::max(this->NewestAt, Update.At);
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

ApplyResult ItemTable::apply(const ItemChanges &Changes) {
  ApplyResult Applied;
  if (!this->follows(Changes)) {
    Applied.IsUnconnected = true;
    // Single items are valid all the same, unless positions have no meaning.
    if (!this->IsStale)
      for (const StoreItem &Item : Changes.Items)
        Applied.IsChanged |= this->apply(Item);
    return Applied;
  }
  const std::vector<StoreItem> Resolved =
      this->resolveDeltas(Changes.Deltas, Applied);
  if (Changes.IsFull)
    Applied.IsChanged = this->replaceAll(Changes);
  else
    for (const StoreItem &Item : Changes.Items)
      Applied.IsChanged |= this->apply(Item);
  for (const StoreItem &Item : Resolved)
    Applied.IsChanged |= this->apply(Item);
  for (const ItemDelta &Delta : Applied.UnknownBases)
    this->recordMissing(Delta.Key, Delta.At);
  const bool LacksLarge =
      Changes.Extent == ChangesExtent::All && !Applied.UnknownBases.empty();
  this->move(Changes, LacksLarge ? ChangesExtent::Small : Changes.Extent);
  return Applied;
}

/// Returns whether changes begin where the table ends or before, so that
/// nothing lies between.
bool ItemTable::follows(const ItemChanges &Changes) const {
  if (Changes.Extent == ChangesExtent::Excerpt)
    return false;
  const bool IsOneEpoch =
      Changes.After.isNone() || Changes.After.Epoch == Changes.AsOf.Epoch;
  if (Changes.Extent == ChangesExtent::Departures)
    return !this->IsStale && IsOneEpoch && !Changes.IsFull &&
           Changes.After <= this->Position.Departures;
  const bool IsSmall = Changes.Extent == ChangesExtent::Small;
  if (Changes.IsFull)
    return Changes.AsOf >= this->Position.Complete &&
           (!IsSmall || Changes.Omitted);
  return !this->IsStale && IsOneEpoch && Changes.After <= this->Position.Small;
}

/// Moves the positions after changes that follow the table were applied.
void ItemTable::move(const ItemChanges &Changes, ChangesExtent Extent) {
  ReplicaPosition &Reached = this->Position;
  Reached.Departures = std::max(Reached.Departures, Changes.AsOf);
  if (Changes.Extent == ChangesExtent::Departures)
    return;
  if (Extent == ChangesExtent::All &&
      (Changes.IsFull || Changes.After <= Reached.Complete))
    Reached.Complete = std::max(Reached.Complete, Changes.AsOf);
  Reached.Small = std::max({Reached.Small, Changes.AsOf, Reached.Complete});
  Reached.Departures = std::max(Reached.Departures, Reached.Small);
  if (Changes.Omitted)
    for (const auto &[Key, At] : *Changes.Omitted)
      this->recordMissing(Key, At);
  else if (Changes.Extent == ChangesExtent::Small)
    this->LeftOutUnlistedUpTo =
        std::max(this->LeftOutUnlistedUpTo, Changes.AsOf);
  this->forgetMissing();
  this->Removals.shrink(Reached.Complete);
}

/// Records that a large item exists, unless it or something newer is known.
void ItemTable::recordMissing(const std::string &Key, const StorePosition &At) {
  StorePosition &Known = this->Missing[Key];
  Known = std::max(Known, At);
}

/// Forgets the missing items that have been received, removed or replaced.
void ItemTable::forgetMissing() {
  std::erase_if(this->Missing, [this](const auto &Entry) {
    const auto &[Key, At] = Entry;
    const StoreItem *Known = this->find(Key);
    return At <= this->Position.Complete || (Known && Known->At >= At) ||
           this->Removals.find(Key) >= At;
  });
}

/// Puts an item from a list of all items as of ReadAt. Returns whether it was
/// new.
bool ItemTable::putListed(const StoreItem &Item, const StorePosition &ReadAt) {
  if (Item.IsRemoved)
    return this->apply(Item);
  const StoreItem *Known = this->find(Item.Key);
  if ((Known && Known->At >= Item.At) || this->Removals.find(Item.Key) > ReadAt)
    return false;
  // Of small items the table may know more than the list.
  if (ReadAt < this->Position.Small && this->isContained(Item))
    return false;
  this->put(Item);
  return true;
}

static bool isOmitted(const ItemChanges &Changes, const std::string &Key) {
  return Changes.Omitted && Changes.Omitted->count(Key) > 0;
}

/// Removes the items that do not exist by a list of all.
bool ItemTable::removeUnlisted(const ItemChanges &Changes) {
  std::set<std::string> Listed;
  for (const StoreItem &Item : Changes.Items)
    Listed.insert(Item.Key);
  for (const ItemDelta &Delta : Changes.Deltas)
    Listed.insert(Delta.Key);
  std::vector<std::string> Gone;
  for (const auto &[Key, Item] : this->Items)
    if (Item.At <= Changes.AsOf && Listed.count(Key) == 0 &&
        !isOmitted(Changes, Key))
      Gone.push_back(Key);
  // When they were removed is not known: after the last complete position, and
  // not after the list was made.
  for (const std::string &Key : Gone)
    this->remove({Key, "", Changes.AsOf, true});
  return !Gone.empty();
}

/// Applies a list of all items as they were at one position or later.
bool ItemTable::replaceAll(const ItemChanges &Changes) {
  bool IsChanged = false;
  for (const StoreItem &Item : Changes.Items)
    IsChanged |= this->putListed(Item, Changes.AsOf);
  IsChanged |= this->removeUnlisted(Changes);
  this->NewestAt = std::max({this->NewestAt, Changes.NewestAt, Changes.AsOf});
  std::erase_if(this->Missing, [&Changes](const auto &Entry) {
    const auto &[Key, At] = Entry;
    return At <= Changes.AsOf && !isOmitted(Changes, Key);
  });
  // What came and went before the list was made is in no log.
  if (Changes.Extent == ChangesExtent::All)
    this->Removals.forgetUpTo(Changes.AsOf);
  else
    this->Removals.restrictTo(Changes.AsOf);
  this->IsStale = false;
  return IsChanged;
}

/// Rebuilds items from differences. What the table holds already, or something
/// newer, is passed over.
std::vector<StoreItem>
ItemTable::resolveDeltas(const std::vector<ItemDelta> &Deltas,
                         ApplyResult &Applied) const {
  std::vector<StoreItem> Resolved;
  for (const ItemDelta &Delta : Deltas) {
    if (this->isContained({Delta.Key, "", Delta.At, true}))
      continue;
    const StoreItem *Base = this->find(Delta.Key);
    if (Base && Base->At == Delta.Base)
      if (Result<std::string> Value = applyDelta(Base->Value, Delta.Change)) {
        Resolved.push_back(
            {Delta.Key, std::move(Value.value()), Delta.At, false});
        continue;
      }
    Applied.UnknownBases.push_back(Delta);
  }
  return Resolved;
}

ItemPositions ItemTable::listLarge() const {
  ItemPositions Large;
  for (const auto &[Key, Item] : this->Items)
    if (isLarge(Item))
      Large[Key] = Item.At;
  return Large;
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
  Changes.After = After;
  Changes.AsOf = this->Position.Complete;
  Changes.IsFull = After < this->Removals.getSince();
  for (const auto &[Key, Item] : this->Items)
    if (Changes.IsFull || Item.At > After)
      Changes.Items.push_back(Item);
  if (Changes.IsFull) {
    Changes.NewestAt = this->NewestAt;
    return Changes;
  }
  this->useDeltas(Changes, Held);
  this->listRemovals(Changes);
  return Changes;
}

/// Adds the removals after the position after which the changes begin.
void ItemTable::listRemovals(ItemChanges &Changes) const {
  this->Removals.visitAfter(Changes.After, [&Changes](const std::string &Key,
                                                      const StorePosition &At) {
    Changes.Items.push_back({Key, "", At, true});
  });
}

ItemChanges
ItemTable::getDeparturesAfter(const StorePosition &After,
                              const std::set<std::string> &Leaving) const {
  ItemChanges Changes;
  Changes.After = After;
  Changes.AsOf = this->Position.Departures;
  Changes.Extent = ChangesExtent::Departures;
  Changes.IsFull = After < this->Removals.getSince();
  if (Changes.IsFull)
    return Changes;
  for (const std::string &Key : Leaving)
    if (const StoreItem *Item = this->find(Key); Item && Item->At > After)
      Changes.Items.push_back(*Item);
  this->listRemovals(Changes);
  return Changes;
}

void ItemTable::markStale() {
  this->Position = {};
  this->Missing.clear();
  this->LeftOutUnlistedUpTo = {};
  this->Removals.reset();
  this->LastDeltas.clear();
  this->NewestAt = {};
  this->CombinedDigest = 0;
  for (auto &[Key, Item] : this->Items) {
    Item.At = {};
    this->CombinedDigest ^= digestItem(Item);
  }
  this->IsStale = true;
}

std::set<std::string> ItemTable::drainChangedKeys() {
  return std::exchange(this->ChangedKeys, {});
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
