//===- PlannedStopTest.cpp - What comes during a planned stop -------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Fails now and then for the fault that HttpClosingTest.cpp tells, so it has a
/// program of its own.
///
//===----------------------------------------------------------------------===//

#include "PlatformAdapter/PlatformBench.h"

#include <doctest/doctest.h>

using namespace canvaswick;
using namespace canvaswick::platform;

TEST_CASE("what comes during a stop is answered before the daemon is killed") {
  Bench Under(fromMillis(1200));
  Under.settle();
  Under.setBoth(Behaviour::Slow);
  Under.Daemon->beginStop();
  const TimePoint Began = readSteadyClock();
  // The server takes longer than the daemon has left, the caller would wait.
  const ExchangeResult Result = Under.ask("POST", "/pay/1", "x");
  CHECK(Result.End == ExchangeEnd::Complete);
  CHECK(Result.Status == 504);
  CHECK(readSteadyClock() - Began < Under.Config.Grace);
}
