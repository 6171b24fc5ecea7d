//===- FleetModelTest.cpp - Any order of restores and changes ------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A store, three daemons and all that may happen to them, in any order drawn.
/// A schedule that breaks a promise comes down to its shortest form.
///
//===----------------------------------------------------------------------===//

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
constexpr const char *RulesKey = "op/config";

std::string makeRules(uint64_t Version) {
  return fmt::format(R"({{"version": {}, "limits": {{}}, "clusters":
      [{{"name": "s", "healthPath": "/healthz", "maxConns": 300}}],
      "listeners": []}})",
                     Version);
}

std::string makeKey(size_t Server) {
  return fmt::format("servers/i-{}", Server);
}

/// The store, as far as the daemons and their surroundings see it.
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

  void keepBackup() { this->Copy = this->Now; }

  void restoreBackup() {
    this->Now = this->Copy;
    if (this->TellsEpoch)
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

  /// Returns what changed after a revision, or nothing if that is refused.
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

  bool TellsEpoch = true;

private:
  struct Contents {
    std::map<std::string, StoreItem> Items;
    uint64_t Revision = 1;
  };

  Contents Now;
  Contents Copy;
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

/// A daemon that watches as StoreFeed does.
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
    this->View->replaceAll(Store.readAll(), AsOf, Now);
  }

  void watch(const ModelStore &Store, TimePoint Now) {
    const StorePosition Before = this->View->getAsOf();
    const auto Events = Store.watch(Before.Revision);
    const bool Follows =
        compareAnswer(Before, Store.getAsOf()) == AnswerConsistency::Follows;
    if (Before.isNone() || !Events || !Follows)
      this->read(Store, Now);
    else
      this->View->applyEvents(*Events, Store.getAsOf(), Now);
  }

  void fetch(const ModelDaemon &Peer, TimePoint Now) {
    const StorePosition Known = this->View->getAsOf();
    if (Peer.View->getAsOf() <= Known)
      return;
    const Result<ItemChanges> Told =
        decodeChanges(encodeChanges(Peer.View->getChangesAfter(Known)));
    RC_ASSERT(Told.has_value());
    this->View->applyChanges(Told.value(), Now);
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
  /// What this life of it knows never to be undone.
  uint64_t NewestVersion = 0;
  std::array<bool, ServerCount> KnowsLeaving{};
};

enum class Act : uint8_t {
  WriteRules,
  WriteServer,
  LeaveServer,
  EndServer,
  KeepBackup,
  Restore,
  WriteAgain,
  Watch,
  Fetch,
  Cut,
  Restart,
};

struct Step {
  Act What = Act::Watch;
  size_t Who = 0;
  size_t Whom = 0;
};

std::ostream &operator<<(std::ostream &Out, const Step &Each) {
  static constexpr std::array Names = {"write-rules", "write-server", "leave",
                                       "end-server",  "keep-copy",    "return",
                                       "write-again", "watch",        "fetch",
                                       "cut",         "restart"};
  return Out << Names.at(static_cast<size_t>(Each.What)) << ' ' << Each.Who
             << ' ' << Each.Whom;
}

class Model {
public:
  Model() {
    this->Store.put(RulesKey, makeRules(this->Version));
    for (size_t I = 0; I < ServerCount; ++I)
      this->Store.put(makeKey(I), this->Servers[I].makeEntry());
    this->Store.keepBackup();
  }

  void run(const std::vector<Step> &Steps) {
    for (const Step &Each : Steps) {
      this->Now += fromMillis(50);
      this->act(Each);
      this->checkKept();
    }
    this->settle();
  }

  ModelStore Store;

private:
  void act(const Step &Each) {
    ModelServer &Server = this->Servers[Each.Who];
    ModelDaemon &Daemon = this->Daemons[Each.Who];
    switch (Each.What) {
    case Act::WriteRules:
      this->Store.put(RulesKey, makeRules(++this->Version));
      return;
    case Act::WriteServer:
      if (!Server.IsGone && !Server.IsLeaving)
        this->Store.put(makeKey(Each.Who), Server.makeEntry());
      return;
    case Act::LeaveServer:
      if (Server.IsGone)
        return;
      Server.IsLeaving = true;
      this->Store.put(makeKey(Each.Who), Server.makeEntry());
      return;
    case Act::EndServer:
      Server.IsGone = true;
      this->Store.remove(makeKey(Each.Who));
      return;
    case Act::KeepBackup:
      this->Store.keepBackup();
      return;
    case Act::Restore:
      this->Store.restoreBackup();
      this->IsLost = true;
      return;
    case Act::WriteAgain:
      this->writeAgain();
      return;
    case Act::Watch:
      if (!Daemon.IsCutOff)
        Daemon.watch(this->Store, this->Now);
      return;
    case Act::Fetch:
      if (Each.Who != Each.Whom)
        Daemon.fetch(this->Daemons[Each.Whom], this->Now);
      return;
    case Act::Cut:
      Daemon.IsCutOff = !Daemon.IsCutOff;
      return;
    case Act::Restart:
      Daemon = ModelDaemon();
      return;
    }
  }

  /// What the operators and the servers wrote is written again.
  void writeAgain() {
    this->IsLost = false;
    this->Store.put(RulesKey, makeRules(this->Version));
    for (size_t I = 0; I < ServerCount; ++I)
      if (this->Servers[I].IsGone)
        this->Store.remove(makeKey(I));
      else
        this->Store.put(makeKey(I), this->Servers[I].makeEntry());
  }

  /// What a life of a daemon has known is not undone, whatever the store says.
  void checkKept() {
    for (ModelDaemon &Each : this->Daemons) {
      RC_ASSERT(Each.getVersion() >= Each.NewestVersion);
      Each.NewestVersion = Each.getVersion();
      for (size_t I = 0; I < ServerCount; ++I) {
        const auto State = Each.findState(I);
        RC_ASSERT(!Each.KnowsLeaving[I] || State != ServerState::Active);
        Each.KnowsLeaving[I] =
            Each.KnowsLeaving[I] || State == ServerState::Draining;
      }
    }
  }

  /// Once all is written again and everybody asks, all know the same.
  void settle() {
    if (this->IsLost)
      this->writeAgain();
    for (ModelDaemon &Each : this->Daemons) {
      Each.watch(this->Store, this->Now);
      Each.watch(this->Store, this->Now);
    }
    this->checkKept();
    this->Now += fromSeconds(20);
    for (ModelDaemon &Each : this->Daemons) {
      Each.View->settleLapsed(this->Now);
      RC_ASSERT(Each.getVersion() == this->Version);
      RC_ASSERT(Each.View->getAsOf() == this->Store.getAsOf());
      for (size_t I = 0; I < ServerCount; ++I)
        RC_ASSERT(Each.findState(I) == this->getTruth(I));
    }
  }

  std::optional<ServerState> getTruth(size_t Server) const {
    if (this->Servers[Server].IsGone)
      return std::nullopt;
    return this->Servers[Server].IsLeaving ? ServerState::Draining
                                           : ServerState::Active;
  }

  TimePoint Now{fromSeconds(1000)};
  /// Whether what was lost is still to be written again.
  bool IsLost = false;
  uint64_t Version = 1;
  std::array<ModelServer, ServerCount> Servers;
  std::array<ModelDaemon, DaemonCount> Daemons;
};

rc::Gen<std::vector<Step>> makeSchedules() {
  const auto Acts = rc::gen::weightedElement<Act>({{2, Act::WriteRules},
                                                   {2, Act::WriteServer},
                                                   {1, Act::LeaveServer},
                                                   {1, Act::EndServer},
                                                   {2, Act::KeepBackup},
                                                   {2, Act::Restore},
                                                   {2, Act::WriteAgain},
                                                   {6, Act::Watch},
                                                   {4, Act::Fetch},
                                                   {1, Act::Cut},
                                                   {1, Act::Restart}});
  return rc::gen::container<std::vector<Step>>(
      rc::gen::construct<Step>(Acts, rc::gen::inRange<size_t>(0, DaemonCount),
                               rc::gen::inRange<size_t>(0, DaemonCount)));
}

} // namespace

TEST_CASE("whatever is lost and in whatever order, all learn what is so") {
  CHECK(rc::check([] { Model().run(*makeSchedules()); }));
}

TEST_CASE("the model finds a change that a passed revision hides") {
  // Without an epoch nothing shows it: the schedule that the epoch is for.
  Model Under;
  Under.Store.TellsEpoch = false;
  const std::vector<Step> Schedule = {
      {Act::Watch, 0, 0},       {Act::WriteRules, 0, 0},
      {Act::WriteServer, 0, 0}, {Act::WriteServer, 0, 0},
      {Act::Watch, 0, 0},       {Act::Restore, 0, 0},
      {Act::WriteRules, 0, 0},  {Act::WriteAgain, 0, 0}};
  CHECK_THROWS(Under.run(Schedule));
}
