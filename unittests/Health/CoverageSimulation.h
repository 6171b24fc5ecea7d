//===- CoverageSimulation.h - Use of healthy servers ------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Simulates a service in virtual time. Servers become unhealthy and leave
/// requests without an answer, while clients send non-repeatable requests
/// according to the shares that they get. While more than a tenth and less than
/// half of the requests go unserved, at least 70 % of the healthy servers must
/// get a request in any two seconds.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_UNITTESTS_HEALTH_COVERAGESIMULATION_H
#define CANVASWICK_UNITTESTS_HEALTH_COVERAGESIMULATION_H

#include "canvaswick/Health/MarkovPolicy.h"

#include <algorithm>
#include <deque>
#include <random>
#include <vector>

namespace canvaswick {

inline constexpr Duration Step = fromMillis(10);
inline constexpr Duration Window = fromSeconds(2);
inline constexpr Duration TypicalTime = fromMillis(250);
inline constexpr Duration Timeout = fromSeconds(3);

/// Parameters of one simulation.
struct CoverageScenario {
  size_t Servers = 12;
  /// Fraction of the servers that is unhealthy at a time, and the mean duration
  /// of failure episodes.
  double UnhealthyFraction = 0.2;
  int EpisodeMs = 3000;
  /// Requests per second and server.
  double RequestsPerServer = 3;
  int LengthMs = 16000;
  uint64_t Seed = 1;
};

/// Results from the clients' point of view.
struct CoverageOutcome {
  size_t WindowsEvaluated = 0;
  /// The minimum over all evaluated windows of the fraction of healthy servers
  /// that got a request.
  double MinReachedFraction = 1;
};

class CoverageSimulation {
public:
  explicit CoverageSimulation(const CoverageScenario &Given)
      : Scenario(Given), Random(Given.Seed), Policy(makeSetup(Given)),
        UnhealthyUntil(Given.Servers, Begin), ReachedAt(Given.Servers) {}

  CoverageOutcome run() {
    for (int Ms = 0; Ms < this->Scenario.LengthMs; Ms += 10) {
      this->Now = Begin + fromMillis(Ms);
      this->endRequests();
      this->changeHealth();
      this->send();
      if (Ms > 6000 && Ms % 100 == 0)
        this->evaluate();
    }
    return this->Outcome;
  }

private:
  struct Sent {
    TimePoint At{};
    size_t Server = 0;
    uint64_t Number = 0;
    bool IsServed = false;
    TimePoint Ends{};
    bool HasEnded = false;
  };

  static PolicySetup makeSetup(const CoverageScenario &Given) {
    PolicySetup Setup;
    Setup.FloorPercent = 70;
    for (size_t I = 0; I < Given.Servers; ++I)
      Setup.Servers.push_back({static_cast<ServerId>(I + 1), 3});
    return Setup;
  }

  void endRequests() {
    for (Sent &Each : this->Requests) {
      if (Each.HasEnded || Each.Ends > this->Now)
        continue;
      Each.HasEnded = true;
      this->Policy.getInFlight().end(Each.Number);
      const Duration Took = Each.Ends - Each.At;
      this->Policy.recordOutcome(
          Each.Server,
          Each.IsServed ? RequestOutcome::Good : RequestOutcome::Overdue,
          this->Now, -1,
          static_cast<int>(100 * toSeconds(Took) / toSeconds(TypicalTime)));
    }
  }

  bool isUnhealthy(size_t Server) const {
    return this->UnhealthyUntil[Server] > this->Now;
  }

  /// Keeps the configured fraction unhealthy; random servers become unhealthy.
  void changeHealth() {
    size_t Unhealthy = 0;
    for (size_t I = 0; I < this->Scenario.Servers; ++I)
      Unhealthy += this->isUnhealthy(I) ? 1 : 0;
    const auto Wanted =
        static_cast<size_t>(this->Scenario.UnhealthyFraction *
                                static_cast<double>(this->Scenario.Servers) +
                            0.5);
    std::uniform_int_distribution<size_t> Any(0, this->Scenario.Servers - 1);
    std::uniform_real_distribution<double> Length(0.5, 1.5);
    for (; Unhealthy < Wanted; ++Unhealthy) {
      const size_t Server = Any(this->Random);
      if (!this->isUnhealthy(Server))
        this->UnhealthyUntil[Server] =
            this->Now + fromMillis(static_cast<int64_t>(
                            Length(this->Random) * this->Scenario.EpisodeMs));
    }
  }

  void send() {
    std::poisson_distribution<int> Arrivals(
        this->Scenario.RequestsPerServer *
        static_cast<double>(this->Scenario.Servers) * toSeconds(Step));
    for (int Left = Arrivals(this->Random); Left > 0; --Left) {
      const std::vector<double> Shares =
          this->Policy.getShares(FailureCost::High, this->Now);
      std::discrete_distribution<size_t> Pick(Shares.begin(), Shares.end());
      Sent Request;
      Request.At = this->Now;
      Request.Server = Pick(this->Random);
      Request.IsServed = !this->isUnhealthy(Request.Server);
      Request.Ends = this->Now + (Request.IsServed ? TypicalTime : Timeout);
      Request.Number = this->Policy.getInFlight().begin(
          {Request.Server, this->Now, TypicalTime});
      this->Policy.recordUse(Request.Server, this->Now);
      this->ReachedAt[Request.Server] = this->Now;
      this->Requests.push_back(Request);
    }
  }

  /// Evaluates the last two seconds from the clients' point of view.
  void evaluate() {
    while (!this->Requests.empty() && this->Requests.front().HasEnded &&
           this->Requests.front().At < this->Now - Window)
      this->Requests.pop_front();
    size_t All = 0;
    size_t Unserved = 0;
    for (const Sent &Each : this->Requests) {
      if (Each.At < this->Now - Window)
        continue;
      ++All;
      Unserved += Each.IsServed ? 0 : 1;
    }
    const double UnservedFraction =
        static_cast<double>(Unserved) /
        static_cast<double>(std::max<size_t>(1, All));
    if (UnservedFraction <= 0.1 || UnservedFraction >= 0.5)
      return;
    size_t Healthy = 0;
    size_t Reached = 0;
    for (size_t I = 0; I < this->Scenario.Servers; ++I) {
      // Counts a server as healthy from two seconds after its recovery, and
      // only if this holds for the whole window.
      if (this->UnhealthyUntil[I] + Window > this->Now - Window)
        continue;
      ++Healthy;
      Reached += this->ReachedAt[I] >= this->Now - Window ? 1 : 0;
    }
    if (Healthy < 3 || Reached == 0)
      return;
    ++this->Outcome.WindowsEvaluated;
    this->Outcome.MinReachedFraction =
        std::min(this->Outcome.MinReachedFraction,
                 static_cast<double>(Reached) / static_cast<double>(Healthy));
  }

  static constexpr TimePoint Begin = TimePoint{} + fromSeconds(1000);
  const CoverageScenario &Scenario;
  std::mt19937_64 Random;
  MarkovPolicy Policy;
  std::vector<TimePoint> UnhealthyUntil;
  std::vector<TimePoint> ReachedAt;
  std::deque<Sent> Requests;
  TimePoint Now = Begin;
  CoverageOutcome Outcome;
};

} // namespace canvaswick

#endif // CANVASWICK_UNITTESTS_HEALTH_COVERAGESIMULATION_H
