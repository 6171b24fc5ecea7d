//===- ServiceMetrics.cpp - Latency and totals of one service -------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The histogram needs no lock, as its cells are atomic. A mutex guards the
/// ring buffer of minutes.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Metrics/ServiceMetrics.h"
#include "canvaswick/Support/EnumNames.h"

#include <boost/histogram/indexed.hpp>

#include <algorithm>
#include <cmath>

namespace canvaswick {

static constexpr EnumNames<AnswerKind, 4> AnswerKindNames = {{
    {AnswerKind::Good, "good"},
    {AnswerKind::Failed, "failed"},
    {AnswerKind::Refused, "refused"},
    {AnswerKind::Canceled, "canceled"},
}};

const char *getName(AnswerKind Kind) {
  return getEnumName(AnswerKindNames, Kind);
}

static constexpr unsigned LatencyBins = 120;
static constexpr double MinLatencyMillis = 0.05;
static constexpr double MaxLatencyMillis = 100000;

LatencyHistogram makeLatencyHistogram() {
  return LatencyHistogram(std::make_tuple(
      LatencyAxis(LatencyBins, MinLatencyMillis, MaxLatencyMillis),
      KindAxis(0, static_cast<int>(AnswerKindNames.size()))));
}

double getQuantile(const LatencyHistogram &Histogram, double Fraction) {
  const LatencyAxis &Axis =
      Histogram.axis(std::integral_constant<unsigned, 0>{});
  std::vector<double> BinCounts(static_cast<size_t>(Axis.size()) + 2, 0);
  double Total = 0;
  for (auto &&Cell :
       boost::histogram::indexed(Histogram, boost::histogram::coverage::all)) {
    const auto Count = static_cast<double>(Cell->value());
    BinCounts[static_cast<size_t>(Cell.index(0) + 1)] += Count;
    Total += Count;
  }
  if (Total == 0)
    return 0;
  double Below = 0;
  for (size_t I = 0; I < BinCounts.size(); ++I) {
    if (Below + BinCounts[I] < Fraction * Total) {
      Below += BinCounts[I];
      continue;
    }
    const int Bin = static_cast<int>(I) - 1;
    const double Low = std::max(MinLatencyMillis, Axis.value(Bin));
    const double High = std::min(MaxLatencyMillis, Axis.value(Bin + 1));
    const double WithinBin =
        BinCounts[I] > 0 ? (Fraction * Total - Below) / BinCounts[I] : 0;
    return Low * std::pow(High / Low, WithinBin);
  }
  return MaxLatencyMillis;
}

ServiceMetrics::ServiceMetrics()
    : Histogram(makeLatencyHistogram()), Minutes(MinutesKept) {}

static int64_t getMinute(TimePoint Now) {
  return std::chrono::floor<std::chrono::minutes>(Now.time_since_epoch())
      .count();
}

void ServiceMetrics::add(AnswerKind Kind, Duration Latency, Duration Objective,
                         TimePoint Now) {
  this->Histogram(toSeconds(Latency) * 1000, static_cast<int>(Kind));
  // A request that its caller canceled doesn't count against the objective.
  if (Kind == AnswerKind::Canceled)
    return;
  const int64_t Number = getMinute(Now);
  std::lock_guard<std::mutex> Lock(this->Mutex);
  Minute &Current = this->Minutes[static_cast<size_t>(Number) % MinutesKept];
  if (Current.Number != Number)
    Current = Minute{Number, {}};
  ++Current.Totals.All;
  if (Kind == AnswerKind::Good && Latency <= Objective)
    ++Current.Totals.Good;
}

ServiceTotals ServiceMetrics::getTotals(int Minutes, TimePoint Now) const {
  const int64_t Newest = getMinute(Now);
  ServiceTotals Totals;
  std::lock_guard<std::mutex> Lock(this->Mutex);
  for (const Minute &Each : this->Minutes) {
    if (Each.Number < 0 || Each.Number <= Newest - Minutes ||
        Each.Number > Newest)
      continue;
    Totals.All += Each.Totals.All;
    Totals.Good += Each.Totals.Good;
  }
  return Totals;
}

} // namespace canvaswick
