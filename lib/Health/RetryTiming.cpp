//===- RetryTiming.cpp - When to retry elsewhere --------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Implements an optimal stopping problem by dynamic programming, backwards
/// from the deadline. The server of the attempt is healthy or unhealthy; an
/// unhealthy one never answers a part of its requests.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Health/RetryTiming.h"
#include "OutcomeLikelihood.h"

#include <algorithm>
#include <array>

namespace canvaswick {

/// Number of candidate times for a retry. Early ones are closer together, since
/// the decision is repeated before the later ones.
static constexpr size_t MomentCount = 64;

/// Returns a candidate time, relative to now.
static Duration getMoment(size_t Index, Duration Last) {
  const double Fraction = static_cast<double>(Index) / MomentCount;
  return fromSeconds(toSeconds(Last) * Fraction * Fraction);
}

/// If waiting gains no more than this, the request is retried at once: a
/// request to a hanging server occupies a slot, and the caller may disconnect.
static constexpr double MinWaitingGain = 0.003;

/// Minimum cost of a retry: one of the servers works in vain if the first
/// attempt is answered after all.
static constexpr double MinRetryCost = 0.05;

/// From this used fraction of the retry limit on, the cost rises up to
/// MaxRetryCost for the last retry. A request that hangs and would fail gains
/// more than that even if the answer is late; one that is only slow does not.
static constexpr double CostRiseStart = 0.5;
static constexpr double MaxRetryCost = 0.2;

double computeRetryCost(double UsedFraction) {
  const double Scarcity = std::clamp(
      (UsedFraction - CostRiseStart) / (1 - CostRiseStart), 0.0, 1.0);
  return MinRetryCost + (MaxRetryCost - MinRetryCost) * Scarcity;
}

/// Returns the fraction of good answers that arrive within a time.
static double computeAnsweredFraction(const LatencyDistribution &Times,
                                      Duration After, Duration TypicalTime) {
  if (After <= Duration::zero())
    return 0;
  if (TypicalTime <= Duration::zero())
    return 1;
  return 1 - Times.getSurvival(toSeconds(After) / toSeconds(TypicalTime));
}

double computeAlternativeUtility(const UnansweredAttempt &Attempt,
                                 const LatencyDistribution &Times,
                                 Duration Later) {
  const Duration Objective =
      std::min(Attempt.TimeToObjective, Attempt.TimeToDeadline);
  const double InTime = computeAnsweredFraction(Times, Objective - Later,
                                                Attempt.AlternativeTypicalTime);
  const double AtAll = computeAnsweredFraction(
      Times, Attempt.TimeToDeadline - Later, Attempt.AlternativeTypicalTime);
  return Attempt.AlternativeAnswerProbability *
         (InTime + LateUtility * std::max(0.0, AtAll - InTime));
}

namespace {

/// The probability, up to a constant factor, that an attempt still has no
/// answer at a later time.
class NoAnswerProbability {
public:
  NoAnswerProbability(const UnansweredAttempt &Attempt,
                      const LatencyDistribution &Times)
      : Attempt(Attempt), Times(Times) {
    const Likelihood Now = getNoAnswerLikelihood(this->getSurvival({}));
    this->Healthy = (1 - Attempt.UnhealthyProbability) / Now.Healthy;
    this->Unhealthy = Attempt.UnhealthyProbability / Now.Unhealthy;
  }

  double get(Duration Later) const {
    const Likelihood Then = getNoAnswerLikelihood(this->getSurvival(Later));
    return this->Healthy * Then.Healthy + this->Unhealthy * Then.Unhealthy;
  }

private:
  double getSurvival(Duration Later) const {
    return this->Times.getSurvival(toSeconds(this->Attempt.Elapsed + Later) /
                                   toSeconds(this->Attempt.TypicalTime));
  }

  const UnansweredAttempt &Attempt;
  const LatencyDistribution &Times;
  double Healthy = 0;
  double Unhealthy = 0;
};

} // namespace

double computeWaitingUtility(const UnansweredAttempt &Attempt,
                             const LatencyDistribution &Times) {
  if (Attempt.TimeToDeadline <= Duration::zero() ||
      Attempt.TypicalTime <= Duration::zero())
    return 0;
  const NoAnswerProbability NoAnswer(Attempt, Times);
  std::array<Duration, MomentCount + 1> At{};
  std::array<double, MomentCount + 1> Unanswered{};
  for (size_t I = 0; I <= MomentCount; ++I) {
    At[I] = getMoment(I, Attempt.TimeToDeadline);
    Unanswered[I] = NoAnswer.get(At[I]);
  }
  double Utility = 0;
  for (size_t I = MomentCount; I > 0; --I) {
    const bool IsInTime = (At[I - 1] + At[I]) / 2 <= Attempt.TimeToObjective;
    const double Answered = Unanswered[I - 1] - Unanswered[I];
    Utility =
        (Answered * (IsInTime ? 1.0 : LateUtility) + Unanswered[I] * Utility) /
        Unanswered[I - 1];
    if (I > 1)
      Utility = std::max(Utility,
                         computeAlternativeUtility(Attempt, Times, At[I - 1]) -
                             Attempt.RetryCost);
  }
  return Utility;
}

bool shouldRetryElsewhere(const UnansweredAttempt &Attempt,
                          const LatencyDistribution &Times) {
  const double Now =
      computeAlternativeUtility(Attempt, Times, Duration::zero());
  return Now - Attempt.RetryCost >
         computeWaitingUtility(Attempt, Times) - MinWaitingGain;
}

} // namespace canvaswick
