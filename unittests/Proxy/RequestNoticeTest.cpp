//===- RequestNoticeTest.cpp - Proxy applies server notices ---------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests a proxy on loopback, with two stand-in servers that send notices.
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

TEST_CASE(
    "a limited server gets requests only from daemons that share its limit") {
  ProxyFixture Fixture;
  BackendFaults Limited;
  Limited.Percent = 100;
  Limited.Limit = "0.5";
  Fixture.Backends[0]->setFaults(Limited);
  CHECK(sendSome(Fixture, 40) == 40);
  // At most the request that brought the notice: this daemon does not know the
  // fleet that shares the limit.
  CHECK(Fixture.Backends[0]->countRuns() <= 1);
  CHECK(Fixture.Counters.get(Counter::LimitsReceived) == 1);
  CHECK(Fixture.Counters.get(Counter::ServersExcluded) >= 20);
}

TEST_CASE("a service whose servers are all limited refuses requests at once") {
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

/// Returns how many leaving notices were received from servers that all send
/// one and also have other faults.
static uint64_t countLeavingNotices(BackendFaults Faults) {
  ProxyFixture Fixture;
  Faults.SendsLeaving = true;
  Fixture.setFaults(Faults);
  (void)Fixture.send("GET", "/read/1?bytes=200000");
  return Fixture.Counters.get(Counter::LeavingNoticesReceived);
}

TEST_CASE("a notice applies even if its response fails") {
  BackendFaults Failing;
  Failing.Fail = true;
  CHECK(countLeavingNotices(Failing) >= 1);
  BackendFaults Cut;
  Cut.CutAfter = 1000;
  CHECK(countLeavingNotices(Cut) >= 1);
  BackendFaults Shedding;
  Shedding.Shed = true;
  CHECK(countLeavingNotices(Shedding) >= 1);
}

TEST_CASE("a notice in a response to another request is ignored") {
  BackendFaults Foreign;
  Foreign.ForeignAnswer = true;
  CHECK(countLeavingNotices(Foreign) == 0);
}

TEST_CASE("a notice applies before the body of its response has arrived") {
  ProxyFixture Fixture;
  BackendFaults Stalling;
  Stalling.SendsLeaving = true;
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
