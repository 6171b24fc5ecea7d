//===- FleetLiveness.cpp - Liveness of the other daemons ------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Sources are kept in one vector, so that their indexes stay valid.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Admission/FleetLiveness.h"

#include <algorithm>

namespace canvaswick {

/// A source is silent after several times QuotaReportInterval without a
/// message. Another hall has a longer timeout, since its reports arrive through
/// a daemon of this hall that relays them.
static constexpr Duration PeerTimeout = fromMillis(700);
static constexpr Duration HallTimeout = fromMillis(1200);

/// A daemon that receives nothing from its hall, in a time in which all the
/// others together would have sent this many messages, is isolated. With many
/// peers that is certain long before any one of them times out. A VM that
/// pauses for a moment receives nothing either, hence the minimum.
static constexpr double MissedMessages = 8;
static constexpr Duration MinIsolationTime = fromMillis(250);

size_t FleetLiveness::findOrAddSource(const std::string &Name, bool IsHall,
                                      TimePoint Now) {
  const auto Found = this->IndexOfSource.find({IsHall, Name});
  if (Found != this->IndexOfSource.end())
    return Found->second;
  size_t Index = this->Sources.size();
  if (this->FreeIndexes.empty()) {
    this->Sources.emplace_back();
  } else {
    Index = this->FreeIndexes.back();
    this->FreeIndexes.pop_back();
  }
  // A new source is not silent before it had time to report.
  this->Sources[Index] = {Name, IsHall, false, false, 1, Now};
  this->IndexOfSource[{IsHall, Name}] = Index;
  return Index;
}

void FleetLiveness::setFleet(const std::vector<std::string> &HallPeerNames,
                             const std::map<std::string, size_t> &OtherHalls,
                             TimePoint Now) {
  for (Source &Each : this->Sources)
    Each.IsListed = false;
  this->DaemonCount = 1;
  this->HallPeers = HallPeerNames.size();
  this->HallHeardAt = std::max(this->HallHeardAt, Now);
  const auto List = [&](const std::string &Name, bool IsHall, size_t Daemons) {
    Source &Listed = this->Sources[this->findOrAddSource(Name, IsHall, Now)];
    Listed.IsListed = true;
    Listed.Daemons = Daemons;
    this->DaemonCount += Daemons;
  };
  for (const std::string &Daemon : HallPeerNames)
    List(Daemon, false, 1);
  for (const auto &[Hall, Daemons] : OtherHalls)
    List(Hall, true, Daemons);
}

void FleetLiveness::recordPeerMessage(const std::string &Daemon,
                                      TimePoint Now) {
  this->Sources[this->findOrAddSource(Daemon, false, Now)].HeardAt = Now;
  this->HallHeardAt = Now;
}

void FleetLiveness::recordHallMessage(const std::string &Hall, TimePoint Now) {
  Source &Reporter = this->Sources[this->findOrAddSource(Hall, true, Now)];
  Reporter.HeardAt = Now;
  Reporter.HasReported = true;
}

bool FleetLiveness::isIsolated(TimePoint Now) const {
  if (this->HallPeers == 0)
    return false;
  const Duration Limit =
      fromSeconds(MissedMessages * toSeconds(QuotaReportInterval) /
                  static_cast<double>(this->HallPeers));
  return Now - this->HallHeardAt > std::max(MinIsolationTime, Limit);
}

bool FleetLiveness::hasTimedOut(const Source &Each, TimePoint Now) const {
  const Duration Limit = Each.IsHall ? HallTimeout : PeerTimeout;
  return Now - Each.HeardAt > Limit;
}

bool FleetLiveness::hasLeft(const Source &Each, TimePoint Now) const {
  return !Each.IsListed && this->hasTimedOut(Each, Now);
}

void FleetLiveness::forgetDeparted(TimePoint Now) {
  std::erase_if(this->IndexOfSource, [this, Now](const auto &Entry) {
    const bool IsDeparted = this->hasLeft(this->Sources[Entry.second], Now);
    if (IsDeparted)
      this->FreeIndexes.push_back(Entry.second);
    return IsDeparted;
  });
}

bool FleetLiveness::isSilent(const Source &Each, TimePoint Now) const {
  return Each.IsListed &&
         (this->hasTimedOut(Each, Now) || this->isIsolated(Now));
}

size_t FleetLiveness::countSilent(TimePoint Now) const {
  size_t Silent = 0;
  for (const Source &Each : this->Sources)
    Silent += this->isSilent(Each, Now) ? Each.Daemons : 0;
  return Silent;
}

bool FleetLiveness::isHallReporter(const std::string &Self,
                                   TimePoint Now) const {
  return std::none_of(
      this->Sources.begin(), this->Sources.end(), [&](const Source &Each) {
        return !Each.IsHall && Each.IsListed && Each.Name < Self &&
               !this->hasTimedOut(Each, Now);
      });
}

} // namespace canvaswick
