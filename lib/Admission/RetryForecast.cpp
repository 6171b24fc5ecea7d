//===- RetryForecast.cpp - When the next retries are allowed --------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A retry becomes possible again when an earlier one leaves the window. The
/// rate of requests is assumed to stay as it was in the window.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Admission/FleetRetryBudget.h"

#include <algorithm>
#include <cmath>

namespace canvaswick {

RetryForecast FleetRetryBudget::forecast(TimePoint Now) {
  RetryForecast Forecast;
  Forecast.Window = this->FleetLimit.Window;
  const double Free = this->getAllowed(Now) + this->Rounding -
                      static_cast<double>(this->Retries.size());
  Forecast.Times.assign(this->Borrowed.size(), Now);
  for (double Wanted = 1;; ++Wanted) {
    // The number of retries that must have left the window before.
    const auto Leaving =
        static_cast<size_t>(std::max(0.0, std::ceil(Wanted - Free)));
    if (Leaving > this->Retries.size())
      break;
    Forecast.Times.push_back(
        Leaving == 0 ? Now : this->Retries[Leaving - 1] + Forecast.Window);
  }
  // Retries that were lent are recorded ahead of time, so that their order may
  // differ.
  std::sort(Forecast.Times.begin(), Forecast.Times.end());
  return Forecast;
}

} // namespace canvaswick
