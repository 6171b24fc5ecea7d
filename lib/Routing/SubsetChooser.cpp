//===- SubsetChooser.cpp - Which backend servers a daemon connects to -----===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// For each server the daemons are ranked by rendezvous hashing; the first ones
/// use it.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Routing/SubsetChooser.h"
#include "canvaswick/Support/Hash.h"

#include <algorithm>

namespace canvaswick {

/// Views of who is a member differ for some seconds; this part of a server's
/// connections is left free for that.
static constexpr int UsedPercent = 80;

static int countSharers(const ServerConfig &Server) {
  const int Usable = Server.Connections * UsedPercent / 100;
  return std::max(1, Usable / MinConnectionsPerDaemon);
}

int getDaemonRank(const std::string &Key, const std::string &Self,
                  const std::vector<std::string> &Daemons) {
  const uint64_t KeyHash = hashText(Key);
  const uint64_t Own = hashText(Self, KeyHash);
  int Rank = 0;
  for (const std::string &Daemon : Daemons) {
    const uint64_t Other = hashText(Daemon, KeyHash);
    if (Other > Own || (Other == Own && Daemon < Self))
      ++Rank;
  }
  return Rank;
}

ServerSubset chooseSubset(const ServiceConfig &Service, const std::string &Self,
                          const std::vector<std::string> &Daemons,
                          int ExpectedDaemons) {
  ServerSubset Subset;
  const int Count = std::max(static_cast<int>(Daemons.size()), ExpectedDaemons);
  size_t BestServer = 0;
  int BestRank = Count + 1;
  for (size_t I = 0; I < Service.Servers.size(); ++I) {
    const ServerConfig &Server = Service.Servers[I];
    const int Sharers = countSharers(Server);
    int Rank = 0;
    if (Count > Sharers)
      Rank = getDaemonRank(Service.Name + "/" + Server.Name, Self, Daemons);
    if (Rank < BestRank) {
      BestRank = Rank;
      BestServer = I;
    }
    if (Rank >= Sharers)
      continue;
    Subset.Servers.push_back(I);
    const int Users = std::min(Count, Sharers);
    Subset.Connections.push_back(std::max(1, Server.Connections / Users));
  }
  // A daemon that is given no server takes the one it ranks best for, with one
  // connection out of those left free.
  if (Subset.Servers.empty() && !Service.Servers.empty()) {
    Subset.Servers.push_back(BestServer);
    Subset.Connections.push_back(1);
  }
  return Subset;
}

} // namespace canvaswick
