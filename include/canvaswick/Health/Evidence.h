//===- Evidence.h - Messages that pool health evidence ----------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Declares the messages by which daemons pool evidence about backend servers.
/// A daemon reports its request outcomes to the owners of a service's evidence
/// pool. An owner answers with a summary of all reports.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_HEALTH_EVIDENCE_H
#define CANVASWICK_HEALTH_EVIDENCE_H

#include "canvaswick/Health/Outcome.h"

#include <cstdint>
#include <string>
#include <vector>

namespace canvaswick {

/// Identifies a backend server in messages. It is a hash of "service/server"
/// and is the same in every version of the settings.
using ServerId = uint32_t;

/// Returns the identifier of a server.
ServerId getServerId(const std::string &Service, const std::string &Server);

/// Outcome counts of one server since the source's previous report.
struct ServerEvidence {
  ServerId Server = 0;
  OutcomeCounts Counts;
};

/// The outcomes that one daemon observed for one service since its previous
/// report.
struct EvidenceReport {
  std::string Service;
  std::string Source;
  std::string Hall;
  /// Increases with each report of the source, so that duplicate reports are
  /// ignored.
  uint64_t Sequence = 0;
  /// Good requests to servers that are not listed in Servers.
  uint32_t OtherGood = 0;
  /// Number of distinct servers that the source used in the last 30 s.
  uint32_t UsedServers = 0;
  std::vector<ServerEvidence> Servers;
};

/// The pool's result for one server, for the daemons of one hall.
struct ServerSummary {
  ServerId Server = 0;
  /// Fraction of its fair share that the server should get, from 0 to 1.
  double Share = 1;
  /// Evidence against the server in nats, and the number of sources that
  /// contributed to it.
  double Score = 0;
  uint32_t Sources = 0;
  /// Whether the share is reduced by evidence of the recipient's hall alone.
  bool IsHallOnly = false;
};

/// The results of one owner's pool for the daemons of one hall. It has no
/// evidence against servers that are not listed.
struct EvidenceSummary {
  std::string Service;
  std::string Owner;
  /// The position of the owner among the owners of the pool, as the owner sees
  /// it. A daemon that has summaries of several owners follows the one with the
  /// lowest rank, so that all daemons follow the same owner.
  uint32_t Rank = 0;
  uint64_t Sequence = 0;
  std::vector<ServerSummary> Servers;
};

} // namespace canvaswick

#endif // CANVASWICK_HEALTH_EVIDENCE_H
