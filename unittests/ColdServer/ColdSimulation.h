//===- ColdSimulation.h - Simulation of cold servers ------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Simulates the daemons of a fleet in virtual time while all servers of one
/// hall become cold at once. Counts the requests that arrive at each of them in
/// any second, from all daemons together, after a random delay on the way.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_UNITTESTS_COLDSERVER_COLDSIMULATION_H
#define CANVASWICK_UNITTESTS_COLDSERVER_COLDSIMULATION_H

#include "canvaswick/Routing/ServerNotices.h"

#include <fmt/format.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

namespace canvaswick {

/// The parameters of one run.
struct ColdScenario {
  int Halls = 3;
  int DaemonsOfHall = 12;
  /// Servers of the hall that becomes cold.
  int Servers = 8;
  double PerSecond = 5.5;
  double RequestsPerSecondOfDaemon = 7;
  /// Whether other halls can serve what the cold servers may not get.
  bool HasOtherHalls = true;
  int WarmupMs = 3000;
  int LengthMs = 9000;
  /// The longest delay between the choice of a server and the arrival there.
  int MaxDelayMs = 40;
  /// Part of the hall's daemons that are cut off from the others when the
  /// servers become cold: the others no longer know them, but they send on.
  double CutFraction = 0;
  /// Part of the hall's daemons that are killed and start again while the
  /// servers are cold.
  double RestartFraction = 0;
  /// The servers become cold again every so often; 0 for never.
  int AgainMs = 0;
  uint64_t Seed = 1;
};

/// The result of a run.
struct ColdOutcome {
  /// The most requests that arrived at one cold server within any second.
  int64_t MostInSecond = 0;
  /// Requests that cold servers got, as a fraction of what they bear.
  double UsedFraction = 0;
};

class ColdSimulation {
public:
  explicit ColdSimulation(const ColdScenario &Given)
      : Scenario(Given), Random(Given.Seed),
        Arrivals(static_cast<size_t>(Given.Servers)) {
    for (int Hall = 0; Hall < Given.Halls; ++Hall)
      for (int I = 0; I < Given.DaemonsOfHall; ++I)
        this->Names.push_back(fmt::format("h{}-d{:03}", Hall, I));
    this->Daemons.resize(static_cast<size_t>(Given.DaemonsOfHall));
    std::bernoulli_distribution IsCut(Given.CutFraction);
    for (size_t I = 0; I < this->Daemons.size(); ++I)
      this->IsCut.push_back(IsCut(this->Random));
    for (size_t I = 0; I < this->Daemons.size(); ++I)
      this->startDaemon(I);
  }

  ColdOutcome run() {
    for (int Ms = 0; Ms < this->Scenario.LengthMs; Ms += StepMs) {
      this->Now = Begin + fromMillis(Ms);
      if (Ms == FirstColdMs)
        this->loseCutDaemons();
      if (Ms == FirstColdMs + this->Scenario.WarmupMs / 2)
        this->restartDaemons();
      if (this->becomesCold(Ms))
        this->coolServers();
      this->sendRequests();
    }
    return this->evaluate();
  }

private:
  static constexpr int StepMs = 5;
  static constexpr int FirstColdMs = 1000;
  static constexpr TimePoint Begin{fromSeconds(1000)};
  static constexpr const char *ColdHall = "h0";

  static ServerId getId(size_t Server) { return 100 + Server; }

  FleetDaemons makeFleet(size_t Self, bool OmitsCut) const {
    FleetDaemons Fleet;
    Fleet.Self = this->Names[Self];
    for (size_t I = 0; I < this->Names.size(); ++I) {
      const bool IsOmitted =
          OmitsCut && I != Self && I < this->IsCut.size() && this->IsCut[I];
      if (IsOmitted)
        continue;
      Fleet.All.push_back(this->Names[I]);
      Fleet.Halls[this->Names[I].substr(0, 2)].push_back(this->Names[I]);
    }
    return Fleet;
  }

  void startDaemon(size_t Index) {
    this->Daemons[Index] = ServerNotices();
    this->Daemons[Index].setFleet(this->makeFleet(Index, false), this->Now);
  }

  /// Daemons that are not cut drop those that are.
  void loseCutDaemons() {
    for (size_t I = 0; I < this->Daemons.size(); ++I)
      if (!this->IsCut[I])
        this->Daemons[I].setFleet(this->makeFleet(I, true), this->Now);
  }

  void restartDaemons() {
    std::bernoulli_distribution Restarts(this->Scenario.RestartFraction);
    for (size_t I = 0; I < this->Daemons.size(); ++I)
      if (Restarts(this->Random)) {
        this->startDaemon(I);
        this->cool(this->Daemons[I]);
      }
  }

  bool becomesCold(int Ms) const {
    if (Ms == FirstColdMs)
      return true;
    return Ms > FirstColdMs && this->Scenario.AgainMs > 0 &&
           (Ms - FirstColdMs) % this->Scenario.AgainMs == 0;
  }

  void cool(ServerNotices &Known) {
    for (size_t I = 0; I < this->Arrivals.size(); ++I)
      Known.recordWarmup({getId(I), fmt::format("s/b{}", I), ColdHall},
                         this->Scenario.PerSecond, this->ColdUntil, this->Now);
  }

  void coolServers() {
    if (this->ColdUntil <= this->Now)
      this->ColdMs += this->Scenario.WarmupMs;
    else
      this->ColdMs += this->Scenario.WarmupMs -
                      static_cast<int>(toMillis(this->ColdUntil - this->Now));
    this->ColdUntil = this->Now + fromMillis(this->Scenario.WarmupMs);
    for (ServerNotices &Each : this->Daemons)
      this->cool(Each);
  }

  void sendRequests() {
    std::poisson_distribution<int> Count(
        this->Scenario.RequestsPerSecondOfDaemon * StepMs / 1000);
    for (ServerNotices &Each : this->Daemons)
      for (int Left = Count(this->Random); Left > 0; --Left)
        this->sendRequest(Each);
  }

  /// Sends a request to a server of the hall that may take one, or to another
  /// hall, which is not counted.
  void sendRequest(ServerNotices &From) {
    std::vector<double> Weights;
    for (size_t I = 0; I < this->Arrivals.size(); ++I)
      Weights.push_back(From.getShareFactor(getId(I), this->Now));
    static constexpr double RemoteWeight = 0.06;
    if (this->Scenario.HasOtherHalls)
      Weights.push_back(RemoteWeight * static_cast<double>(Weights.size()));
    if (std::all_of(Weights.begin(), Weights.end(),
                    [](double Each) { return Each <= 0; }))
      return;
    const size_t Server = std::discrete_distribution<size_t>(
        Weights.begin(), Weights.end())(this->Random);
    if (Server >= this->Arrivals.size())
      return;
    From.recordRequestSent(getId(Server), this->Now);
    std::uniform_int_distribution<int> Delay(0, this->Scenario.MaxDelayMs);
    if (this->Now >= this->ColdUntil)
      return;
    this->Arrivals[Server].push_back(this->Now +
                                     fromMillis(Delay(this->Random)));
  }

  ColdOutcome evaluate() {
    ColdOutcome Outcome;
    double All = 0;
    for (std::vector<TimePoint> &Each : this->Arrivals) {
      std::sort(Each.begin(), Each.end());
      All += static_cast<double>(Each.size());
      for (auto From = Each.begin(); From != Each.end(); ++From) {
        const auto To =
            std::lower_bound(From, Each.end(), *From + fromSeconds(1));
        Outcome.MostInSecond =
            std::max<int64_t>(Outcome.MostInSecond, To - From);
      }
    }
    Outcome.UsedFraction = All * 1000 /
                           (this->Scenario.PerSecond * this->ColdMs) /
                           this->Scenario.Servers;
    return Outcome;
  }

  const ColdScenario Scenario;
  std::mt19937_64 Random;
  std::vector<std::string> Names;
  /// The daemons of the hall whose servers become cold.
  std::vector<ServerNotices> Daemons;
  std::vector<bool> IsCut;
  std::vector<std::vector<TimePoint>> Arrivals;
  TimePoint Now = Begin;
  TimePoint ColdUntil{};
  int ColdMs = 0;
};

} // namespace canvaswick

#endif // CANVASWICK_UNITTESTS_COLDSERVER_COLDSIMULATION_H
