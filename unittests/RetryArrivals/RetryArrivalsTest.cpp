//===- RetryArrivalsTest.cpp - Tests of what arrives at servers -----------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The fleet's retry limit holds for what servers see: all arrivals of a
/// request after its first one, whatever came of the earlier ones. The servers
/// are stand-ins on loopback that count what arrives.
///
//===----------------------------------------------------------------------===//

#include "../Proxy/ProxyFixture.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <vector>

using namespace canvaswick;

static constexpr size_t ServerCount = 6;
static constexpr int RequestCount = 20;

/// Allows this many arrivals beyond the first, whatever the number of requests.
static constexpr int64_t AllowedRetries = 10;
static constexpr FleetRetryLimit Limit{0, fromSeconds(60), AllowedRetries};

namespace {

struct ArrivalFixture : ProxyFixture {
  ArrivalFixture()
      : ProxyFixture("", 3, "", makeOptions(), Limit, ServerCount) {}

  static ProxyOptions makeOptions() {
    ProxyOptions Options;
    Options.Headers.ExpectedInstance = "Expected-Instance";
    return Options;
  }

  /// Sends requests one after the other. Returns the arrivals beyond the first
  /// of each.
  int64_t countRepeatedArrivals(const std::string &Method,
                                const std::string &Target) {
    for (int I = 0; I < RequestCount; ++I)
      (void)this->send(Method, Target);
    return static_cast<int64_t>(this->countArrivals()) - RequestCount;
  }
};

} // namespace

TEST_CASE("misdirected retries arrive no more often than retries are allowed") {
  BackendFaults Misdirecting;
  Misdirecting.Misdirect = true;
  for (const auto &[Method, Target] :
       std::vector<std::pair<std::string, std::string>>{{"GET", "/read/1"},
                                                        {"POST", "/pay/1"}}) {
    ArrivalFixture Fixture;
    Fixture.setFaults(Misdirecting);
    CHECK(Fixture.countRepeatedArrivals(Method, Target) <= AllowedRetries);
  }
}

/// Gives each server faults at random. Returns how many refuse connections.
static size_t drawFaults(ArrivalFixture &Fixture) {
  size_t Stopped = 0;
  for (std::unique_ptr<BackendStandIn> &Each : Fixture.Backends) {
    BackendFaults Faults;
    switch (*rc::gen::inRange(0, 6)) {
    case 0:
    case 1:
      Faults.Misdirect = true;
      Faults.Percent = *rc::gen::element(50, 100);
      break;
    case 2:
      Faults.Fail = true;
      break;
    case 3:
      Faults.Shed = true;
      break;
    case 4:
      Faults.LoseAnswer = true;
      break;
    case 5:
      Each->stop();
      ++Stopped;
      continue;
    }
    Each->setFaults(Faults);
  }
  return Stopped;
}

TEST_CASE("whatever servers answer, arrivals stay within the allowed retries") {
  const bool Holds = rc::check([] {
    ArrivalFixture Fixture;
    if (drawFaults(Fixture) == ServerCount)
      return;
    const std::string Method = *rc::gen::element<std::string>("GET", "POST");
    RC_ASSERT(Fixture.countRepeatedArrivals(
                  Method, Method == "GET" ? "/read/1" : "/pay/1") <=
              AllowedRetries);
  });
  CHECK(Holds);
}
