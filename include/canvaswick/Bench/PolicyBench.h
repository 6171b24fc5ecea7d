//===- PolicyBench.h - Benchmark of health policies -------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Runs the health policies, server selection and retry budgets of many daemons
/// against simulated backend servers of one service and a simulated network
/// between daemons, in virtual time. It uses no sockets and no threads, so a
/// run depends on the scenario and the seed alone.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_BENCH_POLICYBENCH_H
#define CANVASWICK_BENCH_POLICYBENCH_H

#include "canvaswick/Bench/Scenario.h"
#include "canvaswick/Health/HealthPolicy.h"

#include <cstdint>
#include <string>
#include <vector>

namespace canvaswick {

/// The result of a run, which is one line of CSV.
struct BenchResult {
  std::string Scenario;
  std::string Policy;
  uint64_t Seed = 0;
  /// Number of pairs of a fault and an affected server, counted for faults that
  /// the removal of servers can mitigate.
  int Faults = 0;
  int Detected = 0;
  /// Quantiles of the detection time in seconds over all pairs. An undetected
  /// pair counts with the length of the fault, so the quantiles are lower
  /// bounds then.
  double DetectionP50 = 0;
  double DetectionP99 = 0;
  /// Removals of healthy servers. Removals by several daemons at the same time
  /// count once.
  int FalseEjections = 0;
  /// Seconds of healthy servers that were lost to reduced shares, by the mean
  /// share over all daemons.
  double HealthySecondsLost = 0;
  uint64_t Requests = 0;
  /// Fractions of the requests that failed, and that were answered slowly.
  double FailedShare = 0;
  double LateShare = 0;
  /// Times that a daemon kept less capacity in use than the floor demands.
  int FloorViolations = 0;
  /// Mean bytes per second that a daemon sends and receives for the evidence
  /// exchange.
  double ControlBytesPerSecond = 0;
};

/// Runs one policy on one scenario.
BenchResult runPolicyBench(const Scenario &Spec, PolicyKind Policy,
                           uint64_t Seed);

/// Returns the median of each column over the results of one scenario and
/// policy with several seeds. Its Seed is the number of results. Results must
/// not be empty.
BenchResult computeMedians(const std::vector<BenchResult> &Results);

/// Returns the header line of the CSV.
std::string getBenchCsvHeader();

/// Returns the CSV line of a result.
std::string formatBenchCsv(const BenchResult &Result);

} // namespace canvaswick

#endif // CANVASWICK_BENCH_POLICYBENCH_H
