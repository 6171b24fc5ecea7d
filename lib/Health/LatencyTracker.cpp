//===- LatencyTracker.cpp - The usual time of a service -------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A stochastic approximation of the median: each sample moves the estimate a
/// small step towards its side, first quickly and then slowly.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Health/LatencyTracker.h"

#include <algorithm>

namespace canvaswick {

/// How many times the median counts as slow.
static constexpr double SlowFactor = 4;

/// Times below this are never slow.
static constexpr Duration MinSlowThreshold = fromMillis(20);

/// While nothing is known, nothing is slow before this.
static constexpr Duration InitialSlowThreshold = fromSeconds(10);

/// Samples before the median is relied on.
static constexpr int MinSamples = 10;

/// The median moves by a step, as a part of itself, towards each sample. The
/// step grows while samples lie on one side of it and shrinks when they change
/// sides: a first sample that was far off is left behind within ten.
static constexpr double MaxStep = 1;
static constexpr double MinStep = 0.03;
static constexpr double StepGrowth = 1.5;
static constexpr double StepShrinkage = 0.5;

LatencyTracker::LatencyTracker(Duration FixedThreshold)
    : FixedThreshold(FixedThreshold) {}

void LatencyTracker::add(Duration Latency) {
  const double Seconds = std::max(1e-6, toSeconds(Latency));
  if (this->Samples == 0)
    this->MedianSeconds = Seconds;
  if (this->Samples < MinSamples)
    ++this->Samples;
  const bool IsAbove = Seconds > this->MedianSeconds;
  const double Factor = IsAbove == this->WasAbove ? StepGrowth : StepShrinkage;
  this->Step = std::clamp(this->Step * Factor, MinStep, MaxStep);
  this->WasAbove = IsAbove;
  this->MedianSeconds *= IsAbove ? 1 + this->Step : 1 / (1 + this->Step);
}

bool LatencyTracker::hasEnoughSamples() const {
  return this->Samples >= MinSamples;
}

Duration LatencyTracker::getSlowThreshold() const {
  if (this->FixedThreshold > Duration::zero())
    return this->FixedThreshold;
  if (!this->hasEnoughSamples())
    return InitialSlowThreshold;
  return std::max(MinSlowThreshold,
                  fromSeconds(this->MedianSeconds * SlowFactor));
}

Duration LatencyTracker::getMedian() const {
  return fromSeconds(this->MedianSeconds);
}

} // namespace canvaswick
