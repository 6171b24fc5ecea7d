//===- canvaswick-policy-bench.cpp - Health policy benchmark --------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Runs one or all health policies on a scenario with consecutive seeds and
/// prints the results as CSV.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Bench/PolicyBench.h"
#include "canvaswick/Tool/Program.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <cstdio>

DEFINE_string(scenario, "", "The scenario's INI file");
DEFINE_string(policy, "pooled", "none, baseline or pooled; or all");
DEFINE_uint64(seed, 1, "The first seed");
DEFINE_uint64(seeds, 1, "How many seeds, one line each");
DEFINE_bool(medians, false, "Print medians over the seeds in place of lines");
DEFINE_bool(header, true, "Print the header of the CSV");

using namespace canvaswick;

static constexpr const char *ProgramName = "canvaswick-policy-bench";

int main(int Count, char **Values) {
  parseCommandLine(&Count, &Values,
                   "Measures who gets traffic under a scenario.\n"
                   "canvaswick-policy-bench --scenario FILE.ini --policy "
                   "pooled --seed 1");
  Result<Scenario> Loaded = loadScenario(FLAGS_scenario);
  if (!Loaded) {
    printError(ProgramName, Loaded.error());
    return toInt(ExitCode::BadSettings);
  }
  std::vector<PolicyKind> Kinds = {PolicyKind::None, PolicyKind::Baseline,
                                   PolicyKind::Pooled};
  if (FLAGS_policy != "all") {
    const std::optional<PolicyKind> Kind = findPolicyKind(FLAGS_policy);
    if (!Kind) {
      printError(ProgramName, {ErrorKind::InvalidArgument,
                               "--policy: no policy " + FLAGS_policy});
      return toInt(ExitCode::BadUsage);
    }
    Kinds = {*Kind};
  }
  if (FLAGS_header)
    fmt::print("{}", getBenchCsvHeader());
  for (const PolicyKind Kind : Kinds) {
    std::vector<BenchResult> Results;
    for (uint64_t I = 0; I < FLAGS_seeds; ++I) {
      Results.push_back(runPolicyBench(Loaded.value(), Kind, FLAGS_seed + I));
      if (!FLAGS_medians)
        fmt::print("{}", formatBenchCsv(Results.back()));
    }
    if (FLAGS_medians && !Results.empty())
      fmt::print("{}", formatBenchCsv(computeMedians(Results)));
    std::fflush(stdout);
  }
  return toInt(ExitCode::Success);
}
