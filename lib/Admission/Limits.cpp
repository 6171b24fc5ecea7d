//===- Limits.cpp - Which requests are taken ------------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Plain counters and buckets; the caller holds the lock of its table.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Admission/Limits.h"
#include "canvaswick/Support/EnumNames.h"

#include <algorithm>
#include <cassert>

namespace canvaswick {

static constexpr EnumNames<Refusal, 9> RefusalNames = {{
    {Refusal::None, "none"},
    {Refusal::UnknownRoute, "unknown-route"},
    {Refusal::UnknownKey, "unknown-key"},
    {Refusal::ServiceBusy, "service-busy"},
    {Refusal::OrganisationRate, "organisation-rate"},
    {Refusal::DeadlineTooShort, "deadline-too-short"},
    {Refusal::NoServer, "no-server"},
    {Refusal::Quarantined, "held-back"},
    {Refusal::Stopping, "stopping"},
}};

const char *getName(Refusal Reason) {
  return getEnumName(RefusalNames, Reason);
}

TokenBucket::TokenBucket(double Rate, double Burst, TimePoint Now)
    : Rate(Rate), Burst(Burst), Tokens(Burst), At(Now) {}

double TokenBucket::getTokens(TimePoint Now) const {
  const double Seconds = std::max(0.0, toSeconds(Now - this->At));
  return std::min(this->Burst, this->Tokens + Seconds * this->Rate);
}

bool TokenBucket::tryTake(TimePoint Now) {
  this->Tokens = this->getTokens(Now);
  this->At = std::max(this->At, Now);
  if (this->Tokens < 1)
    return false;
  this->Tokens -= 1;
  return true;
}

Duration TokenBucket::getWait(TimePoint Now) const {
  const double Missing = 1 - this->getTokens(Now);
  return Missing <= 0 ? Duration::zero() : fromSeconds(Missing / this->Rate);
}

bool TokenBucket::isFull(TimePoint Now) const {
  return this->getTokens(Now) >= this->Burst;
}

void TokenBucket::reshape(double Rate, double Burst) {
  this->Rate = Rate;
  this->Burst = Burst;
  this->Tokens = std::min(this->Tokens, Burst);
}

/// Repeats that are allowed whatever the rate, so that a quiet service can
/// repeat at all.
static constexpr double RetryReserve = 3;
static constexpr double RetryReservePerSecond = 0.2;
static constexpr double MaxRetryTokens = 100;

RetryBudget::RetryBudget(int64_t Percent)
    : PerRequest(static_cast<double>(Percent) / 100),
      Tokens(Percent > 0 ? RetryReserve : 0) {}

void RetryBudget::fade(TimePoint Now) {
  if (this->PerRequest > 0 && Now > this->At && this->At != TimePoint{}) {
    const double Refill = toSeconds(Now - this->At) * RetryReservePerSecond;
    if (this->Tokens < RetryReserve)
      this->Tokens = std::min(RetryReserve, this->Tokens + Refill);
  }
  this->At = Now;
}

void RetryBudget::recordRequest(TimePoint Now) {
  this->fade(Now);
  this->Tokens = std::min(MaxRetryTokens, this->Tokens + this->PerRequest);
}

bool RetryBudget::tryTake(TimePoint Now) {
  this->fade(Now);
  if (this->Tokens < 1)
    return false;
  this->Tokens -= 1;
  return true;
}

InFlightLimit::InFlightLimit(int64_t Max) : Max(Max) {}

bool InFlightLimit::tryBegin() {
  if (this->Current >= this->Max)
    return false;
  ++this->Current;
  return true;
}

void InFlightLimit::end() {
  assert(this->Current > 0 && "a request ended that never began");
  --this->Current;
}

bool canMeetDeadline(Duration Left, Duration Median) {
  // A quarter of the median is under the fastest answers of most services.
  return Left > Duration::zero() && Left >= Median / 4;
}

/// A start takes 0.2 s from its process to its settings on a tenth of a core
/// (eleven daemons of one hall of 90 after a loss of power), and a fleet's
/// processes come up within 0.3 s of each other: who comes back, to another
/// daemon as likely as not, after the sum of both finds it ready. With 0.3 s,
/// requests worth 270 of the 76,332 of a day came back and were refused again
/// (all processes killed, 106 and then 200 daemons, one play).
static constexpr Duration LeastSettingsWait = fromMillis(500);

/// A daemon that gets its settings back is used again at least this soon.
static constexpr Duration MostSettingsWait = fromSeconds(2);

/// Callers are spread over this part of their wait.
static constexpr double SettingsWaitSpread = 0.5;

Duration computeSettingsRetryAfter(Duration Without, double Draw) {
  const Duration Wait =
      std::clamp(Without, LeastSettingsWait, MostSettingsWait);
  return Wait + fromSeconds(toSeconds(Wait) * SettingsWaitSpread * Draw);
}

int64_t toRetryAfterSeconds(Duration Wait) {
  const int64_t Micros = Wait.count();
  return std::max<int64_t>(1, (Micros + 999999) / 1000000);
}

} // namespace canvaswick
