//===- SenderChooser.h - Daemons that share a server's rate -----*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Chooses the daemons that send to a server whose request rate is bounded for
/// all daemons together. All daemons make the same choice from the same list of
/// daemons, without coordination.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_ROUTING_SENDERCHOOSER_H
#define CANVASWICK_ROUTING_SENDERCHOOSER_H

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace canvaswick {

/// The daemons of a fleet as one of them knows them.
struct FleetDaemons {
  std::string Self;
  /// Keyed by the name of the hall. Daemons of an unknown hall are in All only.
  std::map<std::string, std::vector<std::string>> Halls;
  std::vector<std::string> All;

  bool operator==(const FleetDaemons &) const = default;
};

/// The outcome of a choice for one daemon.
struct SenderChoice {
  bool IsSender = false;
  /// The number of senders, at least 1.
  size_t Senders = 1;
  /// Candidates per sender, or the number of candidates for a daemon that is no
  /// sender.
  double WeightFactor = 1;
};

/// Chooses Wanted senders for a server among the daemons of its hall, or among
/// all daemons if none of the hall are known. Wanted = 0 makes all daemons of
/// the fleet senders. Key is "service/server".
SenderChoice chooseSenders(const std::string &Key, const std::string &Hall,
                           size_t Wanted, const FleetDaemons &Fleet);

/// Returns a number in [0, 1) that differs between daemons and servers, so that
/// what each does periodically is spread over time.
double getDaemonPhase(const std::string &Key, const std::string &Self);

/// Returns the daemons of a hall, or all daemons if none of the hall are known.
const std::vector<std::string> &getHallDaemons(const FleetDaemons &Fleet,
                                               const std::string &Hall);

} // namespace canvaswick

#endif // CANVASWICK_ROUTING_SENDERCHOOSER_H
