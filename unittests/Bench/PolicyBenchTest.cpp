//===- PolicyBenchTest.cpp - Tests of the policy benchmark ----------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Checks that runs are reproducible, that the shipped scenarios load, and that
/// the pooled policy meets its goals in one scenario.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Bench/PolicyBench.h"

#include <doctest/doctest.h>

#include <filesystem>

using namespace canvaswick;

static std::string getScenarioDirectory() {
  return std::string(SOURCE_DIR) + "/benchmarks/scenarios";
}

TEST_CASE("every shipped scenario loads") {
  int Count = 0;
  for (const auto &File :
       std::filesystem::directory_iterator(getScenarioDirectory())) {
    Result<Scenario> Loaded = loadScenario(File.path().string());
    CHECK_MESSAGE(Loaded.has_value(), File.path().string());
    ++Count;
  }
  CHECK(Count >= 90);
}

TEST_CASE("runs with the same seed are identical, and pooling detects sooner") {
  Result<Scenario> Loaded =
      loadScenario(getScenarioDirectory() + "/guild-commissions-fail.ini");
  REQUIRE(Loaded);
  const std::string First =
      formatBenchCsv(runPolicyBench(Loaded.value(), PolicyKind::Pooled, 7));
  CHECK(First ==
        formatBenchCsv(runPolicyBench(Loaded.value(), PolicyKind::Pooled, 7)));
  const BenchResult Pooled =
      runPolicyBench(Loaded.value(), PolicyKind::Pooled, 7);
  const BenchResult Baseline =
      runPolicyBench(Loaded.value(), PolicyKind::Baseline, 7);
  CHECK(Pooled.Requests == Baseline.Requests);
  CHECK(Pooled.Detected == Pooled.Faults);
  CHECK(Pooled.DetectionP50 <= Baseline.DetectionP50 / 4);
  CHECK(Pooled.FloorViolations == 0);
}

TEST_CASE("a missing scenario file is an error") {
  Result<Scenario> Missing = loadScenario("/no/such/file.ini");
  CHECK(!Missing);
}
