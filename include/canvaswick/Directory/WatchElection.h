//===- WatchElection.h - Election of the watchers of the store --*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Calls to the store cost money, so two daemons of each hall watch it and the
/// others learn changes from them. The leader polls often, so that the hall
/// knows whether the store is reachable; the stand-by waits longer. A daemon
/// leads unless the store recently answered a daemon that comes before it in
/// the hall's order; it follows if, besides, enough of those before it watch.
/// There is no agreement protocol: too many watchers cost calls, never
/// correctness.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_DIRECTORY_WATCHELECTION_H
#define CANVASWICK_DIRECTORY_WATCHELECTION_H

#include "canvaswick/Directory/StorePosition.h"
#include "canvaswick/Support/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace canvaswick {

/// A daemon's view of the store.
struct StoreState {
  /// The position up to which its replica is complete.
  StorePosition AsOf;
  /// Whether it watches the store itself and, as far as it knows, reaches it.
  bool IsWatching = false;
  /// When the store last answered a read or watch of this daemon; TimePoint{}
  /// if never.
  TimePoint HeardAt{};
  /// The digest of its replica at AsOf, if it can be compared.
  std::optional<uint64_t> Digest;
};

/// The role of a daemon in watching the store.
enum class WatchRole : uint8_t {
  /// Learns changes from the other daemons of its hall.
  Follow,
  /// Watches with long waits.
  StandBy,
  /// Watches with short waits: the hall relies on its answers.
  Lead,
};

/// Returns the name of a role as printed in logs.
const char *getName(WatchRole Role);

/// Chooses the role of one daemon. Not thread-safe.
class WatchElection {
public:
  /// AloneWait is how long a daemon that knows no other of its hall waits
  /// before it leads, counted from the first setHallDaemons. When a whole fleet
  /// starts, the others register in this time, and a single call returns them
  /// all.
  explicit WatchElection(std::string Self,
                         Duration AloneWait = Duration::zero());

  /// Sets the daemons of this hall. A daemon that knew no others before assumes
  /// that the first in the order watch, until their first reports are overdue.
  void setHallDaemons(const std::vector<std::string> &Names, TimePoint Now);

  /// Returns whether this daemon knows no other of its hall.
  bool isAlone() const { return this->Order.size() <= 1; }

  /// Replaces the time for which a daemon that knows no other of its hall
  /// waits.
  void setAloneWait(Duration Wait) { this->AloneWait = Wait; }

  /// Records that a daemon of this hall watches, and when the store last
  /// answered it. It may be one that is not among the hall's daemons yet.
  void recordWatcher(const std::string &Name, TimePoint HeardAt);

  /// Returns the current role of this daemon. One that is far behind can't
  /// catch up by a few answers of the store: it leaves watching to daemons of
  /// its hall that it does not know yet.
  WatchRole getRole(TimePoint Now, bool IsFarBehind = false) const;

private:
  size_t getRank(const std::string &Name) const;
  bool precedes(const std::string &Name, size_t Rank, bool IsFarBehind) const;
  bool hasWatcher(TimePoint Now) const;
  void presumeWatchers(TimePoint Now);

  const std::string Self;
  Duration AloneWait;
  std::optional<TimePoint> FirstSetAt;
  /// The daemons of the hall, the first to watch first.
  std::vector<std::string> Order;
  /// When the store last answered each watcher.
  std::map<std::string, TimePoint> HeardAt;
};

} // namespace canvaswick

#endif // CANVASWICK_DIRECTORY_WATCHELECTION_H
