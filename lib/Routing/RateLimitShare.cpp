//===- RateLimitShare.cpp - A daemon's share of a request limit -----------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Each sender has a token bucket that holds hardly more than one token, so
/// that in any time window all senders together send little more than the limit
/// allows, even after they were idle.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Routing/RateLimitShare.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace canvaswick {

/// The minimum number of senders for a small limit. If one of three fails, a
/// third of the rate is lost; the tokens that three idle senders accumulate are
/// no more than an overloaded server can take.
static constexpr size_t MinSenders = 3;

/// The request rate, per second, that justifies one more sender.
static constexpr double RatePerSender = 1;

/// The fraction of a limit that senders use. The rest is for probes and for
/// requests of daemons that do not know the limit yet.
static constexpr double SenderFraction = 0.9;

/// The fraction of a limit that all probes together use.
static constexpr double ProbeFraction = 0.25;

/// A probe that is not sent within this time is dropped. If probes accumulated,
/// those of all daemons could be sent at once.
static constexpr Duration ProbeWindow = fromSeconds(2);

/// The capacity of a sender's bucket: one request, plus the requests that the
/// server accepts in BurstTime, but at most MaxBurst, which is harmless even
/// from three senders at once. It is larger if the sender's own rate yields
/// more tokens in BurstTime.
static constexpr Duration BurstTime = fromSeconds(1);
static constexpr double MaxBurst = 2;

/// A reported limit is fresh for this time, or for the time in which the server
/// accepts FreshRequests requests, some of whose responses may be lost or late.
static constexpr Duration MinFreshTime = fromSeconds(3);
static constexpr double FreshRequests = 4;

RateLimitShare::RateLimitShare(std::string Key, std::string Hall,
                               double PerSecond, TimePoint ReceivedAt,
                               const FleetDaemons &Fleet, TimePoint Now)
    : Key(std::move(Key)), Hall(std::move(Hall)), PerSecond(PerSecond),
      ReceivedAt(ReceivedAt), TokensAt(Now) {
  this->chooseSenders(Fleet, Now);
}

/// Returns how many daemons of the server's hall share its limit. Returns 0 if
/// the daemons of all halls share it, because it is large enough for each of
/// them.
static size_t countSenders(double PerSecond, size_t OfHall, size_t All) {
  if (PerSecond > RatePerSender * static_cast<double>(All))
    return 0;
  const auto Wanted = static_cast<size_t>(std::ceil(PerSecond / RatePerSender));
  return std::min(std::max(MinSenders, Wanted), OfHall);
}

void RateLimitShare::chooseSenders(const FleetDaemons &Fleet, TimePoint Now) {
  const size_t Wanted =
      countSenders(this->PerSecond, getHallDaemons(Fleet, this->Hall).size(),
                   Fleet.All.size());
  const SenderChoice Choice =
      canvaswick::chooseSenders(this->Key, this->Hall, Wanted, Fleet);
  const bool WasSender = std::exchange(this->IsSender, Choice.IsSender);
  // A new sender must not use the tokens that another one has accumulated.
  this->Tokens = WasSender ? this->getTokens(Now) : 0;
  this->TokensAt = Now;
  this->Rate =
      SenderFraction * this->PerSecond / static_cast<double>(Choice.Senders);
  this->WeightFactor = Choice.WeightFactor;
  this->Daemons = std::max<size_t>(1, Fleet.All.size());
  this->ProbePhase = getDaemonPhase(this->Key, Fleet.Self);
}

void RateLimitShare::updateLimit(double NewLimit, TimePoint At,
                                 const FleetDaemons &Fleet, TimePoint Now) {
  this->ReceivedAt = std::max(this->ReceivedAt, At);
  if (NewLimit == this->PerSecond)
    return;
  this->Tokens = this->getTokens(Now);
  this->TokensAt = Now;
  this->PerSecond = NewLimit;
  this->chooseSenders(Fleet, Now);
}

void RateLimitShare::setFleet(const FleetDaemons &Fleet, TimePoint Now) {
  this->chooseSenders(Fleet, Now);
}

bool RateLimitShare::isFresh(TimePoint Now) const {
  const Duration FreshTime =
      std::max(MinFreshTime, fromSeconds(FreshRequests / this->PerSecond));
  return Now - this->ReceivedAt < FreshTime;
}

double RateLimitShare::getTokens(TimePoint Now) const {
  const double Saved = 1 + this->PerSecond * toSeconds(BurstTime);
  const double Capacity =
      std::max(std::min(Saved, MaxBurst), this->Rate * toSeconds(BurstTime));
  const double Refilled =
      this->Rate * std::max(0.0, toSeconds(Now - this->TokensAt));
  return std::min(Capacity, this->Tokens + Refilled);
}

/// Returns the time between two probes of this daemon, in seconds.
double RateLimitShare::getProbePeriod() const {
  return static_cast<double>(this->Daemons) / (ProbeFraction * this->PerSecond);
}

/// Returns the time since this daemon's last probe became due, in seconds.
double RateLimitShare::getProbeAge(TimePoint Now) const {
  const double Period = this->getProbePeriod();
  return std::fmod(
      toSeconds(Now.time_since_epoch()) + this->ProbePhase * Period, Period);
}

bool RateLimitShare::maySend(TimePoint Now) const {
  if (this->IsSender)
    return this->getTokens(Now) >= 1;
  if (this->isFresh(Now) || Now - this->SentAt < ProbeWindow)
    return false;
  return this->getProbeAge(Now) < toSeconds(ProbeWindow);
}

void RateLimitShare::recordRequestSent(TimePoint Now) {
  this->SentAt = Now;
  this->Tokens = std::max(0.0, this->getTokens(Now) - 1);
  this->TokensAt = Now;
}

Duration RateLimitShare::getWait(TimePoint Now) const {
  if (this->maySend(Now))
    return Duration::zero();
  if (this->IsSender)
    return fromSeconds((1 - this->getTokens(Now)) / this->Rate);
  return fromSeconds(this->getProbePeriod() - this->getProbeAge(Now));
}

} // namespace canvaswick
