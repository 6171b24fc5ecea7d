//===- FirstReadSchedule.cpp - Who reads a large store first --------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The delays are distributed so that the number of daemons that have begun to
/// read grows with the fourth power of the time.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Directory/FirstReadSchedule.h"

#include <cmath>

namespace canvaswick {

/// The time within which the seeds read the store and write the snapshot, on
/// slow VMs.
static constexpr Duration SeedTime = fromSeconds(4);

/// The longest delay after SeedTime.
static constexpr Duration LongestDelay = fromSeconds(12);

/// One daemon in 1,000 reads within the first sixth of LongestDelay, which is
/// enough time to write the snapshot.
static constexpr double GrowthExponent = 4;

Duration drawSparseDelay(Duration Longest, double Draw) {
  return fromSeconds(toSeconds(Longest) * std::pow(Draw, 1 / GrowthExponent));
}

FirstReadSchedule::FirstReadSchedule(bool IsSeed, double Draw, TimePoint Start)
    : Start(Start) {
  if (!IsSeed)
    this->Delay = SeedTime + drawSparseDelay(LongestDelay, Draw);
}

} // namespace canvaswick
