//===- OutcomeRates.h - Learned likelihoods of outcomes ---------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Declares the estimator of how often healthy and unhealthy servers of a
/// service give each outcome. Unhealthy servers of one service reset nearly all
/// requests at once, those of another never answer: there, a request without an
/// answer means opposite things.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_HEALTH_OUTCOMERATES_H
#define CANVASWICK_HEALTH_OUTCOMERATES_H

#include "canvaswick/Health/Outcome.h"
#include "canvaswick/Health/TransitionRates.h"

#include <array>

namespace canvaswick {

/// The likelihoods of outcomes at the servers of one service. Begins with those
/// that apply to services in general. Not thread-safe.
class OutcomeRates {
public:
  /// Returns the likelihood of an outcome.
  Likelihood getLikelihood(RequestOutcome Outcome) const;

  /// Returns the likelihood that a request has no answer yet. LatencyRatio is
  /// its age in typical times, and Survival the fraction of good answers that
  /// take longer.
  Likelihood getNoAnswerLikelihood(double LatencyRatio, double Survival) const;

  /// Returns the fraction of requests that an unhealthy server never answers.
  double getNoAnswerFraction() const;

  /// Learns from one outcome of a server that was unhealthy with a probability
  /// when the request arrived there.
  void learn(RequestOutcome Outcome, double UnhealthyProbability);

private:
  /// Expected numbers of requests at servers in one state.
  struct Counts {
    double All = 0;
    std::array<double, OutcomeCount> ByOutcome{};
  };

  static void add(Counts &Learned, RequestOutcome Outcome, double Weight);

  Counts Unhealthy;
  Counts Healthy;
};

} // namespace canvaswick

#endif // CANVASWICK_HEALTH_OUTCOMERATES_H
