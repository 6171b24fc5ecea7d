//===- PlannedStopTest.cpp - What comes during a planned stop -------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The first one failed now and then for the fault that HttpClosingTest.cpp
/// tells, so it has a program of its own.
///
//===----------------------------------------------------------------------===//

#include "PlatformAdapter/PlatformFixture.h"

#include <doctest/doctest.h>

using namespace canvaswick;
using namespace canvaswick::platform;

TEST_CASE("what comes during a stop is answered before the daemon is killed") {
  DaemonFixture Under(fromMillis(1200));
  Under.startServing();
  Under.setBehaviours(Behaviour::Slow);
  Under.Daemon->beginStop();
  const TimePoint Began = readSteadyClock();
  // The server takes longer than the daemon has left, the caller would wait.
  const ExchangeResult Result = Under.sendRequest("POST", "/pay/1", "x");
  CHECK(Result.End == ExchangeEnd::Complete);
  CHECK(Result.Status == 504);
  CHECK(readSteadyClock() - Began < Under.Config.Grace);
}

// The failure. A warning that may be issued once was taken five seconds after
// the stop signal, begun at a server, and given up half a second later, since
// the daemon had to end.
// The cause. A daemon that waits for its last requests took new ones as long as
// it had any: what a hall sends is sent to all of its daemons while fewer than
// half of them are ready. Evidence: the request came 4.98 s after the signal,
// on a connection of its own, and got the daemon's last answer at 5.4 s.
TEST_CASE("what comes near the end of a stop is refused, not begun") {
  DaemonFixture Under(fromMillis(2500));
  Under.startServing();
  Under.setBehaviours(Behaviour::Slow);
  Under.Daemon->beginStop();
  ExchangeResult First;
  std::thread Caller([&] { First = Under.sendRequest("POST", "/pay/1", "x"); });
  Under.waitFor([&] { return Under.countRuns() == 1; });
  std::thread Stopper(
      [&] { Under.Daemon->finishStop(readSteadyClock() + fromSeconds(2)); });
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  const ExchangeResult Late = Under.sendRequest("POST", "/pay/2", "x");
  CHECK(Late.Status == 503);
  const auto Outcome = Late.Headers.find("Canvaswick-Outcome");
  CHECK((Outcome != Late.Headers.end() && Outcome->second == "not-run"));
  CHECK(Under.countRuns() == 1);
  Caller.join();
  Stopper.join();
  // What was taken before is served.
  CHECK(First.Status == 200);
}
