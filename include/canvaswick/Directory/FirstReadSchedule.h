//===- FirstReadSchedule.h - Who reads a large store first ------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A daemon that starts loads the fleet's snapshot. When a fleet starts for the
/// first time there is none. If each daemon then read all items of the store,
/// the store's link would carry them as many times as there are daemons. So the
/// seed daemons read at once and write the snapshot, and the others wait for
/// it. If none appears, because the seeds are down, a few others read after a
/// while, then more and more.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_DIRECTORY_FIRSTREADSCHEDULE_H
#define CANVASWICK_DIRECTORY_FIRSTREADSCHEDULE_H

#include "canvaswick/Support/Time.h"

namespace canvaswick {

/// Returns a delay up to Longest of which few are short: of a thousand daemons
/// that draw one at the same moment, a handful acts early, and the others can
/// still learn from it that they need not. Draw is a uniform random number from
/// 0 to 1.
Duration drawSparseDelay(Duration Longest, double Draw);

/// Decides when a daemon reads all items of a store without a snapshot, or
/// watches it without knowing any other daemon. Not thread-safe.
class FirstReadSchedule {
public:
  /// IsSeed tells whether this daemon is one of the seeds. Draw is a uniform
  /// random number from 0 to 1. The time counts from Start.
  FirstReadSchedule(bool IsSeed, double Draw, TimePoint Start);

  /// Returns how long after its start this daemon waits for a snapshot.
  Duration getDelay() const { return this->Delay; }

  /// Returns whether this daemon may read all items now.
  bool mayReadAll(TimePoint Now) const {
    return Now >= this->Start + this->Delay;
  }

private:
  TimePoint Start{};
  Duration Delay{};
};

} // namespace canvaswick

#endif // CANVASWICK_DIRECTORY_FIRSTREADSCHEDULE_H
