//===- MarkovPolicy.cpp - Policy for short failure episodes ---------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Implements the forward filter of a two-state hidden Markov model for each
/// server. MarkovShares.cpp computes the shares from it.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Health/MarkovPolicy.h"
#include "AdoptStates.h"
#include "OutcomeLikelihood.h"
#include "canvaswick/Health/RetryTiming.h"

#include <algorithm>
#include <cmath>

namespace canvaswick {

//===-- Model of failure episodes -----------------------------------------===//

/// Bounds of the unhealthy probability. They ensure that a single outcome can
/// still change it noticeably.
static constexpr double MinUnhealthyProbability = 0.005;
static constexpr double MaxUnhealthyProbability = 0.995;

/// Scale of Observation::LatencyRatioPercent.
static constexpr int PercentScale = 100;

/// The largest Observation::AgeMs. Older evidence has decayed.
static constexpr int MaxAgeMs = 9999;

//===-- Detection of widespread failures ----------------------------------===//

/// Half-life of the counts of recent outcomes. It corresponds to a window of
/// about two seconds, over which the floor is evaluated.
static constexpr Duration RecentHalfLife = fromSeconds(1.4);

/// Outcomes at servers with a higher unhealthy probability do not count towards
/// the failure rate of the hall: those servers fail only because the floor
/// keeps them in use. Servers with little information must count, though. In a
/// hall of 168 servers they accounted for a third of the failures, and with a
/// limit of 0.25 the policy did not detect that the floor applied (unit test
/// "what fails at servers of which little is known counts too").
static constexpr double LikelyUnhealthy = 0.5;

/// A request that has been in flight for this multiple of its typical time
/// counts as unserved. One good answer in a hundred takes as long.
static constexpr double OverdueRatio = 3;

/// Assumed additional good outcomes, so that the first failure of a service
/// with few requests does not appear as a high failure rate.
static constexpr double PriorGoodOutcomes = 10;

/// Failure rates of other halls expire after this time.
static constexpr Duration RateTimeout = fromSeconds(2);

/// Scale of the counts in HallFailureRate.
static constexpr int RateScale = 10;

//===-- Estimates of other halls ------------------------------------------===//

/// Without an estimate from another hall for this long, its servers get test
/// requests like those of this hall.
static constexpr Duration EstimateTimeout = fromSeconds(2);

//===-- Unreachable servers -----------------------------------------------===//

/// Time for which a server is avoided after a connection to it could not be
/// established. It doubles with each consecutive failure, at most MaxDoublings
/// times.
static constexpr Duration InitialUnreachableTime = fromMillis(1000);
static constexpr int MaxDoublings = 2;

MarkovPolicy::MarkovPolicy(PolicySetup Given)
    : Setup(std::move(Given)), InFlight(this->Setup.Servers.size()) {
  for (const PolicyServer &Server : this->Setup.Servers) {
    this->IndexOfServer[Server.Id] = this->Servers.size();
    ServerState State;
    State.Config = Server;
    State.UnhealthyProbability = this->Rates.getStationaryProbability();
    State.History.restart({State.UnhealthyProbability, TimePoint{}});
    this->Servers.push_back(State);
  }
}

/// Returns the unhealthy probability given past outcomes only, predicted for
/// Now.
double MarkovPolicy::getProbabilityFromOutcomes(size_t Server,
                                                TimePoint Now) const {
  const ServerState &State = this->Servers[Server];
  return this->Rates.predict(State.UnhealthyProbability, Now - State.At);
}

/// Returns the likelihood of an outcome at a server of this service.
Likelihood MarkovPolicy::getOutcomeLikelihood(RequestOutcome Outcome) const {
  return this->isOn(Mechanism::LearnedOutcomes)
             ? this->Outcomes.getLikelihood(Outcome)
             : getLikelihood(Outcome);
}

/// Returns the likelihood that a request has no answer yet. LatencyRatio is its
/// age in typical times.
Likelihood MarkovPolicy::getSilenceLikelihood(double LatencyRatio) const {
  const double Survival = this->Times.getSurvival(LatencyRatio);
  return this->isOn(Mechanism::LearnedOutcomes)
             ? this->Outcomes.getNoAnswerLikelihood(LatencyRatio, Survival)
             : getNoAnswerLikelihood(Survival);
}

/// Returns the fraction of requests that an unhealthy server never answers.
double MarkovPolicy::getSilentFraction() const {
  return this->isOn(Mechanism::LearnedOutcomes)
             ? this->Outcomes.getNoAnswerFraction()
             : getNoAnswerFraction();
}

/// Returns the likelihood ratio, of an unhealthy to a healthy server, that a
/// request has no answer yet. The evidence decays with the age of the request,
/// because the server may have recovered since the request was sent.
double MarkovPolicy::getNoAnswerLikelihoodRatio(const InFlightRequest &Request,
                                                TimePoint Now) const {
  const Duration Age = Now - Request.Began;
  if (Request.TypicalTime <= Duration::zero() || Age <= Duration::zero())
    return 1;
  const double Ratio = toSeconds(Age) / toSeconds(Request.TypicalTime);
  const Likelihood Seen = this->getSilenceLikelihood(Ratio);
  const double Kept =
      std::exp(-toSeconds(Age) / toSeconds(this->Rates.getTimeConstant()));
  return 1 + (Seen.Unhealthy / Seen.Healthy - 1) * Kept;
}

double MarkovPolicy::getUnhealthyProbability(size_t Server,
                                             TimePoint Now) const {
  const double FromOutcomes = this->getProbabilityFromOutcomes(Server, Now);
  double Odds = FromOutcomes / (1 - FromOutcomes);
  if (this->isOn(Mechanism::ElapsedEvidence))
    this->InFlight.visit(Server, Now, [&](const InFlightRequest &Each) {
      Odds *= this->getNoAnswerLikelihoodRatio(Each, Now);
    });
  return std::clamp(Odds / (1 + Odds), MinUnhealthyProbability,
                    MaxUnhealthyProbability);
}

/// Sets the unhealthy probability of a server at Now.
void MarkovPolicy::setUnhealthyProbability(size_t Server,
                                           double UnhealthyProbability,
                                           TimePoint Now) {
  ServerState &State = this->Servers[Server];
  State.UnhealthyProbability = std::clamp(
      UnhealthyProbability, MinUnhealthyProbability, MaxUnhealthyProbability);
  State.At = Now;
  State.History.restart({State.UnhealthyProbability, Now});
}

/// Updates the rate at which the service as a whole refuses requests.
void MarkovPolicy::recordShed(RequestOutcome Outcome, TimePoint Now) {
  this->RecentOutcomes.add(1, Now, RecentHalfLife);
  if (Outcome == RequestOutcome::Shed)
    this->RecentShed.add(1, Now, RecentHalfLife);
}

/// Returns the fraction of recent requests that the service refused. If all
/// servers refuse requests, a refusal is no evidence against one of them.
/// Avoiding that server would send all requests to the few servers without
/// recent requests and overload them.
double MarkovPolicy::getShedRate(TimePoint Now) const {
  const double All =
      this->RecentOutcomes.get(Now, RecentHalfLife) + PriorGoodOutcomes;
  return this->RecentShed.get(Now, RecentHalfLife) / All;
}

/// Records an outcome in what the service as a whole has learned and returns
/// its likelihood.
Likelihood MarkovPolicy::evaluate(RequestOutcome Outcome,
                                  int LatencyRatioPercent, TimePoint Now) {
  Likelihood Seen = this->getOutcomeLikelihood(Outcome);
  const double Ratio = LatencyRatioPercent / static_cast<double>(PercentScale);
  if (Outcome == RequestOutcome::Overdue && Ratio > 0)
    Seen = this->getSilenceLikelihood(Ratio);
  if ((Outcome == RequestOutcome::Good || Outcome == RequestOutcome::Slow) &&
      this->isOn(Mechanism::LearnedTimes))
    this->Times.add(Ratio);
  this->recordShed(Outcome, Now);
  if (Outcome == RequestOutcome::Shed)
    Seen.Healthy =
        std::clamp(this->getShedRate(Now), Seen.Healthy, Seen.Unhealthy);
  return Seen;
}

void MarkovPolicy::update(size_t Server, RequestOutcome Outcome,
                          int LatencyRatioPercent, Duration Age,
                          TimePoint Now) {
  const double Before = this->getProbabilityFromOutcomes(Server, Now);
  const Likelihood Seen = this->evaluate(Outcome, LatencyRatioPercent, Now);
  const RateLearning Learning = this->isOn(Mechanism::LearnedRates)
                                    ? RateLearning::On
                                    : RateLearning::Off;
  ServerState &State = this->Servers[Server];
  if (!this->isOn(Mechanism::EvidenceAtArrival)) {
    // Without an earlier outcome there is no transition to learn from.
    if (Learning == RateLearning::On && State.At != TimePoint{})
      this->Rates.learn(State.UnhealthyProbability, Now - State.At, Seen);
    const double Unhealthy = Before * Seen.Unhealthy;
    const double Healthy = (1 - Before) * Seen.Healthy;
    this->setUnhealthyProbability(Server, Unhealthy / (Unhealthy + Healthy),
                                  Now);
    this->Outcomes.learn(Outcome, State.UnhealthyProbability);
    return;
  }
  const FilteredEvidence Filtered =
      State.History.add(Seen, Now - Age, this->Rates, Learning);
  State.UnhealthyProbability = Filtered.Newest.Probability;
  State.At = Filtered.Newest.At;
  this->Outcomes.learn(Outcome, Filtered.AtEvidence);
}

/// Counts outcomes at servers that are more likely healthy than unhealthy.
void MarkovPolicy::recordRecent(size_t Server, RequestOutcome Outcome,
                                TimePoint Now) {
  if (isFailure(Outcome))
    this->Servers[Server].FailedAt = Now;
  // Uses past outcomes only. A request that now fails raised the probability
  // while it was in flight, so that its failure would not be counted.
  if (this->getProbabilityFromOutcomes(Server, Now) > LikelyUnhealthy)
    return;
  this->RecentAll.add(1, Now, RecentHalfLife);
  // A slow answer still serves the request, while one that is overdue rarely
  // arrives at all.
  if (isFailure(Outcome) || Outcome == RequestOutcome::Overdue)
    this->RecentBad.add(1, Now, RecentHalfLife);
}

/// Tracks whether this daemon can reach the server. This says little about
/// whether other daemons can.
void MarkovPolicy::recordReachability(ServerState &State,
                                      RequestOutcome Outcome, TimePoint Now) {
  if (!isServerMissing(Outcome)) {
    State.UnreachableInRow = 0;
    State.UnreachableUntil = TimePoint{};
    return;
  }
  const int Doublings = std::min(State.UnreachableInRow, MaxDoublings);
  State.UnreachableUntil = Now + InitialUnreachableTime * (1 << Doublings);
  ++State.UnreachableInRow;
}

void MarkovPolicy::recordOutcome(size_t Server, RequestOutcome Outcome,
                                 TimePoint Now, int Load,
                                 int LatencyRatioPercent, Duration Age) {
  if (Outcome == RequestOutcome::Canceled)
    return;
  ServerState &State = this->Servers[Server];
  State.Counts.add(Outcome);
  this->recordReachability(State, Outcome, Now);
  this->recordRecent(Server, Outcome, Now);
  this->recordUse(Server, Now);
  if (isFailure(Outcome) &&
      this->getProbabilityFromOutcomes(Server, Now) <= LikelyUnhealthy)
    this->HasUnsentFailure = true;
  this->update(Server, Outcome, LatencyRatioPercent, Age, Now);
  // Other daemons may be able to reach the server.
  if (!isServerMissing(Outcome))
    this->UnsentObservations.push_back(
        {{State.Config.Id, Outcome, Load, LatencyRatioPercent}, Now - Age});
}

void MarkovPolicy::applyObservation(size_t Server, RequestOutcome Outcome,
                                    TimePoint Now, int LatencyRatioPercent,
                                    Duration Age) {
  this->recordRecent(Server, Outcome, Now);
  this->recordUse(Server, Now);
  this->update(Server, Outcome, LatencyRatioPercent, Age, Now);
}

void MarkovPolicy::recordUse(size_t Server, TimePoint Now) {
  this->Servers[Server].UsedAt = Now;
}

void MarkovPolicy::applyRemoteEstimate(size_t Server,
                                       double UnhealthyProbability,
                                       TimePoint Now, double Load) {
  this->InFlight.recordRemoteLoad(Server, Load, Now);
  this->setUnhealthyProbability(Server, UnhealthyProbability, Now);
  this->Servers[Server].EstimatedAt = Now;
}

void MarkovPolicy::applySameHallEstimate(size_t Server,
                                         double UnhealthyProbability,
                                         TimePoint Now) {
  // Estimates of the server's own hall and local outcomes are more reliable.
  if (this->isUsed(Server) || this->hasRecentEstimate(Server, Now))
    return;
  this->setUnhealthyProbability(Server, UnhealthyProbability, Now);
  // Peers have used the server, so that this daemon need not test it first.
  this->recordUse(Server, Now);
}

bool MarkovPolicy::hasRecentEstimate(size_t Server, TimePoint Now) const {
  return Now - this->Servers[Server].EstimatedAt <= EstimateTimeout;
}

bool MarkovPolicy::isUsed(size_t Server) const {
  return this->Servers[Server].UsedAt != TimePoint{};
}

int MarkovPolicy::findServer(ServerId Id) const {
  const auto Found = this->IndexOfServer.find(Id);
  return Found == this->IndexOfServer.end() ? -1
                                            : static_cast<int>(Found->second);
}

void MarkovPolicy::setLeaving(size_t Server, bool IsLeaving, TimePoint) {
  ServerState &State = this->Servers[Server];
  const bool Returns = State.IsLeaving && !IsLeaving;
  State.IsLeaving = IsLeaving;
  if (Returns)
    this->forget(State);
}

/// Forgets what was known of a server that was out of use.
void MarkovPolicy::forget(ServerState &State) const {
  State.UnhealthyProbability = this->Rates.getStationaryProbability();
  State.At = TimePoint{};
  State.History.restart({State.UnhealthyProbability, TimePoint{}});
  State.UsedAt = TimePoint{};
  State.EstimatedAt = TimePoint{};
  State.UnreachableUntil = TimePoint{};
  State.UnreachableInRow = 0;
  State.FailedAt = TimePoint{};
}

void MarkovPolicy::advance(TimePoint) {}

/// Returns the number of requests that have been in flight for so long that an
/// answer is unlikely. They have not failed yet, but are expected to.
double MarkovPolicy::countOverdue(TimePoint Now) const {
  double Overdue = 0;
  for (size_t I = 0; I < this->Servers.size(); ++I)
    this->InFlight.visit(I, Now, [&](const InFlightRequest &Each) {
      if (Each.TypicalTime > Duration::zero() &&
          toSeconds(Now - Each.Began) >
              OverdueRatio * toSeconds(Each.TypicalTime))
        Overdue += 1;
    });
  return Overdue;
}

/// Returns the fraction of requests of a failure cost that go unserved at
/// servers that are more likely healthy than unhealthy, over this hall and all
/// halls with a recent failure rate.
double MarkovPolicy::getUnservedFraction(FailureCost Cost,
                                         TimePoint Now) const {
  const double Overdue = this->countOverdue(Now);
  double All =
      this->RecentAll.get(Now, RecentHalfLife) + PriorGoodOutcomes + Overdue;
  double Bad = this->RecentBad.get(Now, RecentHalfLife) + Overdue;
  for (const auto &[Hall, Rate] : this->HallRates) {
    if (Now - Rate.second > RateTimeout)
      continue;
    All += Rate.first.All / static_cast<double>(RateScale);
    Bad += Rate.first.Bad / static_cast<double>(RateScale);
  }
  const double Failures = Bad / All;
  // A repeatable request goes unserved only if it fails twice.
  return Cost == FailureCost::High ? Failures : Failures * Failures;
}

/// Returns the fraction of good answers that arrive after Until.
static double getSurvivalUntil(const LatencyDistribution &Times,
                               TimePoint Began, Duration TypicalTime,
                               TimePoint Until) {
  return Times.getSurvival(toSeconds(Until - Began) / toSeconds(TypicalTime));
}

double MarkovPolicy::getAnswerProbability(const InFlightRequest &Request,
                                          TimePoint Until,
                                          TimePoint Now) const {
  if (Request.TypicalTime <= Duration::zero())
    return 1;
  if (Until <= Now)
    return 0;
  const double SurvivalNow =
      getSurvivalUntil(this->Times, Request.Began, Request.TypicalTime, Now);
  const double SurvivalAtEnd =
      getSurvivalUntil(this->Times, Request.Began, Request.TypicalTime, Until);
  const Likelihood NoAnswer = this->getSilenceLikelihood(
      toSeconds(Now - Request.Began) / toSeconds(Request.TypicalTime));
  const double Unhealthy = this->getUnhealthyProbability(Request.Server, Now);
  // An unhealthy server still answers some requests.
  const double AnswerProbability =
      1 - Unhealthy * this->getSilentFraction() / NoAnswer.Unhealthy;
  return AnswerProbability * (1 - SurvivalAtEnd / SurvivalNow);
}

AnswerProbabilities MarkovPolicy::getNewRequestProbabilities(
    size_t Server, Duration TypicalTime, TimePoint Objective,
    TimePoint Deadline, TimePoint Now) const {
  if (this->Servers[Server].IsLeaving || Deadline <= Now)
    return {};
  const double AnswerProbability =
      1 - this->getUnhealthyProbability(Server, Now) * getFailureFraction();
  if (TypicalTime <= Duration::zero())
    return {Objective > Now ? AnswerProbability : 0, AnswerProbability};
  const auto GetFraction = [&](TimePoint Until) {
    return Until <= Now
               ? 0
               : 1 - getSurvivalUntil(this->Times, Now, TypicalTime, Until);
  };
  return {AnswerProbability * GetFraction(Objective),
          AnswerProbability * GetFraction(Deadline)};
}

double computeAnswerProbability(double UnhealthyProbability) {
  return 1 - UnhealthyProbability * getFailureFraction();
}

double MarkovPolicy::getTimeUtility(Duration TypicalTime, TimePoint Objective,
                                    TimePoint Deadline, TimePoint Now) const {
  if (Deadline <= Now)
    return 0;
  if (TypicalTime <= Duration::zero())
    return Objective > Now ? 1 : LateUtility;
  const double InTime =
      Objective <= Now
          ? 0
          : 1 - getSurvivalUntil(this->Times, Now, TypicalTime, Objective);
  const double AtAll =
      1 - getSurvivalUntil(this->Times, Now, TypicalTime, Deadline);
  return InTime + LateUtility * std::max(0.0, AtAll - InTime);
}

double MarkovPolicy::getSuccessProbability(size_t Server, TimePoint Now) const {
  return this->Servers[Server].IsLeaving
             ? 0
             : 1 - this->getUnhealthyProbability(Server, Now) *
                       getFailureFraction();
}

HallFailureRate MarkovPolicy::getFailureRate(TimePoint Now) const {
  const double Overdue = this->countOverdue(Now);
  const auto Tenths = [Now, Overdue](const DecayingCount &Count) {
    return static_cast<int>(
        std::lround(RateScale * (Count.get(Now, RecentHalfLife) + Overdue)));
  };
  return {0, Tenths(this->RecentAll), Tenths(this->RecentBad)};
}

void MarkovPolicy::applyFailureRate(const std::string &Hall,
                                    const HallFailureRate &Rate,
                                    TimePoint Now) {
  this->HallRates[Hall] = {Rate, Now};
}

std::vector<Observation> MarkovPolicy::drainObservations(TimePoint Now) {
  std::vector<Observation> Taken;
  Taken.reserve(this->UnsentObservations.size());
  for (auto &[Seen, Began] : this->UnsentObservations) {
    const auto Age = static_cast<int64_t>(toMillis(Now - Began));
    Seen.AgeMs = static_cast<int>(std::clamp<int64_t>(Age, 0, MaxAgeMs));
    Taken.push_back(Seen);
  }
  this->UnsentObservations.clear();
  this->HasUnsentFailure = false;
  return Taken;
}

void MarkovPolicy::adopt(const MarkovPolicy &Other, TimePoint) {
  this->UnsentObservations = Other.UnsentObservations;
  this->HasUnsentFailure = Other.HasUnsentFailure;
  this->RecentAll = Other.RecentAll;
  this->RecentBad = Other.RecentBad;
  this->RecentOutcomes = Other.RecentOutcomes;
  this->RecentShed = Other.RecentShed;
  this->HallRates = Other.HallRates;
  this->Times = Other.Times;
  this->Rates = Other.Rates;
  this->Outcomes = Other.Outcomes;
  std::vector<int> Matches(Other.Servers.size(), -1);
  adoptStates(this->Servers, Other.Servers, Other.IndexOfServer,
              [&Matches](size_t New, size_t Old) {
                Matches[Old] = static_cast<int>(New);
              });
  this->InFlight.adopt(Other.InFlight, Matches);
}

} // namespace canvaswick
