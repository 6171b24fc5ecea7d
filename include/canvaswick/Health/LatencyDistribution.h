//===- LatencyDistribution.h - How long good answers take -------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Learns how the times of good answers spread about what is usual, so that a
/// request that is still out can be judged at any moment: what part of the good
/// answers takes longer than it has been out already.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_HEALTH_LATENCYDISTRIBUTION_H
#define CANVASWICK_HEALTH_LATENCYDISTRIBUTION_H

#include <array>
#include <cstddef>

namespace canvaswick {

/// The spread of the answer times of one service. A pace is a time divided by
/// the usual time of its route at the server's load. Not thread-safe.
class LatencyDistribution {
public:
  /// Begins with what is usual for services at large.
  LatencyDistribution();

  /// Adds the pace of one good answer, above 0.
  void add(double Ratio);

  /// Returns the part of good answers that take longer than Pace: from 1 for
  /// none at all down to MinSurvival.
  double getSurvival(double Ratio) const;

  /// Some good answers take longer than any that were seen.
  static constexpr double MinSurvival = 0.004;

private:
  static constexpr size_t BinCount = 32;

  void updateSuffixCounts();

  std::array<double, BinCount> Bins{};
  /// For each bin the answers in it and in all longer ones; a last 0.
  std::array<double, BinCount + 1> SuffixCounts{};
};

} // namespace canvaswick

#endif // CANVASWICK_HEALTH_LATENCYDISTRIBUTION_H
