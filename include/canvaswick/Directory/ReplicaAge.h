//===- ReplicaAge.h - How old a replica is -------------------- -*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The one place that answers by what age of its replica a daemon serves, and
/// whether one that follows others asks the store itself to bound that age: it
/// has heard of news, and nobody gives them to it. Who hears nothing is led by
/// WatchElection.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_DIRECTORY_REPLICAAGE_H
#define CANVASWICK_DIRECTORY_REPLICAAGE_H

#include "canvaswick/Directory/StorePosition.h"
#include "canvaswick/Support/Time.h"

#include <deque>
#include <optional>
#include <random>

namespace canvaswick {

/// Knows until when a replica is as the store was. Not thread-safe.
class ReplicaAge {
public:
  /// Seed must differ between daemons.
  explicit ReplicaAge(uint64_t Seed) : Random(Seed) {}

  /// Records that the store was at AsOf at the time At: an answer to this
  /// daemon, or what a peer says that it was answered. Known is the position up
  /// to which the replica lists all servers.
  void recordReport(const StorePosition &AsOf, TimePoint At,
                    const StorePosition &Known);

  /// Records that the replica has reached Known.
  void recordProgress(const StorePosition &Known);

  /// Returns the last time at which the store held nothing that the replica
  /// lacks, as far as is known; TimePoint{} if that never was.
  TimePoint getCurrentTime() const { return this->CurrentAt; }

  /// Returns whether a daemon that does not watch the store asks it now.
  /// BehindSince is since when peers have had what it lacks, if they have.
  bool isCheckDue(std::optional<TimePoint> BehindSince, TimePoint Now) const;

  /// Records that the store was asked.
  void recordCheck(TimePoint Now);

private:
  struct Report {
    StorePosition AsOf;
    TimePoint At;
  };

  /// Positions that the replica has not reached, oldest first.
  std::deque<Report> Ahead;
  TimePoint CurrentAt{};
  TimePoint NextCheckAt{};
  std::mt19937_64 Random;
};

} // namespace canvaswick

#endif // CANVASWICK_DIRECTORY_REPLICAAGE_H
