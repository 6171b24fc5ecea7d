//===- AllowanceCoincidenceTest.cpp - Two troubles in one second ----------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// An organisation sends ten times its usual, and within about a second more
/// befalls the fleet.
///
//===----------------------------------------------------------------------===//

#include "HotPlay.h"

#include <doctest/doctest.h>

using namespace canvaswick;

TEST_CASE("cut off as it begins, a third and the rest keep the bound") {
  for (const int DaemonsOfHall : {12, 38})
    for (const double Rate : {8.0, 60.0, 173.0})
      CHECK(getWorstFill(makeHotAndCut(DaemonsOfHall, Rate), 3) <= 1);
}

// A daemon charged nothing for what the others told of first: after a start of
// the whole fleet each had the bucket to itself until it heard of another
// request. 36 daemons filled the bound to 1.02, 114 to 1.13.
TEST_CASE("killed a second after it began, a whole fleet keeps the bound") {
  for (const int DaemonsOfHall : {3, 12, 38})
    for (const double Rate : {8.0, 60.0, 173.0}) {
      QuotaScenario Killed = makeHot(DaemonsOfHall, Rate);
      Killed.Events = {{QuotaFault::Killed, RiseMs + 1000, 1000, 1}};
      CHECK(getWorstFill(Killed, 3) <= 1);
    }
}
