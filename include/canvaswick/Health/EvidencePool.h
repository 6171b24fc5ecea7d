//===- EvidencePool.h - The pool of evidence about one service, kept by its
// owner -*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Takes reports from all daemons, bounds what one source and one hall can do,
/// doubts a source that sees most of its servers fail, and makes digests. An
/// owner decides nothing for others: each daemon applies the digest under its
/// own floor.
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

/// What a pool must know of a server.
struct PooledServer {
  ServerId Id = 0;
  int Slots = 1;
  bool operator==(const PooledServer &) const = default;
};

/// Evidence about the servers of one service from every daemon.
class EvidencePool {
public:
  /// Owner is the name of the daemon that keeps the pool. Digests are numbered
  /// from FirstSequence, so that a new owner is not taken for its own past.
  EvidencePool(std::string Service, std::string Owner, HealthTuning Tuning,
               std::vector<PooledServer> Servers, int FloorPercent,
               uint64_t FirstSequence);

  /// Takes over what an earlier version of the pool knows.
  void adopt(const EvidencePool &Other);

  /// Takes a report once. Unknown servers and old reports are left out.
  void mergeReport(const EvidenceReport &Report, TimePoint Now);

  /// Moves the verdicts on. Call at least every second.
  void advance(TimePoint Now);

  /// Returns the digest for a hall, with every server that is suspect.
  EvidenceSummary buildSummary(const std::string &Hall);

  /// Sets this owner's place among the owners.
  void setRank(uint32_t Rank) { this->Rank = Rank; }

  /// Notes that all daemons of a hall were sent what there is to say now.
  void recordSent(const std::string &Hall);

  /// Returns whether a digest differs in substance from the last one for the
  /// hall, so that it should be sent at once.
  bool hasUpdates(const std::string &Hall) const;

  /// Returns whether anything is suspect, so that digests must be repeated.
  bool hasSuspects() const;

  /// Returns the daemons of a hall that have reported since.
  std::vector<std::string> getSources(const std::string &Hall,
                                      TimePoint Since) const;

  /// Returns the halls that have reported.
  std::vector<std::string> getHalls() const;

  /// Returns the servers in the order of the settings.
  const std::vector<PooledServer> &getServers() const { return this->Servers; }

  /// Returns the floor it keeps to, in percent of all slots.
  int getFloorPercent() const { return this->FloorPercent; }

  /// Returns whether a source's evidence is taken.
  bool isCredible(const std::string &Source, TimePoint Now) const;

private:
  /// What a source saw of late of a server that failed it.
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
  /// What one source or hall has contributed against one server.
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
