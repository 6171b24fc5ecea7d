//===- LatencyTable.h - Typical times of routes -----------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Declares the typical answer times of a service by route. The routes of a
/// service differ in how long their requests take: a time that is slow on one
/// route is typical of another, and an immediate failure on one route takes as
/// long as a good answer on another.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_HEALTH_LATENCYTABLE_H
#define CANVASWICK_HEALTH_LATENCYTABLE_H

#include "canvaswick/Health/LatencyTracker.h"
#include "canvaswick/Health/Outcome.h"

#include <map>
#include <string>

namespace canvaswick {

/// The answer times of a service, in total and by route. Until a route has
/// enough samples, the times of the service apply to it. Not thread-safe.
class LatencyTable {
public:
  /// Creates an empty table. FixedThreshold is the slow threshold that
  /// operators configured, or zero to derive it from the median.
  explicit LatencyTable(Duration FixedThreshold);

  /// Adds the time of one complete answer.
  void add(const std::string &Route, Duration Latency, TimePoint Now);

  /// Returns the median time of a route, or zero without samples.
  Duration getMedian(const std::string &Route) const;

  /// Returns the typical time of a route. Without enough samples, derives it
  /// from the configured objective; returns zero if there is none.
  Duration getTypicalTime(const std::string &Route, Duration Objective) const;

  /// Returns the time after which an answer on a route counts as slow.
  Duration getSlowThreshold(const std::string &Route) const;

  /// Classifies a failure that came after Took. Returns Failed if the typical
  /// time of the route is unknown or too short to distinguish early failures
  /// from late ones.
  RequestOutcome classifyFailure(const std::string &Route, Duration Took) const;

  /// Copies the samples of Other, except for routes that have not been used for
  /// 10 minutes.
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
