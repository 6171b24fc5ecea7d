//===- ColdServerTest.cpp - Tests of cold servers -------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests that all daemons together send a cold server no more than it bears.
/// The bound is the operators': one and a half times what the server bears in a
/// second, and eight requests more.
///
//===----------------------------------------------------------------------===//

#include "ColdSimulation.h"

#include <doctest/doctest.h>

using namespace canvaswick;

static double getBound(const ColdScenario &Scenario) {
  return 1.5 * Scenario.PerSecond + 8;
}

/// Returns the worst results of four runs with different seeds.
static ColdOutcome runSeeds(ColdScenario Scenario) {
  ColdOutcome Worst;
  Worst.UsedFraction = 1000;
  for (Scenario.Seed = 1; Scenario.Seed <= 4; ++Scenario.Seed) {
    const ColdOutcome Each = ColdSimulation(Scenario).run();
    Worst.MostInSecond = std::max(Worst.MostInSecond, Each.MostInSecond);
    Worst.UsedFraction = std::min(Worst.UsedFraction, Each.UsedFraction);
  }
  return Worst;
}

/// Returns a fleet of some size with a cold server for every fourth daemon at
/// least. The operators' fleets have more servers than daemons.
static ColdScenario makeFleet(int Daemons) {
  ColdScenario Scenario;
  Scenario.Halls = Daemons >= 300 ? 5 : 3;
  Scenario.DaemonsOfHall = Daemons / Scenario.Halls;
  Scenario.Servers = std::max(
      {Scenario.DaemonsOfHall / 4, std::min(Scenario.DaemonsOfHall, 20), 2});
  return Scenario;
}

TEST_CASE("a hall of cold servers gets no more than it bears in fleets of 3 to "
          "2,000 daemons") {
  for (const int Daemons : {3, 36, 120, 300, 1000, 2000}) {
    const ColdScenario Scenario = makeFleet(Daemons);
    INFO("daemons ", Daemons);
    CHECK(static_cast<double>(runSeeds(Scenario).MostInSecond) <=
          getBound(Scenario));
  }
}

/// Makes a scenario's callers ask for three times what its servers bear, with
/// no other server to go to.
static void overload(ColdScenario &Scenario) {
  Scenario.HasOtherHalls = false;
  Scenario.RequestsPerSecondOfDaemon =
      3 * Scenario.PerSecond * Scenario.Servers / Scenario.DaemonsOfHall;
}

TEST_CASE("cold servers are used while requests are refused for want of them") {
  for (const int Daemons : {3, 36, 120, 300, 1000, 2000}) {
    ColdScenario Scenario = makeFleet(Daemons);
    overload(Scenario);
    const ColdOutcome Outcome = runSeeds(Scenario);
    INFO("daemons ", Daemons);
    CHECK(static_cast<double>(Outcome.MostInSecond) <= getBound(Scenario));
    CHECK(Outcome.UsedFraction >= 0.6);
  }
}

TEST_CASE("the bound holds for weak and for strong servers") {
  for (const double PerSecond : {0.5, 1.0, 3.0, 8.0, 12.0}) {
    ColdScenario Scenario = makeFleet(120);
    Scenario.PerSecond = PerSecond;
    INFO("bears ", PerSecond);
    CHECK(static_cast<double>(runSeeds(Scenario).MostInSecond) <=
          getBound(Scenario));
  }
}

TEST_CASE("daemons that are cut off send a cold server no more than fits") {
  for (const int Daemons : {36, 300})
    for (const double Fraction : {0.2, 0.5, 0.9}) {
      ColdScenario Scenario = makeFleet(Daemons);
      Scenario.CutFraction = Fraction;
      INFO("daemons ", Daemons, ", cut ", Fraction);
      CHECK(static_cast<double>(runSeeds(Scenario).MostInSecond) <=
            getBound(Scenario));
    }
}

TEST_CASE("daemons that start again send a cold server no more than fits") {
  for (const double Fraction : {0.3, 1.0}) {
    ColdScenario Scenario = makeFleet(120);
    Scenario.RestartFraction = Fraction;
    CHECK(static_cast<double>(runSeeds(Scenario).MostInSecond) <=
          getBound(Scenario));
  }
}

TEST_CASE("servers that become cold again and again are spared each time") {
  ColdScenario Scenario = makeFleet(36);
  Scenario.AgainMs = 1700;
  overload(Scenario);
  const ColdOutcome Outcome = runSeeds(Scenario);
  CHECK(static_cast<double>(Outcome.MostInSecond) <= getBound(Scenario));
  CHECK(Outcome.UsedFraction >= 0.6);
}

TEST_CASE("a warm server has no bound") {
  ServerNotices Known;
  Known.recordWarmup({1, "s/b", "h"}, 5.5, TimePoint{fromSeconds(3)},
                     TimePoint{fromSeconds(1)});
  CHECK(Known.getShareFactor(1, TimePoint{fromSeconds(2)}) == 0);
  CHECK(Known.getActiveKind(1, TimePoint{fromSeconds(2)}) ==
        NoticeKind::Warmup);
  CHECK(Known.getShareFactor(1, TimePoint{fromSeconds(3)}) == 1);
  CHECK_FALSE(Known.getActiveKind(1, TimePoint{fromSeconds(3)}).has_value());
  (void)Known.forgetOld(TimePoint{fromSeconds(3)});
  CHECK(Known.isEmpty());
}
