//===- MarkovPolicy.h - Policy for short failure episodes -------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Declares the policy for backend servers that become unhealthy for a few
/// seconds and recover by themselves. For each server, a daemon estimates the
/// probability that it is unhealthy with a two-state hidden Markov model. The
/// probability drifts towards its stationary value with time and is updated by
/// each outcome that this daemon or one of its peers observes.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_HEALTH_MARKOVPOLICY_H
#define CANVASWICK_HEALTH_MARKOVPOLICY_H

#include "canvaswick/Health/Evidence.h"
#include "canvaswick/Health/EvidenceHistory.h"
#include "canvaswick/Health/HealthPolicy.h"
#include "canvaswick/Health/InFlightTable.h"
#include "canvaswick/Health/LatencyDistribution.h"
#include "canvaswick/Health/OutcomeRates.h"
#include "canvaswick/Health/TransitionRates.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace canvaswick {

/// One outcome as daemons report it to each other.
struct Observation {
  ServerId Server = 0;
  RequestOutcome Outcome = RequestOutcome::Good;
  /// Number of requests that the server was processing or had queued, as
  /// reported in its answer, or -1 if unknown.
  int Load = -1;
  /// Latency ratio of the request: its time in percent of the typical time of
  /// such a request at the server's load, or -1 if the typical time is unknown.
  int LatencyRatioPercent = -1;
  /// How long ago the request began, or 0 if it is unknown.
  int AgeMs = 0;

  bool operator==(const Observation &) const = default;
};

/// The state of a server as a daemon estimates it: one of the server's hall for
/// other halls, or a peer for a daemon that has just started.
struct HealthEstimate {
  ServerId Server = 0;
  /// Unhealthy probability in thousandths.
  int PerMille = 0;
  /// Number of requests at the server, in tenths.
  int LoadTenths = 0;

  bool operator==(const HealthEstimate &) const = default;
};

/// Recent requests of a hall to the servers of a service that it does not
/// consider unhealthy, and how many of them failed. The counts are in tenths of
/// a request and decay exponentially.
struct HallFailureRate {
  ServerId Service = 0;
  int All = 0;
  int Bad = 0;

  bool operator==(const HallFailureRate &) const = default;
};

/// The cost of a failure of a request at an unhealthy server.
enum class FailureCost : uint8_t {
  /// The request is repeatable, and sending it to a remote hall costs more than
  /// a failure.
  Low,
  /// The request is repeatable; it is lost only if the retry fails, too.
  Medium,
  /// A failure after the request was sent is final.
  High,
};

/// The share of a server in the requests of one failure cost.
struct ServerShare {
  double Share = 0;
  /// Whether the share is raised so that the server gets a test request.
  bool IsTest = false;
};

/// The probabilities that a request is answered within its objective, and that
/// it is answered at all.
struct AnswerProbabilities {
  double InTime = 0;
  double AtAll = 0;
};

/// Returns the probability that a server answers a request, from the
/// probability that it is unhealthy.
double computeAnswerProbability(double UnhealthyProbability);

/// Computes shares from local outcomes and observations of peers. Not
/// thread-safe.
class MarkovPolicy {
public:
  explicit MarkovPolicy(PolicySetup Setup);

  /// Records an outcome that this daemon observed, and queues it for
  /// drainObservations if peers should know of it. Load is the load that the
  /// answer reported, or -1. For LatencyRatioPercent see Observation. Age is
  /// how long ago the request began: the outcome shows the server's state then.
  void recordOutcome(size_t Server, RequestOutcome Outcome, TimePoint Now,
                     int Load = -1, int LatencyRatioPercent = -1,
                     Duration Age = Duration::zero());

  /// Applies an outcome that a peer of this hall observed.
  void applyObservation(size_t Server, RequestOutcome Outcome, TimePoint Now,
                        int LatencyRatioPercent = -1,
                        Duration Age = Duration::zero());

  /// Returns the requests in flight of this hall. A request that has no answer
  /// after its typical time is evidence against its server.
  InFlightTable &getInFlight() { return this->InFlight; }
  const InFlightTable &getInFlight() const { return this->InFlight; }

  /// Returns the distribution of the latency ratios of good answers.
  const LatencyDistribution &getLatencyDistribution() const {
    return this->Times;
  }

  /// Replaces the state of a server by the estimate of a daemon of the server's
  /// hall. Load is the number of requests at the server that this daemon knows
  /// of.
  void applyRemoteEstimate(size_t Server, double UnhealthyProbability,
                           TimePoint Now, double Load = 0);

  /// Applies the estimate of a peer of this hall if this daemon has no
  /// information about the server, because it has just started.
  void applySameHallEstimate(size_t Server, double UnhealthyProbability,
                             TimePoint Now);

  /// Returns the probability that a server is unhealthy of which nothing is
  /// known.
  double getTypicalProbability() const {
    return this->Rates.getStationaryProbability();
  }

  /// Returns whether a daemon of this hall has used a server.
  bool isUsed(size_t Server) const;

  /// Returns the index of a server, or -1 if it is unknown.
  int findServer(ServerId Id) const;

  /// Returns the failure rate of this hall. The caller sets its Service.
  HallFailureRate getFailureRate(TimePoint Now) const;

  /// Replaces the failure rate of another hall.
  void applyFailureRate(const std::string &Hall, const HallFailureRate &Rate,
                        TimePoint Now);

  /// Records that a request was sent to a server.
  void recordUse(size_t Server, TimePoint Now);

  /// Marks a server as leaving or not leaving. One that no longer leaves is
  /// judged anew.
  void setLeaving(size_t Server, bool IsLeaving, TimePoint Now);

  /// Does nothing, since shares are computed for the time of each call. Callers
  /// advance all policies in the same way.
  void advance(TimePoint Now);

  /// Returns the fraction of its fair share that a server gets from requests of
  /// a failure cost.
  double getShare(size_t Server, FailureCost Cost, TimePoint Now) const;

  /// Returns the shares of all servers. While many requests fail, the servers
  /// that the floor keeps in use get test requests.
  std::vector<double> getShares(FailureCost Cost, TimePoint Now) const;

  /// Returns the shares of all servers, relative to the highest one. Utilities
  /// holds the expected utility of a request at each server, from 0 to 1. Test
  /// requests and the floor apply as in getShares.
  std::vector<ServerShare>
  getSharesByUtility(const std::vector<double> &Utilities, FailureCost Cost,
                     TimePoint Now) const;

  /// Returns which servers need a request soon, because many requests go
  /// unserved and the floor keeps the servers in use.
  std::vector<bool> findDueForFloor(FailureCost Cost, TimePoint Now) const;

  /// Returns whether operators or the server itself take it out of use.
  bool isLeaving(size_t Server) const {
    return this->Servers[Server].IsLeaving;
  }

  /// Returns whether this daemon takes a server to be unreachable.
  bool isUnreachable(size_t Server, TimePoint Now) const {
    return Now < this->Servers[Server].UnreachableUntil;
  }

  /// Returns the probability that a server is unhealthy, given its past
  /// outcomes and its requests in flight.
  double getUnhealthyProbability(size_t Server, TimePoint Now) const;

  /// Returns the probability that a request in flight is answered before Until,
  /// given that it has no answer at Now.
  double getAnswerProbability(const InFlightRequest &Request, TimePoint Until,
                              TimePoint Now) const;

  /// Returns the answer probabilities of a request that begins now. TypicalTime
  /// is its typical time at the server, or zero if unknown.
  AnswerProbabilities getNewRequestProbabilities(size_t Server,
                                                 Duration TypicalTime,
                                                 TimePoint Objective,
                                                 TimePoint Deadline,
                                                 TimePoint Now) const;

  /// Returns the expected utility of an answer to a request that begins now,
  /// for the time at which it comes: from 0 to 1. TypicalTime is zero if
  /// unknown.
  double getTimeUtility(Duration TypicalTime, TimePoint Objective,
                        TimePoint Deadline, TimePoint Now) const;

  /// Returns the probability that a server answers a request.
  double getSuccessProbability(size_t Server, TimePoint Now) const;

  /// Returns and clears the observations to send to peers, with their ages at
  /// Now.
  std::vector<Observation> drainObservations(TimePoint Now);

  /// Returns whether an observation for peers is the sign of a failure at a
  /// server that appeared healthy: until they know, they send it requests.
  bool hasUrgentObservation() const { return this->HasUnsentFailure; }

  /// Copies the state of the policy of an earlier version of the settings, for
  /// the servers that are in both.
  void adopt(const MarkovPolicy &Other, TimePoint Now);

  /// Returns the reason for the share of a server.
  ShareExplanation explain(size_t Server, TimePoint Now) const;

private:
  bool isOn(Mechanism Which) const { return this->Setup.Switches.isOn(Which); }
  struct ServerState {
    PolicyServer Config;
    /// The probability after the newest evidence, and the time to which that
    /// applies.
    double UnhealthyProbability = 0;
    TimePoint At{};
    EvidenceHistory History;
    bool IsLeaving = false;
    /// Time of the last use by a daemon of this hall.
    TimePoint UsedAt{};
    /// Time of the last estimate from the server's hall.
    TimePoint EstimatedAt{};
    /// Time until which this daemon takes the server to be unreachable.
    TimePoint UnreachableUntil{};
    int UnreachableInRow = 0;
    /// Time of the last failure that a daemon of this hall observed.
    TimePoint FailedAt{};
    OutcomeCounts Counts;
  };

  void forget(ServerState &State) const;
  /// Returns whether a recent estimate from the server's hall exists.
  bool hasRecentEstimate(size_t Server, TimePoint Now) const;
  std::vector<double> computeUtilities(TimePoint Now) const;
  double getProbabilityFromOutcomes(size_t Server, TimePoint Now) const;
  double getNoAnswerLikelihoodRatio(const InFlightRequest &Request,
                                    TimePoint Now) const;
  Likelihood getOutcomeLikelihood(RequestOutcome Outcome) const;
  Likelihood getSilenceLikelihood(double LatencyRatio) const;
  double getSilentFraction() const;
  Likelihood evaluate(RequestOutcome Outcome, int LatencyRatioPercent,
                      TimePoint Now);
  void update(size_t Server, RequestOutcome Outcome, int LatencyRatioPercent,
              Duration Age, TimePoint Now);
  void setUnhealthyProbability(size_t Server, double UnhealthyProbability,
                               TimePoint Now);
  void recordShed(RequestOutcome Outcome, TimePoint Now);
  double getShedRate(TimePoint Now) const;
  void recordRecent(size_t Server, RequestOutcome Outcome, TimePoint Now);
  void recordReachability(ServerState &State, RequestOutcome Outcome,
                          TimePoint Now);
  std::vector<bool> findKeptByFloor(TimePoint Now) const;
  double countOverdue(TimePoint Now) const;
  double getUnservedFraction(FailureCost Cost, TimePoint Now) const;
  bool isTestDue(size_t Server, FailureCost Cost, bool IsKeptByFloor,
                 TimePoint Now) const;

  PolicySetup Setup;
  std::vector<ServerState> Servers;
  std::unordered_map<ServerId, size_t> IndexOfServer;
  /// Observations for peers, and the times at which their requests began.
  std::vector<std::pair<Observation, TimePoint>> UnsentObservations;
  bool HasUnsentFailure = false;
  InFlightTable InFlight;
  LatencyDistribution Times;
  TransitionRates Rates;
  OutcomeRates Outcomes;
  /// Recent outcomes at servers that appear healthy, of this daemon and its
  /// peers in this hall: all, and those that left a request unserved.
  DecayingCount RecentAll;
  DecayingCount RecentBad;
  /// Recent outcomes at all servers, and the refused requests among them.
  DecayingCount RecentOutcomes;
  DecayingCount RecentShed;
  /// Failure rates of other halls and the times of their arrival.
  std::map<std::string, std::pair<HallFailureRate, TimePoint>> HallRates;
};

} // namespace canvaswick

#endif // CANVASWICK_HEALTH_MARKOVPOLICY_H
