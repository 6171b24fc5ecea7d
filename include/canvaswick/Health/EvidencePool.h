//===- EvidencePool.h - Pooled evidence of one service ----------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Declares the evidence pool that an owner keeps for one service. It merges
/// the reports of all daemons, limits the evidence that one source or one hall
/// can contribute, ignores failures reported by a source that sees most of its
/// servers fail, and builds summaries. Summaries are advisory: each daemon
/// applies them subject to its own floor.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_HEALTH_EVIDENCEPOOL_H
#define CANVASWICK_HEALTH_EVIDENCEPOOL_H

#include "canvaswick/Health/Evidence.h"
#include "canvaswick/Health/ScopeTracker.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace canvaswick {

/// The configuration of a server that the pool needs.
struct PooledServer {
  ServerId Id = 0;
  int Slots = 1;
  bool operator==(const PooledServer &) const = default;
};

/// Evidence about the servers of one service from all daemons. Not thread-safe.
class EvidencePool {
public:
  /// Creates the pool of the daemon Owner. Summaries are numbered from
  /// FirstSequence, so that daemons do not take those of a restarted owner for
  /// old ones.
  EvidencePool(std::string Service, std::string Owner, HealthTuning Tuning,
               std::vector<PooledServer> Servers, int FloorPercent,
               uint64_t FirstSequence);

  /// Copies the state of the pool of an earlier version of the settings, for
  /// the servers that are in both.
  void adopt(const EvidencePool &Other);

  /// Merges a report. Ignores duplicate and outdated reports and unknown
  /// servers.
  void mergeReport(const EvidenceReport &Report, TimePoint Now);

  /// Removes and readmits servers according to the evidence. Must be called at
  /// least once per second.
  void advance(TimePoint Now);

  /// Returns a summary for a hall that lists every suspect server.
  EvidenceSummary buildSummary(const std::string &Hall);

  /// Sets the position of this owner among the owners.
  void setRank(uint32_t Rank) { this->Rank = Rank; }

  /// Records that the current state was sent to all daemons of a hall.
  void recordSent(const std::string &Hall);

  /// Returns whether the shares or the set of suspect servers have changed
  /// since the last summary sent to a hall, so that a new one should be sent at
  /// once.
  bool hasUpdates(const std::string &Hall) const;

  /// Returns whether any server is suspect, so that summaries must be sent
  /// periodically.
  bool hasSuspects() const;

  /// Returns the daemons of a hall whose last report arrived at or after Since.
  std::vector<std::string> getSources(const std::string &Hall,
                                      TimePoint Since) const;

  /// Returns the halls that have reported.
  std::vector<std::string> getHalls() const;

  /// Returns the servers in the order of the settings.
  const std::vector<PooledServer> &getServers() const { return this->Servers; }

  /// Returns the operators' floor in percent of all slots.
  int getFloorPercent() const { return this->FloorPercent; }

  /// Returns whether failures that a source reports are accepted. An unknown
  /// source is credible.
  bool isCredible(const std::string &Source, TimePoint Now) const;

private:
  /// Recent outcomes that a source reported for a server with failures.
  struct SeenServer {
    DecayingCount Good;
    DecayingCount Bad;
  };
  struct SourceState {
    std::string Hall;
    uint64_t LastSequence = 0;
    uint32_t UsedServers = 0;
    TimePoint LastReport{};
    std::unordered_map<size_t, SeenServer> Seen;
  };
  /// Evidence in nats that one source or hall has recently contributed against
  /// one server.
  struct Contribution {
    DecayingCount Accepted;
  };
  using ContributionKey = std::pair<size_t, std::string>;

  ScopeTracker &getHallTracker(const std::string &Hall);
  void recordSeen(SourceState &Source, const EvidenceReport &Report,
                  TimePoint Now) const;
  bool isCredible(const SourceState &Source, TimePoint Now) const;
  void addServer(const EvidenceReport &Report, size_t Server,
                 const OutcomeCounts &Counts, bool IsCredible, TimePoint Now);
  RemovalRules makeRules(std::vector<int> SourceCounts) const;
  void excludeFleetRemovals(RemovalRules &Rules) const;
  std::vector<int> countSources(const std::string *Hall, TimePoint Now) const;
  std::string formatState(const std::string &Hall) const;
  ServerSummary summarizeServer(size_t Server, const std::string &Hall) const;

  const std::string Service;
  const std::string Owner;
  const HealthTuning Tuning;
  const std::vector<PooledServer> Servers;
  const int FloorPercent;
  std::unordered_map<ServerId, size_t> IndexOfServer;
  ScopeTracker Fleet;
  std::map<std::string, ScopeTracker> Halls;
  std::map<std::string, SourceState> Sources;
  std::map<ContributionKey, Contribution> BySource;
  std::map<ContributionKey, Contribution> ByHall;
  std::map<std::string, std::string> LastSentState;
  std::vector<int> FleetSources;
  std::map<std::string, std::vector<int>> HallSources;
  uint64_t Sequence;
  uint32_t Rank = 0;
};

} // namespace canvaswick

#endif // CANVASWICK_HEALTH_EVIDENCEPOOL_H
