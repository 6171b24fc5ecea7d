//===- LatencyDistributionTest.cpp - Tests of the spread of answer times --===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// What is taken to be usual before anything is known, and how it is learned.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Health/LatencyDistribution.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace canvaswick;

TEST_CASE(
    "before anything is known half of the answers take longer than usual") {
  const LatencyDistribution Times;
  CHECK(Times.getSurvival(0) == 1);
  CHECK(Times.getSurvival(1) == doctest::Approx(0.5).epsilon(0.1));
  CHECK(Times.getSurvival(4) < 0.02);
  CHECK(Times.getSurvival(1000) == LatencyDistribution::MinSurvival);
}

TEST_CASE("a service whose answers vary much is given more time") {
  LatencyDistribution Times;
  for (int I = 0; I < 500; ++I)
    Times.add(I % 5 == 0 ? 5 : 1);
  CHECK(Times.getSurvival(4) > 0.15);
  CHECK(Times.getSurvival(8) < 0.02);
}

TEST_CASE("what a service did long ago is forgotten") {
  LatencyDistribution Times;
  for (int I = 0; I < 1000; ++I)
    Times.add(6);
  CHECK(Times.getSurvival(4) > 0.9);
  for (int I = 0; I < 10000; ++I)
    Times.add(1);
  CHECK(Times.getSurvival(4) < 0.05);
}

TEST_CASE("the longer a request is out, the fewer answers take longer still") {
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
