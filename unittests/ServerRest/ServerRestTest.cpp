//===- ServerRestTest.cpp - Who asks for rest is left alone, and not ill --===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A server that turns a request away and says for how long it wants nothing
/// gets nothing from the daemon that heard it, and its share afterwards.
///
//===----------------------------------------------------------------------===//

#include "../Proxy/ProxyFixture.h"
#include "../Proxy/ServiceFixture.h"

#include <doctest/doctest.h>

#include <cmath>
#include <ctime>

using namespace canvaswick;

static ServerNotice askRest(double Seconds) {
  ServerNotice Notice;
  Notice.Backoff = fromSeconds(Seconds);
  return Notice;
}

static TimePoint after(double Seconds) {
  return FixtureStart + fromSeconds(Seconds);
}

TEST_CASE("no request goes to a server before the rest it asked for is over") {
  ServiceFixture Under;
  Under.answerWithNotice("b0", askRest(3), RequestOutcome::Shed, FixtureStart);
  for (const double At : {0.01, 0.5, 1.0, 2.0, 2.5})
    CHECK(Under.send(100, after(At))["b0"] == 0);
}

TEST_CASE("a server that has rested has its share again at once") {
  ServiceFixture Under;
  (void)Under.send(100, FixtureStart);
  for (int I = 0; I < 5; ++I) {
    const TimePoint Now = after(1 + 1.5 * I);
    Under.answerWithNotice("b0", askRest(1), RequestOutcome::Shed, Now);
    CHECK(Under.send(100, Now)["b0"] == 0);
  }
  // Its fair part is a hundred.
  CHECK(Under.send(400, after(8.1))["b0"] >= 70);
}

TEST_CASE("a rest is not given up for the floor") {
  ServiceFixture Under(8);
  Under.answerWithNotice("b0", askRest(3), RequestOutcome::Shed, FixtureStart);
  for (const double At : {0.2, 1.2, 2.2}) {
    CHECK(Under.send(60, after(At), RequestOutcome::Failed)["b0"] == 0);
    CHECK(Under.send(60, after(At + 0.2))["b0"] == 0);
  }
}

TEST_CASE("peers' good answers do not end a rest") {
  ServiceFixture Under;
  Under.answerWithNotice("b0", askRest(3), RequestOutcome::Shed, FixtureStart);
  for (int I = 0; I < 20; ++I)
    Under.Service->applyObservation(
        {getServerId("s", "b0"), RequestOutcome::Good, 0, 100}, after(1));
  CHECK(Under.send(200, after(1.1))["b0"] == 0);
}

TEST_CASE("where all servers rest, callers are told when the first is back") {
  ServiceFixture Under(2);
  (void)Under.send(100, FixtureStart, RequestOutcome::Shed, askRest(4));
  CHECK(Under.send(10, after(1))[""] == 10);
  Duration Wait{};
  CHECK(Under.Service->admit("r", fromSeconds(5), after(1), Wait) ==
        Refusal::NoServer);
  CHECK(std::abs(toSeconds(Wait) - 3) < 0.1);
  CHECK(Under.Service->admit("r", fromSeconds(5), after(4.2), Wait) ==
        Refusal::None);
}

TEST_CASE("a refusal without a wish is evidence as it was") {
  ServiceFixture Under;
  for (int I = 0; I < 5; ++I)
    Under.answerWithNotice("b0", ServerNotice(), RequestOutcome::Shed,
                           FixtureStart);
  CHECK(Under.send(400, after(0.1))["b0"] < 50);
}

TEST_CASE("over real connections a server that asks for rest gets it") {
  const std::time_t Until = std::time(nullptr) + 30;
  char Date[64];
  std::strftime(Date, sizeof(Date), "%a, %d %b %Y %H:%M:%S GMT",
                std::gmtime(&Until));
  for (const std::string &RetryAfter : {std::string("30"), std::string(Date)}) {
    ProxyFixture Under;
    BackendFaults Resting;
    Resting.Shed = true;
    Resting.RetryAfter = RetryAfter;
    Under.Backends[0]->setFaults(Resting);
    for (int I = 0; I < 40; ++I)
      CHECK(Under.send("GET", "/read/1").Status == 200);
    CHECK(Under.Counters.get(Counter::UpstreamSheds) <= 1);
  }
}

TEST_CASE("over real connections words that are no time are no rest") {
  for (const char *RetryAfter : {"soon", "-1", "1e99"}) {
    ProxyFixture Under;
    BackendFaults Resting;
    Resting.Shed = true;
    Resting.RetryAfter = RetryAfter;
    Under.Backends[0]->setFaults(Resting);
    for (int I = 0; I < 40; ++I)
      CHECK(Under.send("GET", "/read/1").Status == 200);
    CHECK(Under.Counters.get(Counter::UpstreamSheds) > 1);
  }
}
