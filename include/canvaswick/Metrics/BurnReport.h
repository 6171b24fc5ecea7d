//===- BurnReport.h - The report on service-level burn ----------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// How fast each service spends its error budget, over short and long windows,
/// merged over the daemons that answered.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_METRICS_BURNREPORT_H
#define CANVASWICK_METRICS_BURNREPORT_H

#include "canvaswick/Metrics/ServiceMetrics.h"

#include <map>
#include <string>
#include <vector>

namespace canvaswick {

/// The windows of the report, in minutes.
inline constexpr std::array<int, 4> BurnWindows = {5, 30, 60, 360};

/// What one daemon reports of one service.
struct BurnSample {
  std::string Service;
  std::string Hall;
  int64_t ObjectivePercent = 0;
  std::array<ServiceTotals, BurnWindows.size()> Totals;
};

/// One line of the report.
struct BurnLine {
  std::string Service;
  /// Empty for the line over all halls.
  std::string Hall;
  int64_t ObjectivePercent = 0;
  std::array<ServiceTotals, BurnWindows.size()> Totals;

  /// Returns how fast the budget is spent in a window: 1 spends exactly the
  /// budget, 0 nothing. Negative when there were no requests.
  double getBurn(size_t Window) const;
};

/// The whole report.
struct BurnReport {
  std::vector<BurnLine> Lines;
  std::vector<std::string> SilentDaemons;
};

/// Merges the samples of the daemons that answered.
BurnReport mergeBurnSamples(const std::vector<BurnSample> &Samples,
                            std::vector<std::string> SilentDaemons);

/// Writes the report for people.
std::string formatBurnText(const BurnReport &Report);

/// Writes the report as CSV with a header.
std::string formatBurnCsv(const BurnReport &Report);

} // namespace canvaswick

#endif // CANVASWICK_METRICS_BURNREPORT_H
