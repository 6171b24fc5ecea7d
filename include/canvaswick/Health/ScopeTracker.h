//===- ScopeTracker.h - Sequential evidence about the servers of one service in
// one scope -*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A scope is who the evidence comes from: this daemon alone, all daemons of a
/// hall, or all daemons. For each server the tracker keeps a cumulative sum of
/// log likelihood ratios (CUSUM) of "sick" against "as good as its peers",
/// removes a server when the sum passes the threshold, and lets it back in by
/// small measured steps.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_HEALTH_SCOPETRACKER_H
#define CANVASWICK_HEALTH_SCOPETRACKER_H

#include "canvaswick/Health/Outcome.h"
#include "canvaswick/Health/Tuning.h"

#include <vector>

namespace canvaswick {

/// Where a server stands in a scope.
enum class HealthPhase : uint8_t { Serving, Removed, Returning };

/// Returns the name of a phase as reports print it.
const char *getName(HealthPhase Phase);

/// What a scope must heed when it removes servers.
struct RemovalRules {
  /// Which servers may be removed now. Empty: all.
  std::vector<bool> MayRemove;
  /// How many sources testify against each server. Empty: do not ask.
  std::vector<int> Sources;
  /// Slots of each server; 0 for one that is leaving or that others removed.
  std::vector<int> Slots;
  /// Slots that must stay in use.
  double FloorSlots = 0;
};

/// Evidence about the servers of one service from one scope.
class ScopeTracker {
public:
  ScopeTracker(HealthTuning Tuning, size_t ServerCount);

  /// Adds counts about one server. PositiveLimit bounds how much evidence
  /// against the server is taken; pass infinity for no bound. Returns how much
  /// evidence against it was taken, in nats.
  double addCounts(size_t Server, const OutcomeCounts &Given,
                   double PositiveLimit, TimePoint Now);

  /// Adds good requests to servers that were not named one by one: each server
  /// for which IsNamed is false is credited with an equal part.
  void addOtherGood(uint32_t Good, const std::vector<bool> &IsNamed,
                    TimePoint Now);

  /// Moves servers between phases. Call at least every second. The worst are
  /// removed first; one that the floor keeps goes on being judged by what its
  /// requests show.
  void advance(TimePoint Now, const RemovalRules &Rules);

  /// Lets a server back in by the usual steps, beginning with the first that
  /// gives at least Share.
  void beginReturn(size_t Server, double Share, TimePoint Now);

  /// Takes over what another tracker knows of one of its servers.
  void adopt(size_t Server, const ScopeTracker &Other, size_t OtherServer);

  /// Returns the part of its fair share, from 0 to 1, that the scope would
  /// give a server.
  double getShare(size_t Server) const;

  /// Returns the evidence against a server in nats.
  double getScore(size_t Server) const;

  HealthPhase getPhase(size_t Server) const;

  /// Returns whether successes of a server should be reported at once: there
  /// is evidence against it, or it is on its way back.
  bool isSuspect(size_t Server) const;

  /// Returns whether removals wait because too many servers look sick at once.
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

  /// Usual share of slow and failed requests among servers that look healthy.
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
