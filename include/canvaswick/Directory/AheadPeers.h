//===- AheadPeers.h - Peers with a newer replica ----------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tracks which peers hold a newer replica of the store, and chooses the one to
/// fetch it from. Daemons that fall behind together choose different peers: if
/// all of them asked the one that is furthest ahead, its link would be
/// saturated and none would be served.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_DIRECTORY_AHEADPEERS_H
#define CANVASWICK_DIRECTORY_AHEADPEERS_H

#include "canvaswick/Directory/StorePosition.h"
#include "canvaswick/Support/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>

namespace canvaswick {

/// The peers known to be ahead of this daemon. Not thread-safe.
class AheadPeers {
public:
  /// Seed must differ between daemons.
  explicit AheadPeers(uint64_t Seed) : Random(Seed) {}

  /// Records the position of a peer's replica if it is ahead of Known, the
  /// position of this daemon's own. Returns whether it is.
  bool recordPeer(const std::string &Peer, bool IsSameHall,
                  const StorePosition &AsOf, const StorePosition &Known,
                  TimePoint Now);

  /// Returns a random peer that is ahead of Known, from the same hall if there
  /// is one there, or nullopt if no peer is ahead. Known may be later than the
  /// position that recordPeer was given: peers between stay recorded.
  std::optional<std::string> choosePeer(const StorePosition &Known,
                                        TimePoint Now);

  /// Returns how many revisions of the same epoch the farthest peer is ahead.
  uint64_t getLag(const StorePosition &Known) const;

  /// Returns since when this daemon has been behind, or nullopt if it is not.
  std::optional<TimePoint> getBehindSince(const StorePosition &Known) const;

  /// Removes a peer that did not answer.
  void forget(const std::string &Peer) { this->Peers.erase(Peer); }

private:
  struct Ahead {
    StorePosition AsOf;
    bool IsSameHall = false;
    TimePoint HeardAt{};
  };

  bool isAhead(const StorePosition &Known) const;

  std::map<std::string, Ahead> Peers;
  TimePoint BehindSince{};
  std::mt19937_64 Random;
};

} // namespace canvaswick

#endif // CANVASWICK_DIRECTORY_AHEADPEERS_H
