//===- SenderChooser.cpp - Daemons that share a server's rate -------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The senders are the daemons that rank first for the server by rendezvous
/// hashing, so that a change of one daemon changes at most one sender.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Routing/SenderChooser.h"
#include "canvaswick/Routing/SubsetChooser.h"
#include "canvaswick/Support/Hash.h"

#include <algorithm>

namespace canvaswick {

const std::vector<std::string> &getHallDaemons(const FleetDaemons &Fleet,
                                               const std::string &Hall) {
  const auto Found = Fleet.Halls.find(Hall);
  const bool HasHall = Found != Fleet.Halls.end() && !Found->second.empty();
  return HasHall ? Found->second : Fleet.All;
}

double getDaemonPhase(const std::string &Key, const std::string &Self) {
  static constexpr uint64_t Steps = 1 << 20;
  return static_cast<double>(hashText(Self, hashText(Key)) % Steps) /
         static_cast<double>(Steps);
}

SenderChoice chooseSenders(const std::string &Key, const std::string &Hall,
                           size_t Wanted, const FleetDaemons &Fleet) {
  const std::vector<std::string> &Candidates =
      Wanted == 0 ? Fleet.All : getHallDaemons(Fleet, Hall);
  const size_t Senders =
      Wanted == 0 ? Candidates.size() : std::min(Wanted, Candidates.size());
  const bool IsCandidate = std::find(Candidates.begin(), Candidates.end(),
                                     Fleet.Self) != Candidates.end();
  SenderChoice Choice;
  Choice.Senders = std::max<size_t>(1, Senders);
  Choice.IsSender =
      IsCandidate &&
      static_cast<size_t>(getDaemonRank(Key, Fleet.Self, Candidates)) < Senders;
  Choice.WeightFactor =
      static_cast<double>(Candidates.size()) /
      static_cast<double>(Choice.IsSender ? Choice.Senders : 1);
  return Choice;
}

} // namespace canvaswick
