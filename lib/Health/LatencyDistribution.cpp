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
static constexpr double MostAnswers = 2000;

/// Returns where a pace lies, counted in bins.
static double getPosition(double Pace) {
  return (std::log2(Pace) - FirstDoubling) * BinsPerDoubling;
}

/// Returns the part of the prior's answers that take longer than a pace.
static double getPriorSurvival(double Pace) {
  const double Common =
      0.5 * std::erfc(std::log(Pace) / (PriorSpread * std::sqrt(2.0)));
  const double Rare = std::min(1.0, 1 / Pace);
  return (1 - PriorTail) * Common + PriorTail * Rare;
}

LatencyDistribution::LatencyDistribution() {
  double Before = 1;
  for (size_t I = 0; I < BinCount; ++I) {
    const double End =
        std::exp2(FirstDoubling + static_cast<double>(I + 1) / BinsPerDoubling);
    const double After = I + 1 < BinCount ? getPriorSurvival(End) : 0;
    this->Bins[I] = PriorAnswers * (Before - After);
    Before = After;
  }
  this->sumUp();
}

/// Brings Longer up to date. Choices ask a hundred times for each answer that
/// is added.
void LatencyDistribution::sumUp() {
  for (size_t I = BinCount; I > 0; --I)
    this->Longer[I - 1] = this->Longer[I] + this->Bins[I - 1];
}

void LatencyDistribution::add(double Pace) {
  if (!(Pace > 0))
    return;
  const double Position =
      std::clamp(getPosition(Pace), 0.0, static_cast<double>(BinCount - 1));
  this->Bins[static_cast<size_t>(Position)] += 1;
  if (this->Longer[0] >= MostAnswers)
    for (double &Count : this->Bins)
      Count /= 2;
  this->sumUp();
}

double LatencyDistribution::getSurvival(double Pace) const {
  if (!(Pace > 0))
    return 1;
  const double Position = getPosition(Pace);
  if (Position <= 0)
    return 1;
  const auto Bin = static_cast<size_t>(Position);
  if (Bin >= BinCount)
    return MinSurvival;
  const double Passed = this->Bins[Bin] * (Position - static_cast<double>(Bin));
  return std::max(MinSurvival, (this->Longer[Bin] - Passed) / this->Longer[0]);
}

} // namespace canvaswick
