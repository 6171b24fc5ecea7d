//===- PauseDetectorTest.cpp - Tests for PauseDetector and MachineClock ---===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests that the clock includes suspensions and that each pause is reported
/// once.
//===----------------------------------------------------------------------===//

#include "canvaswick/Support/PauseDetector.h"

#include <doctest/doctest.h>

using namespace canvaswick;

TEST_CASE("the clock includes the time of suspensions") {
  timespec Boot{};
  REQUIRE(::clock_gettime(CLOCK_BOOTTIME, &Boot) == 0);
  const Duration Since = readSteadyClock().time_since_epoch();
  CHECK(Since >= std::chrono::seconds(Boot.tv_sec));
  CHECK(Since < std::chrono::seconds(Boot.tv_sec + 60));
}

TEST_CASE("missing rounds are detected, late rounds are not") {
  const TimePoint Start(fromSeconds(100));
  PauseDetector Detector(fromMillis(50));
  CHECK(Detector.recordRound(Start) == Duration::zero());
  CHECK(Detector.recordRound(Start + fromMillis(900)) == Duration::zero());
  CHECK(Detector.recordRound(Start + fromMillis(10900)) == fromSeconds(10));
  CHECK(Detector.recordRound(Start + fromMillis(10950)) == Duration::zero());
}
