//===- FleetRetryBudget.cpp - Repeats that the whole fleet may send -------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Queues of instants: first tries, repeats with those that were lent, and how
/// long borrowed rights last.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Admission/FleetRetryBudget.h"

#include <algorithm>

namespace canvaswick {

/// Part of the fleet's allowance that is used. The rest covers requests that
/// were counted here and never reached a server, and repeats that straddle two
/// windows of different rates.
static constexpr double UsedPart = 0.8;

FleetRetryBudget::FleetRetryBudget(FleetRetryLimit Allowance, TimePoint Started)
    : Allowance(Allowance), Started(Started) {}

/// Parts of one or two repeats lose much when each is rounded down. Daemons in
/// order round up by ever more, so that their parts add up nearly as they are.
void FleetRetryBudget::configure(const FleetRetryLimit &Given, size_t Count,
                                 size_t Rank) {
  this->Allowance = Given;
  this->Daemons = std::max(this->Daemons, Count);
  this->Rounding = static_cast<double>(std::min(Rank, this->Daemons - 1)) /
                   static_cast<double>(this->Daemons);
}

static void dropBefore(std::deque<TimePoint> &Instants, TimePoint Limit) {
  while (!Instants.empty() && Instants.front() <= Limit)
    Instants.pop_front();
}

void FleetRetryBudget::forgetOld(TimePoint Now) {
  const TimePoint Limit = Now - this->Allowance.Window;
  dropBefore(this->Requests, Limit);
  dropBefore(this->Repeats, Limit);
  std::erase_if(this->Borrowed, [Now](TimePoint Until) { return Until < Now; });
}

void FleetRetryBudget::recordRequest(TimePoint Now) {
  this->forgetOld(Now);
  this->Requests.push_back(Now);
}

double FleetRetryBudget::getAllowed(TimePoint Now) {
  this->forgetOld(Now);
  const double ByRate =
      this->Allowance.Share * static_cast<double>(this->Requests.size());
  if (Now - this->Started < this->Allowance.Window)
    return ByRate * UsedPart;
  const double ByReserve = static_cast<double>(this->Allowance.Reserve) /
                           static_cast<double>(this->Daemons);
  return (ByRate + ByReserve) * UsedPart;
}

/// Returns whether one repeat more is within the daemon's own part.
bool FleetRetryBudget::hasOwnRoom(TimePoint Now) {
  const double Allowed = this->getAllowed(Now) + this->Rounding;
  return static_cast<double>(this->Repeats.size() + 1) <= Allowed;
}

bool FleetRetryBudget::hasRoom(TimePoint Now) {
  return this->hasOwnRoom(Now) || !this->Borrowed.empty();
}

double FleetRetryBudget::getUsedPart(TimePoint Now) {
  const double Allowed = this->getAllowed(Now) + this->Rounding;
  return Allowed <= 0 ? 1 : static_cast<double>(this->Repeats.size()) / Allowed;
}

bool FleetRetryBudget::tryTake(TimePoint Now) {
  if (this->hasOwnRoom(Now)) {
    this->Repeats.push_back(Now);
    return true;
  }
  if (this->Borrowed.empty())
    return false;
  // The lender counts it.
  this->Borrowed.pop_front();
  return true;
}

bool FleetRetryBudget::tryLend(TimePoint Now) {
  if (!this->hasOwnRoom(Now))
    return false;
  this->Repeats.push_back(Now + LoanTimeout);
  return true;
}

void FleetRetryBudget::borrow(TimePoint Until) {
  this->Borrowed.push_back(Until);
}

} // namespace canvaswick
