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
static constexpr double LeastSickness = 0.005;
static constexpr double MostSickness = 0.995;

/// Parts of one in Observation::LatencyRatioPercent.
static constexpr int PaceParts = 100;

//===-- Whether the floor is near -----------------------------------------===//

/// Half-life of the count of recent outcomes. It gives them the weight of about
/// two seconds, over which the floor is judged.
static constexpr Duration RecentHalfLife = fromSeconds(1.4);

/// Outcomes at servers likelier sick than this do not count: they would not
/// fail if the floor did not keep these in use. Those at servers of which
/// little is known do: in a hall of 168 servers a third of what failed went to
/// them, and the floor was taken to be far at 0.25 (unit test "what fails at
/// servers of which little is known counts too").
static constexpr double LikelySick = 0.5;

/// A request that is out for this many times its usual time counts as one that
/// went unserved: one in a hundred good answers takes as long.
static constexpr double OverduePace = 3;

/// Outcomes that are imagined to have gone well, so that a quiet service's
/// first failure is not taken for a rate.
static constexpr double ImaginedGood = 10;

/// How long another hall's rate counts.
static constexpr Duration RateLife = fromSeconds(2);

/// A HallFailureRate counts in tenths of a request.
static constexpr int RateParts = 10;

//===-- Word of other halls
//------------------------------------------------===//

/// Without word from another hall for this long, its servers are tested as if
/// they were near.
static constexpr Duration EstimateLife = fromSeconds(2);

//===-- Servers that are not reached --------------------------------------===//

/// How long a server is left alone after no connection to it came about.
/// Doubles with each failure in a row, MostDoublings times at most.
static constexpr Duration FirstUnreachable = fromMillis(1000);
static constexpr int MostDoublings = 2;

MarkovPolicy::MarkovPolicy(PolicySetup Given)
    : Setup(std::move(Given)), InFlight(this->Setup.Servers.size()) {
  for (const PolicyServer &Server : this->Setup.Servers) {
    this->IndexOfServer[Server.Id] = this->Servers.size();
    ServerState State;
    State.Config = Server;
    State.UnhealthyProbability = this->Rates.getUsualSickness();
    this->Servers.push_back(State);
  }
}

/// Returns the probability by what has ended, faded with time.
double MarkovPolicy::getEndedSickness(size_t Server, TimePoint Now) const {
  const ServerState &State = this->Servers[Server];
  return this->Rates.drift(State.UnhealthyProbability, Now - State.At);
}

/// Returns how much likelier a request is still out at a sick server than at a
/// well one. What it says fades with its age: the server may have got well
/// after it came.
double MarkovPolicy::getSilenceRatio(const InFlightRequest &Request,
                                     TimePoint Now) const {
  const Duration Age = Now - Request.Began;
  if (Request.TypicalTime <= Duration::zero() || Age <= Duration::zero())
    return 1;
  const double Pace = toSeconds(Age) / toSeconds(Request.TypicalTime);
  const Likelihood Seen = getSilenceLikelihood(this->Times.getSurvival(Pace));
  const double Kept =
      std::exp(-toSeconds(Age) / toSeconds(this->Rates.getMemory()));
  return 1 + (Seen.Sick / Seen.Well - 1) * Kept;
}

double MarkovPolicy::getUnhealthyProbability(size_t Server,
                                             TimePoint Now) const {
  const double Ended = this->getEndedSickness(Server, Now);
  double Odds = Ended / (1 - Ended);
  if (this->isOn(Mechanism::ElapsedEvidence))
    this->InFlight.visit(Server, Now, [&](const InFlightRequest &Each) {
      Odds *= this->getSilenceRatio(Each, Now);
    });
  return std::clamp(Odds / (1 + Odds), LeastSickness, MostSickness);
}

/// Sets what is known of a server from now on.
void MarkovPolicy::setSickness(size_t Server, double UnhealthyProbability,
                               TimePoint Now) {
  this->Servers[Server].UnhealthyProbability =
      std::clamp(UnhealthyProbability, LeastSickness, MostSickness);
  this->Servers[Server].At = Now;
}

/// Counts how often the service as a whole refuses.
void MarkovPolicy::noteShed(RequestOutcome Outcome, TimePoint Now) {
  this->RecentOutcomes.add(1, Now, RecentHalfLife);
  if (Outcome == RequestOutcome::Shed)
    this->RecentShed.add(1, Now, RecentHalfLife);
}

/// Where all servers refuse, a refusal says nothing about one of them: turning
/// away from it would send everybody to the few that were not asked of late,
/// and overload them.
double MarkovPolicy::getUsualShed(TimePoint Now) const {
  const double All =
      this->RecentOutcomes.get(Now, RecentHalfLife) + ImaginedGood;
  return this->RecentShed.get(Now, RecentHalfLife) / All;
}

void MarkovPolicy::update(size_t Server, RequestOutcome Outcome,
                          int LatencyRatioPercent, TimePoint Now) {
  const double Before = this->getEndedSickness(Server, Now);
  Likelihood Seen = getLikelihood(Outcome);
  const double Pace = LatencyRatioPercent / static_cast<double>(PaceParts);
  if (Outcome == RequestOutcome::Overdue && Pace > 0)
    Seen = getSilenceLikelihood(this->Times.getSurvival(Pace));
  if ((Outcome == RequestOutcome::Good || Outcome == RequestOutcome::Slow) &&
      this->isOn(Mechanism::LearnedTimes))
    this->Times.add(Pace);
  this->noteShed(Outcome, Now);
  if (Outcome == RequestOutcome::Shed)
    Seen.Well = std::clamp(this->getUsualShed(Now), Seen.Well, Seen.Sick);
  const ServerState &State = this->Servers[Server];
  // Without an earlier outcome there is no step to learn from.
  if (this->isOn(Mechanism::LearnedRates) && State.At != TimePoint{})
    this->Rates.learn(State.UnhealthyProbability, Now - State.At, Seen);
  const double Sick = Before * Seen.Sick;
  const double Well = (1 - Before) * Seen.Well;
  this->setSickness(Server, Sick / (Sick + Well), Now);
}

/// Counts outcomes at servers that are likelier well than sick.
void MarkovPolicy::noteRecent(size_t Server, RequestOutcome Outcome,
                              TimePoint Now) {
  // What is still out there would have counted against it before it failed.
  if (this->getEndedSickness(Server, Now) > LikelySick)
    return;
  this->RecentAll.add(1, Now, RecentHalfLife);
  // A late answer is served all the same; one that is overdue hardly ever.
  if (isFailure(Outcome) || Outcome == RequestOutcome::Overdue)
    this->RecentBad.add(1, Now, RecentHalfLife);
}

/// Keeps track of whether this daemon reaches the server at all, which says
/// little about what others reach.
void MarkovPolicy::noteReach(ServerState &State, RequestOutcome Outcome,
                             TimePoint Now) {
  if (Outcome != RequestOutcome::Unreachable) {
    State.UnreachableInRow = 0;
    State.UnreachableUntil = TimePoint{};
    return;
  }
  const int Doublings = std::min(State.UnreachableInRow, MostDoublings);
  State.UnreachableUntil = Now + FirstUnreachable * (1 << Doublings);
  ++State.UnreachableInRow;
}

void MarkovPolicy::recordOutcome(size_t Server, RequestOutcome Outcome,
                                 TimePoint Now, int Load,
                                 int LatencyRatioPercent) {
  if (Outcome == RequestOutcome::Canceled)
    return;
  ServerState &State = this->Servers[Server];
  State.Counts.add(Outcome);
  this->noteReach(State, Outcome, Now);
  this->noteRecent(Server, Outcome, Now);
  this->recordUse(Server, Now);
  this->update(Server, Outcome, LatencyRatioPercent, Now);
  // What this daemon does not reach, others may.
  if (Outcome != RequestOutcome::Unreachable)
    this->News.push_back({State.Config.Id, Outcome, Load, LatencyRatioPercent});
}

void MarkovPolicy::applyObservation(size_t Server, RequestOutcome Outcome,
                                    TimePoint Now, int LatencyRatioPercent) {
  this->noteRecent(Server, Outcome, Now);
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
  this->setSickness(Server, UnhealthyProbability, Now);
  this->Servers[Server].EstimatedAt = Now;
}

void MarkovPolicy::applySameHallEstimate(size_t Server,
                                         double UnhealthyProbability,
                                         TimePoint Now) {
  // The server's own hall knows it better, and so does this daemon.
  if (this->isUsed(Server) || this->isEstimated(Server, Now))
    return;
  this->setSickness(Server, UnhealthyProbability, Now);
  // Peers have used it: it needs no first test from this daemon.
  this->recordUse(Server, Now);
}

bool MarkovPolicy::isEstimated(size_t Server, TimePoint Now) const {
  return Now - this->Servers[Server].EstimatedAt <= EstimateLife;
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
              OverduePace * toSeconds(Each.TypicalTime))
        Overdue += 1;
    });
  return Overdue;
}

/// Returns what part of the requests of this caution goes unserved at servers
/// that are likelier well than sick, over all halls that told of theirs.
double MarkovPolicy::getFailurePart(FailureCost Care, TimePoint Now) const {
  const double Overdue = this->countOverdue(Now);
  double All =
      this->RecentAll.get(Now, RecentHalfLife) + ImaginedGood + Overdue;
  double Bad = this->RecentBad.get(Now, RecentHalfLife) + Overdue;
  for (const auto &[Hall, Rate] : this->OtherRates) {
    if (Now - Rate.second > RateLife)
      continue;
    All += Rate.first.All / static_cast<double>(RateParts);
    Bad += Rate.first.Bad / static_cast<double>(RateParts);
  }
  const double Failures = Bad / All;
  // What may be sent again goes unserved only if it fails twice.
  return Care == FailureCost::High ? Failures : Failures * Failures;
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
  const double Still =
      getSurvivalUntil(this->Times, Request.Began, Request.TypicalTime, Now);
  const double Later =
      getSurvivalUntil(this->Times, Request.Began, Request.TypicalTime, Until);
  const Likelihood Silence = getSilenceLikelihood(Still);
  const double Sick = this->getUnhealthyProbability(Request.Server, Now);
  // A sick server answers some requests all the same.
  const double Answers = 1 - Sick * getSilentPart() / Silence.Sick;
  return Answers * (1 - Later / Still);
}

AnswerProbabilities
MarkovPolicy::getNewRequestProbabilities(size_t Server, Duration TypicalTime,
                                         TimePoint Aim, TimePoint Deadline,
                                         TimePoint Now) const {
  if (this->Servers[Server].IsLeaving || Deadline <= Now)
    return {};
  const double Answers =
      1 - this->getUnhealthyProbability(Server, Now) * getFailingPart();
  if (TypicalTime <= Duration::zero())
    return {Aim > Now ? Answers : 0, Answers};
  const auto GetPart = [&](TimePoint Until) {
    return Until <= Now
               ? 0
               : 1 - getSurvivalUntil(this->Times, Now, TypicalTime, Until);
  };
  return {Answers * GetPart(Aim), Answers * GetPart(Deadline)};
}

double MarkovPolicy::getSuccessProbability(size_t Server, TimePoint Now) const {
  return this->Servers[Server].IsLeaving
             ? 0
             : 1 - this->getUnhealthyProbability(Server, Now) *
                       getFailingPart();
}

HallFailureRate MarkovPolicy::getFailureRate(TimePoint Now) const {
  const double Overdue = this->countOverdue(Now);
  const auto Tenths = [Now, Overdue](const DecayingCount &Count) {
    return static_cast<int>(
        std::lround(RateParts * (Count.get(Now, RecentHalfLife) + Overdue)));
  };
  return {0, Tenths(this->RecentAll), Tenths(this->RecentBad)};
}

void MarkovPolicy::applyFailureRate(const std::string &Hall,
                                    const HallFailureRate &Rate,
                                    TimePoint Now) {
  this->OtherRates[Hall] = {Rate, Now};
}

std::vector<Observation> MarkovPolicy::drainObservations() {
  std::vector<Observation> Taken;
  Taken.swap(this->News);
  return Taken;
}

void MarkovPolicy::adopt(const MarkovPolicy &Other, TimePoint) {
  this->News = Other.News;
  this->RecentAll = Other.RecentAll;
  this->RecentBad = Other.RecentBad;
  this->RecentOutcomes = Other.RecentOutcomes;
  this->RecentShed = Other.RecentShed;
  this->OtherRates = Other.OtherRates;
  this->Times = Other.Times;
  this->Rates = Other.Rates;
  std::vector<int> Matches(Other.Servers.size(), -1);
  adoptStates(this->Servers, Other.Servers, Other.IndexOfServer,
              [&Matches](size_t Own, size_t Old) {
                Matches[Old] = static_cast<int>(Own);
              });
  this->InFlight.adopt(Other.InFlight, Matches);
}

} // namespace canvaswick
