//===- AheadPeers.h - Peers that know more ----------------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Which peers hold a later copy of the store, and which of them to ask for it.
/// Daemons that fall behind together ask different ones: were they all to ask
/// the one that is furthest ahead, its link would be full and nobody served.
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

/// Not thread-safe.
class AheadPeers {
public:
  /// Seed differs between daemons.
  explicit AheadPeers(uint64_t Seed) : Random(Seed) {}

  /// Notes how far a peer's copy goes, if that is further than Known, this
  /// daemon's own. Returns whether it is.
  bool recordPeer(const std::string &Peer, bool IsNear,
                  const StorePosition &AsOf, const StorePosition &Known,
                  TimePoint Now);

  /// Returns a peer that is ahead of Known, drawn anew each time: one of the
  /// own hall if there is any.
  std::optional<std::string> choosePeer(const StorePosition &Known,
                                        TimePoint Now);

  /// Returns since when this daemon has been behind, if it is.
  std::optional<TimePoint> getBehindSince(const StorePosition &Known) const;

  /// Forgets a peer that did not answer.
  void forget(const std::string &Peer) { this->Peers.erase(Peer); }

private:
  struct Ahead {
    StorePosition AsOf;
    bool IsNear = false;
    TimePoint HeardAt{};
  };

  bool isAhead(const StorePosition &Known) const;

  std::map<std::string, Ahead> Peers;
  TimePoint BehindSince{};
  std::mt19937_64 Random;
};

} // namespace canvaswick

#endif // CANVASWICK_DIRECTORY_AHEADPEERS_H
