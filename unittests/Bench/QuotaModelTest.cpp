//===- QuotaModelTest.cpp - Tests of fleet quotas in simulation -----------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Simulates whole fleets in virtual time. Admissions must stay within the
/// required bound under faults, and requests within the quota must be admitted.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Bench/QuotaModel.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace canvaswick;

static QuotaScenario makeNormal(double Rate, int Callers) {
  QuotaScenario Normal;
  Normal.DaemonsOfHall = 12;
  Normal.Rate = Rate;
  Normal.Callers = Callers;
  Normal.LengthMs = 15000;
  return Normal;
}

static QuotaScenario makeHot(QuotaScenario Normal) {
  Normal.HotFactor = 10;
  Normal.HotFromMs = 6000;
  Normal.HotForMs = 8000;
  return Normal;
}

/// Returns the largest fill of a window over the seeds, where 1 is the bound.
static double findMaxWindowFill(const QuotaScenario &Scenario, int Seeds) {
  double Worst = 0;
  for (int Seed = 1; Seed <= Seeds; ++Seed)
    Worst = std::max(Worst, runQuotaModel(Scenario, QuotaMethod::SharedCounts,
                                          static_cast<uint64_t>(Seed))
                                .MaxWindowFill);
  return Worst;
}

TEST_CASE("fewer than 1 in 1,000 requests within the quota is refused in "
          "normal load") {
  for (const double Rate : {1.0, 8.0, 60.0, 200.0}) {
    const QuotaScenario Normal = makeNormal(Rate, Rate < 20 ? 19 : 200);
    QuotaModelResult Sum;
    for (uint64_t Seed = 1; Seed <= 5; ++Seed) {
      const QuotaModelResult One =
          runQuotaModel(Normal, QuotaMethod::SharedCounts, Seed);
      Sum.WithinQuota += One.WithinQuota;
      Sum.RefusedWithinQuota += One.RefusedWithinQuota;
    }
    CAPTURE(Rate);
    CHECK(Sum.WithinQuota > 0);
    CHECK(Sum.computeRefusedRatio() < 0.001);
  }
}

TEST_CASE("fixed parts refuse most requests within a small quota") {
  const QuotaModelResult Fixed =
      runQuotaModel(makeNormal(8, 19), QuotaMethod::FixedParts, 1);
  CHECK(Fixed.computeRefusedRatio() > 0.5);
}

TEST_CASE("a sudden tenfold load stays within the bound") {
  for (const double Rate : {1.0, 8.0, 60.0, 173.0})
    CHECK(findMaxWindowFill(makeHot(makeNormal(Rate, Rate < 20 ? 19 : 200)),
                            3) <= 1);
}

TEST_CASE("partitioned halls stay within the bound together") {
  for (const double Rate : {8.0, 60.0}) {
    QuotaScenario Apart = makeHot(makeNormal(Rate, 60));
    Apart.Events = {{QuotaFault::HallsApart, 4000, 10000, 0}};
    CHECK(findMaxWindowFill(Apart, 3) <= 1);
  }
}

TEST_CASE("a partitioned third and the rest stay within the bound together") {
  for (const double Rate : {8.0, 60.0}) {
    QuotaScenario Cut = makeHot(makeNormal(Rate, 60));
    Cut.Events = {{QuotaFault::Cut, 4000, 10000, 0.33}};
    CHECK(findMaxWindowFill(Cut, 3) <= 1);
  }
}

TEST_CASE(
    "a restart of the whole fleet within a window stays within the bound") {
  for (const double Rate : {8.0, 60.0, 173.0}) {
    QuotaScenario Killed = makeHot(makeNormal(Rate, 100));
    Killed.Events = {{QuotaFault::Killed, 10000, 1000, 1}};
    CHECK(findMaxWindowFill(Killed, 3) <= 1);
  }
}

TEST_CASE("a quota lowered to a tenth binds after one window") {
  for (const double Rate : {8.0, 173.0}) {
    QuotaScenario Lowered = makeNormal(Rate, 60);
    Lowered.ChangeMs = 6000;
    Lowered.ChangeFactor = 0.1;
    CHECK(findMaxWindowFill(Lowered, 3) <= 1);
  }
}

TEST_CASE(
    "a restart of the whole fleet refuses few requests within the quota") {
  QuotaScenario Killed = makeNormal(8, 19);
  Killed.Events = {{QuotaFault::Killed, 6000, 1000, 1}};
  const QuotaModelResult Outcome =
      runQuotaModel(Killed, QuotaMethod::SharedCounts, 1);
  CHECK(Outcome.computeRefusedRatio() < 0.02);
}

TEST_CASE("a load spike at any time with message loss stays within the bound") {
  CHECK(rc::check([] {
    const auto Rate = *rc::gen::element(2.0, 8.0, 30.0, 90.0);
    QuotaScenario Scenario = makeNormal(Rate, *rc::gen::inRange(5, 150));
    Scenario.DaemonsOfHall = *rc::gen::inRange(2, 14);
    Scenario.LengthMs = 10000;
    Scenario.LossRate = *rc::gen::inRange(0, 10) / 100.0;
    Scenario.HotFactor = *rc::gen::inRange(1, 11);
    Scenario.HotFromMs = *rc::gen::inRange(0, 8000);
    Scenario.HotForMs = *rc::gen::inRange(500, 6000);
    const auto Seed = static_cast<uint64_t>(*rc::gen::inRange(1, 1000000));
    const QuotaModelResult Outcome =
        runQuotaModel(Scenario, QuotaMethod::SharedCounts, Seed);
    RC_ASSERT(Outcome.MaxWindowFill <= 1);
  }));
}
