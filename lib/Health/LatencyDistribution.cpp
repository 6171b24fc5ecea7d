//===- LatencyDistribution.cpp - Distribution of answer times -------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Implements a histogram over the logarithm of the latency ratio that starts
/// with a weak prior.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Health/LatencyDistribution.h"

#include <algorithm>
#include <cmath>

namespace canvaswick {

/// The bins cover latency ratios from 1/8 to 32, with four bins per doubling.
/// Ratios outside this range are counted in the outermost bins.
static constexpr double BinsPerDoubling = 4;
static constexpr double FirstDoubling = -3;

/// Weight of the prior in answers. At one request per second, observed answers
/// outweigh it within a minute.
static constexpr double PriorAnswers = 30;

/// Parameters of the prior. Most answers are log-normally distributed around
/// the typical time, with this standard deviation of the logarithm, as is the
/// case for work that consists of several parts. The fraction PriorTail takes
/// an arbitrary multiple of the typical time.
static constexpr double PriorSpread = 0.5;
static constexpr double PriorTail = 0.02;

/// Above this number of answers all counts are halved, so that the distribution
/// follows the recent behaviour of the service.
static constexpr double MaxAnswers = 2000;

/// Returns the position of a latency ratio in units of bins.
static double computeBinPosition(double Ratio) {
  return (std::log2(Ratio) - FirstDoubling) * BinsPerDoubling;
}

/// Returns the fraction of the prior's answers with a higher latency ratio.
static double computePriorSurvival(double Ratio) {
  const double Body =
      0.5 * std::erfc(std::log(Ratio) / (PriorSpread * std::sqrt(2.0)));
  const double Tail = std::min(1.0, 1 / Ratio);
  return (1 - PriorTail) * Body + PriorTail * Tail;
}

LatencyDistribution::LatencyDistribution() {
  double Before = 1;
  for (size_t I = 0; I < BinCount; ++I) {
    const double End =
        std::exp2(FirstDoubling + static_cast<double>(I + 1) / BinsPerDoubling);
    const double After = I + 1 < BinCount ? computePriorSurvival(End) : 0;
    this->Bins[I] = PriorAnswers * (Before - After);
    Before = After;
  }
  this->updateSuffixCounts();
}

/// Updates SuffixCounts. It is computed for each added answer, because the
/// choice of a server reads it about a hundred times per answer.
void LatencyDistribution::updateSuffixCounts() {
  for (size_t I = BinCount; I > 0; --I)
    this->SuffixCounts[I - 1] = this->SuffixCounts[I] + this->Bins[I - 1];
}

void LatencyDistribution::add(double Ratio) {
  if (!(Ratio > 0))
    return;
  const double Position = std::clamp(computeBinPosition(Ratio), 0.0,
                                     static_cast<double>(BinCount - 1));
  this->Bins[static_cast<size_t>(Position)] += 1;
  if (this->SuffixCounts[0] >= MaxAnswers)
    for (double &Count : this->Bins)
      Count /= 2;
  this->updateSuffixCounts();
}

double LatencyDistribution::getSurvival(double Ratio) const {
  if (!(Ratio > 0))
    return 1;
  const double Position = computeBinPosition(Ratio);
  if (Position <= 0)
    return 1;
  const auto Bin = static_cast<size_t>(Position);
  if (Bin >= BinCount)
    return MinSurvival;
  const double Passed = this->Bins[Bin] * (Position - static_cast<double>(Bin));
  return std::max(MinSurvival,
                  (this->SuffixCounts[Bin] - Passed) / this->SuffixCounts[0]);
}

} // namespace canvaswick
