//===- ServiceEstimatesTest.cpp - Tests of estimates for peers ------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests that messages about the servers of a large hall are bounded, and that
/// they hold what matters most.
///
//===----------------------------------------------------------------------===//

#include "ServiceFixture.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace canvaswick;

static constexpr int ServerCount = 400;

/// Returns the unhealthy probability in thousandths that estimates give a
/// server, or -1.
static int findPerMille(const std::vector<HealthEstimate> &Estimates,
                        const std::string &Server) {
  const ServerId Id = getServerId("s", Server);
  const auto Found = std::find_if(
      Estimates.begin(), Estimates.end(),
      [Id](const HealthEstimate &Each) { return Each.Server == Id; });
  return Found == Estimates.end() ? -1 : Found->PerMille;
}

TEST_CASE(
    "estimates of a large hall are bounded and name the failing servers") {
  ServiceFixture Fixture(ServerCount);
  // Requests reach all servers only if they are drawn by shares.
  Fixture.Identity.Switches.set(Mechanism::Placing, false);
  Fixture.rebuild(FixtureStart);
  for (int I = 0; I < 3; ++I)
    for (const char *Server : {"b7", "b300"})
      Fixture.answerWithNotice(Server, {}, RequestOutcome::Failed,
                               FixtureStart);
  for (const std::vector<HealthEstimate> &Estimates :
       {Fixture.Service->getSameHallEstimates(40, FixtureStart),
        Fixture.Service->getUsedEstimates(40, FixtureStart)}) {
    CHECK(Estimates.size() == 40);
    CHECK(findPerMille(Estimates, "b7") > 500);
    CHECK(findPerMille(Estimates, "b300") > 500);
  }
}

TEST_CASE("estimates of a small hall are complete") {
  ServiceFixture Fixture(30);
  CHECK(Fixture.Service->getSameHallEstimates(40, FixtureStart).size() == 30);
  CHECK(Fixture.Service->getUsedEstimates(40, FixtureStart).empty());
}

TEST_CASE("estimates from another hall apply to its servers only") {
  ServiceFixture Fixture(2);
  Fixture.Config.Servers[1].Hall = "b";
  Fixture.Service.reset();
  Fixture.rebuild(FixtureStart);
  Fixture.Service->applyRemoteEstimates({{getServerId("s", "b0"), 950, 0},
                                         {getServerId("s", "b1"), 950, 0},
                                         {getServerId("t", "b1"), 1, 0}},
                                        FixtureStart);
  const std::vector<ServerStatus> All = Fixture.Service->describe(FixtureStart);
  CHECK(All[0].Explanation.LocalScore < 0.5);
  CHECK(All[1].Explanation.LocalScore == doctest::Approx(0.95));
}

TEST_CASE(
    "a request that began after the time of a report has no negative age") {
  ServiceFixture Fixture;
  Attempt Current;
  const TimePoint Later = FixtureStart + fromMillis(20);
  REQUIRE(
      Fixture.Service->begin(Current, ServiceFixture::makeNeeds(Later), Later));
  std::vector<InFlightReport> Reports;
  Fixture.Service->appendInFlight(Reports, FixtureStart);
  REQUIRE(Reports.size() == 1);
  CHECK(Reports[0].AgeMs == 0);
  Fixture.Service->end(Current, RequestOutcome::Good, Later);
}

/// Returns at how many of 30 daemons one of ten requests tests a server that
/// failed three seconds ago.
static int countTests(bool IsRetry, bool IsOn = true) {
  int Tests = 0;
  for (int I = 0; I < 30; ++I) {
    ServiceFixture Fixture;
    Fixture.Identity.Switches.set(Mechanism::Placing, IsOn);
    Fixture.Identity.Switches.setManyServers(1);
    Fixture.Service.reset();
    Fixture.rebuild(FixtureStart);
    // All daemons draw the same numbers, from different ones on.
    (void)Fixture.send(40 * I, FixtureStart - fromSeconds(2));
    for (int J = 0; J < 3; ++J)
      Fixture.answerWithNotice("b1", {}, RequestOutcome::Failed, FixtureStart);
    const TimePoint Later = FixtureStart + fromSeconds(3);
    AttemptNeeds Needs = ServiceFixture::makeNeeds(Later);
    Needs.IsLast = false;
    Needs.IsRetry = IsRetry;
    bool WasTested = false;
    for (int J = 0; J < 10; ++J) {
      Attempt Current;
      REQUIRE(Fixture.Service->begin(Current, Needs, Later));
      WasTested |= Current.IsTest;
      Fixture.Service->end(Current, RequestOutcome::Canceled, Later);
    }
    Tests += WasTested ? 1 : 0;
  }
  return Tests;
}

TEST_CASE("servers are tested by first attempts, not by retries") {
  CHECK(countTests(false) > 15);
  CHECK(countTests(true) <= 5);
  CHECK(countTests(true, false) > 15);
}

TEST_CASE("a retry uses a server that is due for a test if there is no other") {
  ServiceFixture Fixture(1);
  for (int I = 0; I < 3; ++I)
    Fixture.answerWithNotice("b0", {}, RequestOutcome::Failed, FixtureStart);
  AttemptNeeds Needs = ServiceFixture::makeNeeds(FixtureStart);
  Needs.IsRetry = true;
  Attempt Current;
  const TimePoint Later = FixtureStart + fromMillis(2500);
  REQUIRE(Fixture.Service->begin(Current, Needs, Later));
  Fixture.Service->end(Current, RequestOutcome::Good, Later);
}
