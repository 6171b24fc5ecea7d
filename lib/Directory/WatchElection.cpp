//===- WatchElection.cpp - Election of the watchers of the store ----------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The order is by hash, so that it does not favour names that sort first.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Directory/WatchElection.h"
#include "canvaswick/Support/EnumNames.h"
#include "canvaswick/Support/Hash.h"

#include <algorithm>

namespace canvaswick {

/// Number of daemons of a hall that watch. One of them may be restarted or cut
/// off.
static constexpr size_t WatchersPerHall = 2;

/// A daemon leads its hall while the store has answered it within this time,
/// whatever it reports of itself: a store that leaves a watch waiting looks
/// like one without changes. The watch of a healthy leader is answered at least
/// every 0.75 s, or 1 s if the store takes a quarter of a second. Together with
/// the steps below and a check each tenth of a second, the last daemon of a
/// hall sends its own requests to the store 1.6 s after the leader was last
/// answered; changes must be in force within two seconds.
static constexpr Duration LeaderTimeout = fromMillis(1150);

/// A stand-by counts for this long after its last answer: its watch waits 1.5
/// s, its client 0.6 s more, and it reports every 0.3 s.
static constexpr Duration StandByTimeout = fromMillis(2400);

/// Daemons later in the order wait a little longer before they take over, so
/// that one does and not all.
static constexpr Duration StepPerRank = fromMillis(60);
static constexpr size_t MaxSteps = 5;

/// The key of the hall's order by hash.
static constexpr const char *HallOrderKey = "store";

static constexpr EnumNames<WatchRole, 3> WatchRoleNames = {{
    {WatchRole::Follow, "follow"},
    {WatchRole::StandBy, "stand-by"},
    {WatchRole::Lead, "lead"},
}};

const char *getName(WatchRole Role) {
  return getEnumName(WatchRoleNames, Role);
}

WatchElection::WatchElection(std::string Self, Duration AloneWait)
    : Self(std::move(Self)), AloneWait(AloneWait) {}

void WatchElection::setHallDaemons(const std::vector<std::string> &Names,
                                   TimePoint Now) {
  const bool KnewOthers = this->Order.size() > 1;
  if (!this->FirstSetAt)
    this->FirstSetAt = Now;
  std::vector<std::string> All = Names;
  if (std::find(All.begin(), All.end(), this->Self) == All.end())
    All.push_back(this->Self);
  this->Order.clear();
  for (const size_t Index : rankByRendezvous(HallOrderKey, All))
    this->Order.push_back(All[Index]);
  std::erase_if(this->HeardAt, [&](const auto &Entry) {
    return std::find(All.begin(), All.end(), Entry.first) == All.end();
  });
  if (!KnewOthers)
    this->presumeWatchers(Now);
}

/// Assumes that the first daemons of the order watch. Otherwise, all daemons of
/// a hall that start at once would send requests to the store (unit test "two
/// daemons of a hall that starts at once watch the store").
void WatchElection::presumeWatchers(TimePoint Now) {
  for (size_t I = 0; I < this->Order.size() && I < WatchersPerHall; ++I)
    if (this->Order[I] != this->Self)
      this->recordWatcher(this->Order[I], Now);
}

void WatchElection::recordWatcher(const std::string &Name, TimePoint At) {
  // Messages may arrive out of order.
  TimePoint &Last = this->HeardAt[Name];
  Last = std::max(Last, At);
}

size_t WatchElection::getRank(const std::string &Name) const {
  return static_cast<size_t>(
      std::find(this->Order.begin(), this->Order.end(), Name) -
      this->Order.begin());
}

/// Returns whether any daemon of the hall watches and reaches the store.
bool WatchElection::hasWatcher(TimePoint Now) const {
  return std::any_of(
      this->HeardAt.begin(), this->HeardAt.end(),
      [Now](const auto &Entry) { return Now - Entry.second <= LeaderTimeout; });
}

/// Returns whether a daemon comes before this one, which has the given rank, in
/// the hall's order. In a fleet that starts it may not be listed yet: each
/// daemon knows different ones then.
bool WatchElection::precedes(const std::string &Name, size_t Rank,
                             bool IsFarBehind) const {
  const size_t OtherRank = this->getRank(Name);
  if (OtherRank < this->Order.size())
    return OtherRank < Rank;
  return IsFarBehind &&
         rankByRendezvous(HallOrderKey, {this->Self, Name}).front() != 0;
}

WatchRole WatchElection::getRole(TimePoint Now, bool IsFarBehind) const {
  if (this->isAlone() && this->FirstSetAt &&
      (Now - *this->FirstSetAt < this->AloneWait ||
       (IsFarBehind && this->hasWatcher(Now))))
    return WatchRole::Follow;
  const size_t Rank = this->getRank(this->Self);
  const Duration Step =
      StepPerRank * static_cast<int>(std::min(Rank, MaxSteps));
  bool IsLed = false;
  size_t Watchers = 0;
  for (const auto &[Name, At] : this->HeardAt) {
    if (!this->precedes(Name, Rank, IsFarBehind))
      continue;
    IsLed |= Now - At <= LeaderTimeout + Step;
    Watchers += Now - At <= StandByTimeout + Step ? 1 : 0;
  }
  if (!IsLed)
    return WatchRole::Lead;
  return Watchers < WatchersPerHall ? WatchRole::StandBy : WatchRole::Follow;
}

} // namespace canvaswick
