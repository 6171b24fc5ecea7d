//===- RequestWaitTest.cpp - Tests of requests that wait for a retry ------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests a proxy whose servers decline requests while its retries are used up.
///
//===----------------------------------------------------------------------===//

#include "ProxyFixture.h"

#include <doctest/doctest.h>

#include <functional>
#include <thread>

using namespace canvaswick;

/// Allows one retry each 1.5 s, whatever the number of requests.
static constexpr FleetRetryLimit OneRetry{0, fromMillis(1500), 2};

namespace {

/// A proxy that has just used its only retry.
class WaitFixture : public ProxyFixture {
public:
  WaitFixture() : ProxyFixture("", 3, "", {}, OneRetry) {
    // The reserve is withheld for one window after the start.
    std::this_thread::sleep_for(fromMillis(1600));
    this->setShedding(true);
    REQUIRE(this->getService().tryTakeNotRunRetry(readSteadyClock()));
  }

  ServiceRuntime &getService() {
    return *this->Fleet.get()->getServices().front();
  }

  void setShedding(bool IsShedding) {
    BackendFaults Faults;
    Faults.Shed = IsShedding;
    Faults.RetryAfter = "";
    this->setFaults(Faults);
  }

  /// Returns whether Condition becomes true within a second.
  static bool await(const std::function<bool()> &Condition) {
    const TimePoint Until = readSteadyClock() + fromSeconds(1);
    while (!Condition() && readSteadyClock() < Until)
      std::this_thread::sleep_for(fromMillis(5));
    return Condition();
  }

  bool awaitWaiting() {
    return await(
        [this] { return this->getService().getRoom().describe().Length == 1; });
  }
};

} // namespace

TEST_CASE("a request that no server ran waits for a retry and is served") {
  WaitFixture Fixture;
  ExchangeResult Result;
  const TimePoint Began = readSteadyClock();
  std::thread Caller([&] { Result = Fixture.send("POST", "/pay/1"); });
  CHECK(Fixture.awaitWaiting());
  // Settings that change meanwhile do not empty the room.
  Fixture.setOrganisations("");
  CHECK(Fixture.awaitWaiting());
  Fixture.setShedding(false);
  Caller.join();
  CHECK(Result.Status == 200);
  CHECK(Fixture.countRuns() == 1);
  CHECK(readSteadyClock() - Began > fromMillis(500));
  CHECK(Fixture.Counters.get(Counter::WaitsBegun) == 1);
  CHECK(Fixture.Counters.get(Counter::WaitsServed) == 1);
  CHECK(Fixture.getService().getRoom().describe().LongestWait >
        fromMillis(500));
}

TEST_CASE("a request whose deadline comes before the next retry is refused") {
  WaitFixture Fixture;
  const TimePoint Began = readSteadyClock();
  const ExchangeResult Result =
      Fixture.send("POST", "/pay/1", {{"X-Deadline-Ms", "900"}});
  CHECK(readSteadyClock() - Began < fromMillis(100));
  CHECK(Result.Status == 502);
  CHECK(getHeader(Result, OutcomeHeader) == "not-run");
  CHECK(getHeader(Result, ReasonHeader) == "no-retry-left");
  CHECK(getHeader(Result, "Retry-After") == "2");
  CHECK(Fixture.Counters.get(Counter::WaitsBegun) == 0);
  CHECK(Fixture.countRuns() == 0);
}

TEST_CASE("a request whose caller leaves gives up its place") {
  WaitFixture Fixture;
  {
    const int Descriptor = connectTcp("127.0.0.1", Fixture.Server->getPort(),
                                      readSteadyClock() + fromSeconds(5));
    SocketStream Stream(Descriptor);
    static_cast<httplib::Stream &>(Stream).write(
        "POST /pay/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
    CHECK(Fixture.awaitWaiting());
  }
  CHECK(WaitFixture::await(
      [&] { return Fixture.Counters.get(Counter::WaitsCallerLeft) == 1; }));
  CHECK(Fixture.getService().getRoom().describe().Length == 0);
  CHECK(Fixture.countRuns() == 0);
}

TEST_CASE("a daemon that stops answers waiting requests at once") {
  WaitFixture Fixture;
  ExchangeResult Result;
  std::thread Caller([&] { Result = Fixture.send("POST", "/pay/1"); });
  CHECK(Fixture.awaitWaiting());
  const TimePoint Began = readSteadyClock();
  Fixture.Proxy->beginStop(Began + fromSeconds(10));
  Caller.join();
  CHECK(readSteadyClock() - Began < fromMillis(200));
  CHECK(getHeader(Result, OutcomeHeader) == "not-run");
  CHECK(getHeader(Result, ReasonHeader) == "stopping");
  CHECK(Fixture.Counters.get(Counter::WaitsStopping) == 1);
  CHECK(Fixture.countRuns() == 0);
  // Later ones are refused, too, since the only retry was taken before.
  const ExchangeResult Next = Fixture.send("POST", "/pay/1");
  CHECK(getHeader(Next, OutcomeHeader) == "not-run");
  CHECK(Fixture.Counters.get(Counter::WaitsBegun) == 1);
}

TEST_CASE("a retry that a peer lends is given to the first of the room") {
  WaitFixture Fixture;
  Fixture.Proxy->setRetrySource([&](ServiceRuntime &, TimePoint) {
    Fixture.setShedding(false);
    return std::make_optional<TakenRetry>();
  });
  CHECK(Fixture.send("POST", "/pay/1").Status == 200);
  CHECK(Fixture.Counters.get(Counter::WaitsBegun) == 0);
}

TEST_CASE("requests wait only where the settings leave time for it") {
  WaitFixture Fixture;
  RouteConfig Route;
  Route.ObjectiveMs = 800;
  CHECK_FALSE(Fixture.getService().mayWait(Route));
  Route.TimeoutMs = 1199;
  CHECK_FALSE(Fixture.getService().mayWait(Route));
  Route.TimeoutMs = 1200;
  CHECK(Fixture.getService().mayWait(Route));
  ProxyFixture OwnInterface;
  CHECK_FALSE(OwnInterface.Fleet.get()->getServices().front()->mayWait(Route));
}
