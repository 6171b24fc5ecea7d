//===- EvidenceHistory.h - Recent evidence of one server --------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Declares the recent evidence of one server's health, ordered by the times to
/// which it applies. An outcome shows the state of the server at the time when
/// the request arrived there. Outcomes become known in another order: a server
/// that has just become unhealthy still answers the requests that it had begun.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_HEALTH_EVIDENCEHISTORY_H
#define CANVASWICK_HEALTH_EVIDENCEHISTORY_H

#include "canvaswick/Health/TransitionRates.h"
#include "canvaswick/Support/Time.h"

#include <array>
#include <cstddef>

namespace canvaswick {

/// An unhealthy probability and the time to which it applies.
struct TimedProbability {
  double Probability = 0;
  TimePoint At{};
};

/// What a history says after a piece of evidence.
struct FilteredEvidence {
  /// The probability after the newest evidence.
  TimedProbability Newest;
  /// The probability at the time of the added evidence, given that and all
  /// older evidence.
  double AtEvidence = 0;
};

/// Whether a history improves the rates by its evidence.
enum class RateLearning : uint8_t { Off, On };

/// The forward filter of one server over evidence that may arrive out of order.
/// Keeps the newest pieces of evidence and filters them again when an older one
/// arrives. Not thread-safe.
class EvidenceHistory {
public:
  /// Forgets all evidence and begins with a probability.
  void restart(const TimedProbability &Given);

  /// Adds evidence that applies to the time At and filters it. Evidence that
  /// becomes too old to be reordered is taken into the rates.
  FilteredEvidence add(const Likelihood &Seen, TimePoint At,
                       TransitionRates &Rates, RateLearning Learning);

private:
  struct Entry {
    TimePoint At{};
    Likelihood Seen{1, 1};
  };

  /// Number of pieces of evidence that can be reordered. While a server
  /// answers in its usual time, its slots and a queue of the same size are
  /// rarely more.
  static constexpr size_t MaxEntries = 8;

  size_t insert(const Entry &Given);
  void retireOldest(TransitionRates &Rates, RateLearning Learning);

  TimedProbability Base;
  std::array<Entry, MaxEntries> Entries;
  size_t Count = 0;
};

} // namespace canvaswick

#endif // CANVASWICK_HEALTH_EVIDENCEHISTORY_H
