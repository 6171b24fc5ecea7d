//===- TunnelPeers.h - Which peer connects to a server --------- *- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Chooses the peer through which a daemon that is cut off from servers sends a
/// request.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_ROUTING_TUNNELPEERS_H
#define CANVASWICK_ROUTING_TUNNELPEERS_H

#include "canvaswick/Routing/ServerSelector.h"
#include "canvaswick/Settings/FleetConfig.h"
#include "canvaswick/Support/Time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace canvaswick {

/// A daemon that can connect to servers for others.
struct TunnelPeer {
  std::string Name;
  std::string Hall;
  /// Where it accepts tunnels.
  Endpoint Address;
};

/// What is known of the peers of one daemon. Not thread-safe.
class TunnelPeers {
public:
  /// Sets the hall of this daemon and the peers, without this daemon.
  void setPeers(const std::string &Hall, std::vector<TunnelPeer> Peers);

  /// Records what a message of a peer shows: that it is cut off from servers
  /// itself, or that servers have answered it.
  void recordMessage(const std::string &Peer, bool IsCutOff, bool WasAnswered,
                     TimePoint Now);

  /// Records that a peer could not be reached or declined a tunnel.
  void recordDeclined(const std::string &Peer, TimePoint Now);

  /// Chooses a peer that is not in Excluded, at random among those that servers
  /// have answered since Since, or else of this hall, or else of others.
  /// Returns nothing if all peers have declined lately or are cut off.
  std::optional<TunnelPeer> choose(const std::vector<std::string> &Excluded,
                                   TimePoint Since, TimePoint Now,
                                   RandomSource &Random) const;

  /// Returns whether there is any peer.
  bool isEmpty() const { return this->Peers.empty(); }

  /// Returns whether a peer has this host.
  bool hasHost(const std::string &Host) const;

private:
  struct Knowledge {
    TimePoint CutOffHeardAt{};
    TimePoint AnsweredAt{};
    TimePoint DeclinedAt{};
  };
  /// How good a choice a peer is; the best come first.
  enum class Rank : uint8_t { Answered, SameHall, Remote, Unusable };

  Rank rank(const TunnelPeer &Peer, TimePoint Since, TimePoint Now) const;

  std::string Hall;
  std::vector<TunnelPeer> Peers;
  std::map<std::string, Knowledge> Known;
};

} // namespace canvaswick

#endif // CANVASWICK_ROUTING_TUNNELPEERS_H
