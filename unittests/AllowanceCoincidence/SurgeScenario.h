//===- SurgeScenario.h - Tenfold load of an organisation --------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Provides scenarios of the quota model in which faults coincide with a
/// tenfold rise of an organisation's load.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_UNITTESTS_ALLOWANCECOINCIDENCE_SURGESCENARIO_H
#define CANVASWICK_UNITTESTS_ALLOWANCECOINCIDENCE_SURGESCENARIO_H

#include "canvaswick/Bench/QuotaModel.h"

#include <algorithm>

namespace canvaswick {

/// Time at which the organisation starts to send ten times its typical load.
inline constexpr int SurgeStartMs = 8000;

/// Returns a scenario of three halls in which the surge lasts six seconds.
inline QuotaScenario makeSurge(int DaemonsOfHall, double Rate) {
  QuotaScenario Surge;
  Surge.DaemonsOfHall = DaemonsOfHall;
  Surge.Rate = Rate;
  Surge.Callers = Rate < 20 ? 19 : 200;
  Surge.LengthMs = 15000;
  Surge.HotFactor = 10;
  Surge.HotFromMs = SurgeStartMs;
  Surge.HotForMs = 6000;
  return Surge;
}

/// Returns the same scenario, with a third of the daemons cut off from the
/// others during the surge.
inline QuotaScenario makeSurgeWithCut(int DaemonsOfHall, double Rate) {
  QuotaScenario Cut = makeSurge(DaemonsOfHall, Rate);
  Cut.Events = {{QuotaFault::Cut, SurgeStartMs, 6000, 0.33}};
  return Cut;
}

/// Returns the maximum over all windows and seeds of the admitted requests, as
/// a fraction of the bound.
inline double findMaxFill(const QuotaScenario &Scenario, uint64_t Seeds) {
  double MaxFill = 0;
  for (uint64_t Seed = 1; Seed <= Seeds; ++Seed)
    MaxFill = std::max(
        MaxFill,
        runQuotaModel(Scenario, QuotaMethod::SharedCounts, Seed).MaxWindowFill);
  return MaxFill;
}

} // namespace canvaswick

#endif // CANVASWICK_UNITTESTS_ALLOWANCECOINCIDENCE_SURGESCENARIO_H
