//===- PauseDetector.h - Notices that a process stood still -----*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A process that was suspended with its machine, stopped or frozen goes on as
/// if nothing had happened: what it last heard looks like the latest. Who runs
/// a round often notices by the clock that rounds are missing.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_SUPPORT_PAUSEDETECTOR_H
#define CANVASWICK_SUPPORT_PAUSEDETECTOR_H

#include "canvaswick/Support/Time.h"

#include <optional>

namespace canvaswick {

/// A round that is later than this did not just wait for the processor: on a
/// tenth of a core rounds are late by some hundred milliseconds.
inline constexpr Duration MinPause = fromSeconds(1);

/// One for each thread that runs rounds. Not thread-safe.
class PauseDetector {
public:
  /// Usual is the longest time between two rounds when all is well.
  explicit PauseDetector(Duration Usual) : Usual(Usual) {}

  /// Notes a round. Returns for how long the process stood still before it,
  /// zero if it did not.
  Duration recordRound(TimePoint Now) {
    const std::optional<TimePoint> Last = this->LastRound;
    this->LastRound = Now;
    if (!Last || Now - *Last < this->Usual + MinPause)
      return Duration::zero();
    return Now - *Last;
  }

private:
  const Duration Usual;
  std::optional<TimePoint> LastRound;
};

} // namespace canvaswick

#endif // CANVASWICK_SUPPORT_PAUSEDETECTOR_H
