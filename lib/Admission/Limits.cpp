//===- Limits.cpp - Request admission limits ------------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Plain counters and buckets; the caller holds the lock of the table that they
/// are in.
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

/// Retries that are allowed whatever the request rate, so that a service with
/// few requests can retry at all.
static constexpr double RetryReserve = 3;
static constexpr double RetryReservePerSecond = 0.2;
static constexpr double MaxRetryTokens = 100;

RetryBudget::RetryBudget(int64_t Percent)
    : PerRequest(static_cast<double>(Percent) / 100),
      Tokens(Percent > 0 ? RetryReserve : 0) {}

void RetryBudget::refill(TimePoint Now) {
  if (this->PerRequest > 0 && Now > this->At && this->At != TimePoint{}) {
    const double Refill = toSeconds(Now - this->At) * RetryReservePerSecond;
    if (this->Tokens < RetryReserve)
      this->Tokens = std::min(RetryReserve, this->Tokens + Refill);
  }
  this->At = Now;
}

void RetryBudget::recordRequest(TimePoint Now) {
  this->refill(Now);
  this->Tokens = std::min(MaxRetryTokens, this->Tokens + this->PerRequest);
}

bool RetryBudget::tryTake(TimePoint Now) {
  this->refill(Now);
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
  assert(this->Current > 0 && "end() without a matching tryBegin()");
  --this->Current;
}

bool canMeetDeadline(Duration Left, Duration Median) {
  // A quarter of the median is below the fastest answers of most services.
  return Left > Duration::zero() && Left >= Median / 4;
}

/// A daemon needs 0.2 s from the start of its process to its settings on a
/// tenth of a core (eleven daemons of a hall of 90 after a loss of power), and
/// the processes of a fleet start within 0.3 s of each other. A caller that
/// comes back after the sum of both, possibly to another daemon, finds it
/// ready. With a wait of 0.3 s, requests worth 270 of the 76,332 of a day came
/// back and were refused again (in a simulation in which all processes were
/// killed, with 106 and then 200 daemons).
static constexpr Duration MinSettingsWait = fromMillis(500);

/// A daemon that has its settings again receives requests again within this
/// time, plus the spread.
static constexpr Duration MaxSettingsWait = fromSeconds(2);

/// Callers are spread over this fraction of their wait.
static constexpr double SettingsWaitSpread = 0.5;

Duration computeSettingsRetryAfter(Duration Without, double Draw) {
  const Duration Wait = std::clamp(Without, MinSettingsWait, MaxSettingsWait);
  return Wait + fromSeconds(toSeconds(Wait) * SettingsWaitSpread * Draw);
}

int64_t toRetryAfterSeconds(Duration Wait) {
  const int64_t Micros = Wait.count();
  return std::max<int64_t>(1, (Micros + 999999) / 1000000);
}

} // namespace canvaswick
