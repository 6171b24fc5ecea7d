//===- AheadPeers.cpp - Peers with a newer replica ------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Keeps the last report of each peer that is ahead; old reports expire.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Directory/AheadPeers.h"

#include <algorithm>
#include <vector>

namespace canvaswick {

/// A peer that has not reported for this long may have left. Watchers report
/// several times a second, other daemons with each request.
static constexpr Duration ReportTimeout = fromSeconds(3);

bool AheadPeers::isAhead(const StorePosition &Known) const {
  return std::any_of(
      this->Peers.begin(), this->Peers.end(),
      [&Known](const auto &Entry) { return Entry.second.AsOf > Known; });
}

bool AheadPeers::recordPeer(const std::string &Peer, bool IsSameHall,
                            const StorePosition &AsOf,
                            const StorePosition &Known, TimePoint Now) {
  if (AsOf <= Known)
    return false;
  if (!this->isAhead(Known))
    this->BehindSince = Now;
  this->Peers[Peer] = {AsOf, IsSameHall, Now};
  return true;
}

std::optional<std::string> AheadPeers::choosePeer(const StorePosition &Known,
                                                  TimePoint Now) {
  std::erase_if(this->Peers, [&](const auto &Entry) {
    return Now - Entry.second.HeardAt > ReportTimeout;
  });
  std::vector<std::string> SameHall;
  std::vector<std::string> All;
  for (const auto &[Name, Each] : this->Peers) {
    if (Each.AsOf <= Known)
      continue;
    All.push_back(Name);
    if (Each.IsSameHall)
      SameHall.push_back(Name);
  }
  const std::vector<std::string> &Candidates =
      SameHall.empty() ? All : SameHall;
  if (Candidates.empty())
    return std::nullopt;
  return Candidates[this->Random() % Candidates.size()];
}

uint64_t AheadPeers::getLag(const StorePosition &Known) const {
  uint64_t Lag = 0;
  for (const auto &[Name, Peer] : this->Peers)
    if (Peer.AsOf.Epoch == Known.Epoch && Peer.AsOf > Known)
      Lag = std::max(Lag, Peer.AsOf.Revision - Known.Revision);
  return Lag;
}

std::optional<TimePoint>
AheadPeers::getBehindSince(const StorePosition &Known) const {
  if (!this->isAhead(Known))
    return std::nullopt;
  return this->BehindSince;
}

} // namespace canvaswick
