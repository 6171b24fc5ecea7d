//===- ListAgeTest.cpp - Tests of the age of lists at a start -------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Daemons that start within milliseconds of each other read the store before
/// the others have registered, and know nobody who could tell them what
/// changes.
///
//===----------------------------------------------------------------------===//

#include "FleetStartModel.h"

#include <doctest/doctest.h>

using namespace canvaswick;

static constexpr Duration PlayedTime = fromSeconds(20);

static constexpr Duration MaxAge = fromSeconds(1);

/// The most calls of the two watchers of a hall: they rest for 150 and 600 ms
/// after each answer with a change.
static constexpr size_t CallsOfWatchers =
    PlayedTime / fromMillis(150) + PlayedTime / fromMillis(600);

/// The calls of another daemon as it starts.
static constexpr size_t CallsOfFollower = 3;

static void checkStart(const FleetStartSetup &Setup) {
  FleetStartModel Model(Setup);
  Model.run(PlayedTime);
  size_t Daemons = 0;
  for (const size_t Hall : Setup.Halls)
    Daemons += Hall;
  CAPTURE(Setup.Seed);
  CAPTURE(Daemons);
  CAPTURE(Setup.Seeds);
  MESSAGE("longest age ", toMillis(Model.getLongestAge()), " ms, calls ",
          Model.countCalls());
  CHECK(toMillis(Model.getLongestAge()) < toMillis(MaxAge));
  CHECK(Model.countCalls() <
        Setup.Halls.size() * CallsOfWatchers + Daemons * CallsOfFollower);
}

// Guards against daemons that serve by the list of their start for seconds,
// because they read the store before the others had registered (DRAIN).
TEST_CASE("no list is outdated for a second while a fleet starts at once") {
  for (uint64_t Seed = 1; Seed <= 20; ++Seed)
    for (const size_t Seeds : {0, 3}) {
      checkStart({{1}, Seeds, fromMillis(5), fromMillis(700), Seed});
      checkStart({{1, 1, 1}, Seeds, fromMillis(5), fromMillis(700), Seed});
      checkStart({{8, 1}, Seeds, fromMillis(5), fromMillis(700), Seed});
      checkStart({{13, 14, 13}, Seeds, fromMillis(5), fromMillis(700), Seed});
      checkStart({{8, 1}, Seeds, fromMillis(300), fromMillis(130), Seed});
    }
}

TEST_CASE("no list is outdated for a second while a large hall starts") {
  for (uint64_t Seed = 1; Seed <= 2; ++Seed)
    checkStart({{1000}, 3, fromMillis(5), fromMillis(700), Seed});
}
