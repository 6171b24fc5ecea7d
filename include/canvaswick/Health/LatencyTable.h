//===- LatencyTable.h - Usual times of a service's routes ----- -*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A service's routes differ in how long their requests take: what is late on
/// one is usual on another, and what fails at once on one takes as long as a
/// good answer on another.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_HEALTH_LATENCYTABLE_H
#define CANVASWICK_HEALTH_LATENCYTABLE_H

#include "canvaswick/Health/LatencyTracker.h"
#include "canvaswick/Health/Outcome.h"

#include <map>
#include <string>

namespace canvaswick {

/// The answer times of a service, as a whole and by route. Until a route has
/// shown enough answers, the service's time stands for it. Not thread-safe.
class LatencyTable {
public:
  /// Fixed is the operators' own bound on slowness, or zero.
  explicit LatencyTable(Duration FixedThreshold);

  /// Adds the time of one complete answer.
  void add(const std::string &Route, Duration Latency, TimePoint Now);

  /// Returns the usual time of a route, or zero while nothing is known.
  Duration getMedian(const std::string &Route) const;

  /// Returns the usual time of a route. Until enough answers were seen it is
  /// taken from the objective that operators set, zero if they set none.
  Duration getTypicalTime(const std::string &Route, Duration Objective) const;

  /// Returns the time after which an answer on a route counts as slow.
  Duration getSlowThreshold(const std::string &Route) const;

  /// Returns what kind of failure one after Took is. Failed: the route's usual
  /// time is not known, or too short to tell.
  RequestOutcome classifyFailure(const std::string &Route, Duration Took) const;

  /// Takes over what Other learned of routes that were used of late.
  void adopt(const LatencyTable &Other, TimePoint Now);

private:
  struct RouteTimes {
    LatencyTracker Tracker;
    TimePoint UsedAt{};
  };

  const LatencyTracker &find(const std::string &Route) const;

  Duration FixedThreshold;
  LatencyTracker ServiceTracker;
  std::map<std::string, RouteTimes> Routes;
};

} // namespace canvaswick

#endif // CANVASWICK_HEALTH_LATENCYTABLE_H
