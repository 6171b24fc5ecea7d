//===- Evidence.h - Messages by which daemons pool evidence -----*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A daemon reports what its requests showed to the owners of a service's
/// pool; an owner sends back a digest of what all reports together show.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_HEALTH_EVIDENCE_H
#define CANVASWICK_HEALTH_EVIDENCE_H

#include "canvaswick/Health/Outcome.h"

#include <cstdint>
#include <string>
#include <vector>

namespace canvaswick {

/// Names a backend server in messages: a hash of "service/server", the same in
/// every version of the settings.
using ServerId = uint32_t;

/// Returns the id of a server.
ServerId getServerId(const std::string &Service, const std::string &Server);

/// Counts about one server since the source's last report.
struct ServerEvidence {
  ServerId Server = 0;
  OutcomeCounts Counts;
};

/// What one daemon saw of one service since its last report.
struct EvidenceReport {
  std::string Service;
  std::string Source;
  std::string Hall;
  /// Grows with each report of the source, so that a report that arrives
  /// twice counts once.
  uint64_t Sequence = 0;
  /// Good requests to servers that are not named below.
  uint32_t OtherGood = 0;
  /// Distinct servers that the source used in the last window.
  uint32_t UsedServers = 0;
  std::vector<ServerEvidence> Servers;
};

/// What the pool thinks of one server, for the daemons of one hall.
struct ServerSummary {
  ServerId Server = 0;
  /// Part of its fair share that the server should get, from 0 to 1.
  double Share = 1;
  /// The evidence against it in nats, and how many sources it came from.
  double Score = 0;
  uint32_t Sources = 0;
  /// Whether the evidence is from the reader's hall alone.
  bool IsHallOnly = false;
};

/// What the pool of one owner thinks, for the daemons of one hall. Servers that
/// are not named are not suspect.
struct EvidenceSummary {
  std::string Service;
  std::string Owner;
  /// The owner's place among the owners, as it sees it. Of several digests the
  /// one of the lowest rank holds, so that all daemons follow one of them.
  uint32_t Rank = 0;
  uint64_t Sequence = 0;
  std::vector<ServerSummary> Servers;
};

} // namespace canvaswick

#endif // CANVASWICK_HEALTH_EVIDENCE_H
