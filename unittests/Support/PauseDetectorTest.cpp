//===- PauseDetectorTest.cpp - Tests of clocks and standstills ------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The clock counts suspensions; rounds that are missing are noticed once.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Support/PauseDetector.h"

#include <doctest/doctest.h>

using namespace canvaswick;

TEST_CASE("the clock is the one that counts the time of suspensions") {
  timespec Boot{};
  REQUIRE(::clock_gettime(CLOCK_BOOTTIME, &Boot) == 0);
  const Duration Since = readSteadyClock().time_since_epoch();
  CHECK(Since >= std::chrono::seconds(Boot.tv_sec));
  CHECK(Since < std::chrono::seconds(Boot.tv_sec + 60));
}

TEST_CASE("rounds that are missing are noticed, late ones are not") {
  const TimePoint Start(fromSeconds(100));
  PauseDetector Watch(fromMillis(50));
  CHECK(Watch.recordRound(Start) == Duration::zero());
  CHECK(Watch.recordRound(Start + fromMillis(900)) == Duration::zero());
  CHECK(Watch.recordRound(Start + fromMillis(10900)) == fromSeconds(10));
  CHECK(Watch.recordRound(Start + fromMillis(10950)) == Duration::zero());
}
