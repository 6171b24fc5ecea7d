//===- OutcomeRates.cpp - Learned likelihoods of outcomes -----------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Implements one step of online expectation maximization per outcome, with the
/// general likelihoods as the prior.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Health/OutcomeRates.h"
#include "OutcomeLikelihood.h"

#include <algorithm>

namespace canvaswick {

/// Weights of the prior in requests. A service outweighs it within seconds,
/// with some hundred requests.
static constexpr double UnhealthyPriorWeight = 20;
static constexpr double HealthyPriorWeight = 200;

/// The greatest factor by which a learned likelihood differs from the general
/// one, so that most outcomes stay on their side.
static constexpr double MaxFactor = 4;

/// Above this number of requests the counts are halved, so that they follow the
/// recent behaviour of the service.
static constexpr double MaxRequests = 5000;

/// The age in typical times by which early failures have ended.
static constexpr double EarlyFailureRatio = 0.25;

/// The fraction of requests to which a healthy server of services in general
/// gives no answer in time, because the answer is lost or the server is slow.
static constexpr double HealthyNoAnswerFraction = 0.01;

/// Bounds of the learned fraction of requests that an unhealthy server never
/// answers.
static constexpr double MinNoAnswerFraction = 0.02;
static constexpr double MaxNoAnswerFraction = 0.8;

/// Returns whether an outcome shows how the server treated the request. The
/// others have further causes, which change from one moment to the next.
static bool isLearned(RequestOutcome Outcome) {
  switch (Outcome) {
  case RequestOutcome::Good:
  case RequestOutcome::Slow:
  case RequestOutcome::Overdue:
  case RequestOutcome::Failed:
  case RequestOutcome::FailedEarly:
  case RequestOutcome::FailedAfterWork:
    return true;
  case RequestOutcome::Shed:
  case RequestOutcome::Unreachable:
  case RequestOutcome::Misdirected:
  case RequestOutcome::Canceled:
    return false;
  }
  return false;
}

/// Returns the mean of a general likelihood and a learned fraction.
static double combine(double General, double Weight, double Count, double All) {
  const double Combined = (General * Weight + Count) / (Weight + All);
  return std::clamp(Combined, General / MaxFactor, General * MaxFactor);
}

Likelihood OutcomeRates::getLikelihood(RequestOutcome Outcome) const {
  const Likelihood General = canvaswick::getLikelihood(Outcome);
  // A failure is of no known kind only while the typical time is unknown.
  if (!isLearned(Outcome) || Outcome == RequestOutcome::Failed)
    return General;
  const auto Index = static_cast<size_t>(Outcome);
  Likelihood Learned{
      combine(General.Unhealthy, UnhealthyPriorWeight,
              this->Unhealthy.ByOutcome[Index], this->Unhealthy.All),
      combine(General.Healthy, HealthyPriorWeight,
              this->Healthy.ByOutcome[Index], this->Healthy.All)};
  if (Outcome == RequestOutcome::Good)
    Learned.Unhealthy = std::min(Learned.Unhealthy, Learned.Healthy);
  return Learned;
}

double OutcomeRates::getNoAnswerFraction() const {
  const auto Index = static_cast<size_t>(RequestOutcome::Overdue);
  const double Combined =
      (canvaswick::getNoAnswerFraction() * UnhealthyPriorWeight +
       this->Unhealthy.ByOutcome[Index]) /
      (UnhealthyPriorWeight + this->Unhealthy.All);
  return std::clamp(Combined, MinNoAnswerFraction, MaxNoAnswerFraction);
}

Likelihood OutcomeRates::getNoAnswerLikelihood(double LatencyRatio,
                                               double Survival) const {
  const double Never = this->getNoAnswerFraction();
  const Likelihood Early = this->getLikelihood(RequestOutcome::FailedEarly);
  const double Failed = std::min(Early.Unhealthy, 1 - Never) *
                        std::clamp(LatencyRatio / EarlyFailureRatio, 0.0, 1.0);
  const double Answered = 1 - Never - Failed;
  const double Late = combine(
      HealthyNoAnswerFraction, HealthyPriorWeight,
      this->Healthy.ByOutcome[static_cast<size_t>(RequestOutcome::Overdue)],
      this->Healthy.All);
  return {Never + Answered * Survival, Late + (1 - Late) * Survival};
}

void OutcomeRates::add(Counts &Learned, RequestOutcome Outcome, double Weight) {
  Learned.All += Weight;
  Learned.ByOutcome[static_cast<size_t>(Outcome)] += Weight;
  if (Learned.All <= MaxRequests)
    return;
  Learned.All /= 2;
  for (double &Each : Learned.ByOutcome)
    Each /= 2;
}

void OutcomeRates::learn(RequestOutcome Outcome, double UnhealthyProbability) {
  if (!isLearned(Outcome))
    return;
  add(this->Unhealthy, Outcome, UnhealthyProbability);
  add(this->Healthy, Outcome, 1 - UnhealthyProbability);
}

} // namespace canvaswick
