//===- SnapshotSpreadTest.cpp - Tests of the loads of the snapshot --------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Plays the loads of a fleet that starts, in virtual time, on a link that its
/// daemons share evenly.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Directory/SnapshotSpread.h"

#include <doctest/doctest.h>

#include <random>
#include <vector>

using namespace canvaswick;

static constexpr double BytesPerItem = 45;
static constexpr double LinkBytesPerSecond = 125e6;

/// The time after which a daemon gives a read up, in seconds.
static constexpr double ReadTimeout = 1.5;

namespace {

struct Load {
  double StartsAt = 0;
  double Left = 0;
};

} // namespace

/// Returns the part of the daemons whose loads end in time, if each begins one
/// interval after a common event.
static double playLoads(size_t Daemons, size_t Items, bool AllAtOnce) {
  std::mt19937_64 Random(7);
  std::uniform_real_distribution<double> Uniform;
  const double Bytes = BytesPerItem * static_cast<double>(Items);
  std::vector<Load> Loads;
  for (size_t I = 0; I < Daemons; ++I) {
    const double Delay =
        toSeconds(computeSnapshotInterval(Daemons, Items, Uniform(Random)));
    Loads.push_back({AllAtOnce ? 0 : Delay, Bytes});
  }
  static constexpr double Step = 0.01;
  size_t Ended = 0;
  for (double Now = 0; Now < 80; Now += Step) {
    std::vector<Load *> Open;
    for (Load &Each : Loads)
      if (Each.StartsAt <= Now && Now < Each.StartsAt + ReadTimeout &&
          Each.Left > 0)
        Open.push_back(&Each);
    for (Load *Each : Open) {
      Each->Left -=
          LinkBytesPerSecond * Step / static_cast<double>(Open.size());
      Ended += Each->Left <= 0 ? 1 : 0;
    }
  }
  return static_cast<double>(Ended) / static_cast<double>(Daemons);
}

TEST_CASE("all daemons of a large fleet load its snapshot in time") {
  CHECK(playLoads(987, 11000, false) == 1);
  CHECK(playLoads(2000, 22000, false) == 1);
  // Without the spread, none does.
  CHECK(playLoads(987, 11000, true) == 0);
}

TEST_CASE("daemons of a small fleet look for the snapshot every few seconds") {
  for (const double Draw : {0.0, 0.5, 1.0}) {
    const Duration Interval = computeSnapshotInterval(40, 300, Draw);
    CHECK(Interval >= fromSeconds(1));
    CHECK(Interval <= fromSeconds(3));
  }
}
