//===- CapacityBench.h - Cost per unit of load for sizing -------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Measures how the costs of a daemon grow with the size of the fleet, as the
/// input of docs/CAPACITY.md. Each table covers one cost at several sizes. The
/// figures hold for the host they were taken on; what carries over is the
/// growth, not the absolute values.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_BENCH_CAPACITYBENCH_H
#define CANVASWICK_BENCH_CAPACITYBENCH_H

#include <string>
#include <vector>

namespace canvaswick {

/// One table of the capacity benchmark.
struct CapacityTable {
  const char *Name;
  /// One line that says what is measured.
  const char *Measures;
  /// Runs the measurement and returns CSV with a header.
  std::string (*Run)();
};

/// Returns all tables.
const std::vector<CapacityTable> &getCapacityTables();

} // namespace canvaswick

#endif // CANVASWICK_BENCH_CAPACITYBENCH_H
