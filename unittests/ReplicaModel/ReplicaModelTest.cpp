//===- ReplicaModelTest.cpp - Replicas that bring each other up to date ---===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Models one store and the replicas of some daemons that start again from
/// snapshots of any age. RapidCheck draws and shrinks schedules. What a replica
/// says that it knows must agree with the store's history.
///
//===----------------------------------------------------------------------===//

#include "Replica.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <map>
#include <optional>

using namespace canvaswick;

namespace {

constexpr size_t ReplicaCount = 4;
constexpr size_t KeyCount = 5;
constexpr int SchedulesPerCase = 30;

/// The first of these keys always have small values, the last a large one, and
/// the one before both kinds.
std::string makeKey(size_t Index) { return fmt::format("k{}", Index); }

std::string makeValue(uint64_t Revision, bool IsLarge) {
  // A large value that differs little from the one before it is sent as a
  // difference.
  const std::string Text = fmt::format("v{}", Revision);
  return IsLarge ? std::string(LargeValueBytes, 'x') + Text : Text;
}

/// The store with its whole history.
class ModelStore {
public:
  void put(size_t Index, bool IsLarge) {
    ++this->AsOf.Revision;
    this->write(Index, makeValue(this->AsOf.Revision, IsLarge));
  }

  void leave(size_t Index) {
    ++this->AsOf.Revision;
    this->write(Index, LeavingMark + makeValue(this->AsOf.Revision, false));
  }

  void remove(size_t Index) {
    const std::string Key = makeKey(Index);
    const StoreItem *Last = this->findAt(Key, this->AsOf);
    if (!Last || Last->IsRemoved)
      return;
    ++this->AsOf.Revision;
    this->History.push_back({Key, "", this->AsOf, true});
  }

  /// Loses the last changes, as after a restore from a backup.
  void restore(bool HasNewEpoch) {
    constexpr size_t Lost = 3;
    this->History.resize(this->History.size() -
                         std::min(Lost, this->History.size()));
    std::vector<StoreItem> Items = this->readAll();
    this->AsOf.Revision =
        this->History.empty() ? 1 : this->History.back().At.Revision;
    this->AsOf.Epoch += HasNewEpoch ? 1 : 0;
    for (StoreItem &Each : Items)
      Each.At.Epoch = this->AsOf.Epoch;
    std::sort(
        Items.begin(), Items.end(),
        [](const StoreItem &A, const StoreItem &B) { return A.At < B.At; });
    this->History = std::move(Items);
    this->HistorySince = this->AsOf.Revision;
  }

  /// Returns the last change of a key up to a position, or null.
  const StoreItem *findAt(const std::string &Key,
                          const StorePosition &Position) const {
    const StoreItem *Last = nullptr;
    for (const StoreItem &Each : this->History)
      if (Each.Key == Key && Each.At <= Position)
        Last = &Each;
    return Last;
  }

  /// Returns whether a key was removed after one position and up to another.
  bool wasRemoved(const std::string &Key, const StorePosition &After,
                  const StorePosition &UpTo) const {
    return std::any_of(this->History.begin(), this->History.end(),
                       [&](const StoreItem &Each) {
                         return Each.Key == Key && Each.IsRemoved &&
                                Each.At > After && Each.At <= UpTo;
                       });
  }

  std::vector<StoreItem> readAll() const {
    std::map<std::string, StoreItem> Items;
    for (const StoreItem &Each : this->History)
      if (Each.IsRemoved)
        Items.erase(Each.Key);
      else
        Items[Each.Key] = Each;
    std::vector<StoreItem> All;
    All.reserve(Items.size());
    for (auto &[Key, Item] : Items)
      All.push_back(std::move(Item));
    return All;
  }

  /// Returns the last change of each key after a position, or nothing if the
  /// history is gone.
  std::optional<std::vector<StoreItem>>
  watch(const StorePosition &After) const {
    if (After.Epoch != this->AsOf.Epoch || After.Revision < this->HistorySince)
      return std::nullopt;
    std::vector<StoreItem> Events;
    for (const StoreItem &Each : this->History)
      if (Each.At > After)
        Events.push_back(Each);
    return Events;
  }

  StorePosition AsOf{1, 1};

private:
  void write(size_t Index, const std::string &Value) {
    this->History.push_back({makeKey(Index), Value, this->AsOf, false});
  }

  std::vector<StoreItem> History;
  uint64_t HistorySince = 0;
};

/// An answer that is on its way.
struct PendingAnswer {
  ChangesRequest Request;
  ItemChanges Changes;
};

struct ModelDaemon {
  Replica Known;
  std::vector<PendingAnswer> Pending;
  /// The position of each key when it was last listed in this life.
  std::map<std::string, StorePosition> LastListed;
  std::map<std::string, bool> IsListed;
};

enum class Action : uint8_t {
  WriteSmall,
  WriteLarge,
  Leave,
  Remove,
  WriteSnapshot,
  Restart,
  Watch,
  Read,
  AskSmall,
  AskLarge,
  AskDepartures,
  Receive,
  RestoreEpoch,
  RestoreSilently,
};

struct Step {
  Action Kind = Action::Watch;
  size_t Index = 0;
  size_t Other = 0;
};

std::ostream &operator<<(std::ostream &Out, const Step &Each) {
  static constexpr std::array Names = {
      "write-small",    "write-large",  "leave",          "remove",
      "write-snapshot", "restart",      "watch",          "read",
      "ask-small",      "ask-large",    "ask-departures", "receive",
      "new-epoch",      "lose-silently"};
  return Out << Names.at(static_cast<size_t>(Each.Kind)) << ' ' << Each.Index
             << ' ' << Each.Other;
}

class Model {
public:
  void run(const std::vector<Step> &Steps) {
    for (const Step &Each : Steps) {
      this->perform(Each);
      for (ModelDaemon &Daemon : this->Daemons)
        this->check(Daemon);
      this->checkDigests();
    }
    for (ModelDaemon &Daemon : this->Daemons) {
      this->watch(Daemon);
      this->check(Daemon);
      RC_ASSERT(Daemon.Known.getComplete() == this->Store.AsOf);
      RC_ASSERT(Daemon.Known.countItems() == this->Store.readAll().size());
    }
  }

private:
  void perform(const Step &Each) {
    ModelDaemon &Daemon = this->Daemons[Each.Index % ReplicaCount];
    const ModelDaemon &Peer = this->Daemons[Each.Other % ReplicaCount];
    const size_t Key = Each.Other % KeyCount;
    switch (Each.Kind) {
    case Action::WriteSmall:
      this->Store.put(std::min(Key, KeyCount - 2), false);
      return;
    case Action::WriteLarge:
      this->Store.put(std::max(Key, KeyCount - 2), true);
      return;
    case Action::Leave:
      this->Store.leave(std::min(Key, KeyCount - 2));
      return;
    case Action::Remove:
      this->Store.remove(Key);
      return;
    case Action::WriteSnapshot:
      if (Daemon.Known.getComplete().Epoch == this->Store.AsOf.Epoch)
        this->Snapshots.push_back(Daemon.Known.makeSnapshot());
      return;
    case Action::Restart:
      Daemon = ModelDaemon();
      if (!this->Snapshots.empty())
        Daemon.Known.applySnapshot(
            this->Snapshots[Each.Other % this->Snapshots.size()]);
      return;
    case Action::Watch:
      this->watch(Daemon);
      return;
    case Action::Read:
      Daemon.Known.applyAll(this->Store.readAll(), this->Store.AsOf);
      return;
    case Action::AskSmall:
    case Action::AskLarge:
      this->ask(Daemon, Peer,
                Daemon.Known.makeRequest(Each.Kind == Action::AskLarge));
      return;
    case Action::AskDepartures:
      this->ask(Daemon, Peer, Daemon.Known.makeDeparturesRequest());
      return;
    case Action::Receive:
      this->receive(Daemon, Each.Other);
      return;
    case Action::RestoreEpoch:
      this->Store.restore(true);
      this->Snapshots.clear();
      return;
    case Action::RestoreSilently:
      this->loseSilently();
      return;
    }
  }

  void watch(ModelDaemon &Daemon) {
    const StorePosition Before = Daemon.Known.getComplete();
    const auto Events = this->Store.watch(Before);
    if (Events && !Before.isNone())
      Daemon.Known.applyEvents(*Events, Before, this->Store.AsOf);
    else
      Daemon.Known.applyAll(this->Store.readAll(), this->Store.AsOf);
  }

  void ask(ModelDaemon &Daemon, const ModelDaemon &Peer,
           const ChangesRequest &Request) {
    if (&Daemon == &Peer || Daemon.Known.getComplete().isNone())
      return;
    if (Peer.Known.getComplete() > Request.After)
      Daemon.Pending.push_back({Request, Peer.Known.answer(Request)});
  }

  /// Applies one of the answers on their way, in any order.
  void receive(ModelDaemon &Daemon, size_t Choice) {
    if (Daemon.Pending.empty())
      return;
    const auto Chosen = Daemon.Pending.begin() +
                        static_cast<ptrdiff_t>(Choice % Daemon.Pending.size());
    Daemon.Known.applyAnswer(Chosen->Changes, Chosen->Request);
    Daemon.Pending.erase(Chosen);
  }

  /// The store loses changes without a new epoch. Every daemon finds that out
  /// and reads everything.
  void loseSilently() {
    this->Store.restore(false);
    this->Snapshots.clear();
    for (ModelDaemon &Daemon : this->Daemons) {
      Daemon.Known.markStale();
      Daemon.Pending.clear();
      Daemon.LastListed.clear();
      Daemon.IsListed.clear();
      Daemon.Known.applyAll(this->Store.readAll(), this->Store.AsOf);
    }
  }

  void check(ModelDaemon &Daemon) {
    if (Daemon.Known.getComplete().Epoch != this->Store.AsOf.Epoch)
      return;
    for (size_t I = 0; I < KeyCount; ++I) {
      const std::string Key = makeKey(I);
      this->checkKnown(Daemon.Known, Key, Daemon.Known.getComplete(), true);
      this->checkKnown(Daemon.Known, Key, Daemon.Known.getSmall(), false);
      this->checkDeparture(Daemon.Known, Key, Daemon.Known.getDepartures());
      this->checkOrder(Daemon, Key);
    }
  }

  /// Checks that replicas do not seem to differ while none is wrong.
  void checkDigests() const {
    std::map<StorePosition, uint64_t> Digests;
    for (const ModelDaemon &Daemon : this->Daemons) {
      const std::optional<ReplicaDigest> Digest = Daemon.Known.getDigest();
      if (!Digest || Digest->AsOf.Epoch != this->Store.AsOf.Epoch)
        continue;
      const auto [Entry, IsNew] = Digests.emplace(Digest->AsOf, Digest->Value);
      const bool IsEqual = IsNew || Entry->second == Digest->Value;
      RC_ASSERT(IsEqual);
    }
  }

  /// Checks that a replica holds a key as the store did at Position or later.
  void checkKnown(const Replica &Known, const std::string &Key,
                  const StorePosition &Position, bool CoversLarge) const {
    const StoreItem *Last = this->Store.findAt(Key, Position);
    if (Last && !CoversLarge && isLarge(*Last))
      return;
    const StoreItem *Held = Known.find(Key);
    if (!Held) {
      const bool IsAbsent =
          !Last || Last->IsRemoved ||
          this->Store.wasRemoved(Key, Position, this->Store.AsOf);
      RC_ASSERT(IsAbsent);
      return;
    }
    const StoreItem *Written = this->Store.findAt(Key, Held->At);
    RC_ASSERT(Written != nullptr);
    RC_ASSERT(*Written == *Held);
    const bool IsCurrent = !Last || Held->At >= Last->At;
    RC_ASSERT(IsCurrent);
  }

  /// Checks that a replica does not hold what had left at Position as if it had
  /// not.
  void checkDeparture(const Replica &Known, const std::string &Key,
                      const StorePosition &Position) const {
    const StoreItem *Last = this->Store.findAt(Key, Position);
    const StoreItem *Held = Known.find(Key);
    if (!Held || !Last || !(Last->IsRemoved || isLeaving(*Last)))
      return;
    const bool IsCurrent = Held->At >= Last->At;
    RC_ASSERT(IsCurrent);
  }

  /// Checks that no item goes back, and that none that was removed comes back.
  void checkOrder(ModelDaemon &Daemon, const std::string &Key) const {
    const StoreItem *Held = Daemon.Known.find(Key);
    const bool WasListed = std::exchange(Daemon.IsListed[Key], Held != nullptr);
    if (!Held)
      return;
    const StorePosition Before = Daemon.LastListed[Key];
    if (Before.Epoch == Held->At.Epoch) {
      RC_ASSERT(Held->At >= Before);
      const bool WasCreatedAgain =
          WasListed || Before.isNone() ||
          this->Store.wasRemoved(Key, Before, Held->At);
      RC_ASSERT(WasCreatedAgain);
    }
    Daemon.LastListed[Key] = Held->At;
  }

  ModelStore Store;
  /// All versions of the snapshot that daemons start from.
  std::vector<ItemChanges> Snapshots;
  std::array<ModelDaemon, ReplicaCount> Daemons;
};

rc::Gen<std::vector<Step>> makeSchedules() {
  const auto Actions =
      rc::gen::weightedElement<Action>({{4, Action::WriteSmall},
                                        {2, Action::WriteLarge},
                                        {2, Action::Leave},
                                        {4, Action::Remove},
                                        {2, Action::WriteSnapshot},
                                        {2, Action::Restart},
                                        {4, Action::Watch},
                                        {1, Action::Read},
                                        {5, Action::AskSmall},
                                        {3, Action::AskLarge},
                                        {4, Action::AskDepartures},
                                        {7, Action::Receive},
                                        {1, Action::RestoreEpoch},
                                        {1, Action::RestoreSilently}});
  const auto Steps = rc::gen::construct<Step>(
      Actions, rc::gen::inRange<size_t>(0, ReplicaCount),
      rc::gen::inRange<size_t>(0, 2 * KeyCount));
  return rc::gen::scale(2.0, rc::gen::container<std::vector<Step>>(Steps));
}

} // namespace

TEST_CASE("a replica agrees with the store as far as it says that it knows") {
  CHECK(rc::check([] {
    for (int Each = 0; Each < SchedulesPerCase; ++Each)
      Model().run(*makeSchedules());
  }));
}
