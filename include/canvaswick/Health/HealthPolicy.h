//===- HealthPolicy.h - Who gets traffic: the policies ----------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// One policy object per daemon and service turns outcomes and digests into the
/// share of traffic of each backend server. Three policies stand side by side
/// so that the bench compares them on the same ground.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_HEALTH_HEALTHPOLICY_H
#define CANVASWICK_HEALTH_HEALTHPOLICY_H

#include "canvaswick/Health/Evidence.h"
#include "canvaswick/Health/FloorGuard.h"
#include "canvaswick/Health/LatencyTracker.h"
#include "canvaswick/Health/ScopeTracker.h"
#include "canvaswick/Settings/PolicySwitches.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace canvaswick {

/// What a policy must know of a server.
struct PolicyServer {
  ServerId Id = 0;
  int Slots = 1;
};

/// What a policy must know of its service and daemon.
struct PolicySetup {
  std::string Service;
  std::string Source;
  std::string Hall;
  EjectionPreference Preference = EjectionPreference::Balanced;
  int FloorPercent = 0;
  /// A server that comes back from leaving may be slow for this long.
  Duration ColdStart{};
  /// Reports are numbered from here, so that a daemon that starts anew is not
  /// taken for its own past.
  uint64_t FirstSequence = 0;
  std::vector<PolicyServer> Servers;
  PolicySwitches Switches;
};

/// Why a server has the share it has.
enum class ShareReason : uint8_t {
  Healthy,
  LocalEvidence,
  HallEvidence,
  FleetEvidence,
  Leaving,
  KeptByFloor,
  /// The server asked for rest.
  ServerBackoff,
  /// The server named a limit.
  Limited,
};

/// Returns the name of a reason as reports print it.
const char *getName(ShareReason Reason);

/// The explanation of one server's share, for operators.
struct ShareExplanation {
  double Share = 1;
  ShareReason Reason = ShareReason::Healthy;
  /// What the evidence wanted before the floor.
  double WantedShare = 1;
  double LocalScore = 0;
  double PoolScore = 0;
  uint32_t PoolSources = 0;
  /// When the share last changed.
  TimePoint Since{};
  OutcomeCounts LocalCounts;
};

/// Removes nothing: what happens without any policy.
class NonePolicy {
public:
  explicit NonePolicy(PolicySetup Setup);
  void recordOutcome(size_t Server, RequestOutcome Outcome, TimePoint Now);
  void setLeaving(size_t Server, bool IsLeaving, TimePoint Now);
  void advance(TimePoint Now);
  double getShare(size_t Server) const;

private:
  std::vector<bool> Leaving;
};

/// The common default: each daemon alone removes a server after five failures
/// in a row, for 30 s times the number of removals, at most 10 % of servers.
class BaselinePolicy {
public:
  explicit BaselinePolicy(PolicySetup Setup);
  void recordOutcome(size_t Server, RequestOutcome Outcome, TimePoint Now);
  void setLeaving(size_t Server, bool IsLeaving, TimePoint Now);
  void advance(TimePoint Now);
  double getShare(size_t Server) const;

private:
  struct ServerState {
    int FailuresInRow = 0;
    int Removals = 0;
    bool IsRemoved = false;
    bool IsLeaving = false;
    TimePoint RemovedUntil{};
  };
  size_t countRemoved() const;

  std::vector<ServerState> Servers;
};

/// Ours: own evidence, pooled evidence of the hall and of the fleet, and the
/// operators' floor.
class PooledPolicy {
public:
  explicit PooledPolicy(PolicySetup Setup);
  void recordOutcome(size_t Server, RequestOutcome Outcome, TimePoint Now);
  void setLeaving(size_t Server, bool IsLeaving, TimePoint Now);
  void advance(TimePoint Now);
  double getShare(size_t Server) const;

  /// Returns a report if one is due. Sending it is the caller's work; a report
  /// that is lost is not sent again.
  std::optional<EvidenceReport> makeReport(TimePoint Now);

  /// Takes an owner's digest. Older ones than the last are left out.
  void applySummary(const EvidenceSummary &Digest, TimePoint Now);

  /// Takes over the evidence of an earlier version of the service.
  void adopt(const PooledPolicy &Other, TimePoint Now);

  /// Returns why a server has its share.
  ShareExplanation explain(size_t Server) const;

private:
  struct ServerState {
    PolicyServer Config;
    OutcomeCounts Unreported;
    OutcomeCounts Counts;
    TimePoint LastUsed{};
    bool WasUsed = false;
    bool WasLastBad = false;
    bool IsLeaving = false;
    TimePoint ColdUntil{};
    bool IsPoolSuspect = false;
    ShareExplanation Explanation;
  };
  struct OwnerView {
    uint64_t Sequence = 0;
    uint32_t Rank = 0;
    TimePoint At{};
    bool IsCurrent = false;
    std::vector<ServerSummary> Servers;
  };

  void updateShares(TimePoint Now);
  void expireViews(TimePoint Now);
  void noteRecent(size_t Server, RequestOutcome Outcome);
  bool isSpecific(size_t Server) const;
  RemovalRules makeRules() const;
  const OwnerView *findLeadingView() const;
  const ServerSummary *findDigest(size_t Server) const;
  ShareWish wishFor(size_t Server, ShareReason &Reason) const;
  bool isReportDue(TimePoint Now) const;

  PolicySetup Setup;
  HealthTuning Tuning;
  ScopeTracker Own;
  std::vector<ServerState> Servers;
  std::map<ServerId, size_t> IndexOfServer;
  std::map<std::string, OwnerView> Views;
  uint64_t ReportSequence = 0;
  TimePoint LastReport{};
  bool HasUnreportedBad = false;
  /// The last outcomes of this daemon, oldest first: server, and whether bad.
  std::deque<std::pair<size_t, bool>> Recent;
};

/// Any of the policies.
using HealthPolicy = std::variant<NonePolicy, BaselinePolicy, PooledPolicy>;

/// The policies by name.
enum class PolicyKind : uint8_t { None, Baseline, Pooled };

/// Returns the name of a policy as the bench takes it.
const char *getName(PolicyKind Kind);

/// Returns the policy called Name, or nothing.
std::optional<PolicyKind> findPolicyKind(const std::string &Name);

/// Makes a policy.
HealthPolicy makeHealthPolicy(PolicyKind Kind, PolicySetup Setup);

/// Forwards one outcome to whichever policy it is.
void recordOutcome(HealthPolicy &Policy, size_t Server, RequestOutcome Outcome,
                   TimePoint Now);

/// Marks a server as leaving or not.
void setLeaving(HealthPolicy &Policy, size_t Server, bool IsLeaving,
                TimePoint Now);

/// Moves a policy on in time.
void advancePolicy(HealthPolicy &Policy, TimePoint Now);

/// Returns the share of a server.
double getShare(const HealthPolicy &Policy, size_t Server);

} // namespace canvaswick

#endif // CANVASWICK_HEALTH_HEALTHPOLICY_H
