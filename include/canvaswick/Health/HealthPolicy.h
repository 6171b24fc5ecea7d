//===- HealthPolicy.h - Policies for server shares --------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Declares the policies that turn outcomes and evidence summaries into the
/// share of requests of each backend server. There is one policy object per
/// daemon and service. The three policies have the same interface, so that a
/// simulation can compare them.
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
#include <unordered_map>
#include <variant>
#include <vector>

namespace canvaswick {

/// The configuration of a server that a policy needs.
struct PolicyServer {
  ServerId Id = 0;
  int Slots = 1;
};

/// The configuration of the service and the daemon that a policy needs.
struct PolicySetup {
  std::string Service;
  std::string Source;
  std::string Hall;
  EjectionPreference Preference = EjectionPreference::Balanced;
  int FloorPercent = 0;
  /// Time for which a server may be slow after it stops leaving.
  Duration ColdStart{};
  /// First sequence number of reports, so that owners do not take those of a
  /// restarted daemon for old ones.
  uint64_t FirstSequence = 0;
  std::vector<PolicyServer> Servers;
  PolicySwitches Switches;
};

/// The reason for the share of a server.
enum class ShareReason : uint8_t {
  Healthy,
  LocalEvidence,
  HallEvidence,
  FleetEvidence,
  Leaving,
  KeptByFloor,
  /// The server asked for backoff.
  ServerBackoff,
  /// The server announced a request limit.
  Limited,
  /// The server has just started and bears few requests.
  Cold,
  /// Operators have drained the server's hall.
  HallDrained,
  /// Another process answers at the server's address.
  Gone,
};

/// Returns the name of a reason as it appears in reports.
const char *getName(ShareReason Reason);

/// Explains the share of one server to operators.
struct ShareExplanation {
  double Share = 1;
  ShareReason Reason = ShareReason::Healthy;
  /// The share that the evidence suggests, before the floor is applied.
  double WantedShare = 1;
  double LocalScore = 0;
  double PoolScore = 0;
  uint32_t PoolSources = 0;
  /// Time of the last change of the share.
  TimePoint Since{};
  OutcomeCounts LocalCounts;
};

/// Never removes a server. Serves as the reference without a health policy.
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

/// The common outlier ejection: each daemon on its own removes a server after
/// five consecutive failures, for 30 s times the number of its removals, and
/// removes at most 10 % of the servers (but at least one).
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

/// Combines local evidence, pooled evidence of the hall and of the fleet, and
/// the operators' floor. Not thread-safe.
class PooledPolicy {
public:
  explicit PooledPolicy(PolicySetup Setup);
  void recordOutcome(size_t Server, RequestOutcome Outcome, TimePoint Now);
  void setLeaving(size_t Server, bool IsLeaving, TimePoint Now);
  void advance(TimePoint Now);
  double getShare(size_t Server) const;

  /// Returns a report if one is due. The caller sends it; a lost report is not
  /// sent again.
  std::optional<EvidenceReport> makeReport(TimePoint Now);

  /// Applies a summary of an owner. Ignores summaries that are older than the
  /// last one of the same owner.
  void applySummary(const EvidenceSummary &Summary, TimePoint Now);

  /// Copies the evidence of the policy of an earlier version of the settings,
  /// for the servers that are in both.
  void adopt(const PooledPolicy &Other, TimePoint Now);

  /// Returns the reason for the share of a server.
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
  void recordRecent(size_t Server, RequestOutcome Outcome);
  bool isServerSpecific(size_t Server) const;
  RemovalRules makeRules() const;
  const OwnerView *findLeadingView() const;
  const ServerSummary *findSummary(size_t Server) const;
  DesiredShare computeDesiredShare(size_t Server, ShareReason &Reason) const;
  bool isReportDue(TimePoint Now) const;

  PolicySetup Setup;
  HealthTuning Tuning;
  ScopeTracker Local;
  std::vector<ServerState> Servers;
  std::unordered_map<ServerId, size_t> IndexOfServer;
  std::map<std::string, OwnerView> Views;
  uint64_t ReportSequence = 0;
  TimePoint LastReport{};
  bool HasUnreportedBad = false;
  /// The last outcomes of this daemon, oldest first: the server and whether the
  /// outcome was not good.
  std::deque<std::pair<size_t, bool>> Recent;
};

/// Any of the policies.
using HealthPolicy = std::variant<NonePolicy, BaselinePolicy, PooledPolicy>;

/// Identifies a policy.
enum class PolicyKind : uint8_t { None, Baseline, Pooled };

/// Returns the name of a policy as it appears on the command line.
const char *getName(PolicyKind Kind);

/// Returns the policy called Name, or nothing if there is none.
std::optional<PolicyKind> findPolicyKind(const std::string &Name);

/// Creates a policy.
HealthPolicy makeHealthPolicy(PolicyKind Kind, PolicySetup Setup);

/// Forwards an outcome to the policy.
void recordOutcome(HealthPolicy &Policy, size_t Server, RequestOutcome Outcome,
                   TimePoint Now);

/// Marks a server as leaving or not leaving.
void setLeaving(HealthPolicy &Policy, size_t Server, bool IsLeaving,
                TimePoint Now);

/// Advances the state of the policy to Now.
void advancePolicy(HealthPolicy &Policy, TimePoint Now);

/// Returns the share of a server.
double getShare(const HealthPolicy &Policy, size_t Server);

} // namespace canvaswick

#endif // CANVASWICK_HEALTH_HEALTHPOLICY_H
