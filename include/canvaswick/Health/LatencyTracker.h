//===- LatencyTracker.h - Running median of answer times --------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Declares an estimator of the median answer time over all servers of a
/// service, and of the time after which an answer counts as slow.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_HEALTH_LATENCYTRACKER_H
#define CANVASWICK_HEALTH_LATENCYTRACKER_H

#include "canvaswick/Support/Time.h"

namespace canvaswick {

/// A running median of the answer times of one service or route. Not
/// thread-safe.
class LatencyTracker {
public:
  /// Creates a tracker. FixedThreshold is the slow threshold that operators
  /// configured, or zero to derive it from the median.
  explicit LatencyTracker(Duration FixedThreshold);

  /// Changes the configured threshold and keeps the median.
  void setFixedThreshold(Duration FixedThreshold) {
    this->FixedThreshold = FixedThreshold;
  }

  /// Adds the time of one complete answer.
  void add(Duration Latency);

  /// Returns the time after which an answer counts as slow.
  Duration getSlowThreshold() const;

  /// Returns whether there are enough samples to rely on the median.
  bool hasEnoughSamples() const;

  /// Returns the median, or zero without samples.
  Duration getMedian() const;

private:
  Duration FixedThreshold;
  double MedianSeconds = 0;
  /// Relative step of the median for the next sample.
  double Step = 0.3;
  bool WasAbove = false;
  int Samples = 0;
};

} // namespace canvaswick

#endif // CANVASWICK_HEALTH_LATENCYTRACKER_H
