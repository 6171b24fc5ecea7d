//===- FleetStartModel.h - A fleet that starts, modelled ------ -*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Daemons that decide as the product's do who watches the store and whom to
/// ask, with calls and messages that take drawn times. A daemon reads the store
/// once, registers, and lives by its role from then on.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_UNITTESTS_LISTAGE_FLEETSTARTMODEL_H
#define CANVASWICK_UNITTESTS_LISTAGE_FLEETSTARTMODEL_H

#include "canvaswick/Directory/AheadPeers.h"
#include "canvaswick/Directory/ReplicaAge.h"
#include "canvaswick/Directory/WatchElection.h"

#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace canvaswick {

/// What a model plays.
struct FleetStartSetup {
  /// The number of daemons of each hall.
  std::vector<size_t> Halls;
  /// The daemons that are named as seeds are the first ones.
  size_t Seeds = 0;
  /// All daemons start within this time.
  Duration Spread = fromMillis(5);
  /// The time between two servers that leave.
  Duration ChangeInterval = fromMillis(700);
  uint64_t Seed = 0;
};

/// Plays a start.
class FleetStartModel {
public:
  explicit FleetStartModel(const FleetStartSetup &Setup);

  /// Plays until this time after the first start.
  void run(Duration Length);

  /// Returns the longest time for which a daemon that had read the store lacked
  /// a change.
  Duration getLongestAge() const { return this->LongestAge; }

  /// Returns the calls to the store, without first reads and registrations.
  size_t countCalls() const { return this->Calls; }

private:
  struct Message {
    TimePoint DueAt;
    size_t From;
    StorePosition AsOf;
    TimePoint HeardAt;
  };

  struct Node {
    Node(const std::string &Name, Duration AloneWait, uint64_t Seed)
        : Election(Name, AloneWait), Ahead(Seed), Age(Seed) {}

    std::string Name;
    size_t Hall = 0;
    TimePoint ReadAt{};
    TimePoint RegisterAt{};
    bool IsRegistered = false;
    /// The revision up to which it knows the store; 0 before its first read.
    uint64_t Known = 0;
    size_t KnownDaemons = 0;
    WatchElection Election;
    AheadPeers Ahead;
    ReplicaAge Age;
    WatchRole Role = WatchRole::Follow;
    TimePoint NextLookAt{};
    bool IsAnswered = false;
    /// A call that waits for a change until WaitEndsAt, or whose answer is due.
    bool IsCalling = false;
    TimePoint WaitEndsAt{};
    std::optional<TimePoint> AnswerAt;
    /// A fetch from a peer.
    std::optional<TimePoint> FetchedAt;
    size_t FetchFrom = 0;
    std::set<size_t> Announced;
    std::deque<Message> Inbox;
  };

  Duration draw(double MinMs, double MaxMs);
  StorePosition at(uint64_t Revision) const { return {1, Revision}; }
  void change();
  void step(Node &Each);
  void start(Node &Each);
  void learn(Node &Each, uint64_t Revision);
  void receive(Node &Each);
  void fetch(Node &Each);
  void follow(Node &Each);
  void watch(Node &Each);
  void call(Node &Each, Duration Wait);
  void finishCall(Node &Each);
  void announce(const Node &Each);
  void measure(const Node &Each);

  const FleetStartSetup Setup;
  std::mt19937_64 Random;
  TimePoint Now{fromSeconds(1000)};
  /// When each revision was written; the first is that of the first read.
  std::vector<TimePoint> WrittenAt;
  /// The registered daemons, in the order of their revisions.
  std::vector<std::pair<uint64_t, size_t>> Registered;
  std::vector<std::unique_ptr<Node>> Nodes;
  Duration LongestAge{};
  size_t Calls = 0;
};

} // namespace canvaswick

#endif // CANVASWICK_UNITTESTS_LISTAGE_FLEETSTARTMODEL_H
