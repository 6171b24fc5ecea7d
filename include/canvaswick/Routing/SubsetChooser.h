//===- SubsetChooser.h - Which backend servers a daemon connects to -*- C++
//-*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A backend server accepts some hundred connections from the whole fleet. Each
/// server is given to as many daemons as its connections allow, by rendezvous
/// hashing, so that the bound holds without anyone counting.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_ROUTING_SUBSETCHOOSER_H
#define CANVASWICK_ROUTING_SUBSETCHOOSER_H

#include "canvaswick/Settings/FleetConfig.h"

#include <string>
#include <vector>

namespace canvaswick {

/// Connections that a daemon needs to a server to be of use to it.
inline constexpr int MinConnectionsPerDaemon = 2;

/// What one daemon may use of one service.
struct ServerSubset {
  /// Indexes of the servers, in the order of the settings.
  std::vector<size_t> Servers;
  /// For each of them, the connections this daemon may open.
  std::vector<int> Connections;
};

/// Chooses for the daemon Self out of Daemons, which must hold Self. With few
/// daemons every server is chosen.
ServerSubset chooseSubset(const ServiceConfig &Service, const std::string &Self,
                          const std::vector<std::string> &Daemons,
                          int ExpectedDaemons);

/// Returns how many of Daemons rank before Self for a server, whose Key is
/// "service/server". The first ones are in chooseSubset's for it.
int getDaemonRank(const std::string &Key, const std::string &Self,
                  const std::vector<std::string> &Daemons);

} // namespace canvaswick

#endif // CANVASWICK_ROUTING_SUBSETCHOOSER_H
