//===- SubsetChooser.cpp - Chooses the servers of a daemon ----------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// For each server the daemons are ranked by rendezvous hashing, and those of
/// the lowest ranks use it.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Routing/SubsetChooser.h"
#include "canvaswick/Support/Hash.h"

#include <algorithm>

namespace canvaswick {

/// The percentage of a server's connections that is assigned. The rest is a
/// reserve, because daemons' views of the membership differ for some seconds.
static constexpr int UsableConnectionPercent = 80;

static int countDaemonsOfServer(const ServerConfig &Server) {
  const int Usable = Server.Connections * UsableConnectionPercent / 100;
  return std::max(1, Usable / MinConnectionsPerDaemon);
}

int getDaemonRank(const std::string &Key, const std::string &Self,
                  const std::vector<std::string> &Daemons) {
  const uint64_t KeyHash = hashText(Key);
  const uint64_t SelfHash = hashText(Self, KeyHash);
  int Rank = 0;
  for (const std::string &Daemon : Daemons) {
    const uint64_t DaemonHash = hashText(Daemon, KeyHash);
    if (DaemonHash > SelfHash || (DaemonHash == SelfHash && Daemon < Self))
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
    const int MaxDaemons = countDaemonsOfServer(Server);
    int Rank = 0;
    if (Count > MaxDaemons)
      Rank = getDaemonRank(Service.Name + "/" + Server.Name, Self, Daemons);
    if (Rank < BestRank) {
      BestRank = Rank;
      BestServer = I;
    }
    if (Rank >= MaxDaemons)
      continue;
    Subset.Servers.push_back(I);
    const int Users = std::min(Count, MaxDaemons);
    Subset.Connections.push_back(std::max(1, Server.Connections / Users));
  }
  // A daemon that is assigned no server uses the one for which it ranks best,
  // with one connection out of the reserve.
  if (Subset.Servers.empty() && !Service.Servers.empty()) {
    Subset.Servers.push_back(BestServer);
    Subset.Connections.push_back(1);
  }
  return Subset;
}

} // namespace canvaswick
