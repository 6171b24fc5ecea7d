//===- StoreBackoff.cpp - Backoff after failures of the store -------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// In a small hall the waits double; in a large one they grow with the hall.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Directory/StoreBackoff.h"

#include <algorithm>

namespace canvaswick {

/// First wait in a small hall, and how often it doubles; the wait is drawn
/// between half and all of it.
static constexpr Duration FirstWait = fromMillis(100);
static constexpr int MaxDoublings = 3;

/// Up to this many daemons, each waits as in a small hall: once their waits are
/// longest, they send at most 30 requests a second together. A larger hall is
/// held to this rate from the first failure on: either all of its daemons fail,
/// or one is answered and notifies the others.
static constexpr size_t SmallHall = 18;
static constexpr double MaxRequestsPerSecond = 30;

/// A daemon that receives no messages and reaches no peer must find the store
/// by itself soon after its connection is restored.
static constexpr Duration MaxWait = fromSeconds(4);

Duration computeStoreBackoff(int Failures, size_t HallSize, double Draw) {
  const int Doublings = std::clamp(Failures - 1, 0, MaxDoublings);
  Duration Upper = FirstWait * (1 << Doublings);
  if (HallSize > SmallHall) {
    // The mean of the drawn waits is three quarters of Upper.
    const double HallWait =
        static_cast<double>(HallSize) / MaxRequestsPerSecond / 0.75;
    Upper = std::max(Upper, std::min(MaxWait, fromSeconds(HallWait)));
  }
  return fromSeconds(toSeconds(Upper) * (1 + Draw) / 2);
}

} // namespace canvaswick
