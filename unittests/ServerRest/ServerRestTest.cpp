//===- ServerRestTest.cpp - Tests of servers that send Retry-After --------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests that a server that refuses a request and states a backoff
/// (Retry-After) gets nothing from the daemon that received it until the
/// backoff ends, and its full share afterwards.
///
//===----------------------------------------------------------------------===//

#include "../Proxy/ProxyFixture.h"
#include "../Proxy/ServiceFixture.h"

#include <doctest/doctest.h>

#include <cmath>
#include <ctime>

using namespace canvaswick;

static ServerNotice makeBackoffNotice(double Seconds) {
  ServerNotice Notice;
  Notice.Backoff = fromSeconds(Seconds);
  return Notice;
}

static TimePoint addSeconds(double Seconds) {
  return FixtureStart + fromSeconds(Seconds);
}

TEST_CASE("no request goes to a server before its backoff ends") {
  ServiceFixture Fixture;
  Fixture.answerWithNotice("b0", makeBackoffNotice(3), RequestOutcome::Shed,
                           FixtureStart);
  for (const double At : {0.01, 0.5, 1.0, 2.0, 2.5})
    CHECK(Fixture.send(100, addSeconds(At))["b0"] == 0);
}

TEST_CASE("a server has its share again as soon as its backoff ends") {
  ServiceFixture Fixture;
  (void)Fixture.send(100, FixtureStart);
  for (int I = 0; I < 5; ++I) {
    const TimePoint Now = addSeconds(1 + 1.5 * I);
    Fixture.answerWithNotice("b0", makeBackoffNotice(1), RequestOutcome::Shed,
                             Now);
    CHECK(Fixture.send(100, Now)["b0"] == 0);
  }
  // The server's even share of the 400 requests is 100.
  CHECK(Fixture.send(400, addSeconds(8.1))["b0"] >= 70);
}

TEST_CASE("the floor does not end a backoff") {
  ServiceFixture Fixture(8);
  Fixture.answerWithNotice("b0", makeBackoffNotice(3), RequestOutcome::Shed,
                           FixtureStart);
  for (const double At : {0.2, 1.2, 2.2}) {
    CHECK(Fixture.send(60, addSeconds(At), RequestOutcome::Failed)["b0"] == 0);
    CHECK(Fixture.send(60, addSeconds(At + 0.2))["b0"] == 0);
  }
}

TEST_CASE("successes that peers observe do not end a backoff") {
  ServiceFixture Fixture;
  Fixture.answerWithNotice("b0", makeBackoffNotice(3), RequestOutcome::Shed,
                           FixtureStart);
  for (int I = 0; I < 20; ++I)
    Fixture.Service->applyObservation(
        {getServerId("s", "b0"), RequestOutcome::Good, 0, 100}, addSeconds(1));
  CHECK(Fixture.send(200, addSeconds(1.1))["b0"] == 0);
}

TEST_CASE("where all servers back off, callers get the time until the first "
          "returns") {
  ServiceFixture Fixture(2);
  (void)Fixture.send(100, FixtureStart, RequestOutcome::Shed,
                     makeBackoffNotice(4));
  CHECK(Fixture.send(10, addSeconds(1))[""] == 10);
  Duration RetryAfter{};
  CHECK(Fixture.Service->admit("r", fromSeconds(5), addSeconds(1),
                               RetryAfter) == Refusal::NoServer);
  CHECK(std::abs(toSeconds(RetryAfter) - 3) < 0.1);
  CHECK(Fixture.Service->admit("r", fromSeconds(5), addSeconds(4.2),
                               RetryAfter) == Refusal::None);
}

TEST_CASE("a refusal without a backoff counts as evidence against the server") {
  ServiceFixture Fixture;
  for (int I = 0; I < 5; ++I)
    Fixture.answerWithNotice("b0", ServerNotice(), RequestOutcome::Shed,
                             FixtureStart);
  CHECK(Fixture.send(400, addSeconds(0.1))["b0"] < 50);
}

TEST_CASE(
    "over real connections a backoff in seconds or as a date is respected") {
  const std::time_t Until = std::time(nullptr) + 30;
  char Date[64];
  std::strftime(Date, sizeof(Date), "%a, %d %b %Y %H:%M:%S GMT",
                std::gmtime(&Until));
  for (const std::string &HeaderValue :
       {std::string("30"), std::string(Date)}) {
    ProxyFixture Fixture;
    BackendFaults Shedding;
    Shedding.Shed = true;
    Shedding.RetryAfter = HeaderValue;
    Fixture.Backends[0]->setFaults(Shedding);
    for (int I = 0; I < 40; ++I)
      CHECK(Fixture.send("GET", "/read/1").Status == 200);
    CHECK(Fixture.Counters.get(Counter::UpstreamSheds) <= 1);
  }
}

TEST_CASE("over real connections an invalid backoff is ignored") {
  for (const char *HeaderValue : {"soon", "-1", "1e99"}) {
    ProxyFixture Fixture;
    BackendFaults Shedding;
    Shedding.Shed = true;
    Shedding.RetryAfter = HeaderValue;
    Fixture.Backends[0]->setFaults(Shedding);
    for (int I = 0; I < 40; ++I)
      CHECK(Fixture.send("GET", "/read/1").Status == 200);
    CHECK(Fixture.Counters.get(Counter::UpstreamSheds) > 1);
  }
}
