//===- ServiceMetrics.h - Latency and totals of one service -----*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Defines a latency histogram by outcome (Boost.Histogram with thread-safe
/// cells) and a ring buffer of totals per minute, from which the burn report is
/// built.
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
#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <tuple>
#include <vector>

namespace canvaswick {

/// The outcome of a caller's request in the metrics.
enum class AnswerKind : uint8_t { Good, Failed, Refused, Canceled };

/// Returns the name of a kind as the metrics page prints it.
const char *getName(AnswerKind Kind);

/// A histogram of latencies in milliseconds on a logarithmic axis, by answer
/// kind.
using LatencyAxis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;
using KindAxis = boost::histogram::axis::integer<int>;
using ThreadSafeCount = boost::histogram::accumulators::count<uint64_t, true>;
using LatencyHistogram = boost::histogram::histogram<
    std::tuple<LatencyAxis, KindAxis>,
    boost::histogram::dense_storage<ThreadSafeCount>>;

/// Returns an empty histogram from 0.05 ms to 100 s with all answer kinds.
LatencyHistogram makeLatencyHistogram();

/// Returns the latency in milliseconds below which this fraction of all entries
/// lies, interpolated within a bin, or 0 for an empty histogram.
double getQuantile(const LatencyHistogram &Histogram, double Fraction);

/// The numbers of all and of good requests in one span of time.
struct ServiceTotals {
  uint64_t All = 0;
  uint64_t Good = 0;
};

/// How many requests arrived at the servers of a service: first attempts, and
/// arrivals of a request that had arrived at a server before.
struct ArrivalCounts {
  uint64_t First = 0;
  uint64_t Repeated = 0;
};

/// The metrics of one service at one daemon. Thread-safe.
class ServiceMetrics {
public:
  ServiceMetrics();

  /// Records one answer. It meets the objective if its kind is Good and its
  /// latency is at most Objective. Canceled requests enter the histogram only.
  void add(AnswerKind Kind, Duration Latency, Duration Objective,
           TimePoint Now);

  /// Returns the totals of the current minute and the Minutes - 1 before it, at
  /// most 6 hours in all.
  ServiceTotals getTotals(int Minutes, TimePoint Now) const;

  /// Records that a request was sent to a server. IsRepeated tells whether the
  /// request had been sent to one before.
  void recordArrival(bool IsRepeated) {
    ++(IsRepeated ? this->RepeatedArrivals : this->FirstArrivals);
  }

  ArrivalCounts getArrivals() const {
    return {this->FirstArrivals, this->RepeatedArrivals};
  }

  const LatencyHistogram &getHistogram() const { return this->Histogram; }

private:
  /// One entry of the ring buffer; Number counts minutes of the steady clock.
  struct Minute {
    int64_t Number = -1;
    ServiceTotals Totals;
  };
  /// The longest window of the burn report (360 minutes) and one more entry.
  static constexpr size_t MinutesKept = 361;

  LatencyHistogram Histogram;
  std::atomic<uint64_t> FirstArrivals{0};
  std::atomic<uint64_t> RepeatedArrivals{0};
  mutable std::mutex Mutex;
  std::vector<Minute> Minutes;
};

} // namespace canvaswick

#endif // CANVASWICK_METRICS_SERVICEMETRICS_H
