//===- TunnelPeers.cpp - Which peer connects to a server ------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Implements TunnelPeers.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Routing/TunnelPeers.h"

#include <algorithm>

namespace canvaswick {

/// A peer that declined or was not reached is not asked again for this long.
static constexpr Duration DeclineTime = fromMillis(500);

/// A peer that said it was cut off is not asked for this long: it repeats that
/// several times in it.
static constexpr Duration CutOffTime = fromMillis(1500);

void TunnelPeers::setPeers(const std::string &OwnHall,
                           std::vector<TunnelPeer> Given) {
  this->Hall = OwnHall;
  std::map<std::string, Knowledge> Kept;
  for (const TunnelPeer &Each : Given) {
    const auto Found = this->Known.find(Each.Name);
    Kept[Each.Name] = Found == this->Known.end() ? Knowledge{} : Found->second;
  }
  this->Known.swap(Kept);
  this->Peers = std::move(Given);
}

void TunnelPeers::recordMessage(const std::string &Peer, bool IsCutOff,
                                bool WasAnswered, TimePoint Now) {
  const auto Found = this->Known.find(Peer);
  if (Found == this->Known.end())
    return;
  Knowledge &Changed = Found->second;
  if (IsCutOff)
    Changed.CutOffHeardAt = Now;
  else
    Changed.CutOffHeardAt = TimePoint{};
  if (WasAnswered && !IsCutOff)
    Changed.AnsweredAt = Now;
}

void TunnelPeers::recordDeclined(const std::string &Peer, TimePoint Now) {
  const auto Found = this->Known.find(Peer);
  if (Found != this->Known.end())
    Found->second.DeclinedAt = Now;
}

static bool isRecent(TimePoint At, Duration Limit, TimePoint Now) {
  return At != TimePoint{} && Now - At < Limit;
}

TunnelPeers::Rank TunnelPeers::rank(const TunnelPeer &Peer, TimePoint Since,
                                    TimePoint Now) const {
  const Knowledge &Found = this->Known.at(Peer.Name);
  if (isRecent(Found.DeclinedAt, DeclineTime, Now) ||
      isRecent(Found.CutOffHeardAt, CutOffTime, Now))
    return Rank::Unusable;
  if (Peer.Hall != this->Hall)
    return Rank::Remote;
  return Found.AnsweredAt > Since ? Rank::Answered : Rank::SameHall;
}

std::optional<TunnelPeer>
TunnelPeers::choose(const std::vector<std::string> &Excluded, TimePoint Since,
                    TimePoint Now, RandomSource &Random) const {
  Rank Best = Rank::Unusable;
  std::vector<const TunnelPeer *> Candidates;
  for (const TunnelPeer &Each : this->Peers) {
    if (std::find(Excluded.begin(), Excluded.end(), Each.Name) !=
        Excluded.end())
      continue;
    const Rank Own = this->rank(Each, Since, Now);
    if (Own < Best) {
      Best = Own;
      Candidates.clear();
    }
    if (Own == Best && Own != Rank::Unusable)
      Candidates.push_back(&Each);
  }
  if (Candidates.empty())
    return std::nullopt;
  std::uniform_int_distribution<size_t> Draw(0, Candidates.size() - 1);
  return *Candidates[Draw(Random)];
}

bool TunnelPeers::hasHost(const std::string &Host) const {
  return std::any_of(
      this->Peers.begin(), this->Peers.end(),
      [&Host](const TunnelPeer &Each) { return Each.Address.Host == Host; });
}

} // namespace canvaswick
