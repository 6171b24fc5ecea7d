//===- LatencyDistribution.h - Distribution of answer times -----*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Declares the distribution of the times of good answers relative to the
/// typical time. For a request in flight, it gives the fraction of good answers
/// that take longer than the request has already been in flight.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_HEALTH_LATENCYDISTRIBUTION_H
#define CANVASWICK_HEALTH_LATENCYDISTRIBUTION_H

#include <array>
#include <cstddef>

namespace canvaswick {

/// The distribution of latency ratios of one service. A latency ratio is the
/// time of an answer divided by the typical time of its route at the server's
/// load. Not thread-safe.
class LatencyDistribution {
public:
  /// Starts with a weak prior that fits services in general.
  LatencyDistribution();

  /// Adds the latency ratio of one good answer. Ignores ratios that are not
  /// positive.
  void add(double Ratio);

  /// Returns the fraction of good answers with a higher latency ratio. It
  /// decreases from 1 at ratio 0 to MinSurvival.
  double getSurvival(double Ratio) const;

  /// Lower bound of the survival function. Some good answers take longer than
  /// any observed one.
  static constexpr double MinSurvival = 0.004;

private:
  static constexpr size_t BinCount = 32;

  void updateSuffixCounts();

  std::array<double, BinCount> Bins{};
  /// For each bin, the number of answers in this bin and all higher ones. The
  /// last element is 0.
  std::array<double, BinCount + 1> SuffixCounts{};
};

} // namespace canvaswick

#endif // CANVASWICK_HEALTH_LATENCYDISTRIBUTION_H
