//===- ServicePlacingTest.cpp - Tests of placing by a service -------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests which requests of which services are placed, and what the service
/// tells of its servers.
///
//===----------------------------------------------------------------------===//

#include "ServiceFixture.h"

#include <doctest/doctest.h>

using namespace canvaswick;

/// Sends one request and returns why its server was chosen.
static std::optional<PlacementReason>
sendOne(ServiceFixture &Fixture, const AttemptNeeds &Needs, TimePoint Now) {
  Attempt Current;
  REQUIRE(Fixture.Service->begin(Current, Needs, Now));
  Fixture.Service->end(Current, RequestOutcome::Good, Now + fromMillis(1));
  return Current.Placed;
}

TEST_CASE("only services with many servers place requests") {
  ServiceFixture Few(31);
  ServiceFixture Many(32);
  const AttemptNeeds Needs = ServiceFixture::makeNeeds(FixtureStart);
  CHECK_FALSE(sendOne(Few, Needs, FixtureStart));
  CHECK(sendOne(Many, Needs, FixtureStart));
  Many.Identity.Switches.set(Mechanism::Placing, false);
  Many.rebuild(FixtureStart);
  CHECK_FALSE(sendOne(Many, Needs, FixtureStart));
}

TEST_CASE("requests that may be sent once more are not placed at first") {
  ServiceFixture Fixture(40);
  AttemptNeeds Needs = ServiceFixture::makeNeeds(FixtureStart);
  Needs.IsLast = false;
  CHECK_FALSE(sendOne(Fixture, Needs, FixtureStart));
  Needs.IsRetry = true;
  CHECK(sendOne(Fixture, Needs, FixtureStart));
  Needs.IsRetry = false;
  Needs.Class = RouteClass::Once;
  CHECK(sendOne(Fixture, Needs, FixtureStart));
}

TEST_CASE("requests stay on servers that have answered lately") {
  ServiceFixture Fixture(40);
  const size_t Used = Fixture.send(200, FixtureStart).size();
  CHECK(Used < 30);
}

TEST_CASE("a server that joins gets a request soon") {
  ServiceFixture Fixture(40);
  (void)Fixture.send(100, FixtureStart);
  Fixture.Config.Servers.push_back(ServiceFixture::makeServer("new"));
  Fixture.rebuild(FixtureStart + fromSeconds(1));
  CHECK(Fixture.send(100, FixtureStart + fromSeconds(1)).count("new") == 0);
  CHECK(Fixture.send(200, FixtureStart + fromSeconds(2)).count("new") == 1);
}
