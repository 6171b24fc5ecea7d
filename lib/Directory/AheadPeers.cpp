//===- AheadPeers.cpp - Peers that know more ------------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A table of words heard of late.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Directory/AheadPeers.h"

#include <algorithm>
#include <vector>

namespace canvaswick {

/// A peer that was not heard for this long may be gone. Those that watch speak
/// several times a second, others with each request.
static constexpr Duration WordLife = fromSeconds(3);

bool AheadPeers::isAhead(const StorePosition &Known) const {
  return std::any_of(
      this->Peers.begin(), this->Peers.end(),
      [&Known](const auto &Entry) { return Entry.second.AsOf > Known; });
}

bool AheadPeers::recordPeer(const std::string &Peer, bool IsNear,
                            const StorePosition &AsOf,
                            const StorePosition &Known, TimePoint Now) {
  if (AsOf <= Known)
    return false;
  if (!this->isAhead(Known))
    this->BehindSince = Now;
  this->Peers[Peer] = {AsOf, IsNear, Now};
  return true;
}

std::optional<std::string> AheadPeers::choosePeer(const StorePosition &Known,
                                                  TimePoint Now) {
  std::erase_if(this->Peers, [&](const auto &Entry) {
    return Entry.second.AsOf <= Known || Now - Entry.second.HeardAt > WordLife;
  });
  std::vector<std::string> Near;
  std::vector<std::string> All;
  for (const auto &[Name, Each] : this->Peers) {
    All.push_back(Name);
    if (Each.IsNear)
      Near.push_back(Name);
  }
  const std::vector<std::string> &Drawn = Near.empty() ? All : Near;
  if (Drawn.empty())
    return std::nullopt;
  return Drawn[this->Random() % Drawn.size()];
}

std::optional<TimePoint>
AheadPeers::getBehindSince(const StorePosition &Known) const {
  if (!this->isAhead(Known))
    return std::nullopt;
  return this->BehindSince;
}

} // namespace canvaswick
