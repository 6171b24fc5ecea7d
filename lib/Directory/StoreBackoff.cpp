//===- StoreBackoff.cpp - How long the store is left alone after a failure ===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Doubling waits in a small hall, a share of the hall's in a larger one.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Directory/StoreBackoff.h"

#include <algorithm>

namespace canvaswick {

/// First and longest wait in a small hall; drawn between half and all of it.
static constexpr Duration FirstWait = fromMillis(100);
static constexpr int MostDoublings = 3;

/// Up to this many daemons each waits as in a small hall: together they ask the
/// store 30 times a second at most, once they have waited longest. More ask
/// that often together from the first failure on: it is that of all, or another
/// is answered and tells them.
static constexpr size_t SmallHall = 18;
static constexpr double TriesPerSecond = 30;

/// A daemon that hears nobody, and whom nobody reaches, must find the store
/// again by itself soon after its way there is whole.
static constexpr Duration LongestWait = fromSeconds(4);

Duration computeStoreBackoff(int Failures, size_t HallSize, double Draw) {
  const int Doublings = std::clamp(Failures - 1, 0, MostDoublings);
  Duration Most = FirstWait * (1 << Doublings);
  if (HallSize > SmallHall) {
    // The mean of what is drawn is three quarters of the most.
    const double OfHall = static_cast<double>(HallSize) / TriesPerSecond / 0.75;
    Most = std::max(Most, std::min(LongestWait, fromSeconds(OfHall)));
  }
  return fromSeconds(toSeconds(Most) * (1 + Draw) / 2);
}

} // namespace canvaswick
