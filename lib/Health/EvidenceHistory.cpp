//===- EvidenceHistory.cpp - Recent evidence of one server ----------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Implements the forward filter over a short ordered list of evidence.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Health/EvidenceHistory.h"

#include <algorithm>

namespace canvaswick {

/// Bounds of the unhealthy probability. They ensure that a single outcome can
/// still change it noticeably.
static constexpr double MinProbability = 0.005;
static constexpr double MaxProbability = 0.995;

/// Evidence that is older than the newest by this is no longer reordered. Few
/// requests take longer.
static constexpr Duration ReorderTime = fromSeconds(2);

/// Returns the probability after evidence that applies to At, which is not
/// before Before.At.
static TimedProbability step(const TimedProbability &Before,
                             const Likelihood &Seen, TimePoint At,
                             const TransitionRates &Rates) {
  const double Predicted = Rates.predict(Before.Probability, At - Before.At);
  const double Unhealthy = Predicted * Seen.Unhealthy;
  const double Healthy = (1 - Predicted) * Seen.Healthy;
  return {std::clamp(Unhealthy / (Unhealthy + Healthy), MinProbability,
                     MaxProbability),
          At};
}

/// Returns the likelihood of evidence, given the state a time Passed after it.
/// A two-state chain has the same transition probabilities in both directions
/// of time.
static Likelihood weaken(const Likelihood &Seen, Duration Passed,
                         const TransitionRates &Rates) {
  const auto GetLikelihood = [&](double Unhealthy) {
    return Unhealthy * Seen.Unhealthy + (1 - Unhealthy) * Seen.Healthy;
  };
  return {GetLikelihood(Rates.predict(1, Passed)),
          GetLikelihood(Rates.predict(0, Passed))};
}

void EvidenceHistory::restart(const TimedProbability &Given) {
  this->Base = Given;
  this->Count = 0;
}

/// Inserts evidence at its place in time, which it returns. There is always
/// room for it.
size_t EvidenceHistory::insert(const Entry &Given) {
  size_t Place = this->Count;
  for (; Place > 0 && this->Entries[Place - 1].At > Given.At; --Place)
    this->Entries[Place] = this->Entries[Place - 1];
  this->Entries[Place] = Given;
  ++this->Count;
  return Place;
}

/// Takes the oldest evidence into the base and the rates.
void EvidenceHistory::retireOldest(TransitionRates &Rates,
                                   RateLearning Learning) {
  const Entry &Oldest = this->Entries.front();
  // Without an earlier probability there is no transition to learn from.
  if (Learning == RateLearning::On && this->Base.At != TimePoint{})
    Rates.learn(this->Base.Probability, Oldest.At - this->Base.At, Oldest.Seen);
  this->Base = step(this->Base, Oldest.Seen, Oldest.At, Rates);
  std::copy(this->Entries.begin() + 1, this->Entries.end(),
            this->Entries.begin());
  --this->Count;
}

FilteredEvidence EvidenceHistory::add(const Likelihood &Seen, TimePoint At,
                                      TransitionRates &Rates,
                                      RateLearning Learning) {
  const size_t Place =
      At < this->Base.At
          ? this->insert(
                {this->Base.At, weaken(Seen, this->Base.At - At, Rates)})
          : this->insert({At, Seen});
  FilteredEvidence Filtered;
  Filtered.Newest = this->Base;
  for (size_t I = 0; I < this->Count; ++I) {
    Filtered.Newest = step(Filtered.Newest, this->Entries[I].Seen,
                           this->Entries[I].At, Rates);
    if (I == Place)
      Filtered.AtEvidence = Filtered.Newest.Probability;
  }
  const TimePoint Newest = this->Entries[this->Count - 1].At;
  while (this->Count == MaxEntries ||
         this->Entries.front().At < Newest - ReorderTime)
    this->retireOldest(Rates, Learning);
  return Filtered;
}

} // namespace canvaswick
