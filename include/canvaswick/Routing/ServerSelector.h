//===- ServerSelector.h - Selects a server for a request --------*- C++ -*-===//
//-*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Draws two candidates at random, weighted by their shares, and takes the less
/// loaded one. The selector knows only this daemon's own requests and load
/// reports that are delayed, so that it relies on neither alone.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_ROUTING_SERVERSELECTOR_H
#define CANVASWICK_ROUTING_SERVERSELECTOR_H

#include "canvaswick/Health/Outcome.h"
#include "canvaswick/Support/Time.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace canvaswick {

/// Generates the random numbers for decisions. Seeded once per daemon or per
/// simulated run.
using RandomSource = std::mt19937_64;

/// A server's properties that matter for the selection.
struct SelectableServer {
  int Slots = 1;
  /// The maximum number of concurrent requests of this daemon at the server.
  int ConcurrencyLimit = 1;
  bool IsSameHall = true;
  /// The time at which the server was first seen. It gets its full share after
  /// the cold start time.
  TimePoint FirstSeen{};
};

/// How a selection weighs distance and load.
struct SelectionRules {
  /// The weight of a server in another hall, relative to one in the same hall.
  double RemoteWeight = 1;
  /// Whether the shares already account for load and slots.
  bool IsLoadInShares = false;
};

/// Returns the factor by which Load other requests at a server prolong a
/// request: once all slots are taken, requests are queued.
double getQueueFactor(double Load, int Slots);

/// Selects servers of one service for one daemon. Not thread-safe.
class ServerSelector {
public:
  ServerSelector(std::vector<SelectableServer> Servers, Duration ColdStart);

  /// Selects a server, or returns -1 if none may take a request now. Shares
  /// holds the fraction of its fair share that each server gets. Excluded lists
  /// servers that must not be selected, because they were tried before.
  int pick(const std::vector<double> &Shares,
           const std::vector<size_t> &Excluded, TimePoint Now,
           RandomSource &Random, const SelectionRules &Rules = {}) const;

  /// Records that a request was sent to a server.
  void begin(size_t Server);

  /// Records that a request has ended.
  void end(size_t Server, RequestOutcome Outcome, TimePoint Now);

  /// Copies the state of the servers that are in both selectors. Matches holds
  /// for each server its index in Other, or -1.
  void adopt(const ServerSelector &Other, const std::vector<int> &Matches);

  /// Records a load report: the number of requests from all daemons at the
  /// server. Reports are a few seconds old and may be wrong, so that they only
  /// count in part, to break ties.
  void recordReportedLoad(size_t Server, double Load, TimePoint Now);

  /// Restarts the slow start of a server that was out of use.
  void restartColdStart(size_t Server, TimePoint Now);

  /// Returns whether a server is in this daemon's hall.
  bool isSameHall(size_t Server) const {
    return this->Servers[Server].Config.IsSameHall;
  }

  /// Returns the fraction of a server's weight that remains after it has shed
  /// requests of this daemon.
  double getAcceptance(size_t Server, TimePoint Now) const;

  /// Returns the fraction of a server's weight that remains during a cold
  /// start.
  double getWarmth(size_t Server, TimePoint Now) const;

  /// Returns whether a server may take one more request of this daemon.
  bool hasRoom(size_t Server) const;

  /// Returns the number of this daemon's requests at a server.
  int countInFlight(size_t Server) const;

  /// Returns the fraction of a server's weight that remains after load shedding
  /// and during a cold start.
  double getReadiness(size_t Server, TimePoint Now) const;

private:
  struct ServerState {
    SelectableServer Config;
    int InFlight = 0;
    /// Decreases when the server sheds load, and recovers over time.
    double ShedFactor = 1;
    TimePoint ShedFactorAt{};
    double ReportedLoad = 0;
    TimePoint ReportedAt{};
  };

  double getWeight(size_t Server, const std::vector<double> &Shares,
                   TimePoint Now, const SelectionRules &Rules) const;
  double getCost(size_t Server, TimePoint Now) const;
  double getShedFactor(const ServerState &State, TimePoint Now) const;

  std::vector<ServerState> Servers;
  Duration ColdStart;
};

} // namespace canvaswick

#endif // CANVASWICK_ROUTING_SERVERSELECTOR_H
