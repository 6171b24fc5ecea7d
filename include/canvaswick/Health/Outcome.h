//===- Outcome.h - What one request tells about a backend server -*- C++
//-*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The outcomes that the data path reports and the counts that daemons
/// exchange.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_HEALTH_OUTCOME_H
#define CANVASWICK_HEALTH_OUTCOME_H

#include "canvaswick/Support/Time.h"

#include <cmath>
#include <cstdint>

namespace canvaswick {

/// What one request showed. Shed and Canceled say nothing about health: an
/// overloaded backend server is not a sick one, and a caller that left proves
/// nothing.
enum class RequestOutcome : uint8_t {
  Good,
  Slow,
  Failed,
  Shed,
  Canceled,
  /// No connection came about.
  Unreachable,
  /// Given up on without an answer.
  Overdue,
  /// Failed long before its kind of request usually ends: the server did not
  /// work on it.
  FailedEarly,
  /// Failed when its kind of request usually ends, or later.
  FailedAfterWork,
};

/// The outcomes there are, for those who draw or decode one.
inline constexpr int OutcomeCount =
    static_cast<int>(RequestOutcome::FailedAfterWork) + 1;

/// Returns whether a request was sent and failed, whenever that was.
constexpr bool isFailure(RequestOutcome Outcome) {
  return Outcome == RequestOutcome::Failed ||
         Outcome == RequestOutcome::FailedEarly ||
         Outcome == RequestOutcome::FailedAfterWork;
}

/// Returns the name of an outcome as reports print it.
const char *getName(RequestOutcome Outcome);

/// How many requests ended how.
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
    if (isFailure(Outcome) || Outcome == RequestOutcome::Unreachable)
      ++this->Failed;
  }
};

/// A count that halves every HalfLife, so that it speaks of the recent past.
class DecayingCount {
public:
  /// Returns the count at Now. HalfLife is the same in every call.
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
