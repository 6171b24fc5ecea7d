//===- Tuning.cpp - The numbers behind the one weighing setting -----------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// One row a preset.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Health/Tuning.h"

#include <cassert>

namespace canvaswick {

/// What the three presets share.
static HealthTuning makeCommonTuning() {
  HealthTuning Tuning;
  Tuning.MinSources = 3;
  Tuning.HallBound = 0.6;
  Tuning.LongestHold = fromSeconds(30);
  return Tuning;
}

HealthTuning getTuning(EjectionPreference Preference) {
  HealthTuning Tuning = makeCommonTuning();
  switch (Preference) {
  case EjectionPreference::Detection:
    Tuning.Threshold = 11;
    Tuning.ReturnThreshold = 5;
    Tuning.SourceBound = 0.4;
    Tuning.HallBound = 0.7;
    Tuning.SlowPerSecond = 5;
    Tuning.FirstHold = fromSeconds(4);
    Tuning.ReportInterval = fromMillis(500);
    return Tuning;
  case EjectionPreference::Balanced:
    Tuning.Threshold = 14;
    Tuning.ReturnThreshold = 6;
    Tuning.SourceBound = 0.4;
    Tuning.SlowPerSecond = 4;
    Tuning.FirstHold = fromSeconds(5);
    Tuning.ReportInterval = fromSeconds(1);
    return Tuning;
  case EjectionPreference::FalseEjections:
    Tuning.Threshold = 18;
    Tuning.ReturnThreshold = 8;
    Tuning.SourceBound = 0.34;
    Tuning.SlowPerSecond = 4;
    Tuning.FirstHold = fromSeconds(5);
    Tuning.ReportInterval = fromSeconds(1);
    return Tuning;
  }
  assert(false && "weighing without a tuning");
  return Tuning;
}

} // namespace canvaswick
