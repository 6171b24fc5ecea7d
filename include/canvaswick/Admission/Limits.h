//===- Limits.h - Request admission limits ----------------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Limits on requests in flight, on rates, on retries, and on requests that
/// can't meet their deadline. Every refusal is immediate and says when to
/// retry.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_ADMISSION_LIMITS_H
#define CANVASWICK_ADMISSION_LIMITS_H

#include "canvaswick/Settings/FleetConfig.h"
#include "canvaswick/Support/Time.h"

#include <cstdint>
#include <string>

namespace canvaswick {

/// Why a request was refused.
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

/// Returns the name of a refusal, as sent in the Canvaswick-Reason header.
const char *getName(Refusal Reason);

/// A token bucket that refills over time. Not thread-safe.
class TokenBucket {
public:
  /// Starts full. Rate is in tokens a second.
  TokenBucket(double Rate, double Burst, TimePoint Now);

  /// Takes one token. Returns false if there is none.
  bool tryTake(TimePoint Now);

  /// Returns how long it takes until a token is available.
  Duration getWait(TimePoint Now) const;

  /// Returns whether the bucket is full, so that removing it loses no state.
  bool isFull(TimePoint Now) const;

  /// Changes the rate and the size. Tokens in the bucket stay, up to the new
  /// size.
  void reshape(double Rate, double Burst);

private:
  double getTokens(TimePoint Now) const;

  double Rate;
  double Burst;
  double Tokens;
  TimePoint At;
};

/// Limits retries to a fraction of the requests, so that retries can't amplify
/// an overload. Not thread-safe.
class RetryBudget {
public:
  /// Percent is the percentage of requests that may be retried.
  explicit RetryBudget(int64_t Percent);

  /// Records the first attempt of a request.
  void recordRequest(TimePoint Now);

  /// Takes one retry. Returns false if there is none left.
  bool tryTake(TimePoint Now);

private:
  void refill(TimePoint Now);

  double PerRequest;
  double Tokens;
  TimePoint At{};
};

/// Limits the requests of one service in flight at one daemon. Not thread-safe.
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

/// Returns whether a request with Left until its deadline can still be answered
/// in time by a service whose median latency is Median. A request that can't is
/// refused at once instead of occupying a slot in vain.
bool canMeetDeadline(Duration Left, Duration Median);

/// Returns how long a caller should stay away from a daemon that has been
/// without settings for the time Without. That is about as long again, since a
/// daemon that has just started has its settings within a moment, and one that
/// can't reach the store may lack them for long. Draw is in [0, 1) and spreads
/// the callers, so that they don't come back together.
Duration computeSettingsRetryAfter(Duration Without, double Draw);

/// Rounds a wait up to the whole seconds of a Retry-After header, at least 1.
int64_t toRetryAfterSeconds(Duration Wait);

} // namespace canvaswick

#endif // CANVASWICK_ADMISSION_LIMITS_H
