//===- TransitionRates.cpp - How often spells begin and end ---------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// One step of the expectation maximisation of a Markov chain of two states for
/// each outcome.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Health/TransitionRates.h"

#include <algorithm>
#include <cmath>

namespace canvaswick {

/// Changes a second. Slower ones do not matter while requests are in flight,
/// faster ones cannot be followed by news that takes some tens of milliseconds.
static constexpr double LeastBeginRate = 0.002;
static constexpr double MostBeginRate = 0.3;
static constexpr double LeastEndRate = 0.03;
static constexpr double MostEndRate = 1;

/// Between outcomes further apart a server may have changed more than once.
static constexpr Duration LongestStep = fromSeconds(2);

/// Above this much time in a state what was learned of it is halved, so that
/// the rates follow the service.
static constexpr double MostSeconds = 600;

double TransitionRates::getBeginRate() const {
  return std::clamp(this->Begins / this->WellSeconds, LeastBeginRate,
                    MostBeginRate);
}

double TransitionRates::getEndRate() const {
  return std::clamp(this->Ends / this->SickSeconds, LeastEndRate, MostEndRate);
}

double TransitionRates::getUsualSickness() const {
  const double Begin = this->getBeginRate();
  return Begin / (Begin + this->getEndRate());
}

Duration TransitionRates::getMemory() const {
  return fromSeconds(1 / (this->getBeginRate() + this->getEndRate()));
}

double TransitionRates::drift(double Before, Duration Passed) const {
  const double Usual = this->getUsualSickness();
  const double Lives = toSeconds(Passed) / toSeconds(this->getMemory());
  return Usual + (Before - Usual) * std::exp(-std::max(0.0, Lives));
}

static void fade(double &Count, double &Seconds) {
  if (Seconds <= MostSeconds)
    return;
  Count /= 2;
  Seconds /= 2;
}

void TransitionRates::learn(double Before, Duration Passed,
                            const Likelihood &Seen) {
  if (Passed <= Duration::zero() || Passed > LongestStep)
    return;
  const double FallsSick = this->drift(0, Passed);
  const double StaysSick = this->drift(1, Passed);
  const double WellWell = (1 - Before) * (1 - FallsSick) * Seen.Well;
  const double WellSick = (1 - Before) * FallsSick * Seen.Sick;
  const double SickWell = Before * (1 - StaysSick) * Seen.Well;
  const double SickSick = Before * StaysSick * Seen.Sick;
  const double All = WellWell + WellSick + SickWell + SickSick;
  const double Half = (WellSick + SickWell) / 2;
  this->Begins += WellSick / All;
  this->Ends += SickWell / All;
  this->WellSeconds += toSeconds(Passed) * (WellWell + Half) / All;
  this->SickSeconds += toSeconds(Passed) * (SickSick + Half) / All;
  fade(this->Begins, this->WellSeconds);
  fade(this->Ends, this->SickSeconds);
}

} // namespace canvaswick
