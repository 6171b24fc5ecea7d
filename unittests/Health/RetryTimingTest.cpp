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
static AnswerTimes makeTimes() {
  AnswerTimes Times;
  std::mt19937 Random(7);
  std::lognormal_distribution<double> Pace(0, 0.45);
  for (int I = 0; I < 1500; ++I)
    Times.add(Pace(Random));
  return Times;
}

static SilentAttempt makeAttempt() {
  SilentAttempt Attempt;
  Attempt.Out = fromMillis(300);
  Attempt.Usual = fromMillis(300);
  Attempt.Sickness = 0.3;
  Attempt.AnswersElsewhere = 0.97;
  Attempt.UsualElsewhere = fromMillis(300);
  Attempt.UntilAim = fromMillis(900);
  Attempt.UntilDeadline = fromMillis(2700);
  Attempt.Price = 0.05;
  return Attempt;
}

/// Moves an attempt on by a time in which no answer came.
static SilentAttempt wait(SilentAttempt Attempt, Duration Span,
                          const AnswerTimes &Times) {
  const auto Survival = [&](Duration Out) {
    return Times.getSurvival(toSeconds(Out) / toSeconds(Attempt.Usual));
  };
  // A sick server leaves four in ten without an answer.
  const auto Sick = [&](Duration Out) { return 0.4 + 0.6 * Survival(Out); };
  const Duration Then = Attempt.Out + Span;
  const double SickMass = Attempt.Sickness * Sick(Then) / Sick(Attempt.Out);
  const double WellMass =
      (1 - Attempt.Sickness) * Survival(Then) / Survival(Attempt.Out);
  Attempt.Sickness = SickMass / (SickMass + WellMass);
  Attempt.Out = Then;
  Attempt.UntilAim -= Span;
  Attempt.UntilDeadline -= Span;
  return Attempt;
}

/// What waiting until Leave and then leaving is worth, or waiting to the end if
/// Leave is the deadline, added up in steps of 5 ms.
static double getWorthOfLeavingAt(SilentAttempt Attempt, Duration Leave,
                                  const AnswerTimes &Times) {
  constexpr Duration Step = fromMillis(5);
  const SilentAttempt First = Attempt;
  double Silent = 1;
  double Worth = 0;
  for (Duration At{}; At < Leave; At += Step) {
    const SilentAttempt Next = wait(Attempt, Step, Times);
    const auto Survival = [&](const SilentAttempt &Each) {
      return Times.getSurvival(toSeconds(Each.Out) / toSeconds(Each.Usual));
    };
    const double Before = Survival(Attempt);
    const double After = Survival(Next);
    const double Answered =
        (1 - Attempt.Sickness) * (1 - After / Before) +
        Attempt.Sickness * 0.6 * (Before - After) / (0.4 + 0.6 * Before);
    Worth += Silent * Answered *
             (Attempt.UntilAim > Duration::zero() ? 1 : LateWorth);
    Silent *= 1 - Answered;
    Attempt = Next;
  }
  if (Leave >= First.UntilDeadline)
    return Worth;
  return Worth +
         Silent * (getWorthElsewhere(Attempt, Times, {}) - Attempt.Price);
}

/// Returns the best moment to leave at and what it is worth.
static std::pair<Duration, double> findBest(const SilentAttempt &Attempt,
                                            const AnswerTimes &Times) {
  std::pair<Duration, double> Best{Duration::zero(), -1};
  for (Duration At{}; At <= Attempt.UntilDeadline; At += fromMillis(25)) {
    const double Worth = getWorthOfLeavingAt(Attempt, At, Times);
    if (Worth > Best.second)
      Best = {At, Worth};
  }
  return Best;
}

/// Returns when the decision leaves, asked all the time, or the deadline.
static Duration findDecided(const SilentAttempt &Attempt,
                            const AnswerTimes &Times) {
  for (Duration At{}; At < Attempt.UntilDeadline; At += fromMillis(5))
    if (shouldLeave(wait(Attempt, At, Times), Times))
      return At;
  return Attempt.UntilDeadline;
}

TEST_CASE("what is decided is worth what the best moment is, but for 0.01") {
  const AnswerTimes Times = makeTimes();
  CHECK(rc::check([&Times] {
    SilentAttempt Attempt = makeAttempt();
    Attempt.Out = fromMillis(*rc::gen::inRange(0, 800));
    Attempt.Usual = fromMillis(*rc::gen::inRange(50, 600));
    Attempt.Sickness = *rc::gen::inRange(1, 99) / 100.0;
    Attempt.AnswersElsewhere = *rc::gen::inRange(40, 100) / 100.0;
    Attempt.UsualElsewhere = fromMillis(*rc::gen::inRange(50, 900));
    Attempt.UntilAim = fromMillis(*rc::gen::inRange(-200, 1500));
    Attempt.UntilDeadline = fromMillis(*rc::gen::inRange(300, 3000));
    Attempt.Price = *rc::gen::inRange(0, 20) / 100.0;
    const double Best = findBest(Attempt, Times).second;
    const double Decided =
        getWorthOfLeavingAt(Attempt, findDecided(Attempt, Times), Times);
    RC_ASSERT(Decided >= Best - 0.01);
  }));
}

TEST_CASE("one that is merely usual waits, one that hangs is left in time") {
  const AnswerTimes Times = makeTimes();
  SilentAttempt Attempt = makeAttempt();
  Attempt.Sickness = 0.05;
  const Duration Left = findDecided(Attempt, Times);
  // At the median nothing speaks for leaving.
  CHECK(Left > fromMillis(100));
  // Nine in ten answers elsewhere still come within the objective.
  CHECK(Left < fromMillis(650));
}

TEST_CASE("a server that is surely sick is left sooner than a well one") {
  const AnswerTimes Times = makeTimes();
  SilentAttempt Attempt = makeAttempt();
  Attempt.Sickness = 0.99;
  const Duration OfSick = findDecided(Attempt, Times);
  Attempt.Sickness = 0.05;
  CHECK(OfSick < findDecided(Attempt, Times));
}

TEST_CASE("it follows other times and objectives by itself") {
  const AnswerTimes Times = makeTimes();
  SilentAttempt Attempt = makeAttempt();
  Attempt.Sickness = 0.05;
  const Duration Left = Attempt.Out + findDecided(Attempt, Times);
  Attempt.UntilAim *= 3;
  Attempt.UntilDeadline *= 3;
  CHECK(Attempt.Out + findDecided(Attempt, Times) > Left);
}

TEST_CASE("past the objective one that hangs is still left before the end") {
  const AnswerTimes Times = makeTimes();
  SilentAttempt Attempt = makeAttempt();
  Attempt.Out = fromMillis(1300);
  Attempt.Sickness = 0.95;
  Attempt.UntilAim = fromMillis(-100);
  Attempt.UntilDeadline = fromMillis(1700);
  Attempt.Price = getRepeatPrice(1);
  CHECK(shouldLeave(Attempt, Times));
}

TEST_CASE("where nothing is better there is no reason to leave") {
  const AnswerTimes Times = makeTimes();
  SilentAttempt Attempt = makeAttempt();
  Attempt.AnswersElsewhere = 0;
  CHECK(findDecided(Attempt, Times) == Attempt.UntilDeadline);
  Attempt = makeAttempt();
  Attempt.UntilDeadline = Duration::zero();
  CHECK_FALSE(shouldLeave(Attempt, Times));
}

TEST_CASE("a repeat costs more as the allowance is used up") {
  CHECK(getRepeatPrice(0) < getRepeatPrice(0.8));
  CHECK(getRepeatPrice(0.8) < getRepeatPrice(1));
  CHECK(getRepeatPrice(2) == getRepeatPrice(1));
  // What hangs past the objective still gains more than the last one costs.
  CHECK(getRepeatPrice(1) < LateWorth);
}
