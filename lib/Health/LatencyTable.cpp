//===- LatencyTable.cpp - Typical times of routes -------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Implements the table with one tracker per route. A tracker of the whole
/// service applies to routes without enough samples.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Health/LatencyTable.h"

namespace canvaswick {

/// A failure within this fraction of the typical time came before the server
/// did the work.
static constexpr double EarlyFraction = 0.25;

/// If good answers take no longer than this, the time of a failure does not
/// show whether the server did the work.
static constexpr Duration MinTypicalTime = fromMillis(20);

/// Routes without an answer for this long are dropped when a new version of the
/// settings takes over the table, because operators add and remove routes
/// frequently.
static constexpr Duration RouteTimeout = fromSeconds(600);

/// Typical time as a fraction of the objective, used without enough samples.
/// Operators set objectives with room for about two more times the work.
static constexpr double TypicalFractionOfObjective = 0.33;

LatencyTable::LatencyTable(Duration FixedThreshold)
    : FixedThreshold(FixedThreshold), ServiceTracker(FixedThreshold) {}

void LatencyTable::add(const std::string &Route, Duration Latency,
                       TimePoint Now) {
  this->ServiceTracker.add(Latency);
  const auto Inserted = this->Routes.try_emplace(
      Route, RouteTimes{LatencyTracker(this->FixedThreshold), Now});
  Inserted.first->second.Tracker.add(Latency);
  Inserted.first->second.UsedAt = Now;
}

const LatencyTracker &LatencyTable::find(const std::string &Route) const {
  const auto Found = this->Routes.find(Route);
  const bool IsKnown =
      Found != this->Routes.end() && Found->second.Tracker.hasEnoughSamples();
  return IsKnown ? Found->second.Tracker : this->ServiceTracker;
}

Duration LatencyTable::getMedian(const std::string &Route) const {
  return this->find(Route).getMedian();
}

Duration LatencyTable::getTypicalTime(const std::string &Route,
                                      Duration Objective) const {
  const LatencyTracker &Known = this->find(Route);
  if (Known.hasEnoughSamples())
    return Known.getMedian();
  return fromSeconds(toSeconds(Objective) * TypicalFractionOfObjective);
}

Duration LatencyTable::getSlowThreshold(const std::string &Route) const {
  return this->find(Route).getSlowThreshold();
}

RequestOutcome LatencyTable::classifyFailure(const std::string &Route,
                                             Duration Took) const {
  const auto Found = this->Routes.find(Route);
  if (Found == this->Routes.end() || !Found->second.Tracker.hasEnoughSamples())
    return RequestOutcome::Failed;
  const Duration TypicalTime = Found->second.Tracker.getMedian();
  if (TypicalTime <= MinTypicalTime)
    return RequestOutcome::Failed;
  return toSeconds(Took) < EarlyFraction * toSeconds(TypicalTime)
             ? RequestOutcome::FailedEarly
             : RequestOutcome::FailedAfterWork;
}

void LatencyTable::adopt(const LatencyTable &Other, TimePoint Now) {
  this->ServiceTracker = Other.ServiceTracker;
  this->ServiceTracker.setFixedThreshold(this->FixedThreshold);
  for (const auto &[Route, Times] : Other.Routes) {
    if (Now - Times.UsedAt > RouteTimeout)
      continue;
    const auto Inserted = this->Routes.emplace(Route, Times);
    Inserted.first->second.Tracker.setFixedThreshold(this->FixedThreshold);
  }
}

} // namespace canvaswick
