//===- canvaswick-capacity-bench.cpp - Capacity benchmark -----------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Runs the measurement that --table selects, or all, and prints each as CSV.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Bench/CapacityBench.h"
#include "canvaswick/Tool/Program.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <cstdio>

DEFINE_string(table, "all", "Which table, or all");

using namespace canvaswick;

int main(int Count, char **Values) {
  parseCommandLine(&Count, &Values,
                   "Measures the slopes of docs/CAPACITY.md.\n"
                   "canvaswick-capacity-bench --table settings");
  bool IsFound = false;
  for (const CapacityTable &Table : getCapacityTables()) {
    if (FLAGS_table != "all" && FLAGS_table != Table.Name)
      continue;
    IsFound = true;
    fmt::print("# {}: {}\n{}\n", Table.Name, Table.Measures, Table.Run());
    std::fflush(stdout);
  }
  if (IsFound)
    return toInt(ExitCode::Success);
  printError("canvaswick-capacity-bench",
             {ErrorKind::InvalidArgument, "--table: no table " + FLAGS_table});
  return toInt(ExitCode::BadUsage);
}
