//===- AllowanceCoincidenceTest.cpp - Faults during a surge ---------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests that the quota of an organisation that sends ten times its typical
/// load holds when the fleet has a fault within about a second.
///
//===----------------------------------------------------------------------===//

#include "SurgeScenario.h"

#include <doctest/doctest.h>

using namespace canvaswick;

TEST_CASE("the quota holds when a third of the fleet is cut off as the surge "
          "starts") {
  for (const int DaemonsOfHall : {12, 38})
    for (const double Rate : {8.0, 60.0, 173.0})
      CHECK(findMaxFill(makeSurgeWithCut(DaemonsOfHall, Rate), 3) <= 1);
}

// Guards against daemons that charge nothing for the first usage that others
// report: after a restart of the whole fleet each had the whole token bucket to
// itself until it learned of another request. 36 daemons filled the bound to
// 1.02, 114 to 1.13.
TEST_CASE(
    "the quota holds when the whole fleet is killed a second after the surge "
    "starts") {
  for (const int DaemonsOfHall : {3, 12, 38})
    for (const double Rate : {8.0, 60.0, 173.0}) {
      QuotaScenario Killed = makeSurge(DaemonsOfHall, Rate);
      Killed.Events = {{QuotaFault::Killed, SurgeStartMs + 1000, 1000, 1}};
      CHECK(findMaxFill(Killed, 3) <= 1);
    }
}
