//===- HotPlay.h - An organisation that sends ten times its usual -*- C++ -*-=//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A play of the allowance model in which troubles meet a tenfold rise.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_UNITTESTS_ALLOWANCECOINCIDENCE_HOTPLAY_H
#define CANVASWICK_UNITTESTS_ALLOWANCECOINCIDENCE_HOTPLAY_H

#include "canvaswick/Bench/QuotaModel.h"

#include <algorithm>

namespace canvaswick {

/// When the organisation begins to send ten times its usual.
inline constexpr int RiseMs = 8000;

/// Returns a play of three halls in which it does, for six seconds.
inline QuotaScenario makeHot(int DaemonsOfHall, double Rate) {
  QuotaScenario Hot;
  Hot.DaemonsOfHall = DaemonsOfHall;
  Hot.Rate = Rate;
  Hot.Callers = Rate < 20 ? 19 : 200;
  Hot.LengthMs = 15000;
  Hot.HotFactor = 10;
  Hot.HotFromMs = RiseMs;
  Hot.HotForMs = 6000;
  return Hot;
}

/// Returns the same where a third is cut off as it begins, for as long.
inline QuotaScenario makeHotAndCut(int DaemonsOfHall, double Rate) {
  QuotaScenario Cut = makeHot(DaemonsOfHall, Rate);
  Cut.Events = {{QuotaFault::Cut, RiseMs, 6000, 0.33}};
  return Cut;
}

/// Returns the largest part of the bound that a window is filled to.
inline double getWorstFill(const QuotaScenario &Scenario, uint64_t Seeds) {
  double Worst = 0;
  for (uint64_t Seed = 1; Seed <= Seeds; ++Seed)
    Worst = std::max(
        Worst,
        runQuotaModel(Scenario, QuotaMethod::SharedCounts, Seed).MaxWindowFill);
  return Worst;
}

} // namespace canvaswick

#endif // CANVASWICK_UNITTESTS_ALLOWANCECOINCIDENCE_HOTPLAY_H
