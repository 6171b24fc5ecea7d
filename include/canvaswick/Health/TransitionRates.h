//===- TransitionRates.h - Transition rates of servers ----------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Declares the estimator of how often the servers of a service become
/// unhealthy and how long they stay so. It uses the same two-state model as the
/// estimate of each server: expected numbers of transitions and expected times
/// in each state, both with exponential forgetting.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_HEALTH_TRANSITIONRATES_H
#define CANVASWICK_HEALTH_TRANSITIONRATES_H

#include "canvaswick/Support/Time.h"

namespace canvaswick {

/// Likelihood of an outcome at an unhealthy and at a healthy server.
struct Likelihood {
  double Unhealthy;
  double Healthy;
};

/// The rates of transitions of a service's servers between healthy and
/// unhealthy. Not thread-safe.
class TransitionRates {
public:
  /// Returns the stationary probability of the unhealthy state, which is the
  /// long-term fraction of unhealthy servers.
  double getStationaryProbability() const;

  /// Returns the time constant of the model: after this time, the weight of an
  /// earlier estimate has decayed to 1/e.
  Duration getTimeConstant() const;

  /// Returns the unhealthy probability at a time Passed after it was Before,
  /// without further outcomes.
  double predict(double Before, Duration Passed) const;

  /// Updates the rates by one outcome of a server that was unhealthy with the
  /// probability Before at its previous outcome, a time Passed ago.
  void learn(double Before, Duration Passed, const Likelihood &Seen);

private:
  double getOnsetRate() const;
  double getRecoveryRate() const;

  // The prior: a server becomes unhealthy once in 10 s and stays so for about 4
  // s. Its weight is that of 30 s of observing one server, so that the outcomes
  // of a service outweigh it within seconds.
  double Onsets = 3;
  double HealthySeconds = 30;
  double Recoveries = 3;
  double UnhealthySeconds = 13;
};

} // namespace canvaswick

#endif // CANVASWICK_HEALTH_TRANSITIONRATES_H
