//===- LatencyTableTest.cpp - Tests of typical times of routes ------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests the typical times and slow thresholds of routes, and the
/// classification of failures by their time.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Health/LatencyTable.h"

#include <doctest/doctest.h>

using namespace canvaswick;

static constexpr TimePoint Start{fromSeconds(100)};

static LatencyTable makeTable() {
  LatencyTable Table(Duration::zero());
  for (int I = 0; I < 40; ++I) {
    Table.add("heavy", fromMillis(300), Start);
    Table.add("light", fromMillis(2), Start);
  }
  return Table;
}

TEST_CASE("each route has its own typical time") {
  const LatencyTable Table = makeTable();
  CHECK(toMillis(Table.getMedian("heavy")) > 200);
  CHECK(toMillis(Table.getMedian("light")) < 5);
  CHECK(Table.getSlowThreshold("heavy") > fromMillis(800));
  CHECK(Table.getSlowThreshold("light") < fromMillis(50));
}

TEST_CASE("a failure is classified by its time") {
  const LatencyTable Table = makeTable();
  CHECK(Table.classifyFailure("heavy", fromMillis(2)) ==
        RequestOutcome::FailedEarly);
  CHECK(Table.classifyFailure("heavy", fromMillis(250)) ==
        RequestOutcome::FailedAfterWork);
  CHECK(Table.classifyFailure("heavy", fromSeconds(3)) ==
        RequestOutcome::FailedAfterWork);
  // The typical time is too short to distinguish early failures.
  CHECK(Table.classifyFailure("light", fromMillis(1)) ==
        RequestOutcome::Failed);
  // The typical time is unknown.
  CHECK(Table.classifyFailure("new", fromMillis(1)) == RequestOutcome::Failed);
}

TEST_CASE("samples are taken over except for routes that are no longer used") {
  LatencyTable Table(Duration::zero());
  Table.adopt(makeTable(), Start + fromSeconds(1));
  CHECK(Table.classifyFailure("heavy", fromMillis(2)) ==
        RequestOutcome::FailedEarly);
  LatencyTable Later(Duration::zero());
  Later.adopt(makeTable(), Start + fromSeconds(3600));
  CHECK(Later.classifyFailure("heavy", fromMillis(2)) ==
        RequestOutcome::Failed);
}

TEST_CASE("a configured slow threshold applies to every route") {
  LatencyTable Table(fromMillis(700));
  Table.add("heavy", fromMillis(300), Start);
  CHECK(Table.getSlowThreshold("heavy") == fromMillis(700));
  CHECK(Table.getSlowThreshold("other") == fromMillis(700));
}

TEST_CASE("the median recovers from an outlier as the first sample") {
  LatencyTable Table{Duration::zero()};
  Table.add("r", fromMillis(1), Start);
  for (int I = 0; I < 15; ++I)
    Table.add("r", fromMillis(I % 2 == 0 ? 180 : 220), Start);
  CHECK(toSeconds(Table.getMedian("r")) == doctest::Approx(0.2).epsilon(0.4));
}

TEST_CASE("the typical time stays near the median") {
  LatencyTable Table{Duration::zero()};
  for (int I = 0; I < 400; ++I)
    Table.add("r", fromMillis(100 + (I * 7919) % 200), Start);
  CHECK(toSeconds(Table.getMedian("r")) == doctest::Approx(0.2).epsilon(0.15));
}

TEST_CASE(
    "without enough samples the typical time is derived from the objective") {
  LatencyTable Table{Duration::zero()};
  CHECK(Table.getTypicalTime("r", Duration::zero()) == Duration::zero());
  Table.add("r", fromMillis(1), Start);
  CHECK(toSeconds(Table.getTypicalTime("r", fromMillis(900))) ==
        doctest::Approx(0.3).epsilon(0.1));
  for (int I = 0; I < 30; ++I)
    Table.add("r", fromMillis(100), Start);
  CHECK(toSeconds(Table.getTypicalTime("r", fromMillis(900))) ==
        doctest::Approx(0.1).epsilon(0.1));
}
