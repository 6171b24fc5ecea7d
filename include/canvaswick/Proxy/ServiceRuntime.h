//===- ServiceRuntime.h - Runtime state of one service ----------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Combines the selection of servers, admission, retry budgets and server
/// health of one service under one mutex. Instances are shared through counted
/// references; an attempt in flight keeps the instance with which it began.
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
#include "canvaswick/Proxy/ServiceWaitingRoom.h"
#include "canvaswick/Routing/HallDrains.h"
#include "canvaswick/Routing/Placement.h"
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

/// One attempt of a request at one server while it is in flight. It is linked
/// into its service, so that slow attempts are noticed before they end.
struct Attempt : boost::intrusive::list_base_hook<> {
  size_t Server = 0;
  /// The name of the request's route.
  std::string Route;
  TimePoint Began{};
  /// The typical time of such a request at an idle server; zero if unknown.
  Duration TypicalTime{};
  /// The time by which the attempt must end.
  TimePoint Deadline{};
  bool IsCountedSlow = false;
  /// Whether the attempt ended without a response because its time was up.
  bool WasTimedOut = false;
  /// Whether the connection ended before the first byte of the response, and
  /// not because this daemon closed it.
  bool WasCutOff = false;
  /// The factor by which a queue at the server typically prolongs such a
  /// request, compared with an idle server.
  double QueueFactor = 1;
  /// The key of the attempt in the InFlightTable.
  uint64_t InFlightNumber = 0;
  /// The server's load as the response reported it, or -1.
  int Load = -1;
  /// The values by which the server was selected: its share, the probability
  /// that it is unhealthy, its load, and whether the attempt is a probe.
  double Share = 1;
  double UnhealthyProbability = 0;
  double ServerLoad = 0;
  bool IsTest = false;
  /// Why the server was chosen, if the service places its requests.
  std::optional<PlacementReason> Placed;
  /// Whether the response asked for a backoff (Retry-After).
  bool HasBackoffRequest = false;
  /// Whether a peer connects to the server for this daemon.
  bool IsThroughPeer = false;
  /// Whether the request was sent on a kept connection.
  bool WasConnectionKept = false;
  /// Whether the peer that passed the answer on failed, which says nothing
  /// about the server either.
  bool WasPeerLost = false;
  /// Whether no peer connected to the server, which says nothing about it.
  bool HadNoTunnel = false;
  /// Whether a failure says nothing about the server, because this daemon was
  /// cut off from all servers of the service meanwhile.
  bool IsDisregarded = false;
  /// The number of servers that were excluded from the selection because of
  /// their own notices.
  size_t ExcludedServers = 0;
};

/// The properties of a request that determine which servers it may use.
struct AttemptNeeds {
  RouteClass Class = RouteClass::Repeatable;
  /// The name of the route.
  std::string Route;
  TimePoint Deadline{};
  /// The operators' latency objective, and the time at which it ends for this
  /// request.
  Duration Objective{};
  TimePoint ObjectiveDeadline{};
  /// Whether no retry is possible if this attempt fails.
  bool IsLast = true;
  /// Whether the request has been sent to another server before.
  bool IsRetry = false;
  /// Whether a peer is to connect to the server.
  bool IsThroughPeer = false;
  /// The size of the request's body in bytes.
  size_t BodyBytes = 0;
  /// Servers that were tried before.
  std::vector<size_t> Tried;
};

/// The status of one server for operators.
struct ServerStatus {
  std::string Name;
  Endpoint Address;
  int InFlight = 0;
  ShareExplanation Explanation;
};

/// The daemon that runs the service, with the data that all its services share.
struct DaemonIdentity {
  std::string Name;
  std::string Hall;
  std::vector<std::string> Daemons;
  int ExpectedDaemons = 1;
  /// The calendar time at which the process started, in milliseconds.
  uint64_t StartMillis = 0;
  /// Selects the health policy and the retry budget: a daemon on the users'
  /// platform shares observations and one retry budget with the fleet.
  SettingsSource Source = SettingsSource::OperatorTree;
  FleetRetryLimit RetryLimit;
  TimePoint Started{};
  PolicySwitches Switches;
  /// The server notices. If null, the table of the previous version is used, or
  /// a new one for this service alone.
  ServerNoticeTableRef Notices;
  /// The halls that operators have drained. If null, the object of the previous
  /// version is used, or a new one for this service alone.
  HallDrainsRef Halls;
};

class ServiceRuntime;

/// A counted reference to a ServiceRuntime.
using ServiceRuntimeRef = boost::intrusive_ptr<ServiceRuntime>;

/// The live state of one service. Thread-safe. While its mutex is held, no
/// other lock is taken except those of the ServerNoticeTable and of HallDrains.
class ServiceRuntime : public boost::intrusive_ref_counter<ServiceRuntime> {
public:
  /// Copies the health data of the servers that are also in Previous, which may
  /// be null.
  ServiceRuntime(ServiceConfig Config, const DaemonIdentity &Identity,
                 const ServiceRuntime *Previous, TimePoint Now);

  /// Admits a request of a route. If it is refused, sets Wait to the time after
  /// which the caller may retry.
  Refusal admit(const std::string &Route, Duration Left, TimePoint Now,
                Duration &Wait);

  /// Ends an admitted request and records it in the metrics.
  void finish(AnswerKind Kind, Duration Latency, TimePoint Now);

  /// Selects a server and links Next. Returns false if no server can take the
  /// request.
  bool begin(Attempt &Next, const AttemptNeeds &Needs, TimePoint Now);

  /// Unlinks an attempt and records its outcome.
  void end(Attempt &Ended, RequestOutcome Outcome, TimePoint Now);

  /// Marks the attempts that are not through peers: the daemon is cut off from
  /// the servers, so that their failures say nothing about them.
  void disregardDirectAttempts();

  /// Returns whether an attempt in flight was marked by
  /// disregardDirectAttempts.
  bool isDisregarded(const Attempt &Each) const;

  /// Returns when the latest attempt without a response began that is not
  /// through a peer and has taken far longer than usual.
  std::optional<TimePoint> findSilence(TimePoint Now) const;

  /// Takes one retry from the budget. Returns nothing if none is left.
  std::optional<TakenRetry> tryTakeRetry(TimePoint Now);

  /// Takes one retry of a request that a server declined to run. Such retries
  /// count only on the fleet's budget.
  std::optional<TakenRetry> tryTakeNotRunRetry(TimePoint Now);

  /// Gives back a retry that was not sent.
  void giveBackRetry(const TakenRetry &Taken);

  /// Records that a retry was sent.
  void recordRetrySent(const TakenRetry &Taken, TimePoint SentAt);

  /// Lends a peer one retry of the fleet's budget. Returns false if none is
  /// left.
  bool tryLendRetry(TimePoint Now);

  /// Adds a retry that a peer has lent; it expires at Until.
  void borrowRetry(TimePoint Until);

  /// Returns whether retries are counted on the fleet's budget.
  bool hasFleetRetryBudget() const { return this->FleetRetries != nullptr; }

  /// Returns how many retries of the fleet's budget this daemon may send and
  /// has sent. Must not be called without such a budget.
  RetryUse getRetryUse(TimePoint Now) const;

  /// Returns whether a request of this route may wait for a retry: the route's
  /// timeout leaves clearly more time than its objective.
  bool mayWait(const RouteConfig &Route) const;

  /// Calls Work with the fleet's budget while the budget's mutex is held. Must
  /// not be called without such a budget.
  template <typename Function> auto withFleetRetries(Function &&Work) const {
    std::lock_guard<std::mutex> Lock(this->Room->getBudgetMutex());
    return Work(*this->FleetRetries);
  }

  /// Returns the requests that wait for a retry.
  ServiceWaitingRoom &getRoom() { return *this->Room; }

  /// Returns the id of the service in messages between daemons.
  ServerId getId() const;

  /// Returns whether tryTakeRetry would succeed on the fleet's budget.
  bool hasRetry(TimePoint Now) const;

  /// Counts attempts that are already slow, and advances the health policy to
  /// Now.
  void advance(TimePoint Now);

  /// Returns a report for the owners of the evidence pool if one is due.
  std::optional<EvidenceReport> makeReport(TimePoint Now);

  /// Applies a summary from an owner of the evidence pool.
  void applySummary(const EvidenceSummary &Summary, TimePoint Now);

  /// Returns the observations for peers and clears them.
  std::vector<Observation> drainLocalObservations(TimePoint Now);

  /// Returns whether peers should learn of an observation at once.
  bool hasUrgentObservation() const;

  /// Applies an observation of a peer in the same hall.
  void applyObservation(const Observation &Seen, TimePoint Now);

  /// Appends the requests that this daemon has in flight at the servers of this
  /// service.
  void appendInFlight(std::vector<InFlightReport> &Reports,
                      TimePoint Now) const;

  /// Replaces the in-flight requests of a peer in the same hall. Reports covers
  /// all services.
  void applyPeerInFlight(const std::string &Daemon, uint64_t Sequence,
                         const std::vector<InFlightReport> &Reports,
                         TimePoint Now);

  /// Returns this daemon's health estimates of the servers in its own hall, at
  /// most MaxCount: those that differ most from what a daemon without
  /// information assumes.
  std::vector<HealthEstimate> getSameHallEstimates(size_t MaxCount,
                                                   TimePoint Now) const;

  /// Returns this daemon's health estimates of the servers that its hall has
  /// used, likewise.
  std::vector<HealthEstimate> getUsedEstimates(size_t MaxCount,
                                               TimePoint Now) const;

  /// Returns the recent failure rate of this hall's requests.
  HallFailureRate getFailureRate(TimePoint Now) const;

  /// Applies the failure rate of another hall, if Rate is about this service.
  void applyFailureRate(const std::string &Hall, const HallFailureRate &Rate,
                        TimePoint Now);

  /// Applies a same-hall peer's estimates of servers that are new to this
  /// daemon. Servers of other services are ignored.
  void applySameHallEstimates(const std::vector<HealthEstimate> &Given,
                              TimePoint Now);

  /// Applies another hall's estimates of servers in that hall. Servers of other
  /// services are ignored.
  void applyRemoteEstimates(const std::vector<HealthEstimate> &Given,
                            TimePoint Now);

  /// Returns the typical time of an answer on a route, or a part of Objective
  /// if little is known. After that time without a response it is first checked
  /// whether a retry at another server is better.
  Duration getTypicalTime(const std::string &Route, Duration Objective) const;

  /// Returns whether an attempt without a response should be abandoned for a
  /// retry at another server. Needs lists the servers that were tried.
  bool shouldAbandonAttempt(const Attempt &Each, const AttemptNeeds &Needs,
                            TimePoint Now) const;

  /// Returns whether a server is listed and does not leave.
  bool mayReceive(const std::string &Server, TimePoint Now);

  /// Returns the indices here of servers of another version of the service,
  /// without those that are no longer used.
  std::vector<size_t> mapServers(const std::vector<size_t> &Servers,
                                 const ServiceRuntime &Other) const;

  /// Sets which servers the platform lists as leaving: those with one of these
  /// addresses (host, or host and port).
  void setLeavingAddresses(const std::set<std::string> &Addresses,
                           TimePoint Now);

  /// Applies the notice in the response to an attempt. Returns what has
  /// changed.
  std::vector<NoticeChange>
  handleNotice(Attempt &From, const ServerNotice &Notice, TimePoint Now);

  /// Applies a peer's report of the request limit of one of this service's
  /// servers. Returns what has changed.
  std::vector<NoticeChange> applyPeerLimit(const LimitReport &Given,
                                           TimePoint Now);

  /// Records an answer at the server's address which says that the server is
  /// gone. Returns what has changed.
  std::vector<NoticeChange> recordGone(const Attempt &From, TimePoint Now);

  /// Applies a peer's report of a server that is gone. Returns what has
  /// changed; a report of a server of another service changes nothing.
  std::vector<NoticeChange> applyPeerGone(const GoneReport &Given,
                                          TimePoint Now);

  /// Records a load report of a server.
  void recordLoadReport(size_t Server, double Load, TimePoint Now);

  /// Returns the status of all servers for operators.
  std::vector<ServerStatus> describe(TimePoint Now) const;

  /// Sets the fleet's retry limit, the number of daemons that share it, and the
  /// rank of this daemon among them.
  void setRetryLimit(const FleetRetryLimit &Limit, size_t Daemons, size_t Rank);

  /// Returns whether the service has so many servers that the mechanisms for
  /// hard load apply to it.
  bool hasManyServers() const;

  const ServiceConfig &getConfig() const { return this->Config; }
  const ServerSubset &getSubset() const { return this->Subset; }
  ServiceMetrics &getMetrics() { return *this->Metrics; }
  const ServiceMetrics &getMetrics() const { return *this->Metrics; }
  const ServerConfig &getServer(size_t Index) const;

  /// Returns the number of servers that this daemon uses.
  size_t countServers() const { return this->Subset.Servers.size(); }

  /// Returns whether a daemon with this identity would use the same servers
  /// with the same connection limits.
  bool matchesSubset(const DaemonIdentity &Identity) const;

private:
  using Policies = std::variant<PooledPolicy, MarkovPolicy>;
  using AttemptList = boost::intrusive::list<Attempt>;

  std::vector<SelectableServer> makeSelectable(const DaemonIdentity &Identity,
                                               const ServiceRuntime *Previous,
                                               TimePoint Now) const;
  PolicySetup makeSetup(const DaemonIdentity &Identity) const;
  Policies makePolicy(const DaemonIdentity &Identity) const;
  bool isOn(Mechanism Which) const { return this->Switches.isOn(Which); }
  FleetRetryBudgetRef makeRetryBudget(const DaemonIdentity &Identity,
                                      const ServiceRuntime *Previous) const;
  std::vector<ServerShare> getShares(const AttemptNeeds &Needs,
                                     TimePoint Now) const;
  void applyLeaving(size_t Server, TimePoint Now);
  std::vector<int> matchServers(const ServiceRuntime &Other) const;
  SelectionRules makeSelectionRules(RouteClass Class) const;
  template <typename Predicate>
  std::vector<HealthEstimate> makeEstimates(const MarkovPolicy &Markov,
                                            size_t MaxCount, TimePoint Now,
                                            Predicate Wants) const;
  RequestOutcome classifyEnd(const Attempt &Ended, RequestOutcome Outcome,
                             Duration Took) const;
  std::vector<double> computeUtilities(const MarkovPolicy &Markov,
                                       const AttemptNeeds &Needs,
                                       TimePoint Now) const;
  int findBestAlternative(const MarkovPolicy &Markov, const Attempt &Each,
                          const AttemptNeeds &Needs, TimePoint Now) const;
  std::vector<double> getLoads(TimePoint Now) const;
  bool isPlacing() const;
  int select(Attempt &Next, const AttemptNeeds &Needs, TimePoint Now);
  int selectByShares(Attempt &Next, const AttemptNeeds &Needs, TimePoint Now);
  void applyLoads(std::vector<double> &Shares, TimePoint Now) const;
  int selectByPlacement(Attempt &Next, const AttemptNeeds &Needs,
                        TimePoint Now);
  std::vector<double> getNoticeFactors(Attempt &Next, TimePoint Now) const;
  bool isCandidate(const MarkovPolicy &Markov, size_t Server,
                   const AttemptNeeds &Needs, double Factor,
                   TimePoint Now) const;
  PlacementCandidate makeCandidate(const MarkovPolicy &Markov, size_t Server,
                                   const AttemptNeeds &Needs,
                                   TimePoint Now) const;
  const std::vector<bool> &findDueForFloor(const MarkovPolicy &Markov,
                                           FailureCost Cost, TimePoint Now);
  void adoptJoinTimes(const ServiceRuntime &Previous,
                      const std::vector<int> &Matches, TimePoint Now);
  void beginInFlight(Attempt &Next, const AttemptNeeds &Needs, TimePoint Now);
  int computeLatencyRatioPercent(const Attempt &Ended, TimePoint Now) const;
  ShareExplanation explain(size_t Server, TimePoint Now) const;

  static HallDrainsRef chooseHallDrains(const DaemonIdentity &Identity,
                                        const ServiceRuntime *Previous);
  static ServerNoticeTableRef chooseNoticeTable(const DaemonIdentity &Identity,
                                                const ServiceRuntime *Previous);
  std::optional<size_t> findServerIndex(ServerId Id) const;
  NoticeSource makeNoticeSource(size_t Server) const;
  size_t applyNotices(std::vector<double> &Shares, TimePoint Now) const;
  bool isExcludedByNotice(size_t Server, TimePoint Now) const;
  bool isLeavingByNotice(size_t Server, TimePoint Now) const;
  void updateLeaving(TimePoint Now);
  void updateHalls(TimePoint Now);
  void recordWarmups(TimePoint Now);
  void recordWarmup(size_t Server, TimePoint Until, TimePoint Now);
  Duration getServerWait(size_t Server, TimePoint Now) const;
  void explainNotice(size_t Server, ShareExplanation &Why, TimePoint Now) const;
  std::optional<Duration> computeNoticeWait(TimePoint Now) const;

  const ServiceConfig Config;
  const ServerSubset Subset;
  /// The ids of the servers in messages and notices.
  const std::vector<ServerId> Ids;
  const ServerNoticeTableRef Notices;
  const HallDrainsRef Halls;
  const PolicySwitches Switches;
  mutable std::mutex Mutex;
  Policies Policy;
  ServerSelector Selector;
  LatencyTable Latency;
  RetryBudget Retries;
  /// Replaces Retries if the retry budget is the fleet's; null otherwise.
  FleetRetryBudgetRef FleetRetries;
  /// Shared by all versions of the service.
  const ServiceWaitingRoomRef Room;
  InFlightLimit InFlight;
  RandomSource Random;
  AttemptList Attempts;
  std::vector<bool> LeavingByList;
  /// Set by the servers' own notices.
  std::vector<bool> LeavingByNotice;
  /// Set for the servers of drained halls, as of HallsVersion.
  std::vector<bool> LeavingByHall;
  uint64_t HallsVersion = 0;
  std::vector<bool> IsLeaving;
  /// When each server joined the running service; zero if it was there before.
  std::vector<TimePoint> JoinedAt;
  /// The servers that are due for the floor, as of DueForFloorAt, for requests
  /// of DueForFloorCost.
  std::vector<bool> DueForFloor;
  TimePoint DueForFloorAt{};
  FailureCost DueForFloorCost = FailureCost::High;
  std::shared_ptr<ServiceMetrics> Metrics;
};

} // namespace canvaswick

#endif // CANVASWICK_PROXY_SERVICERUNTIME_H
