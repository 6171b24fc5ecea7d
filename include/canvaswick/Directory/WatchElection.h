//===- WatchElection.h - Who watches the store for whom ---------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Calls to the store have a price, so two daemons of each hall watch it and
/// the others learn from them. One of the two asks often, so that the hall
/// knows whether the store is reached; the other stands by. A daemon leads
/// unless one that comes before it in its hall's order was answered by the
/// store of late; it follows if, besides, enough of those before it watch.
/// Nothing is agreed: too many watching costs calls, never correctness.
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

/// Where a daemon stands with the store.
struct StoreState {
  /// The position up to which its copy is complete.
  StorePosition AsOf;
  /// Whether it watches the store itself and, as far as it knows, reaches it.
  bool IsWatching = false;
  /// When the store last answered a read or a watch of its own; none yet:
  /// TimePoint{}.
  TimePoint HeardAt{};
};

/// What a daemon does about the store.
enum class WatchRole : uint8_t {
  /// Learns from the others of its hall.
  Follow,
  /// Watches, with long waits.
  StandBy,
  /// Watches, and asks again often: the hall relies on its answers.
  Lead,
};

/// Returns the name of a role as logs print it.
const char *getName(WatchRole Role);

/// Decides for one daemon. Not thread-safe.
class WatchElection {
public:
  /// AloneWait: how long a daemon that knows no other of its hall waits before
  /// it leads, counted from the first setHallDaemons. Where a whole fleet
  /// starts, the others register meanwhile, and one call brings them all.
  explicit WatchElection(std::string Self,
                         Duration AloneWait = Duration::zero());

  /// Sets the daemons of this hall. Who has just learned of others takes it
  /// that those who come first watch, until they should have been heard.
  void setHallDaemons(const std::vector<std::string> &Names, TimePoint Now);

  /// Notes that a daemon of this hall watches, and when the store last answered
  /// it.
  void recordWatcher(const std::string &Name, TimePoint HeardAt);

  /// Returns what this daemon should do.
  WatchRole getRole(TimePoint Now) const;

private:
  size_t getRank(const std::string &Name) const;
  void expectFirst(TimePoint Now);

  const std::string Self;
  const Duration AloneWait;
  std::optional<TimePoint> FirstSetAt;
  /// The hall's order, the first to watch first.
  std::vector<std::string> Order;
  /// When the store last answered those that watch.
  std::map<std::string, TimePoint> HeardAt;
};

} // namespace canvaswick

#endif // CANVASWICK_DIRECTORY_WATCHELECTION_H
