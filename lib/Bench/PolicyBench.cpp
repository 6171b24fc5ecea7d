//===- PolicyBench.cpp - Benchmark of health policies ---------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Runs a scenario, computes medians over runs and formats the CSV.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Bench/PolicyBench.h"
#include "BenchRun.h"

#include <fmt/format.h>

#include <algorithm>

namespace canvaswick {

BenchResult runPolicyBench(const Scenario &Spec, PolicyKind Policy,
                           uint64_t Seed) {
  BenchRun Run(Spec, Policy, Seed);
  return Run.run();
}

template <typename T>
static T getMedian(const std::vector<BenchResult> &Results,
                   T BenchResult::*Column) {
  std::vector<T> Values;
  Values.reserve(Results.size());
  for (const BenchResult &Each : Results)
    Values.push_back(Each.*Column);
  std::sort(Values.begin(), Values.end());
  return Values[Values.size() / 2];
}

BenchResult computeMedians(const std::vector<BenchResult> &Results) {
  BenchResult Median = Results.front();
  Median.Seed = Results.size();
  Median.Faults = getMedian(Results, &BenchResult::Faults);
  Median.Detected = getMedian(Results, &BenchResult::Detected);
  Median.DetectionP50 = getMedian(Results, &BenchResult::DetectionP50);
  Median.DetectionP99 = getMedian(Results, &BenchResult::DetectionP99);
  Median.FalseEjections = getMedian(Results, &BenchResult::FalseEjections);
  Median.HealthySecondsLost =
      getMedian(Results, &BenchResult::HealthySecondsLost);
  Median.Requests = getMedian(Results, &BenchResult::Requests);
  Median.FailedShare = getMedian(Results, &BenchResult::FailedShare);
  Median.LateShare = getMedian(Results, &BenchResult::LateShare);
  Median.FloorViolations = getMedian(Results, &BenchResult::FloorViolations);
  Median.ControlBytesPerSecond =
      getMedian(Results, &BenchResult::ControlBytesPerSecond);
  return Median;
}

std::string getBenchCsvHeader() {
  return "scenario,policy,seed,faults,detected,detection_p50_s,"
         "detection_p99_s,false_ejections,healthy_server_seconds_lost,"
         "requests,failed_share,late_share,floor_violations,"
         "control_bytes_per_s\n";
}

std::string formatBenchCsv(const BenchResult &Each) {
  return fmt::format(
      "{},{},{},{},{},{:.1f},{:.1f},{},{:.1f},{},{:.6f},{:.6f},{},{:.0f}\n",
      Each.Scenario, Each.Policy, Each.Seed, Each.Faults, Each.Detected,
      Each.DetectionP50, Each.DetectionP99, Each.FalseEjections,
      Each.HealthySecondsLost, Each.Requests, Each.FailedShare, Each.LateShare,
      Each.FloorViolations, Each.ControlBytesPerSecond);
}

} // namespace canvaswick
