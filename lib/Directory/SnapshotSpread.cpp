//===- SnapshotSpread.cpp - When daemons load the snapshot ----------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The interval follows the size of the fleet, so that the load on the store's
/// link does not.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Directory/SnapshotSpread.h"

#include <algorithm>

namespace canvaswick {

/// Interval in a small fleet.
static constexpr Duration MinInterval = fromSeconds(2);

/// A packed item has some 40 bytes on the wire. This is a rate of 40 MB/s, a
/// third of a link of 1,000 Mbit/s.
static constexpr double SecondsPerItem = 1e-6;

Duration computeSnapshotInterval(size_t Daemons, size_t Items, double Draw) {
  const double Needed = static_cast<double>(Daemons) *
                        static_cast<double>(Items) * SecondsPerItem;
  const double Interval = std::max(toSeconds(MinInterval), Needed);
  // Drawn from an interval around the mean, so that the daemons drift apart.
  return fromSeconds(Interval * (0.5 + Draw));
}

} // namespace canvaswick
