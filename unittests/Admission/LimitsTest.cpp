//===- LimitsTest.cpp - Tests of request admission limits -----------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Rates, budgets and waits, with the time as an argument.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Admission/Limits.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidcheck.h>

using namespace canvaswick;

TEST_CASE("retries stay within their percentage of the requests") {
  RetryBudget Budget(10);
  TimePoint Now = TimePoint{} + fromSeconds(1);
  int Retries = 0;
  for (int I = 0; I < 10000; ++I) {
    Now += fromMillis(1);
    Budget.recordRequest(Now);
    Retries += Budget.tryTake(Now);
    Retries += Budget.tryTake(Now);
  }
  CHECK(Retries >= 950);
  CHECK(Retries <= 1010);
  RetryBudget None(0);
  None.recordRequest(Now);
  CHECK(!None.tryTake(Now + fromSeconds(1000)));
}

TEST_CASE("a request with too little time left cannot meet its deadline") {
  CHECK(!canMeetDeadline(Duration::zero(), Duration::zero()));
  CHECK(canMeetDeadline(fromMillis(1), Duration::zero()));
  CHECK(!canMeetDeadline(fromMillis(10), fromMillis(100)));
  CHECK(canMeetDeadline(fromMillis(30), fromMillis(100)));
}

TEST_CASE("Retry-After is in whole seconds, at least one") {
  CHECK(toRetryAfterSeconds(Duration::zero()) == 1);
  CHECK(toRetryAfterSeconds(fromMillis(1000)) == 1);
  CHECK(toRetryAfterSeconds(fromMillis(1001)) == 2);
}

TEST_CASE("the wait grows with the time that a daemon is without settings") {
  const auto IsWithin = [](Duration Without, double Min, double Max) {
    const Duration First = computeSettingsRetryAfter(Without, 0);
    const Duration Last = computeSettingsRetryAfter(Without, 0.999);
    CHECK(First >= fromSeconds(Min));
    CHECK(Last <= fromSeconds(Max));
    // The callers are spread.
    CHECK(Last - First >= fromSeconds(0.4 * Min));
  };
  IsWithin(Duration::zero(), 0.5, 0.75);
  IsWithin(fromSeconds(1), 1, 1.5);
  IsWithin(fromSeconds(3600), 2, 3);
}
