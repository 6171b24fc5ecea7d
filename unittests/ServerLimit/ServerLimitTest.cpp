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

/// Checks that no play exceeds the bound and that the servers get at least a
/// part of what they named.
static void checkKept(const LimitScenario &Scenario, double LeastUsed) {
  const LimitOutcome Outcome = playSeeds(Scenario);
  CHECK(Outcome.WorstFill <= 1);
  CHECK(Outcome.Used >= LeastUsed);
}

TEST_CASE("a limited server is used: it gets over half of what it named") {
  for (const double Limit : {1.0, 1.8, 3.0}) {
    LimitScenario Scenario;
    Scenario.Steps = {{5000, Limit}};
    checkKept(Scenario, 0.5);
  }
}

TEST_CASE("a limit that is lowered or raised binds from then on") {
  LimitScenario Scenario;
  Scenario.Steps = {{5000, 3.0}, {13000, 1.0}, {22000, 2.5}};
  checkKept(Scenario, 0.5);
}

TEST_CASE("several servers of a service with limits are each kept to") {
  LimitScenario Scenario;
  Scenario.Limited = 6;
  Scenario.Steps = {{5000, 1.3}};
  checkKept(Scenario, 0.5);
}

TEST_CASE("a quiet service that is suddenly busy has saved up nothing") {
  LimitScenario Scenario;
  Scenario.RequestsPerSecond = 6;
  Scenario.SurgeTimes = 20;
  Scenario.SurgeMs = 15000;
  checkKept(Scenario, 0.3);
}

TEST_CASE("a limit of nothing is tested now and then") {
  LimitScenario Scenario;
  Scenario.Steps = {{5000, 0.0}};
  CHECK(playSeeds(Scenario).WorstFill <= 1);
}

TEST_CASE("a limit above all that is asked takes nothing away") {
  LimitScenario Scenario;
  Scenario.Steps = {{5000, 1e9}};
  const LimitOutcome Outcome = playSeeds(Scenario);
  CHECK(Outcome.WorstFill <= 1);
  CHECK(Outcome.Unplaced == 0);
}

TEST_CASE("where all servers name limits, what they do not take is refused") {
  LimitScenario Scenario;
  Scenario.Servers = 6;
  Scenario.Limited = 6;
  const LimitOutcome Outcome = playSeeds(Scenario);
  CHECK(Outcome.WorstFill <= 1);
  CHECK(Outcome.Unplaced > 0);
}

TEST_CASE("daemons that are cut off from the others keep to a limit too") {
  LimitScenario Scenario;
  Scenario.Events = {{LimitTrouble::Cut, 8000, 20000, 3}};
  checkKept(Scenario, 0.5);
}

TEST_CASE("daemons that start anew do not add up to more than a limit") {
  LimitScenario Scenario;
  for (int Ms = 6000; Ms < 28000; Ms += 4000)
    Scenario.Events.push_back({LimitTrouble::Restart, Ms, 1, 3});
  CHECK(playSeeds(Scenario).WorstFill <= 1);
}

TEST_CASE("a server whose senders are gone is asked by others") {
  LimitScenario Scenario;
  Scenario.LengthMs = 60000;
  Scenario.Events = {{LimitTrouble::Gone, 10000, 50000, 2}};
  // An answer every twenty seconds, so that its end is heard.
  checkKept(Scenario, 1 / (20 * 1.5));
}

TEST_CASE("small and large fleets keep to a limit") {
  for (const int Daemons : {1, 2, 40}) {
    LimitScenario Scenario;
    Scenario.DaemonsOfHall = Daemons;
    checkKept(Scenario, 0.5);
  }
}

TEST_CASE("once a limit is taken back, all daemons use the server again") {
  LimitScenario Scenario;
  Scenario.Steps = {{5000, 1.0}, {12000, std::nullopt}, {15000, 20.0}};
  Scenario.LengthMs = 40000;
  // Twenty a second is more than its part of what is asked: the server gets as
  // much as its peers.
  CHECK(playSeeds(Scenario).Used * 20 >= 0.5 * 63.0 / 16);
}
