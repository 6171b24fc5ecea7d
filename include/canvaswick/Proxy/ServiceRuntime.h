//===- ServiceRuntime.h - One service as a daemon runs it -------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The decision objects of one service behind one mutex: who gets the next
/// request, what is admitted, what the outcomes showed. Shared by counted
/// references; requests in flight keep the one they began with.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_PROXY_SERVICERUNTIME_H
#define CANVASWICK_PROXY_SERVICERUNTIME_H

#include "canvaswick/Admission/FleetRetryBudget.h"
#include "canvaswick/Admission/Limits.h"
#include "canvaswick/Health/HealthPolicy.h"
#include "canvaswick/Health/LatencyTable.h"
#include "canvaswick/Health/MarkovPolicy.h"
#include "canvaswick/Metrics/ServiceMetrics.h"
#include "canvaswick/Proxy/ServerNoticeTable.h"
#include "canvaswick/Routing/ServerSelector.h"
#include "canvaswick/Routing/SubsetChooser.h"

#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace canvaswick {

/// One try of a request at one server, while it is in flight. Linked into its
/// service so that late ones are noticed before they end.
struct Attempt : boost::intrusive::list_base_hook<> {
  size_t Server = 0;
  /// Name of the request's route.
  std::string Route;
  TimePoint Began{};
  /// The usual time of its kind at an idle server; zero: not known.
  Duration TypicalTime{};
  /// When it may take no longer.
  TimePoint Deadline{};
  bool IsCountedSlow = false;
  /// Whether it ended without an answer because the time was up.
  bool WasTimedOut = false;
  /// Whether its connection ended before a byte of an answer had come, and not
  /// by us.
  bool WasCutOff = false;
  /// How much longer than at an idle server its kind usually takes, because of
  /// those that came before it.
  double QueueFactor = 1;
  /// The number under which the requests in flight hold it.
  uint64_t InFlightNumber = 0;
  /// What the answer told of the server's load, or -1.
  int Load = -1;
  /// What the server was chosen by: its share, how likely it was sick, the
  /// requests there, and whether it was tested.
  double Share = 1;
  double UnhealthyProbability = 0;
  double ServerLoad = 0;
  bool IsTest = false;
  /// Whether its answer asked for rest.
  bool HasBackoffRequest = false;
  /// Servers that were left out of the choice by their own word.
  size_t ExcludedServers = 0;
};

/// What of a request decides which server it may go to.
struct AttemptNeeds {
  RouteClass Class = RouteClass::Repeatable;
  /// Name of the route.
  std::string Route;
  TimePoint Deadline{};
  /// Within what time an answer is to come, by the operators, and until when.
  Duration Objective{};
  TimePoint ObjectiveDeadline{};
  /// Whether a failure of this attempt would be final.
  bool IsLast = true;
  /// Servers that were tried before.
  std::vector<size_t> Tried;
};

/// What an operator may ask about one server.
struct ServerStatus {
  std::string Name;
  Endpoint Address;
  int InFlight = 0;
  ShareExplanation Explanation;
};

/// Who runs the service: what all services of a daemon share.
struct DaemonIdentity {
  std::string Name;
  std::string Hall;
  std::vector<std::string> Daemons;
  int ExpectedDaemons = 1;
  /// Calendar time of the process's start, in milliseconds.
  uint64_t StartMillis = 0;
  /// Which policy judges servers, and whose repeats are counted: a daemon on
  /// the users' platform shares observations and one budget with the fleet.
  SettingsSource Source = SettingsSource::OperatorTree;
  FleetRetryLimit Repeats;
  TimePoint Started{};
  PolicySwitches Switches;
  /// What servers say of themselves. Null: the previous version's, or one of
  /// the service alone.
  ServerNoticeTableRef Notices;
};

class ServiceRuntime;

/// A counted reference to a ServiceRuntime.
using ServiceRuntimeRef = boost::intrusive_ptr<ServiceRuntime>;

/// The live state of one service. Thread-safe; its mutex is the innermost one:
/// no other lock is taken while it is held.
class ServiceRuntime : public boost::intrusive_ref_counter<ServiceRuntime> {
public:
  /// Takes over the evidence of Previous, which may be null, for the servers
  /// that are in both.
  ServiceRuntime(ServiceConfig Config, const DaemonIdentity &Identity,
                 const ServiceRuntime *Previous, TimePoint Now);

  /// Admits a request of a route. On refusal says when to come back.
  Refusal admit(const std::string &Route, Duration Left, TimePoint Now,
                Duration &Wait);

  /// Ends an admitted request and counts it.
  void finish(AnswerKind Kind, Duration Latency, TimePoint Now);

  /// Chooses a server and links Next, or returns false if none can take it.
  bool begin(Attempt &Next, const AttemptNeeds &Needs, TimePoint Now);

  /// Unlinks an attempt and takes its outcome as evidence.
  void end(Attempt &Ended, RequestOutcome Outcome, TimePoint Now);

  /// Takes the right to one repeat.
  bool tryTakeRetry(TimePoint Now);

  /// Takes the right to send elsewhere what a server declined to run. Only the
  /// fleet's budget counts such repeats.
  bool tryTakeNotRunRetry(TimePoint Now);

  /// Gives a peer the right to one repeat of the fleet's budget.
  bool tryLendRetry(TimePoint Now);

  /// Takes a right that a peer gave, to be used before Until.
  void borrowRetry(TimePoint Until);

  /// Returns whether repeats are counted on the fleet's budget.
  bool hasFleetRetryBudget() const { return this->FleetRetries != nullptr; }

  /// Returns the name that the service has in messages between daemons.
  ServerId getId() const;

  /// Returns whether tryTakeRetry would succeed on the fleet's budget.
  bool hasRetry(TimePoint Now) const;

  /// Notes attempts that are already late and moves the policy on.
  void advance(TimePoint Now);

  /// Returns a report for the owners of the pool if one is due.
  std::optional<EvidenceReport> makeReport(TimePoint Now);

  /// Takes a digest of an owner.
  void applySummary(const EvidenceSummary &Digest, TimePoint Now);

  /// Returns the observations that peers should know, and forgets them.
  std::vector<Observation> drainLocalObservations();

  /// Takes what a peer of this hall saw.
  void applyObservation(const Observation &Seen, TimePoint Now);

  /// Adds what this daemon has in flight at the service's servers.
  void appendInFlight(std::vector<InFlightReport> &Reports,
                      TimePoint Now) const;

  /// Takes all that a peer of this hall has in flight, at any service.
  void applyPeerInFlight(const std::string &Daemon, uint64_t Sequence,
                         const std::vector<InFlightReport> &Reports,
                         TimePoint Now);

  /// Returns what this daemon thinks of the servers in its own hall.
  std::vector<HealthEstimate> getSameHallEstimates(TimePoint Now) const;

  /// Returns what this daemon thinks of all servers that its hall has used.
  std::vector<HealthEstimate> getUsedEstimates(TimePoint Now) const;

  /// Returns how this hall's requests fare of late.
  HallFailureRate getFailureRate(TimePoint Now) const;

  /// Takes how another hall's requests fare, if Rate is about this service.
  void applyFailureRate(const std::string &Hall, const HallFailureRate &Rate,
                        TimePoint Now);

  /// Takes what a peer of this hall thinks of a server that is new here.
  void applySameHallEstimate(const HealthEstimate &Given, TimePoint Now);

  /// Takes what a daemon of another hall thinks of a server there.
  void applyRemoteEstimate(const HealthEstimate &Given, TimePoint Now);

  /// Returns after how long without an answer it is first asked whether a
  /// repeatable request is better sent elsewhere.
  Duration getRetryCheckDelay(const std::string &Route,
                              Duration Objective) const;

  /// Returns whether an attempt that has no answer yet is better given up for
  /// one at another server. Needs tells which were tried.
  bool shouldAbandonAttempt(const Attempt &Each, const AttemptNeeds &Needs,
                            TimePoint Now) const;

  /// Marks servers as leaving, by what the platform or the server itself said.
  void setLeavingAddresses(const std::set<std::string> &Addresses,
                           TimePoint Now);

  /// Takes what the answer of an attempt says of its server. Returns what of it
  /// is new.
  std::vector<NoticeChange>
  handleNotice(Attempt &From, const ServerNotice &Notice, TimePoint Now);

  /// Takes what a peer tells of the limit of one of this service's servers.
  /// Returns what of it is new.
  std::vector<NoticeChange> applyPeerLimit(const LimitReport &Given,
                                           TimePoint Now);

  /// Takes a load report of a server.
  void recordLoadReport(size_t Server, double Load, TimePoint Now);

  /// Returns what an operator may know.
  std::vector<ServerStatus> describe(TimePoint Now) const;

  /// Sets the fleet's allowance of repeats, how many daemons share it and which
  /// of them this one is.
  void setRetryLimit(const FleetRetryLimit &Allowance, size_t Daemons,
                     size_t Rank);

  const ServiceConfig &getConfig() const { return this->Config; }
  const ServerSubset &getSubset() const { return this->Subset; }
  ServiceMetrics &getMetrics() { return *this->Metrics; }
  const ServerConfig &getServer(size_t Index) const;

  /// Returns how many servers this daemon uses.
  size_t countServers() const { return this->Subset.Servers.size(); }

  /// Returns whether it is for this configuration and these daemons already.
  bool matchesConfig(const ServiceConfig &Config,
                     const DaemonIdentity &Identity) const;

private:
  using Policies = std::variant<PooledPolicy, MarkovPolicy>;
  using AttemptList = boost::intrusive::list<Attempt>;

  std::vector<SelectableServer> makeSelectable(const DaemonIdentity &Identity,
                                               const ServiceRuntime *Previous,
                                               TimePoint Now) const;
  PolicySetup makeSetup(const DaemonIdentity &Identity) const;
  Policies makePolicy(const DaemonIdentity &Identity) const;
  bool isOn(Mechanism Which) const { return this->Switches.isOn(Which); }
  FleetRetryBudgetRef makeRepeats(const DaemonIdentity &Identity,
                                  const ServiceRuntime *Previous) const;
  std::vector<ServerShare> getShares(const AttemptNeeds &Needs,
                                     TimePoint Now) const;
  void applyLeaving(size_t Server, TimePoint Now);
  std::vector<int> matchServers(const ServiceRuntime &Other) const;
  SelectionRules makeSelectionRules(RouteClass Class) const;
  template <typename Predicate>
  std::vector<HealthEstimate> makeEstimates(const MarkovPolicy &Spells,
                                            TimePoint Now,
                                            Predicate Wants) const;
  RequestOutcome classifyEnd(const Attempt &Ended, RequestOutcome Outcome,
                             Duration Took) const;
  std::vector<double> getWorths(const MarkovPolicy &Spells,
                                const AttemptNeeds &Needs, TimePoint Now) const;
  int findBestElsewhere(const MarkovPolicy &Spells, const Attempt &Each,
                        const AttemptNeeds &Needs, TimePoint Now) const;
  std::vector<double> getLoads(TimePoint Now) const;
  void beginInFlight(Attempt &Next, const AttemptNeeds &Needs, TimePoint Now);
  int computePacePercent(const Attempt &Ended, TimePoint Now) const;
  ShareExplanation explain(size_t Server, TimePoint Now) const;

  static ServerNoticeTableRef chooseBoard(const DaemonIdentity &Identity,
                                          const ServiceRuntime *Previous);
  NoticeSource makeNoticed(size_t Server) const;
  size_t applyNotices(std::vector<double> &Shares, TimePoint Now) const;
  bool isHeld(size_t Server, TimePoint Now) const;
  void updateLeaving(TimePoint Now);
  void explainNotice(size_t Server, ShareExplanation &Why, TimePoint Now) const;
  std::optional<Duration> getHeldWait(TimePoint Now) const;

  const ServiceConfig Config;
  const ServerSubset Subset;
  /// The names of the servers in messages and notices.
  const std::vector<ServerId> Ids;
  const ServerNoticeTableRef Notices;
  const PolicySwitches Switches;
  mutable std::mutex Mutex;
  Policies Policy;
  ServerSelector Selector;
  LatencyTable Latency;
  RetryBudget Retries;
  /// Takes the place of Retries where the budget is the fleet's. Else null.
  FleetRetryBudgetRef FleetRetries;
  InFlightLimit InFlight;
  RandomSource Random;
  AttemptList Attempts;
  std::vector<bool> LeavingByList;
  /// By the server's own word.
  std::vector<bool> LeavingByNotice;
  std::vector<bool> IsLeaving;
  std::shared_ptr<ServiceMetrics> Metrics;
};

} // namespace canvaswick

#endif // CANVASWICK_PROXY_SERVICERUNTIME_H
