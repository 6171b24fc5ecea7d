//===- InFlightTableTest.cpp - Tests of requests in flight ----------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests local requests, reports of peers including lost and reordered ones,
/// and the loads that answers report.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Health/InFlightTable.h"

#include <doctest/doctest.h>

using namespace canvaswick;

static constexpr TimePoint Start{fromSeconds(100)};

static InFlightRequest makeRequest(size_t Server) {
  return {Server, Start, fromMillis(200)};
}

TEST_CASE("local requests and those of peers are added up") {
  InFlightTable Table(2);
  const uint64_t Number = Table.begin(makeRequest(0));
  Table.begin(makeRequest(1));
  Table.replacePeer("p", 1, {makeRequest(0), makeRequest(0)}, Start);
  CHECK(Table.getLoad(0, Start) == 3);
  CHECK(Table.getLoad(1, Start) == 1);
  CHECK(Table.getLocalRequests().size() == 2);
  Table.end(Number);
  CHECK(Table.getLoad(0, Start) == 2);
  size_t Visited = 0;
  Table.visit(0, Start, [&Visited](const InFlightRequest &) { ++Visited; });
  CHECK(Visited == 2);
}

TEST_CASE("a message replaces earlier ones of a peer and never later ones") {
  InFlightTable Table(1);
  Table.replacePeer("p", 2, {makeRequest(0)}, Start);
  Table.replacePeer("p", 1, {}, Start);
  CHECK(Table.getLoad(0, Start) == 1);
  Table.replacePeer("p", 3, {}, Start);
  CHECK(Table.getLoad(0, Start) == 0);
}

TEST_CASE("requests of a peer without updates expire") {
  InFlightTable Table(1);
  Table.replacePeer("p", 1, {makeRequest(0)}, Start);
  CHECK(Table.getLoad(0, Start + fromMillis(300)) == 1);
  CHECK(Table.getLoad(0, Start + fromSeconds(1)) == 0);
}

TEST_CASE("a reported load shows the requests of other halls at a server") {
  InFlightTable Table(1);
  Table.begin(makeRequest(0));
  // Five requests include the one that was answered; three are not of this
  // hall.
  Table.recordReportedLoad(0, 5, Start);
  CHECK(Table.getLoad(0, Start) == doctest::Approx(4));
  CHECK(Table.getLoad(0, Start + fromSeconds(3)) ==
        doctest::Approx(1).epsilon(0.01));
  Table.recordReportedLoad(0, 0, Start);
  CHECK(Table.getLoad(0, Start) == 1);
}

TEST_CASE("a new version of a service takes over the requests of peers") {
  InFlightTable Old(2);
  Old.begin(makeRequest(0));
  Old.replacePeer("p", 5, {makeRequest(0), makeRequest(1)}, Start);
  InFlightTable New(1);
  New.adopt(Old, {-1, 0});
  CHECK(New.getLoad(0, Start) == 1);
  CHECK(New.getLocalRequests().empty());
  New.replacePeer("p", 5, {}, Start);
  CHECK(New.getLoad(0, Start) == 1);
}
