//===- AllowanceSmallFleetTest.cpp - Cuts of a small fleet ----------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests that the quota of an organisation that starts to send ten times its
/// typical load holds for six or nine daemons of which a third is cut off at
/// that moment.
///
//===----------------------------------------------------------------------===//

#include "../AllowanceCoincidence/SurgeScenario.h"

#include <doctest/doctest.h>

using namespace canvaswick;

TEST_CASE(
    "the quota of a small fleet holds when a third is cut off as the surge "
    "starts") {
  for (const int DaemonsOfHall : {2, 3})
    for (const double Rate : {8.0, 60.0, 173.0})
      CHECK(findMaxFill(makeSurgeWithCut(DaemonsOfHall, Rate), 12) <= 1);
}
