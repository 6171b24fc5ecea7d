//===- ScopeTracker.h - Sequential test of a service's servers --*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Declares a sequential test that detects unhealthy servers. A scope is the
/// set of daemons whose evidence is combined: this daemon, all daemons of a
/// hall, or the fleet. For each server the tracker keeps a cumulative sum
/// (CUSUM) of log likelihood ratios of "unhealthy" against "as good as its
/// peers". It removes a server when the sum exceeds a threshold and readmits it
/// in steps.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_HEALTH_SCOPETRACKER_H
#define CANVASWICK_HEALTH_SCOPETRACKER_H

#include "canvaswick/Health/Outcome.h"
#include "canvaswick/Health/Tuning.h"

#include <vector>

namespace canvaswick {

/// The state of a server in a scope.
enum class HealthPhase : uint8_t { Serving, Removed, Returning };

/// Returns the name of a phase as it appears in reports.
const char *getName(HealthPhase Phase);

/// Constraints on the removal of servers.
struct RemovalRules {
  /// Which servers may be removed now. Empty if all may be.
  std::vector<bool> MayRemove;
  /// Number of sources with evidence against each server. Empty if no minimum
  /// applies.
  std::vector<int> Sources;
  /// Slots of each server; 0 for servers that are leaving or that another scope
  /// has removed.
  std::vector<int> Slots;
  /// Number of slots that must stay in use.
  double FloorSlots = 0;
};

/// Evidence about the servers of one service in one scope. Not thread-safe.
class ScopeTracker {
public:
  ScopeTracker(HealthTuning Tuning, size_t ServerCount);

  /// Adds counts of one server. PositiveLimit bounds the evidence against the
  /// server that is accepted; pass infinity for no bound. Returns the accepted
  /// evidence against the server in nats.
  double addCounts(size_t Server, const OutcomeCounts &Given,
                   double PositiveLimit, TimePoint Now);

  /// Adds good requests to servers that a report does not list. Each server for
  /// which IsNamed is false is credited with an equal part.
  void addOtherGood(uint32_t Good, const std::vector<bool> &IsNamed,
                    TimePoint Now);

  /// Moves servers between phases. Must be called at least once per second.
  /// Removes the servers with the highest scores first. A server that the floor
  /// keeps in use remains subject to evaluation.
  void advance(TimePoint Now, const RemovalRules &Rules);

  /// Starts the stepwise return of a server with the first step whose share is
  /// at least Share.
  void beginReturn(size_t Server, double Share, TimePoint Now);

  /// Copies the state of a server from another tracker.
  void adopt(size_t Server, const ScopeTracker &Other, size_t OtherServer);

  /// Returns the fraction of its fair share, from 0 to 1, that a server gets in
  /// this scope.
  double getShare(size_t Server) const;

  /// Returns the evidence against a server in nats.
  double getScore(size_t Server) const;

  HealthPhase getPhase(size_t Server) const;

  /// Returns whether good outcomes of a server should be reported at once,
  /// because there is evidence against it or because it is returning.
  bool isSuspect(size_t Server) const;

  /// Returns whether removals are suspended because too many servers appear
  /// unhealthy at the same time.
  bool areRemovalsSuspended() const;

  size_t countServers() const { return this->Servers.size(); }

private:
  struct ServerState {
    HealthPhase Phase = HealthPhase::Serving;
    double Score = 0;
    TimePoint ScoreAt{};
    DecayingCount Good;
    DecayingCount Slow;
    DecayingCount Failed;
    TimePoint RemovedUntil{};
    TimePoint StepStartedAt{};
    TimePoint LastRemoved{};
    DecayingCount SlowEvidence;
    size_t Step = 0;
    uint32_t GoodInStep = 0;
    int Removals = 0;
    bool WasRemovedForSlowness = false;
  };

  /// Typical rates of slow and failed requests at servers that appear healthy.
  struct TypicalRates {
    double Slow;
    double Failed;
  };

  void updateTypicalRates(TimePoint Now);
  double computeTypicalRate(DecayingCount ServerState::*Kind, TimePoint Now,
                            double Total, double Minimum) const;
  double computeEvidenceAgainst(ServerState &State, const OutcomeCounts &Counts,
                                TimePoint Now) const;
  double computeEvidenceFor(const OutcomeCounts &Counts) const;
  void addScore(ServerState &State, double Amount);
  double getBadRate(const ServerState &State, TimePoint Now) const;
  void decayScore(ServerState &State, TimePoint Now);
  void remove(ServerState &State, TimePoint Now);
  void advanceReturn(ServerState &State, TimePoint Now);
  bool areTooManySuspect() const;
  bool isRemovable(size_t Server, const RemovalRules &Rules) const;
  double countUsable(const RemovalRules &Rules) const;
  void restoreToFloor(const RemovalRules &Rules);
  void removeWorst(TimePoint Now, const RemovalRules &Rules);

  HealthTuning Tuning;
  std::vector<ServerState> Servers;
  DecayingCount TotalGood;
  TypicalRates Typical;
  bool RemovalsSuspended = false;
};

} // namespace canvaswick

#endif // CANVASWICK_HEALTH_SCOPETRACKER_H
