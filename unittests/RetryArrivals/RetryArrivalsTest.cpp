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

  /// Applies settings in which no server has an instance.
  void forgetInstances() {
    auto *Config = new FleetConfig(this->Fleet.get()->getConfig());
    for (ServiceConfig &Service : Config->Services)
      for (ServerConfig &Each : Service.Servers)
        Each.Instance.clear();
    this->setConfig(FleetConfigRef(Config));
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
    ArrivalFixture Unnamed;
    Unnamed.setFaults(Misdirecting);
    Unnamed.forgetInstances();
    CHECK(Unnamed.countRepeatedArrivals(Method, Target) <= AllowedRetries);
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
    if (*rc::gen::arbitrary<bool>())
      Fixture.forgetInstances();
    const std::string Method = *rc::gen::element<std::string>("GET", "POST");
    RC_ASSERT(Fixture.countRepeatedArrivals(
                  Method, Method == "GET" ? "/read/1" : "/pay/1") <=
              AllowedRetries);
  });
  CHECK(Holds);
}

TEST_CASE("a server that is gone gets one request, and callers are served") {
  ArrivalFixture Fixture;
  BackendFaults Misdirecting;
  Misdirecting.Misdirect = true;
  for (size_t I = 0; I < ServerCount / 2; ++I)
    Fixture.Backends[I]->setFaults(Misdirecting);
  int Served = 0;
  for (int I = 0; I < 2 * RequestCount; ++I)
    Served += Fixture.send("GET", "/read/1").Status == 200 ? 1 : 0;
  CHECK(Served == 2 * RequestCount);
  for (size_t I = 0; I < ServerCount / 2; ++I)
    CHECK(Fixture.Backends[I]->countArrivals() <= 1);
}

TEST_CASE("where all servers are gone, callers are refused at once") {
  ArrivalFixture Fixture;
  BackendFaults Misdirecting;
  Misdirecting.Misdirect = true;
  Fixture.setFaults(Misdirecting);
  (void)Fixture.countRepeatedArrivals("GET", "/read/1");
  CHECK(Fixture.countArrivals() <= ServerCount);
  const ExchangeResult Refused = Fixture.send("POST", "/pay/1");
  CHECK(Refused.Status == 503);
  CHECK(getHeader(Refused, OutcomeHeader) == "not-run");
  CHECK(getHeader(Refused, ReasonHeader) == getName(Refusal::NoServer));
  CHECK(std::stoi(getHeader(Refused, "Retry-After")) >= 1);
}

TEST_CASE("a server is not taken to be gone if the request did not name it") {
  ArrivalFixture Fixture;
  BackendFaults Misdirecting;
  Misdirecting.Misdirect = true;
  Fixture.setFaults(Misdirecting);
  Fixture.forgetInstances();
  (void)Fixture.send("GET", "/read/1");
  CHECK(Fixture.Counters.get(Counter::GoneServersFound) == 0);
}
