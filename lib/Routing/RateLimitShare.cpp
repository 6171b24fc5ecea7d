//===- RateLimitShare.cpp - One daemon's part of a server's limit ---------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A sender has a bucket of tokens that holds hardly more than one, so that in
/// any stretch of time all of them send little more than what the limit allows
/// in it, whenever they were idle before.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Routing/RateLimitShare.h"
#include "canvaswick/Routing/SubsetChooser.h"
#include "canvaswick/Support/Hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace canvaswick {

/// Senders, where a limit is small: one that dies takes a third with it, and
/// the tokens of three that were idle are no more than a server in need bears.
static constexpr size_t LeastSenders = 3;

/// Requests a second for which one more sender is chosen.
static constexpr double RateOfSender = 1;

/// Part of a limit that senders use. The rest is for requests that daemons send
/// before they have heard of it, and for tests.
static constexpr double UsedPart = 0.9;

/// Part of a limit that all tests together use.
static constexpr double TestedPart = 0.25;

/// A daemon that could not use a test lets it go after this time: kept, the
/// tests of all would come at once.
static constexpr Duration TestLife = fromSeconds(2);

/// What a sender saves up at most: one request, and as much more as the server
/// takes in this time, but no more than that of three senders does not harm.
static constexpr Duration SavedTime = fromSeconds(1);
static constexpr double MostSaved = 2;

/// Word of a limit is new for this long, or for as long as the server takes so
/// many requests, of whose answers some are lost or late.
static constexpr Duration LeastFresh = fromSeconds(3);
static constexpr double FreshRequests = 4;

RateLimitShare::RateLimitShare(std::string Key, std::string Hall,
                               double PerSecond, TimePoint HeardAt,
                               const FleetDaemons &Fleet, TimePoint Now)
    : Key(std::move(Key)), Hall(std::move(Hall)), PerSecond(PerSecond),
      HeardAt(HeardAt), TokensAt(Now) {
  this->chooseSenders(Fleet, Now);
}

/// Returns how many of the daemons of a server's hall share its limit; 0: those
/// of all halls do, as it is larger than one daemon's requests matter.
static size_t countSenders(double PerSecond, size_t OfHall, size_t All) {
  if (PerSecond > RateOfSender * static_cast<double>(All))
    return 0;
  const auto Wanted = static_cast<size_t>(std::ceil(PerSecond / RateOfSender));
  return std::min(std::max(LeastSenders, Wanted), OfHall);
}

void RateLimitShare::chooseSenders(const FleetDaemons &Fleet, TimePoint Now) {
  const auto Found = Fleet.Halls.find(this->Hall);
  const bool HasHall = Found != Fleet.Halls.end() && !Found->second.empty();
  const std::vector<std::string> &Near = HasHall ? Found->second : Fleet.All;
  const size_t Wanted =
      countSenders(this->PerSecond, Near.size(), Fleet.All.size());
  const std::vector<std::string> &Among = Wanted == 0 ? Fleet.All : Near;
  const size_t Senders = Wanted == 0 ? Among.size() : Wanted;
  const bool IsAmong =
      std::find(Among.begin(), Among.end(), Fleet.Self) != Among.end();
  const bool WasSender = std::exchange(
      this->IsSender, IsAmong && static_cast<size_t>(getDaemonRank(
                                     this->Key, Fleet.Self, Among)) < Senders);
  // What another had saved up is not this one's.
  this->Tokens = WasSender ? this->getTokens(Now) : 0;
  this->TokensAt = Now;
  const auto Parts = static_cast<double>(std::max<size_t>(1, Senders));
  this->Rate = UsedPart * this->PerSecond / Parts;
  this->Boost =
      static_cast<double>(Among.size()) / (this->IsSender ? Parts : 1);
  this->Daemons = std::max<size_t>(1, Fleet.All.size());
  static constexpr uint64_t Steps = 1 << 20;
  this->Phase =
      static_cast<double>(hashText(Fleet.Self, hashText(this->Key)) % Steps) /
      static_cast<double>(Steps);
}

void RateLimitShare::updateLimit(double Named, TimePoint At,
                                 const FleetDaemons &Fleet, TimePoint Now) {
  this->HeardAt = std::max(this->HeardAt, At);
  if (Named == this->PerSecond)
    return;
  this->Tokens = this->getTokens(Now);
  this->TokensAt = Now;
  this->PerSecond = Named;
  this->chooseSenders(Fleet, Now);
}

void RateLimitShare::setFleet(const FleetDaemons &Fleet, TimePoint Now) {
  this->chooseSenders(Fleet, Now);
}

bool RateLimitShare::isFresh(TimePoint Now) const {
  const Duration Life =
      std::max(LeastFresh, fromSeconds(FreshRequests / this->PerSecond));
  return Now - this->HeardAt < Life;
}

double RateLimitShare::getTokens(TimePoint Now) const {
  const double Saved = 1 + this->PerSecond * toSeconds(SavedTime);
  const double Most =
      std::max(std::min(Saved, MostSaved), this->Rate * toSeconds(SavedTime));
  const double Grown =
      this->Rate * std::max(0.0, toSeconds(Now - this->TokensAt));
  return std::min(Most, this->Tokens + Grown);
}

/// Returns the time from one test of this daemon to the next, in seconds.
double RateLimitShare::getTestPeriod() const {
  return static_cast<double>(this->Daemons) / (TestedPart * this->PerSecond);
}

/// Returns how long ago this daemon's last test became due, in seconds.
double RateLimitShare::getTestAge(TimePoint Now) const {
  const double Period = this->getTestPeriod();
  return std::fmod(toSeconds(Now.time_since_epoch()) + this->Phase * Period,
                   Period);
}

bool RateLimitShare::maySend(TimePoint Now) const {
  if (this->IsSender)
    return this->getTokens(Now) >= 1;
  if (this->isFresh(Now) || Now - this->SentAt < TestLife)
    return false;
  return this->getTestAge(Now) < toSeconds(TestLife);
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
  return fromSeconds(this->getTestPeriod() - this->getTestAge(Now));
}

} // namespace canvaswick
