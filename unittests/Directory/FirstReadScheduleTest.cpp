//===- FirstReadScheduleTest.cpp - Tests of the first read ----------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Plays the first start of fleets whose store has no snapshot, in virtual
/// time. Who has read the store writes the snapshot a little later, and whoever
/// has not begun by then uses that.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Directory/FirstReadSchedule.h"

#include <doctest/doctest.h>

#include <optional>
#include <random>
#include <vector>

using namespace canvaswick;

static constexpr TimePoint Start{fromSeconds(50)};

/// Time from the beginning of a read until the snapshot is written, on a VM
/// with a tenth of a core.
static constexpr Duration ReadTime = fromSeconds(3);

namespace {

struct FirstStart {
  int Readers = 0;
  Duration SnapshotAfter{};
};

} // namespace

static FirstStart play(int Daemons, int LiveSeeds, uint64_t Seed) {
  std::mt19937_64 Random(Seed);
  std::uniform_real_distribution<double> Uniform;
  std::vector<FirstReadSchedule> All;
  All.reserve(static_cast<size_t>(Daemons));
  for (int I = 0; I < Daemons; ++I)
    All.emplace_back(I < LiveSeeds, Uniform(Random), Start);
  std::optional<TimePoint> WrittenAt;
  std::vector<bool> HasRead(All.size(), false);
  FirstStart Played;
  for (TimePoint Now = Start; !WrittenAt || Now < *WrittenAt;
       Now += fromMillis(20))
    for (size_t I = 0; I < All.size(); ++I) {
      if (HasRead[I] || !All[I].mayReadAll(Now))
        continue;
      HasRead[I] = true;
      ++Played.Readers;
      if (!WrittenAt)
        WrittenAt = Now + ReadTime;
    }
  Played.SnapshotAfter = *WrittenAt - Start;
  return Played;
}

TEST_CASE("only the seeds read a large store at its fleet's first start") {
  for (const int Daemons : {40, 987, 2000})
    CHECK(play(Daemons, 3, 1).Readers == 3);
}

/// The reads that a store's link of 1,000 Mbit/s carries in four seconds if the
/// store holds ten servers for each of 987 daemons, 4.4 MB in all.
static constexpr int ReadsInFourSeconds = 113;

TEST_CASE("if all seeds are down, few daemons read, and soon") {
  for (const int Daemons : {40, 987, 2000})
    for (uint64_t Seed = 1; Seed <= 10; ++Seed) {
      const FirstStart Played = play(Daemons, 0, Seed);
      INFO("daemons ", Daemons, ", seed ", Seed);
      CHECK(Played.Readers <= ReadsInFourSeconds);
      CHECK(Played.SnapshotAfter <= fromSeconds(17));
    }
}
