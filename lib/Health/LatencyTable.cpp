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
static constexpr double EarlyPart = 0.25;

/// Where good answers take no longer than this, a failure's time says nothing.
static constexpr Duration LeastTelling = fromMillis(20);

/// A route without an answer for this long is forgotten when the service is
/// rebuilt. Operators add and drop routes all day.
static constexpr Duration RouteMemory = fromSeconds(600);

/// Before anything is known, the usual time as a part of the objective:
/// operators leave room for about two times the work.
static constexpr double UsualOfObjective = 0.33;

LatencyTable::LatencyTable(Duration Fixed) : Fixed(Fixed), OfService(Fixed) {}

void LatencyTable::add(const std::string &Route, Duration Latency,
                       TimePoint Now) {
  this->OfService.add(Latency);
  const auto Place = this->OfRoutes.try_emplace(
      Route, RouteTimes{LatencyTracker(this->Fixed), Now});
  Place.first->second.Tracker.add(Latency);
  Place.first->second.UsedAt = Now;
}

const LatencyTracker &LatencyTable::find(const std::string &Route) const {
  const auto Found = this->OfRoutes.find(Route);
  const bool IsKnown =
      Found != this->OfRoutes.end() && Found->second.Tracker.isSettled();
  return IsKnown ? Found->second.Tracker : this->OfService;
}

Duration LatencyTable::getMedian(const std::string &Route) const {
  return this->find(Route).getMedian();
}

Duration LatencyTable::getTypicalTime(const std::string &Route,
                                      Duration Objective) const {
  const LatencyTracker &Known = this->find(Route);
  if (Known.isSettled())
    return Known.getMedian();
  return fromSeconds(toSeconds(Objective) * UsualOfObjective);
}

Duration LatencyTable::getSlowThreshold(const std::string &Route) const {
  return this->find(Route).getSlowThreshold();
}

RequestOutcome LatencyTable::classifyFailure(const std::string &Route,
                                             Duration Took) const {
  const auto Found = this->OfRoutes.find(Route);
  if (Found == this->OfRoutes.end() || !Found->second.Tracker.isSettled())
    return RequestOutcome::Failed;
  const Duration TypicalTime = Found->second.Tracker.getMedian();
  if (TypicalTime <= LeastTelling)
    return RequestOutcome::Failed;
  return toSeconds(Took) < EarlyPart * toSeconds(TypicalTime)
             ? RequestOutcome::FailedEarly
             : RequestOutcome::FailedAfterWork;
}

void LatencyTable::adopt(const LatencyTable &Other, TimePoint Now) {
  this->OfService = Other.OfService;
  this->OfService.setFixed(this->Fixed);
  for (const auto &[Route, Times] : Other.OfRoutes) {
    if (Now - Times.UsedAt > RouteMemory)
      continue;
    const auto Place = this->OfRoutes.emplace(Route, Times);
    Place.first->second.Tracker.setFixed(this->Fixed);
  }
}

} // namespace canvaswick
