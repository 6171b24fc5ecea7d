//===- ServiceMetrics.h - What a daemon counts of one service ---*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Latency histograms by outcome (Boost.Histogram, safe for many threads) and a
/// ring of per-minute totals, from which the burn report is made.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_METRICS_SERVICEMETRICS_H
#define CANVASWICK_METRICS_SERVICEMETRICS_H

#include "canvaswick/Support/Time.h"

#include <boost/histogram/accumulators/count.hpp>
#include <boost/histogram/axis.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <array>
#include <cstdint>
#include <mutex>
#include <string>
#include <tuple>
#include <vector>

namespace canvaswick {

/// How a caller's request ended, for the metrics.
enum class AnswerKind : uint8_t { Good, Failed, Refused, Canceled };

/// Returns the name of a kind as metrics print it.
const char *getName(AnswerKind Kind);

/// A histogram of milliseconds with a logarithmic axis, by answer kind.
using LatencyAxis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;
using KindAxis = boost::histogram::axis::integer<int>;
using ThreadSafeCount = boost::histogram::accumulators::count<uint64_t, true>;
using LatencyHistogram = boost::histogram::histogram<
    std::tuple<LatencyAxis, KindAxis>,
    boost::histogram::dense_storage<ThreadSafeCount>>;

/// Makes an empty histogram with the project's axes: 0.05 ms to 100 s.
LatencyHistogram makeLatencyHistogram();

/// Returns the time in milliseconds below which this part of all entries lie,
/// or 0 for an empty histogram.
double getQuantile(const LatencyHistogram &Histogram, double Part);

/// Requests and good requests of one span of time.
struct ServiceTotals {
  uint64_t All = 0;
  uint64_t Good = 0;
};

/// One service's figures at one daemon. Thread-safe.
class ServiceMetrics {
public:
  ServiceMetrics();

  /// Adds one answer. It is good for the objective if it is of the kind Good
  /// and not later than Objective.
  void add(AnswerKind Kind, Duration Latency, Duration Objective,
           TimePoint Now);

  /// Returns the totals of the last Minutes minutes, up to 6 hours.
  ServiceTotals getTotals(int Minutes, TimePoint Now) const;

  const LatencyHistogram &getHistogram() const { return this->Histogram; }

private:
  struct Minute {
    int64_t Number = -1;
    ServiceTotals Totals;
  };
  static constexpr size_t MinutesKept = 361;

  LatencyHistogram Histogram;
  mutable std::mutex Mutex;
  std::vector<Minute> Minutes;
};

} // namespace canvaswick

#endif // CANVASWICK_METRICS_SERVICEMETRICS_H
