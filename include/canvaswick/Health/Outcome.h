//===- Outcome.h - Outcomes of requests -------------------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Declares the outcomes that the data path reports and the counts that daemons
/// exchange.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_HEALTH_OUTCOME_H
#define CANVASWICK_HEALTH_OUTCOME_H

#include "canvaswick/Support/Time.h"

#include <cmath>
#include <cstdint>

namespace canvaswick {

/// The outcome of one request. OutcomeCounts ignores Shed and Canceled: an
/// overloaded backend server is not unhealthy, and a caller that disconnects
/// says nothing about the server.
enum class RequestOutcome : uint8_t {
  Good,
  Slow,
  Failed,
  Shed,
  Canceled,
  /// The connection could not be established.
  Unreachable,
  /// The daemon gave up waiting for an answer.
  Overdue,
  /// The request failed long before requests of its kind usually end, so that
  /// the server did no work on it.
  FailedEarly,
  /// The request failed at about the time at which requests of its kind usually
  /// end, or later.
  FailedAfterWork,
  /// The request arrived, but the answer says that the server it was meant for
  /// is no longer at this address.
  Misdirected,
};

/// Number of outcomes.
inline constexpr int OutcomeCount =
    static_cast<int>(RequestOutcome::Misdirected) + 1;

/// Returns whether a request was sent and failed, whatever the time of the
/// failure.
constexpr bool isFailure(RequestOutcome Outcome) {
  return Outcome == RequestOutcome::Failed ||
         Outcome == RequestOutcome::FailedEarly ||
         Outcome == RequestOutcome::FailedAfterWork;
}

/// Returns whether the server was not found at its address.
constexpr bool isServerMissing(RequestOutcome Outcome) {
  return Outcome == RequestOutcome::Unreachable ||
         Outcome == RequestOutcome::Misdirected;
}

/// Returns the name of an outcome as it appears in reports.
const char *getName(RequestOutcome Outcome);

/// Numbers of requests by outcome.
struct OutcomeCounts {
  uint32_t Good = 0;
  uint32_t Slow = 0;
  uint32_t Failed = 0;

  uint32_t countBad() const { return this->Slow + this->Failed; }
  uint32_t countAll() const { return this->Good + this->countBad(); }
  bool operator==(const OutcomeCounts &) const = default;

  /// Adds one outcome. Shed and Canceled change nothing.
  void add(RequestOutcome Outcome) {
    if (Outcome == RequestOutcome::Good)
      ++this->Good;
    if (Outcome == RequestOutcome::Slow || Outcome == RequestOutcome::Overdue)
      ++this->Slow;
    if (isFailure(Outcome) || isServerMissing(Outcome))
      ++this->Failed;
  }
};

/// A count that decays exponentially, so that it reflects the recent past.
class DecayingCount {
public:
  /// Returns the count at Now. All calls must pass the same HalfLife.
  double get(TimePoint Now, Duration HalfLife) const {
    if (this->Value == 0)
      return 0;
    const double HalfLives = toSeconds(Now - this->At) / toSeconds(HalfLife);
    return this->Value * std::exp2(-HalfLives);
  }

  /// Adds Amount at Now.
  void add(double Amount, TimePoint Now, Duration HalfLife) {
    this->Value = this->get(Now, HalfLife) + Amount;
    this->At = Now;
  }

private:
  double Value = 0;
  TimePoint At{};
};

} // namespace canvaswick

#endif // CANVASWICK_HEALTH_OUTCOME_H
