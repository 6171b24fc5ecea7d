//===- MarkovPolicy.h - Sick spells of some seconds -------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Backend servers that fall sick for a few seconds at a time and get well
/// again by themselves. Each daemon keeps, for each server, the probability
/// that it is in such a spell: it drifts towards the usual share of sick
/// servers as time passes and moves with every outcome, its own and those that
/// other daemons tell it.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_HEALTH_MARKOVPOLICY_H
#define CANVASWICK_HEALTH_MARKOVPOLICY_H

#include "canvaswick/Health/Evidence.h"
#include "canvaswick/Health/HealthPolicy.h"
#include "canvaswick/Health/InFlightTable.h"
#include "canvaswick/Health/LatencyDistribution.h"
#include "canvaswick/Health/TransitionRates.h"

#include <map>
#include <vector>

namespace canvaswick {

/// One outcome as daemons tell it to each other.
struct Observation {
  ServerId Server = 0;
  RequestOutcome Outcome = RequestOutcome::Good;
  /// Requests that ran or waited at the server, by its answer; -1: not told.
  int Load = -1;
  /// How long the request took, in percent of what is usual for its kind at
  /// the server's load; -1: what is usual is not known.
  int LatencyRatioPercent = -1;

  bool operator==(const Observation &) const = default;
};

/// How likely a server is in a spell, as a daemon near it sees it.
struct HealthEstimate {
  ServerId Server = 0;
  /// Probability in thousandths.
  int PerMille = 0;
  /// Requests at the server, in tenths.
  int LoadTenths = 0;

  bool operator==(const HealthEstimate &) const = default;
};

/// How many requests of a service a hall sent of late to servers that nothing
/// speaks against, and how many of them failed. In tenths of a request, fading.
struct HallFailureRate {
  ServerId Service = 0;
  int All = 0;
  int Bad = 0;

  bool operator==(const HallFailureRate &) const = default;
};

/// What a request has to lose at a sick server.
enum class FailureCost : uint8_t {
  /// It may be sent again, and sending it far away costs more than a failure.
  Low,
  /// It may be sent again: it goes unserved only if that fails too.
  Medium,
  /// A failure after it was sent is final.
  High,
};

/// What a server gets of requests of one kind.
struct ServerShare {
  double Share = 0;
  /// Whether it would be less, were the server not to be tested.
  bool IsTest = false;
};

/// The probabilities that a request is answered in time, and at all.
struct AnswerProbabilities {
  double InTime = 0;
  double AtAll = 0;
};

/// Decides shares from outcomes and observations of peers. Not thread-safe.
class MarkovPolicy {
public:
  explicit MarkovPolicy(PolicySetup Setup);

  /// Takes an outcome that this daemon saw. What peers should know of it waits
  /// in drainObservations. Load is what the answer told of the server's, or -1;
  /// for LatencyRatioPercent see Observation.
  void recordOutcome(size_t Server, RequestOutcome Outcome, TimePoint Now,
                     int Load = -1, int LatencyRatioPercent = -1);

  /// Takes an outcome that a peer of this hall saw.
  void applyObservation(size_t Server, RequestOutcome Outcome, TimePoint Now,
                        int LatencyRatioPercent = -1);

  /// The requests that the hall has in flight: what is still out after the
  /// usual time speaks against its server.
  InFlightTable &getInFlight() { return this->InFlight; }
  const InFlightTable &getInFlight() const { return this->InFlight; }

  /// Returns how the times of good answers spread.
  const LatencyDistribution &getLatencyDistribution() const {
    return this->Times;
  }

  /// Takes what a daemon near the server thinks of it, in place of what was
  /// known here. Load is the requests it knows of at the server.
  void applyRemoteEstimate(size_t Server, double UnhealthyProbability,
                           TimePoint Now, double Load = 0);

  /// Takes what a peer of this hall thinks of a server, if this daemon knows
  /// nothing of it: it has just started.
  void applySameHallEstimate(size_t Server, double UnhealthyProbability,
                             TimePoint Now);

  /// Returns whether anyone of this hall has used a server.
  bool isUsed(size_t Server) const;

  /// Returns the index of a server, or -1.
  int findServer(ServerId Id) const;

  /// Returns this hall's rate. Its Service is left for the caller to name.
  HallFailureRate getFailureRate(TimePoint Now) const;

  /// Takes another hall's rate.
  void applyFailureRate(const std::string &Hall, const HallFailureRate &Rate,
                        TimePoint Now);

  /// Notes that a request was sent to a server.
  void recordUse(size_t Server, TimePoint Now);

  /// Marks a server as leaving or not.
  void setLeaving(size_t Server, bool IsLeaving, TimePoint Now);

  /// Does nothing: shares follow the time they are asked at. Here because all
  /// policies are moved on alike.
  void advance(TimePoint Now);

  /// Returns the part of its fair share that a server gets from requests of
  /// this caution.
  double getShare(size_t Server, FailureCost Cost, TimePoint Now) const;

  /// Returns the shares of all servers at once. Those that the floor keeps are
  /// tested while it is near.
  std::vector<double> getShares(FailureCost Cost, TimePoint Now) const;

  /// Returns the shares of all servers, the best one's being 1, where Worths
  /// holds what a request may expect at each of them, from 0 to 1. The same
  /// tests and bounds apply.
  std::vector<ServerShare>
  getSharesByUtility(const std::vector<double> &Utilities, FailureCost Cost,
                     TimePoint Now) const;

  /// Returns the probability that a server is in a spell, by what has ended
  /// there and by what is still out.
  double getUnhealthyProbability(size_t Server, TimePoint Now) const;

  /// Returns the probability that a request is answered before Until, if it is
  /// still out at Now.
  double getAnswerProbability(const InFlightRequest &Request, TimePoint Until,
                              TimePoint Now) const;

  /// Returns what a request may expect that begins now at a server, where its
  /// usual time is Usual; zero: not known.
  AnswerProbabilities getNewRequestProbabilities(size_t Server,
                                                 Duration TypicalTime,
                                                 TimePoint Objective,
                                                 TimePoint Deadline,
                                                 TimePoint Now) const;

  /// Returns the chance that a server answers a request at all.
  double getSuccessProbability(size_t Server, TimePoint Now) const;

  /// Returns what peers should know and forgets it.
  std::vector<Observation> drainObservations();

  /// Takes over what was known of the servers that are in both.
  void adopt(const MarkovPolicy &Other, TimePoint Now);

  /// Returns why a server has its share.
  ShareExplanation explain(size_t Server, TimePoint Now) const;

private:
  bool isOn(Mechanism Which) const { return this->Setup.Switches.isOn(Which); }
  struct ServerState {
    PolicyServer Config;
    double UnhealthyProbability = 0;
    TimePoint At{};
    bool IsLeaving = false;
    /// When this daemon or one of its hall last used it.
    TimePoint UsedAt{};
    /// When the server's own hall last told what it thinks of it.
    TimePoint EstimatedAt{};
    /// This daemon does not reach the server until then.
    TimePoint UnreachableUntil{};
    int UnreachableInRow = 0;
    OutcomeCounts Counts;
  };

  /// Returns whether the server's own hall told of it of late.
  bool hasRecentEstimate(size_t Server, TimePoint Now) const;
  std::vector<double> computeUtilities(TimePoint Now) const;
  double getProbabilityFromOutcomes(size_t Server, TimePoint Now) const;
  double getNoAnswerLikelihoodRatio(const InFlightRequest &Request,
                                    TimePoint Now) const;
  void update(size_t Server, RequestOutcome Outcome, int LatencyRatioPercent,
              TimePoint Now);
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
  std::map<ServerId, size_t> IndexOfServer;
  std::vector<Observation> UnsentObservations;
  InFlightTable InFlight;
  LatencyDistribution Times;
  TransitionRates Rates;
  /// Outcomes of late at servers that look well, own and peers' of this hall.
  DecayingCount RecentAll;
  DecayingCount RecentBad;
  /// Outcomes of late at all servers, and how many of them were refusals.
  DecayingCount RecentOutcomes;
  DecayingCount RecentShed;
  /// The rates of other halls, and when they came.
  std::map<std::string, std::pair<HallFailureRate, TimePoint>> HallRates;
};

} // namespace canvaswick

#endif // CANVASWICK_HEALTH_MARKOVPOLICY_H
