//===- LatencyDistribution.cpp - How long good answers take ---------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A histogram over the logarithm of the pace, begun with a weak prior.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Health/LatencyDistribution.h"

#include <algorithm>
#include <cmath>

namespace canvaswick {

/// The bins cover paces from 1/8 to 32, four to each doubling. What lies beyond
/// is counted in the outermost ones.
static constexpr double BinsPerDoubling = 4;
static constexpr double FirstDoubling = -3;

/// The prior counts like this many answers: it is outweighed within a minute
/// by one request a second.
static constexpr double PriorAnswers = 30;

/// The prior: most answers spread by this factor of e about the usual time, as
/// work does whose parts add up; a few take any multiple of it.
static constexpr double PriorSpread = 0.5;
static constexpr double PriorTail = 0.02;

/// Above this many answers all counts are halved, so that the spread follows
/// what the service does of late.
static constexpr double MaxAnswers = 2000;

/// Returns where a pace lies, counted in bins.
static double computeBinPosition(double Ratio) {
  return (std::log2(Ratio) - FirstDoubling) * BinsPerDoubling;
}

/// Returns the part of the prior's answers that take longer than a pace.
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

/// Brings Longer up to date. Choices ask a hundred times for each answer that
/// is added.
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
