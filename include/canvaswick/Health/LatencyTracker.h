//===- LatencyTracker.h - The usual time of a service -----------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Estimates the median answer time over all servers of a service and from it
/// the time after which an answer counts as slow.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_HEALTH_LATENCYTRACKER_H
#define CANVASWICK_HEALTH_LATENCYTRACKER_H

#include "canvaswick/Support/Time.h"

namespace canvaswick {

/// A running median of the answer times of one service or route.
class LatencyTracker {
public:
  /// Fixed is the operators' own bound, or zero to follow the median.
  explicit LatencyTracker(Duration FixedThreshold);

  /// Changes the operators' bound and keeps what was learned.
  void setFixedThreshold(Duration FixedThreshold) {
    this->FixedThreshold = FixedThreshold;
  }

  /// Adds the time of one complete answer.
  void add(Duration Latency);

  /// Returns the time after which an answer counts as slow.
  Duration getSlowThreshold() const;

  /// Returns whether enough answers were seen to rely on the median.
  bool hasEnoughSamples() const;

  /// Returns the median, or zero while there is none.
  Duration getMedian() const;

private:
  Duration FixedThreshold;
  double MedianSeconds = 0;
  /// By which part of itself the median moves next.
  double Step = 0.3;
  bool WasAbove = false;
  int Samples = 0;
};

} // namespace canvaswick

#endif // CANVASWICK_HEALTH_LATENCYTRACKER_H
