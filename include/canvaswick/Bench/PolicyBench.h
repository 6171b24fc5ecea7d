//===- PolicyBench.h - Measures a policy on a scenario ----------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The decision objects of many daemons, small fakes of one service's backend
/// servers and of the exchange between daemons, on a clock that is an argument.
/// No sockets, no threads: a run depends on the scenario and the seed alone.
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

/// What a run showed; one line of the bench's CSV.
struct BenchResult {
  std::string Scenario;
  std::string Policy;
  uint64_t Seed = 0;
  /// Pairs of a fault that removing can mend and a server it hits.
  int Faults = 0;
  int Detected = 0;
  /// Over all pairs; one that was not detected counts with the fault's whole
  /// length, so these are lower bounds then.
  double DetectionP50 = 0;
  double DetectionP99 = 0;
  int FalseEjections = 0;
  double HealthySecondsLost = 0;
  uint64_t Requests = 0;
  double FailedShare = 0;
  double LateShare = 0;
  int FloorViolations = 0;
  /// Sent and received by one daemon for the exchange, on average.
  double ControlBytesPerSecond = 0;
};

/// Runs one policy on one scenario.
BenchResult runPolicyBench(const Scenario &Spec, PolicyKind Policy,
                           uint64_t Seed);

/// Returns the medians of the results of one scenario and policy over seeds,
/// column by column. Its seed is how many there were.
BenchResult computeMedians(const std::vector<BenchResult> &Results);

/// Returns the header of the CSV.
std::string getBenchCsvHeader();

/// Returns the line of a result.
std::string formatBenchCsv(const BenchResult &Result);

} // namespace canvaswick

#endif // CANVASWICK_BENCH_POLICYBENCH_H
