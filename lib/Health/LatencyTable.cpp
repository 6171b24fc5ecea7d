//===- LatencyTable.cpp - Usual times of a service's routes ---------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// One tracker a route; one for the service until a route knows its own.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Health/LatencyTable.h"

namespace canvaswick {

/// A failure in less than this part of the usual time came without the work.
static constexpr double EarlyFraction = 0.25;

/// Where good answers take no longer than this, a failure's time says nothing.
static constexpr Duration MinTypicalTime = fromMillis(20);

/// A route without an answer for this long is forgotten when the service is
/// rebuilt. Operators add and drop routes all day.
static constexpr Duration RouteTimeout = fromSeconds(600);

/// Before anything is known, the usual time as a part of the objective:
/// operators leave room for about two times the work.
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
