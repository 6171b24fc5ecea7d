//===- LatencyTracker.cpp - Running median of answer times ----------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Implements a stochastic approximation of the median. Each sample moves the
/// estimate towards itself by a step that shrinks as the estimate converges.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Health/LatencyTracker.h"

#include <algorithm>

namespace canvaswick {

/// An answer is slow if it takes more than this multiple of the median.
static constexpr double SlowFactor = 4;

/// Lower bound of the slow threshold that is derived from the median.
static constexpr Duration MinSlowThreshold = fromMillis(20);

/// Slow threshold without enough samples.
static constexpr Duration InitialSlowThreshold = fromSeconds(10);

/// Number of samples before the median is used.
static constexpr int MinSamples = 10;

/// Bounds and factors of the relative step by which the median moves towards
/// each sample. The step grows while consecutive samples are on the same side
/// of the median and shrinks when they change sides. If the first sample is an
/// outlier, the estimate recovers within ten samples.
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
