//===- SubsetChooser.h - Chooses the servers of a daemon --------*- C++ -*-===//
//-*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A backend server accepts a few hundred connections from the whole fleet.
/// Rendezvous hashing assigns each server to as many daemons as its connections
/// allow, so that the bound holds without coordination.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_ROUTING_SUBSETCHOOSER_H
#define CANVASWICK_ROUTING_SUBSETCHOOSER_H

#include "canvaswick/Settings/FleetConfig.h"

#include <string>
#include <vector>

namespace canvaswick {

/// The number of connections that a daemon needs for a server to be worth
/// using.
inline constexpr int MinConnectionsPerDaemon = 2;

/// The servers of one service that a daemon uses.
struct ServerSubset {
  /// Indexes of the servers, in the order of the settings.
  std::vector<size_t> Servers;
  /// For each of these servers, the maximum number of connections of this
  /// daemon.
  std::vector<int> Connections;
};

/// Chooses the servers for the daemon Self. Daemons must contain Self. In a
/// small fleet every daemon gets all servers.
ServerSubset chooseSubset(const ServiceConfig &Service, const std::string &Self,
                          const std::vector<std::string> &Daemons,
                          int ExpectedDaemons);

/// Returns how many of Daemons rank before Self for a server. Key is
/// "service/server". chooseSubset assigns the server to the daemons of the
/// lowest ranks.
int getDaemonRank(const std::string &Key, const std::string &Self,
                  const std::vector<std::string> &Daemons);

} // namespace canvaswick

#endif // CANVASWICK_ROUTING_SUBSETCHOOSER_H
