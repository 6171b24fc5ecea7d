//===- DecayingCounter.cpp - Exponentially decaying counts and rates ------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The decay is applied lazily, when a value is read or changed.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Admission/DecayingCounter.h"

#include <algorithm>
#include <cmath>

namespace canvaswick {

//===-- DecayingCounter
//-------------------------------------------------------===//

double DecayingCounter::get(TimePoint Now) const {
  if (Now <= this->UpdatedAt)
    return this->Value;
  return this->Value * std::exp(-toSeconds(Now - this->UpdatedAt) /
                                toSeconds(this->TimeConstant));
}

void DecayingCounter::add(double Amount, TimePoint Now) {
  this->Value = std::max(0.0, this->get(Now) + Amount);
  this->UpdatedAt = std::max(this->UpdatedAt, Now);
}

//===-- SmoothedRate
//-------------------------------------------------------===//

/// Returns the second stage after Elapsed time constants without events.
double SmoothedRate::decaySecondStage(double Elapsed) const {
  return (this->SecondStage + this->FirstStage * Elapsed) * std::exp(-Elapsed);
}

double SmoothedRate::get(TimePoint Now, TimePoint Since) const {
  // With less observed time than this, a single event would look like a high
  // rate.
  constexpr double MinElapsed = 0.25;
  const double TimeConstant = toSeconds(this->TimeConstant);
  const Duration Idle = std::max(Duration::zero(), Now - this->UpdatedAt);
  const double Elapsed =
      std::max(MinElapsed, toSeconds(Now - Since) / TimeConstant);
  const double SettledFraction = 1 - (1 + Elapsed) * std::exp(-Elapsed);
  return this->decaySecondStage(toSeconds(Idle) / TimeConstant) / TimeConstant /
         SettledFraction;
}

void SmoothedRate::add(double Amount, TimePoint Now) {
  const Duration Since = std::max(Duration::zero(), Now - this->UpdatedAt);
  const double Elapsed = toSeconds(Since) / toSeconds(this->TimeConstant);
  this->SecondStage = this->decaySecondStage(Elapsed);
  this->FirstStage =
      std::max(0.0, this->FirstStage * std::exp(-Elapsed) + Amount);
  this->UpdatedAt = std::max(this->UpdatedAt, Now);
}

} // namespace canvaswick
