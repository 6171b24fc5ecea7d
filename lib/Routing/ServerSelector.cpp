//===- ServerSelector.cpp - Selects a server for a request ----------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Implements the power of two choices, weighted by share, slots and readiness.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Routing/ServerSelector.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace canvaswick {

/// The factor applied to a server's weight each time it sheds a request, and
/// the minimum of the product.
static constexpr double ShedDecay = 0.7;
static constexpr double MinShedFactor = 0.05;

/// The half-life of the reduction.
static constexpr Duration ShedRecoveryHalfLife = fromSeconds(2);

/// Older load reports are ignored.
static constexpr Duration MaxReportAge = fromSeconds(5);

/// The weight of a reported request, relative to a request of this daemon.
static constexpr double ReportWeight = 0.5;

/// The factor by which a server in another hall costs more.
static constexpr double RemoteCostFactor = 1.2;

/// The fraction of its share with which a cold server begins.
static constexpr double MinColdShare = 0.1;

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

double ServerSelector::getShedFactor(const ServerState &State,
                                     TimePoint Now) const {
  const double HalfLives =
      toSeconds(Now - State.ShedFactorAt) / toSeconds(ShedRecoveryHalfLife);
  return 1 - (1 - State.ShedFactor) * std::exp2(-std::max(0.0, HalfLives));
}

double ServerSelector::getReadiness(size_t Server, TimePoint Now) const {
  return this->getShedFactor(this->Servers[Server], Now) *
         this->getWarmth(Server, Now);
}

double ServerSelector::getAcceptance(size_t Server, TimePoint Now) const {
  return this->getShedFactor(this->Servers[Server], Now);
}

double ServerSelector::getWarmth(size_t Server, TimePoint Now) const {
  if (this->ColdStart <= Duration::zero())
    return 1;
  const double Age = toSeconds(Now - this->Servers[Server].Config.FirstSeen);
  return std::clamp(Age / toSeconds(this->ColdStart), MinColdShare, 1.0);
}

bool ServerSelector::hasRoom(size_t Server) const {
  const ServerState &State = this->Servers[Server];
  return State.InFlight < State.Config.ConcurrencyLimit;
}

double ServerSelector::getWeight(size_t Server,
                                 const std::vector<double> &Shares,
                                 TimePoint Now,
                                 const SelectionRules &Rules) const {
  const ServerState &State = this->Servers[Server];
  if (!this->hasRoom(Server))
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
  if (Now - State.ReportedAt <= MaxReportAge)
    Load += State.ReportedLoad * ReportWeight;
  return Load / State.Config.Slots *
         (State.Config.IsSameHall ? 1 : RemoteCostFactor);
}

static bool contains(const std::vector<size_t> &List, size_t Value) {
  return std::find(List.begin(), List.end(), Value) != List.end();
}

int ServerSelector::pick(const std::vector<double> &Shares,
                         const std::vector<size_t> &Excluded, TimePoint Now,
                         RandomSource &Random,
                         const SelectionRules &Rules) const {
  assert(Shares.size() == this->Servers.size() && "one share per server");
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
  // A server with a small share must not win because the small share leaves it
  // idle. The draws already follow the shares, the costs compare only the load,
  // and the second draw counts only if its weight is not far below that of the
  // first.
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
    this->Servers[I].ShedFactor = Old.ShedFactor;
    this->Servers[I].ShedFactorAt = Old.ShedFactorAt;
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
  State.ShedFactor =
      std::max(MinShedFactor, this->getShedFactor(State, Now) * ShedDecay);
  State.ShedFactorAt = Now;
}

void ServerSelector::recordReportedLoad(size_t Server, double Load,
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
