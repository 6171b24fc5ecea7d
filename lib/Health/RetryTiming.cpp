//===- RetryTiming.cpp - When a silent attempt is left --------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Optimal stopping by dynamic programming, backwards from the deadline. The
/// attempt's server is well or sick; a sick one leaves a part of its requests
/// without an answer.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Health/RetryTiming.h"
#include "OutcomeLikelihood.h"

#include <algorithm>
#include <array>

namespace canvaswick {

/// Moments at which the attempt may be left. They lie closer together the
/// sooner they are, since what comes later is looked at again.
static constexpr size_t Moments = 64;

/// Returns a moment, counted from now.
static Duration getMoment(size_t Index, Duration Last) {
  const double Part = static_cast<double>(Index) / Moments;
  return fromSeconds(toSeconds(Last) * Part * Part);
}

/// Where waiting brings no more than this, there is nothing to wait for: a
/// server that hangs holds a slot, and the caller may leave.
static constexpr double Indifference = 0.003;

/// A repeat must gain this much at any time: a server works in vain if the
/// first answer comes after all.
static constexpr double LeastPrice = 0.05;

/// From this part of the allowance on each repeat costs more, up to what the
/// last one does: a request that hangs and would end in nothing gains more than
/// that even when it is late, one that is merely slow does not.
static constexpr double PricedFrom = 0.5;
static constexpr double MostPrice = 0.2;

double computeRetryCost(double UsedPart) {
  const double Short =
      std::clamp((UsedPart - PricedFrom) / (1 - PricedFrom), 0.0, 1.0);
  return LeastPrice + (MostPrice - LeastPrice) * Short;
}

/// Returns the part of good answers that are there after a time.
static double getAnswered(const LatencyDistribution &Times, Duration After,
                          Duration TypicalTime) {
  if (After <= Duration::zero())
    return 0;
  if (TypicalTime <= Duration::zero())
    return 1;
  return 1 - Times.getSurvival(toSeconds(After) / toSeconds(TypicalTime));
}

double computeAlternativeUtility(const UnansweredAttempt &Attempt,
                                 const LatencyDistribution &Times,
                                 Duration Later) {
  const Duration Aim =
      std::min(Attempt.TimeToObjective, Attempt.TimeToDeadline);
  const double InTime =
      getAnswered(Times, Aim - Later, Attempt.AlternativeTypicalTime);
  const double AtAll = getAnswered(Times, Attempt.TimeToDeadline - Later,
                                   Attempt.AlternativeTypicalTime);
  return Attempt.AlternativeAnswerProbability *
         (InTime + LateUtility * std::max(0.0, AtAll - InTime));
}

namespace {

/// The probabilities, up to a factor, that an attempt is still silent after
/// some time.
class Silence {
public:
  Silence(const UnansweredAttempt &Attempt, const LatencyDistribution &Times)
      : Attempt(Attempt), Times(Times) {
    const Likelihood Now = getSilenceLikelihood(this->getSurvival({}));
    this->Well = (1 - Attempt.UnhealthyProbability) / Now.Well;
    this->Sick = Attempt.UnhealthyProbability / Now.Sick;
  }

  double get(Duration Later) const {
    const Likelihood Then = getSilenceLikelihood(this->getSurvival(Later));
    return this->Well * Then.Well + this->Sick * Then.Sick;
  }

private:
  double getSurvival(Duration Later) const {
    return this->Times.getSurvival(toSeconds(this->Attempt.Elapsed + Later) /
                                   toSeconds(this->Attempt.TypicalTime));
  }

  const UnansweredAttempt &Attempt;
  const LatencyDistribution &Times;
  double Well = 0;
  double Sick = 0;
};

} // namespace

double computeWaitingUtility(const UnansweredAttempt &Attempt,
                             const LatencyDistribution &Times) {
  if (Attempt.TimeToDeadline <= Duration::zero() ||
      Attempt.TypicalTime <= Duration::zero())
    return 0;
  const Silence Silent(Attempt, Times);
  std::array<Duration, Moments + 1> At{};
  std::array<double, Moments + 1> StillSilent{};
  for (size_t I = 0; I <= Moments; ++I) {
    At[I] = getMoment(I, Attempt.TimeToDeadline);
    StillSilent[I] = Silent.get(At[I]);
  }
  double Worth = 0;
  for (size_t I = Moments; I > 0; --I) {
    const bool IsInTime = (At[I - 1] + At[I]) / 2 <= Attempt.TimeToObjective;
    const double Answered = StillSilent[I - 1] - StillSilent[I];
    Worth =
        (Answered * (IsInTime ? 1.0 : LateUtility) + StillSilent[I] * Worth) /
        StillSilent[I - 1];
    if (I > 1)
      Worth =
          std::max(Worth, computeAlternativeUtility(Attempt, Times, At[I - 1]) -
                              Attempt.RetryCost);
  }
  return Worth;
}

bool shouldRetryElsewhere(const UnansweredAttempt &Attempt,
                          const LatencyDistribution &Times) {
  const double Now =
      computeAlternativeUtility(Attempt, Times, Duration::zero());
  return Now - Attempt.RetryCost >
         computeWaitingUtility(Attempt, Times) - Indifference;
}

} // namespace canvaswick
