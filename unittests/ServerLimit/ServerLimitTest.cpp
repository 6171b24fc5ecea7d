//===- ServerLimitTest.cpp - Tests of rate limits that servers state ------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests that a limit that a server states holds for all daemons of a fleet
/// together.
///
//===----------------------------------------------------------------------===//

#include "LimitSimulation.h"

#include <doctest/doctest.h>

using namespace canvaswick;

/// Returns the worst results of five runs with different seeds.
static LimitOutcome runSeeds(LimitScenario Scenario) {
  LimitOutcome Worst;
  Worst.UsedFraction = 1;
  for (Scenario.Seed = 1; Scenario.Seed <= 5; ++Scenario.Seed) {
    const LimitOutcome Each = LimitSimulation(Scenario).run();
    Worst.MaxFill = std::max(Worst.MaxFill, Each.MaxFill);
    Worst.UsedFraction = std::min(Worst.UsedFraction, Each.UsedFraction);
    Worst.Rejected += Each.Rejected;
  }
  return Worst;
}

TEST_CASE("a server does not get more than its limit from informed daemons") {
  for (const double Limit : {1.0, 1.8, 3.0}) {
    LimitScenario Scenario;
    Scenario.Steps = {{5000, Limit}};
    const LimitOutcome Outcome = runSeeds(Scenario);
    CHECK(Outcome.MaxFill <= 1);
    CHECK(Outcome.Rejected == 0);
  }
}

/// Checks that no run exceeds the bound and that the servers get at least a
/// fraction MinUsedFraction of their limits.
static void checkLimitKept(const LimitScenario &Scenario,
                           double MinUsedFraction) {
  const LimitOutcome Outcome = runSeeds(Scenario);
  CHECK(Outcome.MaxFill <= 1);
  CHECK(Outcome.UsedFraction >= MinUsedFraction);
}

TEST_CASE("a limited server is used: it gets over half of its limit") {
  for (const double Limit : {1.0, 1.8, 3.0}) {
    LimitScenario Scenario;
    Scenario.Steps = {{5000, Limit}};
    checkLimitKept(Scenario, 0.5);
  }
}

TEST_CASE("a limit that is lowered or raised applies from then on") {
  LimitScenario Scenario;
  Scenario.Steps = {{5000, 3.0}, {13000, 1.0}, {22000, 2.5}};
  checkLimitKept(Scenario, 0.5);
}

TEST_CASE("the limits of several servers of a service are each respected") {
  LimitScenario Scenario;
  Scenario.Limited = 6;
  Scenario.Steps = {{5000, 1.3}};
  checkLimitKept(Scenario, 0.5);
}

TEST_CASE("a limit holds when a quiet service suddenly gets busy") {
  LimitScenario Scenario;
  Scenario.RequestsPerSecond = 6;
  Scenario.SurgeFactor = 20;
  Scenario.SurgeMs = 15000;
  checkLimitKept(Scenario, 0.3);
}

TEST_CASE("a limit of zero lets only occasional probes through") {
  LimitScenario Scenario;
  Scenario.Steps = {{5000, 0.0}};
  CHECK(runSeeds(Scenario).MaxFill <= 1);
}

TEST_CASE("a limit above the request rate refuses no requests") {
  LimitScenario Scenario;
  Scenario.Steps = {{5000, 1e9}};
  const LimitOutcome Outcome = runSeeds(Scenario);
  CHECK(Outcome.MaxFill <= 1);
  CHECK(Outcome.Rejected == 0);
}

TEST_CASE("where all servers state limits, requests above them are refused") {
  LimitScenario Scenario;
  Scenario.Servers = 6;
  Scenario.Limited = 6;
  const LimitOutcome Outcome = runSeeds(Scenario);
  CHECK(Outcome.MaxFill <= 1);
  CHECK(Outcome.Rejected > 0);
}

TEST_CASE("daemons that are cut off from the others respect a limit too") {
  LimitScenario Scenario;
  Scenario.Events = {{LimitFault::Cut, 8000, 20000, 3}};
  checkLimitKept(Scenario, 0.5);
}

TEST_CASE("daemons that restart do not exceed a limit together") {
  LimitScenario Scenario;
  for (int Ms = 6000; Ms < 28000; Ms += 4000)
    Scenario.Events.push_back({LimitFault::Restart, Ms, 1, 3});
  CHECK(runSeeds(Scenario).MaxFill <= 1);
}

TEST_CASE(
    "a limited server is used by other daemons when its senders have died") {
  LimitScenario Scenario;
  Scenario.LengthMs = 60000;
  Scenario.Events = {{LimitFault::Dead, 10000, 50000, 2}};
  // One request in 20 s is enough: its response tells whether the limit ended.
  checkLimitKept(Scenario, 1 / (20 * 1.5));
}

TEST_CASE("small and large fleets respect a limit") {
  for (const int Daemons : {1, 2, 40}) {
    LimitScenario Scenario;
    Scenario.DaemonsOfHall = Daemons;
    checkLimitKept(Scenario, 0.5);
  }
}

TEST_CASE("once a limit is withdrawn, all daemons use the server again") {
  LimitScenario Scenario;
  Scenario.Steps = {{5000, 1.0}, {12000, std::nullopt}, {15000, 20.0}};
  Scenario.LengthMs = 40000;
  // A limit of 20 requests a second is above the server's share of the load, so
  // that it gets as many requests as its peers.
  CHECK(runSeeds(Scenario).UsedFraction * 20 >= 0.5 * 63.0 / 16);
}
