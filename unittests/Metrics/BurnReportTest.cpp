//===- BurnReportTest.cpp - Tests of BurnReport and ServiceMetrics --------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Checks the burn report against values computed by hand, the totals by answer
/// kind and latency, and the accuracy of the quantiles.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Metrics/BurnReport.h"

#include <doctest/doctest.h>

using namespace canvaswick;

static BurnSample makeSample(const char *Hall, uint64_t All, uint64_t Good) {
  BurnSample Sample;
  Sample.Service = "catalogue";
  Sample.Hall = Hall;
  Sample.ObjectivePercent = 99;
  Sample.Totals[0] = {All, Good};
  return Sample;
}

TEST_CASE("burn rates match values computed by hand") {
  // Hall a: 20 of 1000 requests are bad: 2 % of an allowed 1 %, a rate of 2.
  // Hall b: 0 of 3000 requests are bad: a rate of 0.
  // Both halls: 20 of 4000 requests are bad: 0.5 % of 1 %, a rate of 0.5.
  const BurnReport Report =
      mergeBurnSamples({makeSample("a", 400, 390), makeSample("a", 600, 590),
                        makeSample("b", 3000, 3000)},
                       {"d9"});
  REQUIRE(Report.Lines.size() == 3);
  CHECK(Report.Lines[0].Hall.empty());
  CHECK(Report.Lines[0].getBurn(0) == doctest::Approx(0.5));
  CHECK(Report.Lines[1].getBurn(0) == doctest::Approx(2));
  CHECK(Report.Lines[2].getBurn(0) == doctest::Approx(0));
  CHECK(Report.Lines[2].getBurn(1) < 0);
  const std::string Csv = formatBurnCsv(Report);
  CHECK(Csv.find("catalogue,a,99,2.00,1000,-,0,-,0,-,0\n") !=
        std::string::npos);
  CHECK(Csv.find("# no answer from d9\n") != std::string::npos);
  CHECK(formatBurnText(Report).find("no answer from d9\n") !=
        std::string::npos);
}

TEST_CASE("only good answers within the objective count as good") {
  ServiceMetrics Metrics;
  const TimePoint Now = TimePoint{} + fromSeconds(6000);
  Metrics.add(AnswerKind::Good, fromMillis(10), fromMillis(100), Now);
  Metrics.add(AnswerKind::Good, fromMillis(200), fromMillis(100), Now);
  Metrics.add(AnswerKind::Failed, fromMillis(10), fromMillis(100), Now);
  Metrics.add(AnswerKind::Refused, fromMillis(0), fromMillis(100), Now);
  Metrics.add(AnswerKind::Canceled, fromMillis(10), fromMillis(100), Now);
  const ServiceTotals Totals = Metrics.getTotals(5, Now);
  CHECK(Totals.All == 4);
  CHECK(Totals.Good == 1);
  CHECK(Metrics.getTotals(5, Now + fromSeconds(360)).All == 0);
  CHECK(Metrics.getTotals(30, Now + fromSeconds(360)).All == 4);
}

TEST_CASE("quantiles are accurate to the width of a bin") {
  LatencyHistogram Histogram = makeLatencyHistogram();
  for (int I = 1; I <= 1000; ++I)
    Histogram(static_cast<double>(I), 0);
  CHECK(getQuantile(Histogram, 0.5) == doctest::Approx(500).epsilon(0.15));
  CHECK(getQuantile(Histogram, 0.99) == doctest::Approx(990).epsilon(0.15));
  CHECK(getQuantile(makeLatencyHistogram(), 0.5) == 0);
}
