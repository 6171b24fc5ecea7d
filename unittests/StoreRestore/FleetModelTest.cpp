//===- FleetModelTest.cpp - Random restores and changes of the store ------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Models a store, three daemons and the events that may happen to them, and
/// runs random schedules of these events. RapidCheck shrinks a schedule that
/// violates an invariant.
///
//===----------------------------------------------------------------------===//

#include "PlatformAdapter/ViewChanges.h"
#include "canvaswick/Daemon/DirectoryCalls.h"
#include "platform/FleetView.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>

using namespace canvaswick;
using namespace canvaswick::platform;

namespace {

constexpr size_t DaemonCount = 3;
constexpr size_t ServerCount = 3;
constexpr const char *SettingsKey = "op/config";

std::string makeSettings(uint64_t Version) {
  return fmt::format(R"({{"version": {}, "limits": {{}}, "clusters":
      [{{"name": "s", "healthPath": "/healthz", "maxConns": 300}}],
      "listeners": []}})",
                     Version);
}

std::string makeKey(size_t Server) {
  return fmt::format("servers/i-{}", Server);
}

/// The store, as daemons, operators and servers see it.
class ModelStore {
public:
  void put(const std::string &Key, const std::string &Value) {
    this->Now.Items[Key] = {Key, Value, {this->Epoch, ++this->Now.Revision}};
    this->History.push_back(this->Now.Items[Key]);
  }

  void remove(const std::string &Key) {
    if (this->Now.Items.erase(Key) > 0)
      this->History.push_back(
          {Key, "", {this->Epoch, ++this->Now.Revision}, true});
  }

  void takeBackup() { this->Backup = this->Now; }

  void restoreBackup() {
    this->Now = this->Backup;
    if (this->SendsEpoch)
      ++this->Epoch;
    this->History.clear();
    this->HistorySince = this->Now.Revision;
    for (auto &[Key, Item] : this->Now.Items)
      Item.At.Epoch = this->Epoch;
  }

  std::vector<StoreItem> readAll() const {
    std::vector<StoreItem> All;
    for (const auto &[Key, Item] : this->Now.Items)
      All.push_back(Item);
    return All;
  }

  /// Returns the changes after a revision, or nothing if the store no longer
  /// has the history or has not reached the revision.
  std::optional<std::vector<StoreItem>> watch(uint64_t After) const {
    if (After < this->HistorySince || After > this->Now.Revision)
      return std::nullopt;
    std::vector<StoreItem> Events;
    for (const StoreItem &Event : this->History)
      if (Event.At.Revision > After)
        Events.push_back(Event);
    return Events;
  }

  StorePosition getAsOf() const { return {this->Epoch, this->Now.Revision}; }

  bool SendsEpoch = true;

private:
  struct Contents {
    std::map<std::string, StoreItem> Items;
    uint64_t Revision = 1;
  };

  Contents Now;
  Contents Backup;
  uint64_t Epoch = 1;
  std::vector<StoreItem> History;
  uint64_t HistorySince = 0;
};

/// A backend server that writes its entry.
struct ModelServer {
  int Sequence = 0;
  bool IsLeaving = false;
  bool IsGone = false;

  std::string makeEntry() {
    return fmt::format(
        R"({{"address": "10.0.0.9:80", "info": {{"service": "s",
        "version": "v1", "zone": "h", "slots": 3}},
        "status": {{"state": "{}", "seq": {}, "warmupLeftS": 0}}}})",
        this->IsLeaving ? "draining" : "ready", ++this->Sequence);
  }
};

/// A daemon that watches the store as StoreWatcher does.
struct ModelDaemon {
  explicit ModelDaemon()
      : View(std::make_unique<FleetView>(ServiceDefaults{70}, fromSeconds(2))) {
  }

  void read(const ModelStore &Store, TimePoint Now) {
    const StorePosition Before = this->View->getAsOf();
    const StorePosition AsOf = Store.getAsOf();
    if (compareAnswer(Before, AsOf) == AnswerConsistency::HasLost &&
        AsOf.Epoch == Before.Epoch)
      this->View->markStale(Now);
    replaceAll(*this->View, Store.readAll(), AsOf, Now);
  }

  void watch(const ModelStore &Store, TimePoint Now) {
    const StorePosition Before = this->View->getAsOf();
    const auto Events = Store.watch(Before.Revision);
    const bool Follows =
        compareAnswer(Before, Store.getAsOf()) == AnswerConsistency::Follows;
    if (Before.isNone() || !Events || !Follows)
      this->read(Store, Now);
    else
      applyEvents(*this->View, *Events, Store.getAsOf(), Now);
  }

  void fetch(const ModelDaemon &Peer, TimePoint Now) {
    const StorePosition Known = this->View->getAsOf();
    if (Peer.View->getAsOf() <= Known)
      return;
    Result<ItemChanges> Received =
        decodeChanges(encodeChanges(Peer.View->getChangesAfter(Known)));
    RC_ASSERT(Received.has_value());
    Received.value().After = Known;
    this->View->apply(Received.value(), Now);
  }

  uint64_t getVersion() const {
    const FleetConfigRef Config = this->View->compileConfig();
    return Config ? Config->Version : 0;
  }

  std::optional<ServerState> findState(size_t Server) const {
    const FleetConfigRef Config = this->View->compileConfig();
    if (!Config)
      return std::nullopt;
    for (const ServerConfig &Each : Config->Services[0].Servers)
      if (Each.Instance == fmt::format("i-{}", Server))
        return Each.State;
    return std::nullopt;
  }

  std::unique_ptr<FleetView> View;
  bool IsCutOff = false;
  /// State that this instance of the daemon has seen and must not undo.
  uint64_t NewestVersion = 0;
  std::array<bool, ServerCount> WasDraining{};
};

enum class Action : uint8_t {
  WriteSettings,
  WriteServer,
  LeaveServer,
  EndServer,
  TakeBackup,
  Restore,
  RewriteAll,
  Watch,
  Fetch,
  Cut,
  Restart,
};

struct Step {
  Action Kind = Action::Watch;
  size_t Index = 0;
  size_t PeerIndex = 0;
};

std::ostream &operator<<(std::ostream &Out, const Step &Each) {
  static constexpr std::array Names = {
      "write-settings", "write-server", "leave-server", "end-server",
      "take-backup",    "restore",      "rewrite-all",  "watch",
      "fetch",          "cut",          "restart"};
  return Out << Names.at(static_cast<size_t>(Each.Kind)) << ' ' << Each.Index
             << ' ' << Each.PeerIndex;
}

class Model {
public:
  Model() {
    this->Store.put(SettingsKey, makeSettings(this->Version));
    for (size_t I = 0; I < ServerCount; ++I)
      this->Store.put(makeKey(I), this->Servers[I].makeEntry());
    this->Store.takeBackup();
  }

  void run(const std::vector<Step> &Steps) {
    for (const Step &Each : Steps) {
      this->Now += fromMillis(50);
      this->perform(Each);
      this->checkMonotonic();
    }
    this->checkConvergence();
  }

  ModelStore Store;

private:
  void perform(const Step &Each) {
    ModelServer &Server = this->Servers[Each.Index];
    ModelDaemon &Daemon = this->Daemons[Each.Index];
    switch (Each.Kind) {
    case Action::WriteSettings:
      this->Store.put(SettingsKey, makeSettings(++this->Version));
      return;
    case Action::WriteServer:
      if (!Server.IsGone && !Server.IsLeaving)
        this->Store.put(makeKey(Each.Index), Server.makeEntry());
      return;
    case Action::LeaveServer:
      if (Server.IsGone)
        return;
      Server.IsLeaving = true;
      this->Store.put(makeKey(Each.Index), Server.makeEntry());
      return;
    case Action::EndServer:
      Server.IsGone = true;
      this->Store.remove(makeKey(Each.Index));
      return;
    case Action::TakeBackup:
      this->Store.takeBackup();
      return;
    case Action::Restore:
      this->Store.restoreBackup();
      this->HasLostWrites = true;
      return;
    case Action::RewriteAll:
      this->rewriteAll();
      return;
    case Action::Watch:
      if (!Daemon.IsCutOff)
        Daemon.watch(this->Store, this->Now);
      return;
    case Action::Fetch:
      if (Each.Index != Each.PeerIndex)
        Daemon.fetch(this->Daemons[Each.PeerIndex], this->Now);
      return;
    case Action::Cut:
      Daemon.IsCutOff = !Daemon.IsCutOff;
      return;
    case Action::Restart:
      Daemon = ModelDaemon();
      return;
    }
  }

  /// Writes the current entries of the operators and the servers again.
  void rewriteAll() {
    this->HasLostWrites = false;
    this->Store.put(SettingsKey, makeSettings(this->Version));
    for (size_t I = 0; I < ServerCount; ++I)
      if (this->Servers[I].IsGone)
        this->Store.remove(makeKey(I));
      else
        this->Store.put(makeKey(I), this->Servers[I].makeEntry());
  }

  /// Checks that no instance of a daemon goes back to earlier settings or to
  /// using a draining server, whatever the store holds.
  void checkMonotonic() {
    for (ModelDaemon &Each : this->Daemons) {
      RC_ASSERT(Each.getVersion() >= Each.NewestVersion);
      Each.NewestVersion = Each.getVersion();
      for (size_t I = 0; I < ServerCount; ++I) {
        const auto State = Each.findState(I);
        RC_ASSERT(!Each.WasDraining[I] || State != ServerState::Active);
        Each.WasDraining[I] =
            Each.WasDraining[I] || State == ServerState::Draining;
      }
    }
  }

  /// Checks that all daemons agree with the store once all entries are written
  /// again and every daemon has watched.
  void checkConvergence() {
    if (this->HasLostWrites)
      this->rewriteAll();
    for (ModelDaemon &Each : this->Daemons) {
      Each.watch(this->Store, this->Now);
      Each.watch(this->Store, this->Now);
    }
    this->checkMonotonic();
    this->Now += fromSeconds(20);
    for (ModelDaemon &Each : this->Daemons) {
      Each.View->resolveMissing(this->Now);
      RC_ASSERT(Each.getVersion() == this->Version);
      RC_ASSERT(Each.View->getAsOf() == this->Store.getAsOf());
      for (size_t I = 0; I < ServerCount; ++I)
        RC_ASSERT(Each.findState(I) == this->getExpectedState(I));
    }
  }

  std::optional<ServerState> getExpectedState(size_t Server) const {
    if (this->Servers[Server].IsGone)
      return std::nullopt;
    return this->Servers[Server].IsLeaving ? ServerState::Draining
                                           : ServerState::Active;
  }

  TimePoint Now{fromSeconds(1000)};
  /// Whether a restore has lost writes that are not yet written again.
  bool HasLostWrites = false;
  uint64_t Version = 1;
  std::array<ModelServer, ServerCount> Servers;
  std::array<ModelDaemon, DaemonCount> Daemons;
};

rc::Gen<std::vector<Step>> makeSchedules() {
  const auto Actions =
      rc::gen::weightedElement<Action>({{2, Action::WriteSettings},
                                        {2, Action::WriteServer},
                                        {1, Action::LeaveServer},
                                        {1, Action::EndServer},
                                        {2, Action::TakeBackup},
                                        {2, Action::Restore},
                                        {2, Action::RewriteAll},
                                        {6, Action::Watch},
                                        {4, Action::Fetch},
                                        {1, Action::Cut},
                                        {1, Action::Restart}});
  return rc::gen::container<std::vector<Step>>(rc::gen::construct<Step>(
      Actions, rc::gen::inRange<size_t>(0, DaemonCount),
      rc::gen::inRange<size_t>(0, DaemonCount)));
}

} // namespace

TEST_CASE("daemons converge after any order of restores and changes") {
  CHECK(rc::check([] { Model().run(*makeSchedules()); }));
}

TEST_CASE("the model finds a change that a reused revision hides") {
  // Without epochs, a store whose revision has passed the old one again looks
  // as if it had never been restored. Epochs exist because of this schedule.
  Model Fleet;
  Fleet.Store.SendsEpoch = false;
  const std::vector<Step> Schedule = {
      {Action::Watch, 0, 0},         {Action::WriteSettings, 0, 0},
      {Action::WriteServer, 0, 0},   {Action::WriteServer, 0, 0},
      {Action::Watch, 0, 0},         {Action::Restore, 0, 0},
      {Action::WriteSettings, 0, 0}, {Action::RewriteAll, 0, 0}};
  CHECK_THROWS(Fleet.run(Schedule));
}
