//===- FleetLiveness.cpp - Which daemons of a fleet are heard -------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// One list of sources; indexes into it stay.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Admission/FleetLiveness.h"

#include <algorithm>

namespace canvaswick {

/// Who has not been heard for some times QuotaReportInterval is silent. A hall
/// is heard through a daemon that passes its teller's words on.
static constexpr Duration PeerSilence = fromMillis(700);
static constexpr Duration HallSilence = fromMillis(1200);

/// A daemon that hears none of its hall, while as many messages as this were to
/// come from them all, is cut off. Their number makes that certain long before
/// one of them counts as silent. A machine that stands still for a moment hears
/// none either, hence the least.
static constexpr double MissedMessages = 8;
static constexpr Duration LeastIsolated = fromMillis(250);

size_t FleetLiveness::findOrAddSource(const std::string &Name, bool IsHall,
                                      TimePoint Now) {
  const auto Found = this->IndexOfSource.find({IsHall, Name});
  if (Found != this->IndexOfSource.end())
    return Found->second;
  size_t Index = this->Sources.size();
  if (this->Free.empty()) {
    this->Sources.emplace_back();
  } else {
    Index = this->Free.back();
    this->Free.pop_back();
  }
  // It is not silent before it had time to speak.
  this->Sources[Index] = {Name, IsHall, false, false, 1, Now};
  this->IndexOfSource[{IsHall, Name}] = Index;
  return Index;
}

void FleetLiveness::setFleet(const std::vector<std::string> &NearNames,
                             const std::map<std::string, size_t> &Far,
                             TimePoint Now) {
  for (Source &Each : this->Sources)
    Each.IsListed = false;
  this->All = 1;
  this->Near = NearNames.size();
  this->NearHeardAt = std::max(this->NearHeardAt, Now);
  const auto List = [&](const std::string &Name, bool IsHall, size_t Daemons) {
    Source &Listed = this->Sources[this->findOrAddSource(Name, IsHall, Now)];
    Listed.IsListed = true;
    Listed.Daemons = Daemons;
    this->All += Daemons;
  };
  for (const std::string &Daemon : NearNames)
    List(Daemon, false, 1);
  for (const auto &[Hall, Daemons] : Far)
    List(Hall, true, Daemons);
}

void FleetLiveness::recordPeerMessage(const std::string &Daemon,
                                      TimePoint Now) {
  this->Sources[this->findOrAddSource(Daemon, false, Now)].HeardAt = Now;
  this->NearHeardAt = Now;
}

void FleetLiveness::recordHallMessage(const std::string &Hall, TimePoint Now) {
  Source &Heard = this->Sources[this->findOrAddSource(Hall, true, Now)];
  Heard.HeardAt = Now;
  Heard.HasReported = true;
}

bool FleetLiveness::isIsolated(TimePoint Now) const {
  if (this->Near == 0)
    return false;
  const Duration Limit =
      fromSeconds(MissedMessages * toSeconds(QuotaReportInterval) /
                  static_cast<double>(this->Near));
  return Now - this->NearHeardAt > std::max(LeastIsolated, Limit);
}

bool FleetLiveness::hasTimedOut(const Source &Each, TimePoint Now) const {
  const Duration Limit = Each.IsHall ? HallSilence : PeerSilence;
  return Now - Each.HeardAt > Limit;
}

bool FleetLiveness::hasLeft(const Source &Each, TimePoint Now) const {
  return !Each.IsListed && this->hasTimedOut(Each, Now);
}

void FleetLiveness::forgetDeparted(TimePoint Now) {
  std::erase_if(this->IndexOfSource, [this, Now](const auto &Entry) {
    const bool IsGone = this->hasLeft(this->Sources[Entry.second], Now);
    if (IsGone)
      this->Free.push_back(Entry.second);
    return IsGone;
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
