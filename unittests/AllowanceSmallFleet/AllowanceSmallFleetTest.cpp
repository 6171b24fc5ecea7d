//===- AllowanceSmallFleetTest.cpp - A rise and a cut in a small fleet ----===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Six or nine daemons of which a third is cut off just as an organisation
/// begins to send ten times its usual.
///
//===----------------------------------------------------------------------===//

#include "../AllowanceCoincidence/HotPlay.h"

#include <doctest/doctest.h>

using namespace canvaswick;

TEST_CASE(
    "cut off as it begins, a third and the rest of a few keep the bound") {
  for (const int DaemonsOfHall : {2, 3})
    for (const double Rate : {8.0, 60.0, 173.0})
      CHECK(getWorstFill(makeHotAndCut(DaemonsOfHall, Rate), 12) <= 1);
}
