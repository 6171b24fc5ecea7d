//===- ServiceMetrics.cpp - What a daemon counts of one service -----------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The histogram takes no lock; the ring of minutes has one of its own.
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
static constexpr double LeastMillis = 0.05;
static constexpr double MostMillis = 100000;

LatencyHistogram makeLatencyHistogram() {
  return LatencyHistogram(
      std::make_tuple(LatencyAxis(LatencyBins, LeastMillis, MostMillis),
                      KindAxis(0, static_cast<int>(AnswerKindNames.size()))));
}

double getQuantile(const LatencyHistogram &Histogram, double Part) {
  const LatencyAxis &Axis =
      Histogram.axis(std::integral_constant<unsigned, 0>{});
  std::vector<double> PerBin(static_cast<size_t>(Axis.size()) + 2, 0);
  double All = 0;
  for (auto &&Cell :
       boost::histogram::indexed(Histogram, boost::histogram::coverage::all)) {
    const auto Count = static_cast<double>(Cell->value());
    PerBin[static_cast<size_t>(Cell.index(0) + 1)] += Count;
    All += Count;
  }
  if (All == 0)
    return 0;
  double Below = 0;
  for (size_t I = 0; I < PerBin.size(); ++I) {
    if (Below + PerBin[I] < Part * All) {
      Below += PerBin[I];
      continue;
    }
    const int Bin = static_cast<int>(I) - 1;
    const double Low = std::max(LeastMillis, Axis.value(Bin));
    const double High = std::min(MostMillis, Axis.value(Bin + 1));
    const double Into = PerBin[I] > 0 ? (Part * All - Below) / PerBin[I] : 0;
    return Low * std::pow(High / Low, Into);
  }
  return MostMillis;
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
  // A caller that left is no failure of the service.
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
