//===- RetryTimingTest.cpp - Tests of when to retry elsewhere -------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Compares the decision with an exhaustive search over retry times, and checks
/// it in typical cases.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Health/RetryTiming.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <random>

using namespace canvaswick;

/// Creates the distribution of a service whose latency ratios vary by a factor
/// of about 1.6.
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

/// Returns an attempt after a further time without an answer.
static UnansweredAttempt wait(UnansweredAttempt Attempt, Duration Span,
                              const LatencyDistribution &Times) {
  const auto Survival = [&](Duration Elapsed) {
    return Times.getSurvival(toSeconds(Elapsed) /
                             toSeconds(Attempt.TypicalTime));
  };
  // An unhealthy server never answers 40 % of its requests.
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

/// Returns the expected utility of a retry at RetryAt, or of no retry if
/// RetryAt is the deadline, integrated in steps of 5 ms.
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

/// Returns the best time of a retry and its expected utility.
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

/// Returns the first time at which the decision is to retry, or the deadline.
static Duration findChosenTime(const UnansweredAttempt &Attempt,
                               const LatencyDistribution &Times) {
  for (Duration At{}; At < Attempt.TimeToDeadline; At += fromMillis(5))
    if (shouldRetryElsewhere(wait(Attempt, At, Times), Times))
      return At;
  return Attempt.TimeToDeadline;
}

TEST_CASE("the utility of the decision is within 0.01 of the best one") {
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

TEST_CASE("a typical request waits, and a hanging one is retried in time") {
  const LatencyDistribution Times = makeTimes();
  UnansweredAttempt Attempt = makeAttempt();
  Attempt.UnhealthyProbability = 0.05;
  const Duration ChosenTime = findChosenTime(Attempt, Times);
  // At the median there is no reason to retry.
  CHECK(ChosenTime > fromMillis(100));
  // 90 % of the answers elsewhere still arrive within the objective.
  CHECK(ChosenTime < fromMillis(650));
}

TEST_CASE("a request to an unhealthy server is retried sooner") {
  const LatencyDistribution Times = makeTimes();
  UnansweredAttempt Attempt = makeAttempt();
  Attempt.UnhealthyProbability = 0.99;
  const Duration ChosenIfUnhealthy = findChosenTime(Attempt, Times);
  Attempt.UnhealthyProbability = 0.05;
  CHECK(ChosenIfUnhealthy < findChosenTime(Attempt, Times));
}

TEST_CASE("the decision adapts to other times and objectives") {
  const LatencyDistribution Times = makeTimes();
  UnansweredAttempt Attempt = makeAttempt();
  Attempt.UnhealthyProbability = 0.05;
  const Duration ChosenTime = Attempt.Elapsed + findChosenTime(Attempt, Times);
  Attempt.TimeToObjective *= 3;
  Attempt.TimeToDeadline *= 3;
  CHECK(Attempt.Elapsed + findChosenTime(Attempt, Times) > ChosenTime);
}

TEST_CASE("after the objective a hanging request is still retried") {
  const LatencyDistribution Times = makeTimes();
  UnansweredAttempt Attempt = makeAttempt();
  Attempt.Elapsed = fromMillis(1300);
  Attempt.UnhealthyProbability = 0.95;
  Attempt.TimeToObjective = fromMillis(-100);
  Attempt.TimeToDeadline = fromMillis(1700);
  Attempt.RetryCost = computeRetryCost(1);
  CHECK(shouldRetryElsewhere(Attempt, Times));
}

TEST_CASE("without a better alternative there is no retry") {
  const LatencyDistribution Times = makeTimes();
  UnansweredAttempt Attempt = makeAttempt();
  Attempt.AlternativeAnswerProbability = 0;
  CHECK(findChosenTime(Attempt, Times) == Attempt.TimeToDeadline);
  Attempt = makeAttempt();
  Attempt.TimeToDeadline = Duration::zero();
  CHECK_FALSE(shouldRetryElsewhere(Attempt, Times));
}

TEST_CASE("the cost of a retry rises with the used fraction of the limit") {
  CHECK(computeRetryCost(0) < computeRetryCost(0.8));
  CHECK(computeRetryCost(0.8) < computeRetryCost(1));
  CHECK(computeRetryCost(2) == computeRetryCost(1));
  // For a request that hangs after the objective, the gain still exceeds the
  // cost of the last retry.
  CHECK(computeRetryCost(1) < LateUtility);
}
