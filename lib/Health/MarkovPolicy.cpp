//===- MarkovPolicy.cpp - Sick spells of some seconds ---------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A hidden Markov model of two states for each server, filtered forward. What
/// follows for shares is in SpellShares.cpp.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Health/MarkovPolicy.h"
#include "AdoptStates.h"
#include "OutcomeLikelihood.h"

#include <algorithm>
#include <cmath>

namespace canvaswick {

//===-- The model of spells -----------------------------------------------===//

/// Sickness never leaves this range, so that one outcome can still move it.
static constexpr double MinUnhealthyProbability = 0.005;
static constexpr double MaxUnhealthyProbability = 0.995;

/// Parts of one in Observation::LatencyRatioPercent.
static constexpr int PercentScale = 100;

//===-- Whether the floor is near -----------------------------------------===//

/// Half-life of the count of recent outcomes. It gives them the weight of about
/// two seconds, over which the floor is judged.
static constexpr Duration RecentHalfLife = fromSeconds(1.4);

/// Outcomes at servers likelier sick than this do not count: they would not
/// fail if the floor did not keep these in use. Those at servers of which
/// little is known do: in a hall of 168 servers a third of what failed went to
/// them, and the floor was taken to be far at 0.25 (unit test "what fails at
/// servers of which little is known counts too").
static constexpr double LikelyUnhealthy = 0.5;

/// A request that is out for this many times its usual time counts as one that
/// went unserved: one in a hundred good answers takes as long.
static constexpr double OverdueRatio = 3;

/// Outcomes that are imagined to have gone well, so that a quiet service's
/// first failure is not taken for a rate.
static constexpr double PriorGoodOutcomes = 10;

/// How long another hall's rate counts.
static constexpr Duration RateTimeout = fromSeconds(2);

/// A HallFailureRate counts in tenths of a request.
static constexpr int RateScale = 10;

//===-- Word of other halls
//------------------------------------------------===//

/// Without word from another hall for this long, its servers are tested as if
/// they were near.
static constexpr Duration EstimateTimeout = fromSeconds(2);

//===-- Servers that are not reached --------------------------------------===//

/// How long a server is left alone after no connection to it came about.
/// Doubles with each failure in a row, MaxDoublings times at most.
static constexpr Duration InitialUnreachableTime = fromMillis(1000);
static constexpr int MaxDoublings = 2;

MarkovPolicy::MarkovPolicy(PolicySetup Given)
    : Setup(std::move(Given)), InFlight(this->Setup.Servers.size()) {
  for (const PolicyServer &Server : this->Setup.Servers) {
    this->IndexOfServer[Server.Id] = this->Servers.size();
    ServerState State;
    State.Config = Server;
    State.UnhealthyProbability = this->Rates.getStationaryProbability();
    this->Servers.push_back(State);
  }
}

/// Returns the probability by what has ended, faded with time.
double MarkovPolicy::getProbabilityFromOutcomes(size_t Server,
                                                TimePoint Now) const {
  const ServerState &State = this->Servers[Server];
  return this->Rates.predict(State.UnhealthyProbability, Now - State.At);
}

/// Returns how much likelier a request is still out at a sick server than at a
/// well one. What it says fades with its age: the server may have got well
/// after it came.
double MarkovPolicy::getNoAnswerLikelihoodRatio(const InFlightRequest &Request,
                                                TimePoint Now) const {
  const Duration Age = Now - Request.Began;
  if (Request.TypicalTime <= Duration::zero() || Age <= Duration::zero())
    return 1;
  const double Ratio = toSeconds(Age) / toSeconds(Request.TypicalTime);
  const Likelihood Seen = getNoAnswerLikelihood(this->Times.getSurvival(Ratio));
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

/// Sets what is known of a server from now on.
void MarkovPolicy::setUnhealthyProbability(size_t Server,
                                           double UnhealthyProbability,
                                           TimePoint Now) {
  this->Servers[Server].UnhealthyProbability = std::clamp(
      UnhealthyProbability, MinUnhealthyProbability, MaxUnhealthyProbability);
  this->Servers[Server].At = Now;
}

/// Counts how often the service as a whole refuses.
void MarkovPolicy::recordShed(RequestOutcome Outcome, TimePoint Now) {
  this->RecentOutcomes.add(1, Now, RecentHalfLife);
  if (Outcome == RequestOutcome::Shed)
    this->RecentShed.add(1, Now, RecentHalfLife);
}

/// Where all servers refuse, a refusal says nothing about one of them: turning
/// away from it would send everybody to the few that were not asked of late,
/// and overload them.
double MarkovPolicy::getShedRate(TimePoint Now) const {
  const double All =
      this->RecentOutcomes.get(Now, RecentHalfLife) + PriorGoodOutcomes;
  return this->RecentShed.get(Now, RecentHalfLife) / All;
}

void MarkovPolicy::update(size_t Server, RequestOutcome Outcome,
                          int LatencyRatioPercent, TimePoint Now) {
  const double Before = this->getProbabilityFromOutcomes(Server, Now);
  Likelihood Seen = getLikelihood(Outcome);
  const double Ratio = LatencyRatioPercent / static_cast<double>(PercentScale);
  if (Outcome == RequestOutcome::Overdue && Ratio > 0)
    Seen = getNoAnswerLikelihood(this->Times.getSurvival(Ratio));
  if ((Outcome == RequestOutcome::Good || Outcome == RequestOutcome::Slow) &&
      this->isOn(Mechanism::LearnedTimes))
    this->Times.add(Ratio);
  this->recordShed(Outcome, Now);
  if (Outcome == RequestOutcome::Shed)
    Seen.Healthy =
        std::clamp(this->getShedRate(Now), Seen.Healthy, Seen.Unhealthy);
  const ServerState &State = this->Servers[Server];
  // Without an earlier outcome there is no step to learn from.
  if (this->isOn(Mechanism::LearnedRates) && State.At != TimePoint{})
    this->Rates.learn(State.UnhealthyProbability, Now - State.At, Seen);
  const double Unhealthy = Before * Seen.Unhealthy;
  const double Healthy = (1 - Before) * Seen.Healthy;
  this->setUnhealthyProbability(Server, Unhealthy / (Unhealthy + Healthy), Now);
}

/// Counts outcomes at servers that are likelier well than sick.
void MarkovPolicy::recordRecent(size_t Server, RequestOutcome Outcome,
                                TimePoint Now) {
  // What is still out there would have counted against it before it failed.
  if (this->getProbabilityFromOutcomes(Server, Now) > LikelyUnhealthy)
    return;
  this->RecentAll.add(1, Now, RecentHalfLife);
  // A late answer is served all the same; one that is overdue hardly ever.
  if (isFailure(Outcome) || Outcome == RequestOutcome::Overdue)
    this->RecentBad.add(1, Now, RecentHalfLife);
}

/// Keeps track of whether this daemon reaches the server at all, which says
/// little about what others reach.
void MarkovPolicy::recordReachability(ServerState &State,
                                      RequestOutcome Outcome, TimePoint Now) {
  if (Outcome != RequestOutcome::Unreachable) {
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
                                 int LatencyRatioPercent) {
  if (Outcome == RequestOutcome::Canceled)
    return;
  ServerState &State = this->Servers[Server];
  State.Counts.add(Outcome);
  this->recordReachability(State, Outcome, Now);
  this->recordRecent(Server, Outcome, Now);
  this->recordUse(Server, Now);
  this->update(Server, Outcome, LatencyRatioPercent, Now);
  // What this daemon does not reach, others may.
  if (Outcome != RequestOutcome::Unreachable)
    this->UnsentObservations.push_back(
        {State.Config.Id, Outcome, Load, LatencyRatioPercent});
}

void MarkovPolicy::applyObservation(size_t Server, RequestOutcome Outcome,
                                    TimePoint Now, int LatencyRatioPercent) {
  this->recordRecent(Server, Outcome, Now);
  this->recordUse(Server, Now);
  this->update(Server, Outcome, LatencyRatioPercent, Now);
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
  // The server's own hall knows it better, and so does this daemon.
  if (this->isUsed(Server) || this->hasRecentEstimate(Server, Now))
    return;
  this->setUnhealthyProbability(Server, UnhealthyProbability, Now);
  // Peers have used it: it needs no first test from this daemon.
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
  this->Servers[Server].IsLeaving = IsLeaving;
}

void MarkovPolicy::advance(TimePoint) {}

/// Counts the requests that are out for so long that they hardly ever get an
/// answer: they have not failed yet, and will.
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

/// Returns what part of the requests of this caution goes unserved at servers
/// that are likelier well than sick, over all halls that told of theirs.
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
  // What may be sent again goes unserved only if it fails twice.
  return Cost == FailureCost::High ? Failures : Failures * Failures;
}

/// Returns the part of good answers that take longer than until an instant.
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
  const Likelihood NoAnswer = getNoAnswerLikelihood(SurvivalNow);
  const double Unhealthy = this->getUnhealthyProbability(Request.Server, Now);
  // A sick server answers some requests all the same.
  const double AnswerProbability =
      1 - Unhealthy * getNoAnswerFraction() / NoAnswer.Unhealthy;
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

std::vector<Observation> MarkovPolicy::drainObservations() {
  std::vector<Observation> Taken;
  Taken.swap(this->UnsentObservations);
  return Taken;
}

void MarkovPolicy::adopt(const MarkovPolicy &Other, TimePoint) {
  this->UnsentObservations = Other.UnsentObservations;
  this->RecentAll = Other.RecentAll;
  this->RecentBad = Other.RecentBad;
  this->RecentOutcomes = Other.RecentOutcomes;
  this->RecentShed = Other.RecentShed;
  this->HallRates = Other.HallRates;
  this->Times = Other.Times;
  this->Rates = Other.Rates;
  std::vector<int> Matches(Other.Servers.size(), -1);
  adoptStates(this->Servers, Other.Servers, Other.IndexOfServer,
              [&Matches](size_t New, size_t Old) {
                Matches[Old] = static_cast<int>(New);
              });
  this->InFlight.adopt(Other.InFlight, Matches);
}

} // namespace canvaswick
