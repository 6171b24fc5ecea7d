//===- ServerSelector.cpp - Which backend server gets the next request ----===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Power of two choices, weighted by share, slots and readiness.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Routing/ServerSelector.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace canvaswick {

/// What is left of a server's weight after each time it sheds.
static constexpr double EaseAfterShed = 0.7;
static constexpr double LeastEase = 0.05;

/// How quickly the missing part of the ease comes back.
static constexpr Duration EaseHalfLife = fromSeconds(2);

/// A reported load older than this says nothing.
static constexpr Duration ReportLife = fromSeconds(5);

/// How much a reported request counts against one of our own.
static constexpr double ReportWeight = 0.5;

/// How much dearer a server in another hall is.
static constexpr double FarFactor = 1.2;

/// A cold server begins with this part of its share.
static constexpr double LeastColdShare = 0.1;

double getQueueFactor(double Load, int Slots) {
  return std::max(1.0, (Load + 1) / Slots);
}

ServerSelector::ServerSelector(std::vector<SelectableServer> Servers,
                               Duration ColdStart)
    : ColdStart(ColdStart) {
  for (SelectableServer &Server : Servers) {
    ServerState State;
    State.Config = Server;
    this->Servers.push_back(State);
  }
}

double ServerSelector::getEase(const ServerState &State, TimePoint Now) const {
  const double Lives = toSeconds(Now - State.EaseAt) / toSeconds(EaseHalfLife);
  return 1 - (1 - State.Ease) * std::exp2(-std::max(0.0, Lives));
}

double ServerSelector::getReadiness(size_t Server, TimePoint Now) const {
  const ServerState &State = this->Servers[Server];
  const double Ease = this->getEase(State, Now);
  if (this->ColdStart <= Duration::zero())
    return Ease;
  const double Age = toSeconds(Now - State.Config.FirstSeen);
  const double Warmth =
      std::clamp(Age / toSeconds(this->ColdStart), LeastColdShare, 1.0);
  return Ease * Warmth;
}

double ServerSelector::getWeight(size_t Server,
                                 const std::vector<double> &Shares,
                                 TimePoint Now,
                                 const SelectionRules &Rules) const {
  const ServerState &State = this->Servers[Server];
  if (State.InFlight >= State.Config.ConcurrencyLimit)
    return 0;
  double Weight = Shares[Server] * this->getReadiness(Server, Now);
  if (!Rules.IsLoadInShares)
    Weight *= State.Config.Slots;
  if (!State.Config.IsSameHall)
    Weight *= Rules.RemoteWeight;
  return Weight;
}

double ServerSelector::getCost(size_t Server, TimePoint Now) const {
  const ServerState &State = this->Servers[Server];
  double Load = State.InFlight + 1;
  if (Now - State.ReportedAt <= ReportLife)
    Load += State.ReportedLoad * ReportWeight;
  return Load / State.Config.Slots * (State.Config.IsSameHall ? 1 : FarFactor);
}

static bool contains(const std::vector<size_t> &List, size_t Value) {
  return std::find(List.begin(), List.end(), Value) != List.end();
}

int ServerSelector::pick(const std::vector<double> &Shares,
                         const std::vector<size_t> &Excluded, TimePoint Now,
                         RandomSource &Random,
                         const SelectionRules &Rules) const {
  assert(Shares.size() == this->Servers.size() && "one share a server");
  std::vector<double> Weights(this->Servers.size(), 0);
  double Sum = 0;
  for (size_t I = 0; I < Weights.size(); ++I) {
    if (!contains(Excluded, I))
      Weights[I] = this->getWeight(I, Shares, Now, Rules);
    Sum += Weights[I];
  }
  if (Sum <= 0)
    return -1;
  const auto Draw = [&] {
    double Left = std::uniform_real_distribution<double>(0, Sum)(Random);
    size_t Last = 0;
    for (size_t I = 0; I < Weights.size(); ++I) {
      if (Weights[I] <= 0)
        continue;
      Last = I;
      Left -= Weights[I];
      if (Left < 0)
        break;
    }
    return Last;
  };
  const size_t First = Draw();
  if (Rules.IsLoadInShares)
    return static_cast<int>(First);
  const size_t Second = Draw();
  // A server with a small share must not win by being idle because of it: the
  // two draws already follow the shares, the costs compare load alone, and the
  // second draw counts only if its weight is not far below the first's.
  const bool IsComparable = Weights[Second] >= 0.5 * Weights[First];
  if (IsComparable && this->getCost(Second, Now) < this->getCost(First, Now))
    return static_cast<int>(Second);
  return static_cast<int>(First);
}

void ServerSelector::adopt(const ServerSelector &Other,
                           const std::vector<int> &Matches) {
  for (size_t I = 0; I < Matches.size(); ++I) {
    if (Matches[I] < 0)
      continue;
    const ServerState &Old = Other.Servers[static_cast<size_t>(Matches[I])];
    this->Servers[I].Ease = Old.Ease;
    this->Servers[I].EaseAt = Old.EaseAt;
    this->Servers[I].ReportedLoad = Old.ReportedLoad;
    this->Servers[I].ReportedAt = Old.ReportedAt;
  }
}

void ServerSelector::begin(size_t Server) { ++this->Servers[Server].InFlight; }

void ServerSelector::end(size_t Server, RequestOutcome Outcome, TimePoint Now) {
  ServerState &State = this->Servers[Server];
  assert(State.InFlight > 0 && "a request ended that never began");
  --State.InFlight;
  if (Outcome != RequestOutcome::Shed)
    return;
  State.Ease = std::max(LeastEase, this->getEase(State, Now) * EaseAfterShed);
  State.EaseAt = Now;
}

void ServerSelector::noteReportedLoad(size_t Server, double Load,
                                      TimePoint Now) {
  this->Servers[Server].ReportedLoad = Load;
  this->Servers[Server].ReportedAt = Now;
}

void ServerSelector::restartColdStart(size_t Server, TimePoint Now) {
  this->Servers[Server].Config.FirstSeen = Now;
}

int ServerSelector::countInFlight(size_t Server) const {
  return this->Servers[Server].InFlight;
}

} // namespace canvaswick
