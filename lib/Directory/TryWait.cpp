//===- TryWait.cpp - How long the store is left alone after a failure -----===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Doubling waits, longer in a larger hall.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Directory/TryWait.h"

#include <algorithm>

namespace canvaswick {

/// First and longest wait in a small hall; drawn between half and all of it.
static constexpr Duration FirstWait = fromMillis(100);
static constexpr int MostDoublings = 3;

/// Up to this many daemons each waits as in a small hall: together they ask the
/// store 30 times a second at most, once they have waited longest.
static constexpr double SmallHall = 18;

/// A daemon that hears nobody, and whom nobody reaches, must find the store
/// again within the 4 s after which the users count it as being in touch.
static constexpr double MostStretch = 5;

Duration chooseTryWait(int Failures, size_t HallSize, double Draw) {
  const int Doublings = std::clamp(Failures - 1, 0, MostDoublings);
  const double Stretch =
      std::clamp(static_cast<double>(HallSize) / SmallHall, 1.0, MostStretch);
  const double Most = toSeconds(FirstWait) * (1 << Doublings) * Stretch;
  return fromSeconds(Most * (1 + Draw) / 2);
}

} // namespace canvaswick
