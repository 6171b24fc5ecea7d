//===- FloorCoverageTest.cpp - Healthy servers stay in use ----------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Guards against the following failure: 12 of 22 healthy servers got no
/// requests for two seconds in which 157 of 1,082 requests went unserved. The
/// daemons measured a failure rate of only 4.6 %, because requests that wait
/// for an answer that never comes had not failed yet, and the floor applied
/// only from 9 % on.
///
//===----------------------------------------------------------------------===//

#include "CoverageSimulation.h"

#include <doctest/doctest.h>

using namespace canvaswick;

TEST_CASE(
    "70 percent of the healthy servers are used while many requests fail") {
  size_t Evaluated = 0;
  for (const size_t Servers : {12, 22, 40, 120})
    for (const double Unhealthy : {0.1, 0.2, 0.3, 0.45})
      for (uint64_t Seed = 1; Seed <= 3; ++Seed) {
        CoverageScenario Scenario;
        Scenario.Servers = Servers;
        Scenario.UnhealthyFraction = Unhealthy;
        Scenario.Seed = Seed;
        Scenario.RequestsPerServer = Servers > 100 ? 2 : 4;
        const CoverageOutcome Outcome = CoverageSimulation(Scenario).run();
        Evaluated += Outcome.WindowsEvaluated;
        CAPTURE(Servers);
        CAPTURE(Unhealthy);
        CAPTURE(Seed);
        CHECK(Outcome.MinReachedFraction >= 0.7);
      }
  CHECK(Evaluated > 100);
}
