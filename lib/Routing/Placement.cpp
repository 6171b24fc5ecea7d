//===- Placement.cpp - Places a request on a server -----------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Implements the value of a place and the exceptions from taking the best one:
/// requests by which the hall learns of further servers.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Routing/Placement.h"
#include "canvaswick/Support/EnumNames.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace canvaswick {

static constexpr EnumNames<PlacementReason, 6> ReasonNames = {{
    {PlacementReason::Proved, "proved"},
    {PlacementReason::Queued, "queued"},
    {PlacementReason::Unproved, "unproved"},
    {PlacementReason::Growth, "growth"},
    {PlacementReason::Newcomer, "newcomer"},
    {PlacementReason::Floor, "floor"},
}};

/// A server up to this unhealthy probability counts as proved: it has answered
/// lately, and nothing speaks against it since.
static constexpr double ProvedProbability = 0.12;

/// The cost of a failure after which the request may be sent once more,
/// relative to one that is final: it comes later, and may fail again.
static constexpr double RepeatableFailureCost = 0.25;

/// How sharply servers are drawn by what they promise: one that promises a
/// hundredth less is drawn half as often. Sharper draws would crowd the servers
/// that failed a moment ago at a peer, as they look idle until all know.
static constexpr double DrawSharpness = 64;

/// The number of servers drawn for a request, of which the least loaded one is
/// taken.
static constexpr int DrawCount = 3;

/// The cost of waiting for a slot: once, and for each round of requests that
/// the server works off before.
static constexpr double FullServerCost = 0.06;
static constexpr double QueueCost = 0.12;

/// The cost of the last free slot. Some servers slow down when nearly full.
static constexpr double OccupiedSlotsCost = 0.03;

/// The cost of a server in another hall: its bytes travel between halls.
static constexpr double RemoteCost = 0.12;
static constexpr double LargeRemoteCost = 0.6;

/// The cost of a server that rejects requests of which the others take more.
static constexpr double RejectionCost = 0.3;

/// The cost of a server that bears no request yet because it is cold.
static constexpr double ColdCost = 0.3;

/// The free slots at proved servers that a hall should have, relative to its
/// requests in flight, and at least.
static constexpr double FreeSlotsRatio = 0.2;
static constexpr double MinFreeSlots = 2;

/// The fraction of requests that go to a further server if no slot is free at a
/// proved one. Peers learn of each such request before many more have followed.
static constexpr double GrowthFraction = 0.2;

/// The fraction of requests that go to each server that is due for the floor or
/// has joined, and to all of them at most.
static constexpr double DueFraction = 0.05;
static constexpr double MaxDueFraction = 0.5;

/// A further server may be unhealthy with this probability at most. One that
/// has failed becomes as good as unknown with time.
static constexpr double MaxFurtherProbability = 0.35;

const char *getName(PlacementReason Reason) {
  return getEnumName(ReasonNames, Reason);
}

bool isTest(PlacementReason Reason) {
  return Reason == PlacementReason::Growth ||
         Reason == PlacementReason::Newcomer ||
         Reason == PlacementReason::Floor;
}

double getHighestRemoteValue() { return 1 - RemoteCost; }

Placement::Placement(std::span<const PlacementCandidate> Candidates,
                     PlacementNeeds Needs)
    : Candidates(Candidates), Needs(Needs) {
  for (const PlacementCandidate &Each : Candidates)
    this->Acceptance +=
        Each.Acceptance / static_cast<double>(Candidates.size());
}

static bool isProved(const PlacementCandidate &Candidate) {
  return Candidate.UnhealthyProbability <= ProvedProbability;
}

static bool hasFreeSlot(const PlacementCandidate &Candidate) {
  return Candidate.Load + 1 <= Candidate.Slots;
}

static double getLoadCost(const PlacementCandidate &Candidate) {
  const double Occupied = Candidate.Load / Candidate.Slots;
  if (hasFreeSlot(Candidate))
    return OccupiedSlotsCost * Occupied;
  const double Rounds = (Candidate.Load + 1) / Candidate.Slots - 1;
  return FullServerCost + QueueCost * Rounds;
}

double Placement::getIdleValue(const PlacementCandidate &Candidate) const {
  const double FailureCost =
      (1 - Candidate.AnswerProbability) *
      (this->Needs.IsFailureFinal ? 1 : RepeatableFailureCost);
  double Costs =
      ColdCost * (1 - Candidate.Warmth) +
      RejectionCost * std::max(0.0, this->Acceptance - Candidate.Acceptance);
  if (!Candidate.IsSameHall)
    Costs += this->Needs.IsLarge ? LargeRemoteCost : RemoteCost;
  return Candidate.TimeUtility * (1 - FailureCost) - Costs;
}

double Placement::getValue(const PlacementCandidate &Candidate) const {
  return this->getIdleValue(Candidate) - getLoadCost(Candidate);
}

double Placement::getShortage() const {
  double Free = 0;
  double InFlight = 0;
  for (const PlacementCandidate &Each : this->Candidates) {
    if (!Each.IsSameHall)
      continue;
    InFlight += Each.Load;
    if (isProved(Each))
      Free += std::max(0.0, Each.Slots - Each.Load);
  }
  const double Wanted = std::max(MinFreeSlots, FreeSlotsRatio * InFlight);
  return std::clamp(1 - Free / Wanted, 0.0, 1.0);
}

/// Draws a candidate among those for which IsEligible returns true, by what
/// they promise but for their load. Returns null if there is none.
template <typename Predicate>
const PlacementCandidate *Placement::draw(Predicate IsEligible,
                                          std::mt19937_64 &Random) const {
  std::vector<double> Weights;
  Weights.reserve(this->Candidates.size());
  double Sum = 0;
  for (const PlacementCandidate &Each : this->Candidates) {
    Weights.push_back(IsEligible(Each)
                          ? std::exp(DrawSharpness * this->getIdleValue(Each))
                          : 0);
    Sum += Weights.back();
  }
  if (Sum <= 0)
    return nullptr;
  std::discrete_distribution<size_t> Distribution(Weights.begin(),
                                                  Weights.end());
  const PlacementCandidate *Best = nullptr;
  for (int I = 0; I < DrawCount; ++I) {
    const PlacementCandidate &Drawn = this->Candidates[Distribution(Random)];
    if (!Best || this->getValue(Drawn) > this->getValue(*Best))
      Best = &Drawn;
  }
  return Best;
}

/// Returns whether a request is needed at a server soon.
static bool isDue(const PlacementCandidate &Candidate) {
  return Candidate.IsDueForFloor ||
         (Candidate.IsNewcomer && Candidate.Load < 1);
}

/// Returns one of the servers that are due, or null if the request is none of
/// those that go to due servers.
const PlacementCandidate *Placement::drawDue(std::mt19937_64 &Random) const {
  std::vector<const PlacementCandidate *> Due;
  for (const PlacementCandidate &Each : this->Candidates)
    if (isDue(Each))
      Due.push_back(&Each);
  const double Fraction =
      std::min(MaxDueFraction, DueFraction * static_cast<double>(Due.size()));
  if (!std::bernoulli_distribution(Fraction)(Random))
    return nullptr;
  return Due[std::uniform_int_distribution<size_t>(0, Due.size() - 1)(Random)];
}

/// Returns why the best candidate was chosen.
static PlacementReason getReason(const PlacementCandidate &Best) {
  if (!isProved(Best))
    return PlacementReason::Unproved;
  return hasFreeSlot(Best) ? PlacementReason::Proved : PlacementReason::Queued;
}

bool Placement::choose(PlacedRequest &Placed, std::mt19937_64 &Random) const {
  const PlacementCandidate *Best =
      this->draw([](const PlacementCandidate &) { return true; }, Random);
  if (!Best)
    return false;
  const auto Place = [&](const PlacementCandidate &Each,
                         PlacementReason Reason) {
    Placed = {Each.Server, Reason, this->getValue(Each)};
    return true;
  };
  if (!this->Needs.MayTest)
    return Place(*Best, getReason(*Best));
  if (const PlacementCandidate *Due = this->drawDue(Random))
    return Place(*Due, Due->IsDueForFloor ? PlacementReason::Floor
                                          : PlacementReason::Newcomer);
  const bool IsGrowing =
      isProved(*Best) &&
      std::bernoulli_distribution(GrowthFraction * this->getShortage())(Random);
  // One request at a time: its outcome will show the server's state.
  const auto IsFurther = [](const PlacementCandidate &Each) {
    return !isProved(Each) && Each.IsSameHall && Each.Load < 1 &&
           Each.UnhealthyProbability <= MaxFurtherProbability;
  };
  if (IsGrowing)
    if (const PlacementCandidate *Further = this->draw(IsFurther, Random))
      return Place(*Further, PlacementReason::Growth);
  return Place(*Best, getReason(*Best));
}

} // namespace canvaswick
