//===- ServerLimitTest.cpp - Servers get no more than they named ----------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A limit that a server names holds for all daemons of a fleet together.
///
//===----------------------------------------------------------------------===//

#include "LimitPlay.h"

#include <doctest/doctest.h>

using namespace canvaswick;

/// Returns the worst of some plays.
static LimitOutcome playSeeds(LimitScenario Scenario) {
  LimitOutcome Worst;
  Worst.Used = 1;
  for (Scenario.Seed = 1; Scenario.Seed <= 5; ++Scenario.Seed) {
    const LimitOutcome Each = LimitPlay(Scenario).run();
    Worst.WorstFill = std::max(Worst.WorstFill, Each.WorstFill);
    Worst.Used = std::min(Worst.Used, Each.Used);
    Worst.Unplaced += Each.Unplaced;
  }
  return Worst;
}

TEST_CASE("a server that names a limit does not get more from the daemons that "
          "it told") {
  for (const double Limit : {1.0, 1.8, 3.0}) {
    LimitScenario Scenario;
    Scenario.Steps = {{5000, Limit}};
    const LimitOutcome Outcome = playSeeds(Scenario);
    CHECK(Outcome.WorstFill <= 1);
    CHECK(Outcome.Unplaced == 0);
  }
}
