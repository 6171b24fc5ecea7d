//===- PlannedStopTest.cpp - Requests that arrive during a planned stop ---===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests requests that arrive during a planned stop. The first test sometimes
/// failed because of the fault that HttpClosingTest.cpp describes, so these
/// tests have a program of their own.
///
//===----------------------------------------------------------------------===//

#include "PlatformAdapter/PlatformFixture.h"

#include <doctest/doctest.h>

#include <array>
#include <thread>

using namespace canvaswick;
using namespace canvaswick::platform;

TEST_CASE("requests during a stop are answered before the daemon is killed") {
  DaemonFixture Fixture(fromMillis(1200));
  Fixture.startServing();
  Fixture.setBehaviours(Behaviour::Slow);
  Fixture.beginStop();
  const TimePoint StartTime = readSteadyClock();
  // The server takes longer than the daemon has left; the caller would wait.
  const ExchangeResult Result = Fixture.sendRequest("POST", "/pay/1", "x");
  CHECK(Result.End == ExchangeEnd::Complete);
  CHECK(Result.Status == 504);
  CHECK(readSteadyClock() - StartTime < Fixture.Config.Grace);
}

// Guards against a stopping daemon that begins requests which it cannot finish.
// A daemon accepted new requests as long as it had any in flight. They still
// arrive then, since callers send to all daemons of a hall while fewer than
// half of them are ready. A request that may run only once arrived 4.98 s after
// the stop signal, on a connection of its own. The daemon sent it to a server
// and aborted it half a second later, since it had to exit; its last response
// was sent at 5.4 s.
TEST_CASE("requests near the end of a stop are refused and not begun") {
  DaemonFixture Fixture(fromMillis(2200));
  Fixture.startServing();
  Fixture.setBehaviours(Behaviour::Slow);
  Fixture.beginStop();
  ExchangeResult First;
  std::thread Caller(
      [&] { First = Fixture.sendRequest("POST", "/pay/1", "x"); });
  Fixture.waitFor([&] { return Fixture.countRuns() == 1; });
  std::thread Stopper(
      [&] { Fixture.Daemon->finishStop(readSteadyClock() + fromSeconds(2)); });
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  const ExchangeResult Late = Fixture.sendRequest("POST", "/pay/2", "x");
  CHECK(Late.Status == 503);
  const auto Outcome = Late.Headers.find("Canvaswick-Outcome");
  CHECK((Outcome != Late.Headers.end() && Outcome->second == "not-run"));
  CHECK(Fixture.countRuns() == 1);
  Caller.join();
  Stopper.join();
  // The request that was accepted before is served.
  CHECK(First.Status == 200);
}

// Guards against a stop that goes by the grace time of the daemon's start: what
// it accepted late ran, and its connection ended without an answer (LOST).
TEST_CASE("a stop goes by the grace time that was last loaded") {
  DaemonFixture Fixture(fromSeconds(10));
  Fixture.startServing();
  Fixture.setBehaviours(Behaviour::Slow);
  Fixture.Config.Grace = fromMillis(1200);
  Fixture.Daemon->reload(Fixture.Config);
  Fixture.beginStop();
  const TimePoint StartTime = readSteadyClock();
  const ExchangeResult Result = Fixture.sendRequest("POST", "/pay/1", "x");
  CHECK(Result.Status == 504);
  CHECK(readSteadyClock() - StartTime < Fixture.Config.Grace);
}

// Guards against requests that are taken late in a stop, run, and are broken
// off (LOST).
TEST_CASE("what usually takes longer than is left of a stop is refused at once "
          "and not run") {
  DaemonFixture Fixture(fromMillis(1500));
  Fixture.startServing();
  Fixture.setBehaviours(Behaviour::Slow);
  Fixture.One.AnswerDelay = Fixture.Two.AnswerDelay = TypicalAnswerTime;
  for (int Round = 0; Round < 4; ++Round) {
    std::array<std::thread, 4> Callers;
    for (std::thread &Each : Callers)
      Each = std::thread([&] { Fixture.sendRequest("POST", "/pay/1", "x"); });
    for (std::thread &Each : Callers)
      Each.join();
  }
  const int Runs = Fixture.countRuns();
  Fixture.beginStop();
  CHECK(Fixture.sendRequest("POST", "/pay/2", "x").Status == 200);
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  const ExchangeResult Late = Fixture.sendRequest("POST", "/pay/3", "x");
  CHECK(Late.Status == 503);
  const auto Outcome = Late.Headers.find("Canvaswick-Outcome");
  CHECK((Outcome != Late.Headers.end() && Outcome->second == "not-run"));
  CHECK(Fixture.countRuns() == Runs + 1);
}

// Guards against answers of one's own while most of a short grace is left and
// servers are at work (LOST).
TEST_CASE("a short stop waits for servers until its last sixth") {
  DaemonFixture Fixture(fromMillis(1500));
  Fixture.startServing();
  Fixture.setBehaviours(Behaviour::Slow);
  Fixture.beginStop();
  const TimePoint Began = readSteadyClock();
  CHECK(Fixture.sendRequest("POST", "/pay/1", "x").Status == 504);
  CHECK(readSteadyClock() - Began >= Fixture.Config.Grace * 5 / 6);
  CHECK(readSteadyClock() - Began < Fixture.Config.Grace);
}
