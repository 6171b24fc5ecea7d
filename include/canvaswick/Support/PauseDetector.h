//===- PauseDetector.h - Detects pauses of the process ----------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A process that was stopped, or suspended with its machine, resumes without
/// noticing, and treats its last received state as current. A thread that runs
/// frequent rounds can detect such a pause from the clock.
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_SUPPORT_PAUSEDETECTOR_H
#define CANVASWICK_SUPPORT_PAUSEDETECTOR_H

#include "canvaswick/Support/Time.h"

#include <optional>

namespace canvaswick {

/// Minimum delay of a round that counts as a pause. Shorter delays occur under
/// CPU contention: with a tenth of a core, rounds are late by some hundred
/// milliseconds.
inline constexpr Duration MinPause = fromSeconds(1);

/// Detects pauses of a thread that runs rounds. One instance per thread; not
/// thread-safe.
class PauseDetector {
public:
  /// ExpectedInterval is the longest time between two rounds in normal
  /// operation.
  explicit PauseDetector(Duration ExpectedInterval)
      : ExpectedInterval(ExpectedInterval) {}

  /// Records a round. Returns the time since the previous round if the process
  /// was paused in between, otherwise zero.
  Duration recordRound(TimePoint Now) {
    const std::optional<TimePoint> Last = this->LastRound;
    this->LastRound = Now;
    if (!Last || Now - *Last < this->ExpectedInterval + MinPause)
      return Duration::zero();
    return Now - *Last;
  }

private:
  const Duration ExpectedInterval;
  std::optional<TimePoint> LastRound;
};

} // namespace canvaswick

#endif // CANVASWICK_SUPPORT_PAUSEDETECTOR_H
