//===- WarmupShare.cpp - A daemon's share of a cold server ----------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Each sender has a token bucket for one request, which begins with a part of
/// it that differs between senders. With one sender for each request per
/// second, a sender sends at most two in any second, and usually one; senders
/// that were replaced without their knowledge add no more than as many again.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Routing/WarmupShare.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace canvaswick {

/// The minimum number of senders: if one of three is cut off or fails, two
/// thirds of the rate remain.
static constexpr size_t MinSenders = 3;

/// The request rate, per second, that justifies one more sender.
static constexpr double RatePerSender = 1;

/// The capacity of a sender's bucket, in requests.
static constexpr double Capacity = 1;

WarmupShare::WarmupShare(std::string Key, std::string Hall, double PerSecond,
                         TimePoint Until, const FleetDaemons &Fleet,
                         TimePoint Now)
    : Key(std::move(Key)), Hall(std::move(Hall)), PerSecond(PerSecond),
      Until(Until), TokensAt(Now) {
  this->chooseSenders(Fleet, Now);
  // The senders take turns from the first moment on.
  this->Tokens = getDaemonPhase(this->Key, Fleet.Self);
}

void WarmupShare::extend(TimePoint NewUntil) {
  this->Until = std::max(this->Until, NewUntil);
}

void WarmupShare::chooseSenders(const FleetDaemons &Fleet, TimePoint Now) {
  const auto Wanted =
      static_cast<size_t>(std::ceil(this->PerSecond / RatePerSender));
  const double SavedTokens = this->getTokens(Now);
  const bool WasSender = this->Senders.IsSender;
  this->Senders = canvaswick::chooseSenders(
      this->Key, this->Hall, std::max(MinSenders, Wanted), Fleet);
  // A new sender must not use the tokens that another one has accumulated.
  this->Tokens = WasSender ? SavedTokens : 0;
  this->TokensAt = Now;
}

void WarmupShare::setFleet(const FleetDaemons &Fleet, TimePoint Now) {
  this->chooseSenders(Fleet, Now);
}

/// Returns the rate of this daemon if it is a sender, per second.
double WarmupShare::getRate() const {
  return this->PerSecond / static_cast<double>(this->Senders.Senders);
}

double WarmupShare::getTokens(TimePoint Now) const {
  const double Refilled =
      this->getRate() * std::max(0.0, toSeconds(Now - this->TokensAt));
  return std::min(Capacity, this->Tokens + Refilled);
}

bool WarmupShare::maySend(TimePoint Now) const {
  return this->isOver(Now) ||
         (this->Senders.IsSender && this->getTokens(Now) >= 1);
}

void WarmupShare::recordRequestSent(TimePoint Now) {
  this->Tokens = std::max(0.0, this->getTokens(Now) - 1);
  this->TokensAt = Now;
}

Duration WarmupShare::getWait(TimePoint Now) const {
  if (this->maySend(Now))
    return Duration::zero();
  const Duration UntilWarm = this->Until - Now;
  if (!this->Senders.IsSender)
    return UntilWarm;
  const Duration UntilToken =
      fromSeconds((1 - this->getTokens(Now)) / this->getRate());
  return std::min(UntilWarm, UntilToken);
}

} // namespace canvaswick
