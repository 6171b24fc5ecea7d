//===- TransitionRates.cpp - Transition rates of servers ------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Implements one step of online expectation maximization for a two-state
/// Markov chain per outcome.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Health/TransitionRates.h"

#include <algorithm>
#include <cmath>

namespace canvaswick {

/// Bounds of the rates in transitions per second. Slower transitions are
/// irrelevant within the time of a request; faster ones cannot be tracked,
/// since observations of peers arrive after some tens of milliseconds.
static constexpr double MinOnsetRate = 0.002;
static constexpr double MaxOnsetRate = 0.3;
static constexpr double MinRecoveryRate = 0.03;
static constexpr double MaxRecoveryRate = 1;

/// Maximum time between two outcomes to learn from. Over a longer time, a
/// server may have changed its state more than once.
static constexpr Duration MaxLearningStep = fromSeconds(2);

/// Above this total time in a state, in seconds, its counts are halved, so that
/// the rates follow the recent behaviour of the service.
static constexpr double MaxStateSeconds = 600;

double TransitionRates::getOnsetRate() const {
  return std::clamp(this->Onsets / this->HealthySeconds, MinOnsetRate,
                    MaxOnsetRate);
}

double TransitionRates::getRecoveryRate() const {
  return std::clamp(this->Recoveries / this->UnhealthySeconds, MinRecoveryRate,
                    MaxRecoveryRate);
}

double TransitionRates::getStationaryProbability() const {
  const double Onset = this->getOnsetRate();
  return Onset / (Onset + this->getRecoveryRate());
}

Duration TransitionRates::getTimeConstant() const {
  return fromSeconds(1 / (this->getOnsetRate() + this->getRecoveryRate()));
}

double TransitionRates::predict(double Before, Duration Passed) const {
  const double Stationary = this->getStationaryProbability();
  const double TimeConstants =
      toSeconds(Passed) / toSeconds(this->getTimeConstant());
  return Stationary +
         (Before - Stationary) * std::exp(-std::max(0.0, TimeConstants));
}

static void decay(double &Count, double &Seconds) {
  if (Seconds <= MaxStateSeconds)
    return;
  Count /= 2;
  Seconds /= 2;
}

void TransitionRates::learn(double Before, Duration Passed,
                            const Likelihood &Seen) {
  if (Passed <= Duration::zero() || Passed > MaxLearningStep)
    return;
  const double BecomesUnhealthy = this->predict(0, Passed);
  const double StaysUnhealthy = this->predict(1, Passed);
  const double HealthyToHealthy =
      (1 - Before) * (1 - BecomesUnhealthy) * Seen.Healthy;
  const double HealthyToUnhealthy =
      (1 - Before) * BecomesUnhealthy * Seen.Unhealthy;
  const double UnhealthyToHealthy =
      Before * (1 - StaysUnhealthy) * Seen.Healthy;
  const double UnhealthyToUnhealthy = Before * StaysUnhealthy * Seen.Unhealthy;
  const double All = HealthyToHealthy + HealthyToUnhealthy +
                     UnhealthyToHealthy + UnhealthyToUnhealthy;
  const double Half = (HealthyToUnhealthy + UnhealthyToHealthy) / 2;
  this->Onsets += HealthyToUnhealthy / All;
  this->Recoveries += UnhealthyToHealthy / All;
  this->HealthySeconds += toSeconds(Passed) * (HealthyToHealthy + Half) / All;
  this->UnhealthySeconds +=
      toSeconds(Passed) * (UnhealthyToUnhealthy + Half) / All;
  decay(this->Onsets, this->HealthySeconds);
  decay(this->Recoveries, this->UnhealthySeconds);
}

} // namespace canvaswick
