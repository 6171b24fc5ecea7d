//===- DecayingCounter.cpp - Rates of events, by means that fade ----------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Exponentials, brought up to date when they are asked.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Admission/DecayingCounter.h"

#include <algorithm>
#include <cmath>

namespace canvaswick {

//===-- DecayingCounter
//-------------------------------------------------------===//

double DecayingCounter::get(TimePoint Now) const {
  if (Now <= this->At)
    return this->Value;
  return this->Value *
         std::exp(-toSeconds(Now - this->At) / toSeconds(this->Fade));
}

void DecayingCounter::add(double Amount, TimePoint Now) {
  this->Value = std::max(0.0, this->get(Now) + Amount);
  this->At = std::max(this->At, Now);
}

//===-- SmoothedRate
//-------------------------------------------------------===//

/// Returns the settled part after so many times Fade.
double SmoothedRate::getSettled(double Steps) const {
  return (this->Settled + this->Fresh * Steps) * std::exp(-Steps);
}

double SmoothedRate::get(TimePoint Now, TimePoint Since) const {
  // Less of its time than this would make one event a high rate.
  constexpr double LeastSteps = 0.25;
  const double Fade = toSeconds(this->Fade);
  const Duration Quiet = std::max(Duration::zero(), Now - this->At);
  const double Steps = std::max(LeastSteps, toSeconds(Now - Since) / Fade);
  const double Known = 1 - (1 + Steps) * std::exp(-Steps);
  return this->getSettled(toSeconds(Quiet) / Fade) / Fade / Known;
}

void SmoothedRate::add(double Amount, TimePoint Now) {
  const Duration Since = std::max(Duration::zero(), Now - this->At);
  const double Steps = toSeconds(Since) / toSeconds(this->Fade);
  this->Settled = this->getSettled(Steps);
  this->Fresh = std::max(0.0, this->Fresh * std::exp(-Steps) + Amount);
  this->At = std::max(this->At, Now);
}

} // namespace canvaswick
