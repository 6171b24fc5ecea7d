//===- ConnectTimesTest.cpp - Tests for the wait for new connections ------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Checks the learned limits, and connects to a listener that drops the first
/// packet of a connection.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Http/ConnectTimes.h"
#include "FullListener.h"

#include <thread>

using namespace canvaswick;

static constexpr Duration Max = fromMillis(350);

TEST_CASE("a daemon waits much shorter for a connection than its upper limit "
          "once it knows how long connections take") {
  ConnectTimes Times;
  CHECK(Times.getLimit("a", Max) == Max);
  for (int I = 0; I < 20; ++I)
    Times.recordConnected("a", fromMillis(3 + I % 3));
  CHECK(Times.getLimit("a", Max) <= fromMillis(120));
  CHECK(Times.getLimit("a", Max) >= fromMillis(40));
  CHECK(Times.getLimit("b", Max) == Max);
}

TEST_CASE("servers behind a cut do not lengthen the wait, a hall that answers "
          "no more does") {
  ConnectTimes Times;
  Times.recordConnected("a", fromMillis(3));
  const Duration Usual = Times.getLimit("a", Max);
  for (int I = 0; I < 50; ++I) {
    Times.recordTimeout("a");
    Times.recordTimeout("a");
    Times.recordConnected("a", fromMillis(3));
    CHECK(Times.getLimit("a", Max) <= Usual);
  }
  for (int I = 0; I < 100; ++I)
    Times.recordTimeout("a");
  CHECK(Times.getLimit("a", Max) == Max);
  Times.recordConnected("a", fromMillis(3));
  CHECK(Times.getLimit("a", Max) <= Usual);
}

TEST_CASE("a link that holds packets up is waited for") {
  ConnectTimes Times;
  for (int I = 0; I < 30; ++I)
    Times.recordConnected("a", fromMillis(I % 3 == 0 ? 150 : 5));
  CHECK(Times.getLimit("a", Max) > fromMillis(150));
}

TEST_CASE("a second connection attempt makes up for a lost packet of the "
          "first") {
  FullListener Listener;
  const TimePoint Began = readSteadyClock();
  std::thread Emptying([&] {
    std::this_thread::sleep_for(fromMillis(100));
    Listener.emptyQueue();
  });
  // The first packet is sent again after a second.
  const int Connection =
      connectTcpTwice("127.0.0.1", Listener.Port, Began + fromMillis(300),
                      Began + fromMillis(900));
  Emptying.join();
  CHECK(Connection >= 0);
  if (Connection >= 0)
    Listener.Open.push_back(Connection);
}

TEST_CASE("two connection attempts end at the deadline, and at once if they "
          "are refused") {
  {
    FullListener Listener;
    const TimePoint Began = readSteadyClock();
    CHECK(connectTcpTwice("127.0.0.1", Listener.Port, Began + fromMillis(20),
                          Began + fromMillis(60)) == -1);
    CHECK(readSteadyClock() - Began >= fromMillis(60));
  }
  uint16_t Closed = 0;
  {
    FullListener Listener;
    Closed = Listener.Port;
  }
  const TimePoint Began = readSteadyClock();
  CHECK(connectTcpTwice("127.0.0.1", Closed, Began + fromSeconds(10),
                        Began + fromSeconds(20)) == -1);
  CHECK(readSteadyClock() - Began < fromSeconds(10));
}
