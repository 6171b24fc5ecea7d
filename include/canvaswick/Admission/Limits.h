//===- Limits.h - Which requests are taken ----------------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Bounds on requests in flight, on an organisation's rate, on repeats, and on
/// requests that cannot make their deadline. Every refusal comes at once and
/// says when to come back.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_ADMISSION_LIMITS_H
#define CANVASWICK_ADMISSION_LIMITS_H

#include "canvaswick/Settings/FleetConfig.h"
#include "canvaswick/Support/Time.h"

#include <cstdint>
#include <string>

namespace canvaswick {

/// Why a request was not taken.
enum class Refusal : uint8_t {
  None,
  UnknownRoute,
  UnknownKey,
  ServiceBusy,
  OrganisationRate,
  DeadlineTooShort,
  NoServer,
  Quarantined,
  Stopping,
};

/// Returns the name of a refusal, as the header Canvaswick-Reason carries it.
const char *getName(Refusal Reason);

/// A bucket of tokens that fills with time.
class TokenBucket {
public:
  /// Starts full. Rate is in tokens a second.
  TokenBucket(double Rate, double Burst, TimePoint Now);

  /// Takes one token. Returns false if there is none.
  bool tryTake(TimePoint Now);

  /// Returns how long until a token is there.
  Duration getWait(TimePoint Now) const;

  /// Returns whether the bucket is full, so that forgetting it changes nothing.
  bool isFull(TimePoint Now) const;

  /// Changes the rate and size; the tokens there stay, up to the new size.
  void reshape(double Rate, double Burst);

private:
  double getTokens(TimePoint Now) const;

  double Rate;
  double Burst;
  double Tokens;
  TimePoint At;
};

/// Bounds repeats to a part of the requests, so that repeats cannot multiply
/// an overload.
class RetryBudget {
public:
  /// Percent of requests that may be repeated.
  explicit RetryBudget(int64_t Percent);

  /// Notes a first try.
  void recordRequest(TimePoint Now);

  /// Takes the right to one repeat.
  bool tryTake(TimePoint Now);

private:
  void fade(TimePoint Now);

  double PerRequest;
  double Tokens;
  TimePoint At{};
};

/// Requests of one service in flight at one daemon.
class InFlightLimit {
public:
  explicit InFlightLimit(int64_t Max);
  bool tryBegin();
  void end();
  int64_t count() const { return this->Current; }
  void setMax(int64_t Max) { this->Max = Max; }

private:
  int64_t Max;
  int64_t Current = 0;
};

/// Returns whether a request with this much time left has a chance, when half
/// of the service's answers take Median. Too short a time is refused at once
/// instead of burning a slot for nothing.
bool canMeetDeadline(Duration Left, Duration Median);

/// Returns how long a caller should stay away from a daemon that has been
/// without settings for this long: about as long again, since a daemon that
/// starts has them in a moment and one that cannot reach the store may lack
/// them for long. Draw is in [0, 1) and spreads callers, so that they do not
/// come back together.
Duration computeSettingsRetryAfter(Duration Without, double Draw);

/// Rounds a wait up to the whole seconds of a Retry-After header, 1 at least.
int64_t toRetryAfterSeconds(Duration Wait);

} // namespace canvaswick

#endif // CANVASWICK_ADMISSION_LIMITS_H
