//===- DecayingCounter.h - Exponentially decaying counters ------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Event rates by exponential decay: one estimate that reacts at once, and one
/// that follows only lasting changes.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_ADMISSION_DECAYINGCOUNTER_H
#define CANVASWICK_ADMISSION_DECAYINGCOUNTER_H

#include "canvaswick/Support/Time.h"

namespace canvaswick {

/// A counter that decays exponentially: its value falls to 1/e within
/// TimeConstant. Not thread-safe.
class DecayingCounter {
public:
  explicit DecayingCounter(Duration TimeConstant)
      : TimeConstant(TimeConstant) {}

  /// Returns the value at Now, which must not be before the last change.
  double get(TimePoint Now) const;

  /// Returns the rate, in events a second, that the value stands for.
  double getRate(TimePoint Now) const {
    return this->get(Now) / toSeconds(this->TimeConstant);
  }

  /// Adds Amount, which may be negative; the value never falls below zero.
  void add(double Amount, TimePoint Now);

private:
  Duration TimeConstant;
  double Value = 0;
  TimePoint UpdatedAt{};
};

/// A rate smoothed by two exponential stages in series, so that it follows a
/// change only after a delay: within the first fifth of TimeConstant, a tenfold
/// rise raises it by a fifth. Not thread-safe.
class SmoothedRate {
public:
  explicit SmoothedRate(Duration TimeConstant) : TimeConstant(TimeConstant) {}

  /// Returns events a second at Now, which must not be before the last event.
  /// Since is when recording began: the time before it is treated as unknown,
  /// not as free of events.
  double get(TimePoint Now, TimePoint Since) const;

  /// Records Amount events; negative amounts take events back.
  void add(double Amount, TimePoint Now);

private:
  double decaySecondStage(double Elapsed) const;

  Duration TimeConstant;
  double FirstStage = 0;
  double SecondStage = 0;
  TimePoint UpdatedAt{};
};

} // namespace canvaswick

#endif // CANVASWICK_ADMISSION_DECAYINGCOUNTER_H
