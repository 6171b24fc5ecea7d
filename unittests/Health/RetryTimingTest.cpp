//===- RetryTimingTest.cpp - Tests of when a silent attempt is left -------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The decision against an oracle that tries every moment to leave at, and what
/// it should do in cases that operators know.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Health/RetryTiming.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <random>

using namespace canvaswick;

/// A service whose answers spread by a factor of about 1.6.
static LatencyDistribution makeTimes() {
  LatencyDistribution Times;
  std::mt19937 Random(7);
  std::lognormal_distribution<double> Ratio(0, 0.45);
  for (int I = 0; I < 1500; ++I)
    Times.add(Ratio(Random));
  return Times;
}

static UnansweredAttempt makeAttempt() {
  UnansweredAttempt Attempt;
  Attempt.Elapsed = fromMillis(300);
  Attempt.TypicalTime = fromMillis(300);
  Attempt.UnhealthyProbability = 0.3;
  Attempt.AlternativeAnswerProbability = 0.97;
  Attempt.AlternativeTypicalTime = fromMillis(300);
  Attempt.TimeToObjective = fromMillis(900);
  Attempt.TimeToDeadline = fromMillis(2700);
  Attempt.RetryCost = 0.05;
  return Attempt;
}

/// Moves an attempt on by a time in which no answer came.
static UnansweredAttempt wait(UnansweredAttempt Attempt, Duration Span,
                              const LatencyDistribution &Times) {
  const auto Survival = [&](Duration Elapsed) {
    return Times.getSurvival(toSeconds(Elapsed) /
                             toSeconds(Attempt.TypicalTime));
  };
  // A sick server leaves four in ten without an answer.
  const auto Unhealthy = [&](Duration Elapsed) {
    return 0.4 + 0.6 * Survival(Elapsed);
  };
  const Duration Then = Attempt.Elapsed + Span;
  const double UnhealthyMass = Attempt.UnhealthyProbability * Unhealthy(Then) /
                               Unhealthy(Attempt.Elapsed);
  const double HealthyMass = (1 - Attempt.UnhealthyProbability) *
                             Survival(Then) / Survival(Attempt.Elapsed);
  Attempt.UnhealthyProbability = UnhealthyMass / (UnhealthyMass + HealthyMass);
  Attempt.Elapsed = Then;
  Attempt.TimeToObjective -= Span;
  Attempt.TimeToDeadline -= Span;
  return Attempt;
}

/// What waiting until Leave and then leaving is worth, or waiting to the end if
/// Leave is the deadline, added up in steps of 5 ms.
static double computeUtilityOfRetryAt(UnansweredAttempt Attempt,
                                      Duration RetryAt,
                                      const LatencyDistribution &Times) {
  constexpr Duration Step = fromMillis(5);
  const UnansweredAttempt First = Attempt;
  double NoAnswer = 1;
  double Utility = 0;
  for (Duration At{}; At < RetryAt; At += Step) {
    const UnansweredAttempt Next = wait(Attempt, Step, Times);
    const auto Survival = [&](const UnansweredAttempt &Each) {
      return Times.getSurvival(toSeconds(Each.Elapsed) /
                               toSeconds(Each.TypicalTime));
    };
    const double Before = Survival(Attempt);
    const double After = Survival(Next);
    const double Answered =
        (1 - Attempt.UnhealthyProbability) * (1 - After / Before) +
        Attempt.UnhealthyProbability * 0.6 * (Before - After) /
            (0.4 + 0.6 * Before);
    Utility += NoAnswer * Answered *
               (Attempt.TimeToObjective > Duration::zero() ? 1 : LateUtility);
    NoAnswer *= 1 - Answered;
    Attempt = Next;
  }
  if (RetryAt >= First.TimeToDeadline)
    return Utility;
  return Utility + NoAnswer * (computeAlternativeUtility(Attempt, Times, {}) -
                               Attempt.RetryCost);
}

/// Returns the best moment to leave at and what it is worth.
static std::pair<Duration, double> findBest(const UnansweredAttempt &Attempt,
                                            const LatencyDistribution &Times) {
  std::pair<Duration, double> Best{Duration::zero(), -1};
  for (Duration At{}; At <= Attempt.TimeToDeadline; At += fromMillis(25)) {
    const double Utility = computeUtilityOfRetryAt(Attempt, At, Times);
    if (Utility > Best.second)
      Best = {At, Utility};
  }
  return Best;
}

/// Returns when the decision leaves, asked all the time, or the deadline.
static Duration findChosenTime(const UnansweredAttempt &Attempt,
                               const LatencyDistribution &Times) {
  for (Duration At{}; At < Attempt.TimeToDeadline; At += fromMillis(5))
    if (shouldRetryElsewhere(wait(Attempt, At, Times), Times))
      return At;
  return Attempt.TimeToDeadline;
}

TEST_CASE("what is decided is worth what the best moment is, but for 0.01") {
  const LatencyDistribution Times = makeTimes();
  CHECK(rc::check([&Times] {
    UnansweredAttempt Attempt = makeAttempt();
    Attempt.Elapsed = fromMillis(*rc::gen::inRange(0, 800));
    Attempt.TypicalTime = fromMillis(*rc::gen::inRange(50, 600));
    Attempt.UnhealthyProbability = *rc::gen::inRange(1, 99) / 100.0;
    Attempt.AlternativeAnswerProbability = *rc::gen::inRange(40, 100) / 100.0;
    Attempt.AlternativeTypicalTime = fromMillis(*rc::gen::inRange(50, 900));
    Attempt.TimeToObjective = fromMillis(*rc::gen::inRange(-200, 1500));
    Attempt.TimeToDeadline = fromMillis(*rc::gen::inRange(300, 3000));
    Attempt.RetryCost = *rc::gen::inRange(0, 20) / 100.0;
    const double Best = findBest(Attempt, Times).second;
    const double Chosen =
        computeUtilityOfRetryAt(Attempt, findChosenTime(Attempt, Times), Times);
    RC_ASSERT(Chosen >= Best - 0.01);
  }));
}

TEST_CASE("one that is merely usual waits, one that hangs is left in time") {
  const LatencyDistribution Times = makeTimes();
  UnansweredAttempt Attempt = makeAttempt();
  Attempt.UnhealthyProbability = 0.05;
  const Duration ChosenTime = findChosenTime(Attempt, Times);
  // At the median nothing speaks for leaving.
  CHECK(ChosenTime > fromMillis(100));
  // Nine in ten answers elsewhere still come within the objective.
  CHECK(ChosenTime < fromMillis(650));
}

TEST_CASE("a server that is surely sick is left sooner than a well one") {
  const LatencyDistribution Times = makeTimes();
  UnansweredAttempt Attempt = makeAttempt();
  Attempt.UnhealthyProbability = 0.99;
  const Duration ChosenIfUnhealthy = findChosenTime(Attempt, Times);
  Attempt.UnhealthyProbability = 0.05;
  CHECK(ChosenIfUnhealthy < findChosenTime(Attempt, Times));
}

TEST_CASE("it follows other times and objectives by itself") {
  const LatencyDistribution Times = makeTimes();
  UnansweredAttempt Attempt = makeAttempt();
  Attempt.UnhealthyProbability = 0.05;
  const Duration ChosenTime = Attempt.Elapsed + findChosenTime(Attempt, Times);
  Attempt.TimeToObjective *= 3;
  Attempt.TimeToDeadline *= 3;
  CHECK(Attempt.Elapsed + findChosenTime(Attempt, Times) > ChosenTime);
}

TEST_CASE("past the objective one that hangs is still left before the end") {
  const LatencyDistribution Times = makeTimes();
  UnansweredAttempt Attempt = makeAttempt();
  Attempt.Elapsed = fromMillis(1300);
  Attempt.UnhealthyProbability = 0.95;
  Attempt.TimeToObjective = fromMillis(-100);
  Attempt.TimeToDeadline = fromMillis(1700);
  Attempt.RetryCost = computeRetryCost(1);
  CHECK(shouldRetryElsewhere(Attempt, Times));
}

TEST_CASE("where nothing is better there is no reason to leave") {
  const LatencyDistribution Times = makeTimes();
  UnansweredAttempt Attempt = makeAttempt();
  Attempt.AlternativeAnswerProbability = 0;
  CHECK(findChosenTime(Attempt, Times) == Attempt.TimeToDeadline);
  Attempt = makeAttempt();
  Attempt.TimeToDeadline = Duration::zero();
  CHECK_FALSE(shouldRetryElsewhere(Attempt, Times));
}

TEST_CASE("a repeat costs more as the allowance is used up") {
  CHECK(computeRetryCost(0) < computeRetryCost(0.8));
  CHECK(computeRetryCost(0.8) < computeRetryCost(1));
  CHECK(computeRetryCost(2) == computeRetryCost(1));
  // What hangs past the objective still gains more than the last one costs.
  CHECK(computeRetryCost(1) < LateUtility);
}
