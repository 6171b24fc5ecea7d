//===- ServerSelector.h - Which backend server gets the next request -*- C++
//-*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Picks two candidates at random by their shares and takes the less loaded
/// one. Knows only this daemon's own requests and load reports that lag, so it
/// never trusts either alone.
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

/// Random numbers for decisions. Seeded once per daemon or per simulated run.
using RandomSource = std::mt19937_64;

/// What the selector must know of one server.
struct SelectableServer {
  int Slots = 1;
  /// Requests that this daemon may have at the server at once.
  int ConcurrencyLimit = 1;
  bool IsSameHall = true;
  /// When the server was first seen; it gets its full share after ColdStart.
  TimePoint FirstSeen{};
};

/// How a choice weighs distance and load.
struct SelectionRules {
  /// Part of a near server's weight that one in another hall has.
  double RemoteWeight = 1;
  /// Whether shares account for load and slots already.
  bool IsLoadInShares = false;
};

/// Returns how much longer than at an idle server a request takes that finds
/// Load others there: once all slots are taken it waits its turn.
double getQueueFactor(double Load, int Slots);

/// Chooses servers of one service for one daemon.
class ServerSelector {
public:
  ServerSelector(std::vector<SelectableServer> Servers, Duration ColdStart);

  /// Picks a server, or -1 if none may take a request now. Shares holds the
  /// part of its fair share that each server gets; Excluded servers were tried
  /// before.
  int pick(const std::vector<double> &Shares,
           const std::vector<size_t> &Excluded, TimePoint Now,
           RandomSource &Random, const SelectionRules &Rules = {}) const;

  /// Notes that a request was sent to a server.
  void begin(size_t Server);

  /// Notes that a request has ended.
  void end(size_t Server, RequestOutcome Outcome, TimePoint Now);

  /// Takes over what is known of the servers that are in both. Matches holds
  /// for each server its index in Other, or -1.
  void adopt(const ServerSelector &Other, const std::vector<int> &Matches);

  /// Takes a load report: requests at the server from everyone, at most some
  /// seconds old. It lags or misleads, so it only breaks ties.
  void noteReportedLoad(size_t Server, double Load, TimePoint Now);

  /// Restarts the slow start of a server that was away.
  void restartColdStart(size_t Server, TimePoint Now);

  /// Returns whether a server stands in this daemon's hall.
  bool isSameHall(size_t Server) const {
    return this->Servers[Server].Config.IsSameHall;
  }

  /// Returns this daemon's requests at a server.
  int countInFlight(size_t Server) const;

  /// Returns the part of its weight that overload and cold start leave.
  double getReadiness(size_t Server, TimePoint Now) const;

private:
  struct ServerState {
    SelectableServer Config;
    int InFlight = 0;
    /// Falls when the server sheds, and recovers with time.
    double Ease = 1;
    TimePoint EaseAt{};
    double ReportedLoad = 0;
    TimePoint ReportedAt{};
  };

  double getWeight(size_t Server, const std::vector<double> &Shares,
                   TimePoint Now, const SelectionRules &Rules) const;
  double getCost(size_t Server, TimePoint Now) const;
  double getEase(const ServerState &State, TimePoint Now) const;

  std::vector<ServerState> Servers;
  Duration ColdStart;
};

} // namespace canvaswick

#endif // CANVASWICK_ROUTING_SERVERSELECTOR_H
