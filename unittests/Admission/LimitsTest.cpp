//===- LimitsTest.cpp - Tests of the limits -------------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Rates, budgets and waits, on a clock that is an argument.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Admission/Limits.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidcheck.h>

using namespace canvaswick;

TEST_CASE("an organisation never gets more than its burst and its rate") {
  CHECK(rc::check([] {
    const int Rate = *rc::gen::inRange(1, 50);
    const int Burst = *rc::gen::inRange(1, 50);
    OrganisationLimiter Limiter;
    Limiter.configure({{"o", Rate, Burst}});
    TimePoint Now = TimePoint{} + fromSeconds(1000);
    const TimePoint Start = Now;
    int Taken = 0;
    const int Steps = *rc::gen::inRange(1, 200);
    for (int I = 0; I < Steps; ++I) {
      Now += fromMillis(*rc::gen::inRange(0, 100));
      Duration Wait{};
      Taken += Limiter.tryTake("o", Now, Wait) ? 1 : 0;
      RC_ASSERT(Wait >= Duration::zero());
      if (*rc::gen::inRange(0, 10) == 0)
        Limiter.forgetIdle(Now);
    }
    RC_ASSERT(Taken <= Burst + Rate * toSeconds(Now - Start) + 1e-6);
  }));
}

TEST_CASE("the wait that is told is long enough") {
  OrganisationLimiter Limiter;
  Limiter.configure({{"o", 2, 1}});
  const TimePoint Now = TimePoint{} + fromSeconds(10);
  Duration Wait{};
  CHECK(Limiter.tryTake("o", Now, Wait));
  CHECK(!Limiter.tryTake("o", Now, Wait));
  CHECK(Wait == fromMillis(500));
  CHECK(Limiter.tryTake("o", Now + Wait, Wait));
}

TEST_CASE("idle organisations take no memory") {
  OrganisationLimiter Limiter;
  Limiter.configure({{"default", 10, 10}});
  const TimePoint Now = TimePoint{} + fromSeconds(10);
  Duration Wait{};
  for (int I = 0; I < 1000; ++I)
    Limiter.tryTake(fmt::format("o{}", I), Now, Wait);
  CHECK(Limiter.countRemembered() == 1000);
  Limiter.forgetIdle(Now + fromSeconds(1));
  CHECK(Limiter.countRemembered() == 0);
}

TEST_CASE("repeats stay within their part of the requests") {
  RetryBudget Budget(10);
  TimePoint Now = TimePoint{} + fromSeconds(1);
  int Repeats = 0;
  for (int I = 0; I < 10000; ++I) {
    Now += fromMillis(1);
    Budget.noteRequest(Now);
    Repeats += Budget.tryTake(Now);
    Repeats += Budget.tryTake(Now);
  }
  CHECK(Repeats >= 950);
  CHECK(Repeats <= 1010);
  RetryBudget None(0);
  None.noteRequest(Now);
  CHECK(!None.tryTake(Now + fromSeconds(1000)));
}

TEST_CASE("a request that cannot make its deadline has no chance") {
  CHECK(!hasChance(Duration::zero(), Duration::zero()));
  CHECK(hasChance(fromMillis(1), Duration::zero()));
  CHECK(!hasChance(fromMillis(10), fromMillis(100)));
  CHECK(hasChance(fromMillis(30), fromMillis(100)));
}

TEST_CASE("Retry-After is whole seconds, one at least") {
  CHECK(toRetryAfterSeconds(Duration::zero()) == 1);
  CHECK(toRetryAfterSeconds(fromMillis(1000)) == 1);
  CHECK(toRetryAfterSeconds(fromMillis(1001)) == 2);
}

TEST_CASE("callers stay away from a daemon without settings as long again") {
  const auto IsWithin = [](Duration Without, double Least, double Most) {
    const Duration First = chooseSettingsWait(Without, 0);
    const Duration Last = chooseSettingsWait(Without, 0.999);
    CHECK(First >= fromSeconds(Least));
    CHECK(Last <= fromSeconds(Most));
    // They do not come back together.
    CHECK(Last - First >= fromSeconds(0.4 * Least));
  };
  IsWithin(Duration::zero(), 0.5, 0.75);
  IsWithin(fromSeconds(1), 1, 1.5);
  IsWithin(fromSeconds(3600), 2, 3);
}
