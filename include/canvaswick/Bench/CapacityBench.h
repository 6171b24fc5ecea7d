//===- CapacityBench.h - Measures the slopes that docs/CAPACITY.md is worked out
// from -*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Each table measures one thing over several sizes and prints CSV. Figures of
/// one machine: slopes, not promises.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_BENCH_CAPACITYBENCH_H
#define CANVASWICK_BENCH_CAPACITYBENCH_H

#include <string>
#include <vector>

namespace canvaswick {

/// One table of the capacity bench.
struct CapacityTable {
  const char *Name;
  const char *Measures;
  /// Runs it and returns CSV with a header.
  std::string (*Run)();
};

/// Returns all tables.
const std::vector<CapacityTable> &getCapacityTables();

} // namespace canvaswick

#endif // CANVASWICK_BENCH_CAPACITYBENCH_H
