//===- BurnReport.h - Error budget burn rates per service -------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Computes the burn rate of each service's error budget over short and long
/// windows, merged over the daemons that answered.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_METRICS_BURNREPORT_H
#define CANVASWICK_METRICS_BURNREPORT_H

#include "canvaswick/Metrics/ServiceMetrics.h"

#include <map>
#include <string>
#include <vector>

namespace canvaswick {

/// The lengths of the report's windows, in minutes.
inline constexpr std::array<int, 4> BurnWindows = {5, 30, 60, 360};

/// The request totals that one daemon reports for one service, per window.
struct BurnSample {
  std::string Service;
  std::string Hall;
  int64_t ObjectivePercent = 0;
  std::array<ServiceTotals, BurnWindows.size()> Totals;
};

/// One line of the report: a service in one hall, or in all halls.
struct BurnLine {
  std::string Service;
  /// Empty for the line over all halls.
  std::string Hall;
  int64_t ObjectivePercent = 0;
  std::array<ServiceTotals, BurnWindows.size()> Totals;

  /// Returns the burn rate in the window with this index: the fraction of bad
  /// requests divided by the fraction that the objective allows. At 1 the
  /// service spends exactly its budget. Negative if there were no requests.
  double getBurn(size_t Window) const;
};

/// The report over all services, and the daemons that it doesn't cover.
struct BurnReport {
  std::vector<BurnLine> Lines;
  std::vector<std::string> SilentDaemons;
};

/// Sums the samples by service and hall, and by service over all halls.
BurnReport mergeBurnSamples(const std::vector<BurnSample> &Samples,
                            std::vector<std::string> SilentDaemons);

/// Formats the report as a table for people.
std::string formatBurnText(const BurnReport &Report);

/// Formats the report as CSV with a header line.
std::string formatBurnCsv(const BurnReport &Report);

} // namespace canvaswick

#endif // CANVASWICK_METRICS_BURNREPORT_H
