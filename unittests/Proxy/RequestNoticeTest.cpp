//===- RequestNoticeTest.cpp - Servers' words of themselves are kept to ---===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A proxy and two stand-in servers on loopback, one of which says something of
/// itself.
///
//===----------------------------------------------------------------------===//

#include "ProxyFixture.h"

#include <doctest/doctest.h>

#include <thread>

using namespace canvaswick;

/// Sends requests one after the other. Returns how many were served.
static int sendSome(ProxyFixture &Fixture, int Count,
                    const std::string &Method = "GET",
                    const std::string &Target = "/read/1") {
  int Served = 0;
  for (int I = 0; I < Count; ++I)
    Served += Fixture.send(Method, Target).Status == 200 ? 1 : 0;
  return Served;
}

TEST_CASE("a server that names a limit is left to those that share it") {
  ProxyFixture Fixture;
  BackendFaults Limited;
  Limited.Percent = 100;
  Limited.Limit = "0.5";
  Fixture.Backends[0]->setFaults(Limited);
  CHECK(sendSome(Fixture, 40) == 40);
  // The one that told it, at most: this daemon knows of no fleet to share with.
  CHECK(Fixture.Backends[0]->countRuns() <= 1);
  CHECK(Fixture.Counters.get(Counter::LimitsReceived) == 1);
  CHECK(Fixture.Counters.get(Counter::ServersExcluded) >= 20);
}

TEST_CASE("a service all of whose servers are limited refuses at once") {
  ProxyFixture Fixture;
  BackendFaults Limited;
  Limited.Limit = "0.2";
  Fixture.setFaults(Limited);
  sendSome(Fixture, 2);
  const ExchangeResult Refused = Fixture.send("POST", "/pay/1");
  CHECK(Refused.Status == 503);
  CHECK(getHeader(Refused, OutcomeHeader) == "not-run");
  CHECK(std::stoi(getHeader(Refused, "Retry-After")) >= 1);
}

/// Returns how often a leaving was heard from servers that all say so and do
/// something wrong besides.
static uint64_t countHeard(BackendFaults Faults) {
  ProxyFixture Fixture;
  Faults.SaysLeaving = true;
  Fixture.setFaults(Faults);
  (void)Fixture.send("GET", "/read/1?bytes=200000");
  return Fixture.Counters.get(Counter::LeavingNoticesReceived);
}

TEST_CASE("a word counts whatever becomes of the answer that brought it") {
  BackendFaults Failing;
  Failing.Fail = true;
  CHECK(countHeard(Failing) >= 1);
  BackendFaults Cut;
  Cut.CutAfter = 1000;
  CHECK(countHeard(Cut) >= 1);
  BackendFaults Shedding;
  Shedding.Shed = true;
  CHECK(countHeard(Shedding) >= 1);
}

TEST_CASE("an answer to another request says nothing of its server") {
  BackendFaults Foreign;
  Foreign.ForeignAnswer = true;
  CHECK(countHeard(Foreign) == 0);
}

TEST_CASE("a word is heard before the answer's body is there") {
  ProxyFixture Fixture;
  BackendFaults Stalling;
  Stalling.SaysLeaving = true;
  Stalling.StallAfter = 10;
  Fixture.setFaults(Stalling);
  std::thread Caller([&Fixture] {
    (void)Fixture.sendRaw(
        "GET /read/1?bytes=200000 HTTP/1.1\r\nHost: h\r\n\r\n");
  });
  const TimePoint Until = readSteadyClock() + fromSeconds(4);
  while (Fixture.Counters.get(Counter::LeavingNoticesReceived) == 0 &&
         readSteadyClock() < Until)
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  CHECK(Fixture.Counters.get(Counter::LeavingNoticesReceived) == 1);
  Caller.join();
}
