//===- TransitionRates.h - How often spells begin and end -------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Learns, for one service, how often its servers fall sick and how long that
/// lasts, from the same model that judges each of them: expected counts of
/// changes and expected time in each state, both fading.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_HEALTH_TRANSITIONRATES_H
#define CANVASWICK_HEALTH_TRANSITIONRATES_H

#include "canvaswick/Support/Time.h"

namespace canvaswick {

/// How likely an outcome is at a sick and at a well server.
struct Likelihood {
  double Unhealthy;
  double Healthy;
};

/// The rates at which a service's servers change between well and sick. Not
/// thread-safe.
class TransitionRates {
public:
  /// Returns the part of the servers that are sick at any time.
  double getStationaryProbability() const;

  /// Returns how fast what is known of a server loses its worth: after this
  /// time all but 1/e of it is gone.
  Duration getTimeConstant() const;

  /// Returns the probability of sickness after Passed, if it was Before.
  double predict(double Before, Duration Passed) const;

  /// Learns from one outcome at a server that was sick with the probability
  /// Before when the last one came, Passed ago.
  void learn(double Before, Duration Passed, const Likelihood &Seen);

private:
  double getOnsetRate() const;
  double getRecoveryRate() const;

  // The prior: a server falls sick once in ten seconds and is so for four. It
  // counts like half a minute of one server's life, so that what a service does
  // outweighs it within seconds.
  double Onsets = 3;
  double HealthySeconds = 30;
  double Recoveries = 3;
  double UnhealthySeconds = 13;
};

} // namespace canvaswick

#endif // CANVASWICK_HEALTH_TRANSITIONRATES_H
