//===- WorkPacerTest.cpp - Tests of rests between heavy work --------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests that work takes its part of the time at most, and that light work is
/// hardly delayed.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Support/WorkPacer.h"

#include <doctest/doctest.h>

using namespace canvaswick;

static constexpr TimePoint Start{fromSeconds(10)};

TEST_CASE("a rest is a multiple of the work before it, up to its bound") {
  WorkPacer Pacer(2, fromMillis(800));
  CHECK(Pacer.getWait(Start) == Duration::zero());
  Pacer.recordWork(Start, Start + fromMillis(100));
  CHECK(Pacer.getWait(Start + fromMillis(100)) == fromMillis(200));
  CHECK(Pacer.getWait(Start + fromMillis(250)) == fromMillis(50));
  CHECK(Pacer.getWait(Start + fromMillis(300)) == Duration::zero());
  Pacer.recordWork(Start, Start + fromSeconds(3));
  CHECK(Pacer.getWait(Start + fromSeconds(3)) == fromMillis(800));
}

TEST_CASE("work that is always due takes a third of the time") {
  WorkPacer Pacer(2, fromMillis(800));
  TimePoint Now = Start;
  Duration Worked{};
  while (Now < Start + fromSeconds(60)) {
    Now += Pacer.getWait(Now);
    const TimePoint Began = Now;
    Now += fromMillis(300);
    Worked += fromMillis(300);
    Pacer.recordWork(Began, Now);
  }
  CHECK(toSeconds(Worked) / toSeconds(Now - Start) < 0.35);
}
