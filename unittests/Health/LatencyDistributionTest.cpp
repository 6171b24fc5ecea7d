//===- LatencyDistributionTest.cpp - Tests of the distribution ------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests the prior and how the distribution adapts to answers.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Health/LatencyDistribution.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace canvaswick;

TEST_CASE(
    "in the prior half of the answers take longer than the typical time") {
  const LatencyDistribution Times;
  CHECK(Times.getSurvival(0) == 1);
  CHECK(Times.getSurvival(1) == doctest::Approx(0.5).epsilon(0.1));
  CHECK(Times.getSurvival(4) < 0.02);
  CHECK(Times.getSurvival(1000) == LatencyDistribution::MinSurvival);
}

TEST_CASE("a service with a wide distribution has a higher survival function") {
  LatencyDistribution Times;
  for (int I = 0; I < 500; ++I)
    Times.add(I % 5 == 0 ? 5 : 1);
  CHECK(Times.getSurvival(4) > 0.15);
  CHECK(Times.getSurvival(8) < 0.02);
}

TEST_CASE("the distribution forgets old answers") {
  LatencyDistribution Times;
  for (int I = 0; I < 1000; ++I)
    Times.add(6);
  CHECK(Times.getSurvival(4) > 0.9);
  for (int I = 0; I < 10000; ++I)
    Times.add(1);
  CHECK(Times.getSurvival(4) < 0.05);
}

TEST_CASE("the survival function does not increase with the latency ratio") {
  CHECK(rc::check([](const std::vector<uint16_t> &Percents) {
    LatencyDistribution Times;
    for (const uint16_t Percent : Percents)
      Times.add(Percent / 100.0);
    double Before = 1;
    for (double Ratio = 0; Ratio < 50; Ratio += 0.1) {
      const double Now = Times.getSurvival(Ratio);
      RC_ASSERT(Now <= Before + 1e-9);
      RC_ASSERT(Now >= LatencyDistribution::MinSurvival);
      Before = Now;
    }
  }));
}
