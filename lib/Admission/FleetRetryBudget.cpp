//===- FleetRetryBudget.cpp - Fleet-wide retry budget ---------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Keeps queues of times: first attempts, retries including those lent to
/// peers, and when borrowed retries expire.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Admission/FleetRetryBudget.h"

#include <algorithm>

namespace canvaswick {

/// Fraction of the fleet's retry limit that is used. The rest covers requests
/// that were counted here and never reached a server, and retries that straddle
/// two windows with different request rates.
static constexpr double SafetyFactor = 0.8;

FleetRetryBudget::FleetRetryBudget(FleetRetryLimit FleetLimit,
                                   TimePoint Started)
    : FleetLimit(FleetLimit), Started(Started) {}

/// A part of only one or two retries loses much when it is rounded down. By
/// their position, daemons round up by increasing fractions, so that their
/// parts add up to nearly the limit.
void FleetRetryBudget::configure(const FleetRetryLimit &Given, size_t Count,
                                 size_t Rank) {
  this->FleetLimit = Given;
  this->Daemons = std::max(this->Daemons, Count);
  this->Rounding = static_cast<double>(std::min(Rank, this->Daemons - 1)) /
                   static_cast<double>(this->Daemons);
}

static void dropBefore(std::deque<TimePoint> &Instants, TimePoint Limit) {
  while (!Instants.empty() && Instants.front() <= Limit)
    Instants.pop_front();
}

void FleetRetryBudget::forgetOld(TimePoint Now) {
  const TimePoint Limit = Now - this->FleetLimit.Window;
  dropBefore(this->Requests, Limit);
  dropBefore(this->Retries, Limit);
  std::erase_if(this->Borrowed, [Now](TimePoint Until) { return Until < Now; });
}

void FleetRetryBudget::recordRequest(TimePoint Now) {
  this->forgetOld(Now);
  this->Requests.push_back(Now);
}

double FleetRetryBudget::getAllowed(TimePoint Now) {
  this->forgetOld(Now);
  const double ByRate =
      this->FleetLimit.Share * static_cast<double>(this->Requests.size());
  if (Now - this->Started < this->FleetLimit.Window)
    return ByRate * SafetyFactor;
  const double ByReserve = static_cast<double>(this->FleetLimit.Reserve) /
                           static_cast<double>(this->Daemons);
  return (ByRate + ByReserve) * SafetyFactor;
}

/// Returns whether one more retry is within this daemon's own part.
bool FleetRetryBudget::hasLocalRoom(TimePoint Now) {
  const double Allowed = this->getAllowed(Now) + this->Rounding;
  return static_cast<double>(this->Retries.size() + 1) <= Allowed;
}

bool FleetRetryBudget::hasRoom(TimePoint Now) {
  return this->hasLocalRoom(Now) || !this->Borrowed.empty();
}

double FleetRetryBudget::getUsedPart(TimePoint Now) {
  const double Allowed = this->getAllowed(Now) + this->Rounding;
  return Allowed <= 0 ? 1 : static_cast<double>(this->Retries.size()) / Allowed;
}

void FleetRetryBudget::count(TimePoint SentAt) {
  this->Retries.insert(
      std::upper_bound(this->Retries.begin(), this->Retries.end(), SentAt),
      SentAt);
}

std::optional<TakenRetry> FleetRetryBudget::tryTake(TimePoint Now) {
  if (this->hasLocalRoom(Now)) {
    this->count(Now);
    return TakenRetry{Now, std::nullopt};
  }
  if (this->Borrowed.empty())
    return std::nullopt;
  TakenRetry Lent;
  Lent.LentUntil = this->Borrowed.front();
  this->Borrowed.pop_front();
  return Lent;
}

void FleetRetryBudget::giveBack(const TakenRetry &Taken) {
  if (Taken.LentUntil)
    this->Borrowed.push_back(*Taken.LentUntil);
  if (!Taken.CountedAt)
    return;
  const auto Found = std::lower_bound(this->Retries.begin(),
                                      this->Retries.end(), *Taken.CountedAt);
  if (Found != this->Retries.end() && *Found == *Taken.CountedAt)
    this->Retries.erase(Found);
}

void FleetRetryBudget::recordSent(const TakenRetry &Taken, TimePoint SentAt) {
  if (Taken.CountedAt)
    this->giveBack(Taken);
  if (Taken.CountedAt || (Taken.LentUntil && SentAt > *Taken.LentUntil))
    this->count(SentAt);
}

bool FleetRetryBudget::tryLend(TimePoint Now) {
  if (!this->hasLocalRoom(Now))
    return false;
  this->count(Now + LoanTimeout);
  return true;
}

void FleetRetryBudget::borrow(TimePoint Until) {
  this->Borrowed.push_back(Until);
}

} // namespace canvaswick
