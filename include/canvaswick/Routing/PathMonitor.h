//===- PathMonitor.h - Whether servers can be reached ---------- *- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Decides whether this daemon reaches the backend servers of a service by its
/// own connections. A server that does not answer says nothing about the
/// others, so that only probes of several servers decide: they begin when a
/// request's connection failed or its server was silent.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_ROUTING_PATHMONITOR_H
#define CANVASWICK_ROUTING_PATHMONITOR_H

#include "canvaswick/Health/Evidence.h"
#include "canvaswick/Support/Time.h"

#include <map>
#include <set>

namespace canvaswick {

/// The result of probes of some servers of one service, by new connections.
struct PathProbe {
  size_t Probed = 0;
  size_t Reached = 0;
  /// Whether one of the others did not answer at all. If not, all others
  /// refused the connection.
  bool HasTimedOut = false;
};

/// Whether the servers of a service are out of this daemon's reach.
struct PathState {
  bool IsCutOff = false;
  /// Whether the last probe ran into its time limit: direct attempts would make
  /// callers wait in vain.
  bool IsSilent = false;
};

/// The state of this daemon's paths to the servers of all services, which are
/// identified by their ids in messages. Not thread-safe.
class PathMonitor {
public:
  /// Records that a server of the service accepted a connection. Returns
  /// whether the service was cut off before and no longer is.
  bool recordConnected(ServerId Service, TimePoint Now);

  /// Records that a server of the service answered a request.
  void recordAnswer(ServerId Service, TimePoint Now);

  /// Records that an attempt to connect that began at Began failed, or that a
  /// connection broke then before a server answered.
  void recordFailure(ServerId Service, TimePoint Began);

  /// Records that a server has not answered a request since Began, though it
  /// should have.
  void recordSilence(ServerId Service, TimePoint Began);

  /// Returns whether servers of the service are to be probed now.
  bool isProbeDue(ServerId Service, TimePoint Now) const;

  /// Applies a probe. Returns whether the service is cut off now and was not
  /// before, or the other way round. If it is cut off, all other services are
  /// to be probed too.
  bool applyProbe(ServerId Service, const PathProbe &Probe, TimePoint Now);

  /// Returns the state of the path to the service.
  PathState getState(ServerId Service) const;

  /// Returns whether a server of the service has accepted a connection since
  /// Since.
  bool hasConnectedSince(ServerId Service, TimePoint Since) const;

  /// Returns the number of services that are cut off.
  size_t countCutOff() const;

  /// Forgets all services but Kept, and begins to watch the new ones.
  void setServices(const std::set<ServerId> &Kept);

  /// Returns whether there are services, and all of them are cut off.
  bool isIsolated() const;

private:
  struct Service {
    TimePoint ConnectedAt{};
    TimePoint AnsweredAt{};
    bool IsSuspect = false;
    PathState State;
    /// When the service was last found to be in reach again.
    TimePoint RestoredAt{};
    TimePoint NextProbeAt{};
    /// Probes and requests in a row that reached servers, and how many are
    /// needed until the daemon relies on its own connections again.
    int GoodProbes = 0;
    int NeededProbes = 1;
  };

  const Service *find(ServerId Id) const;
  void cutOff(Service &Changed, TimePoint Now);
  static bool recordReached(Service &Changed, TimePoint Now);

  std::map<ServerId, Service> Services;
};

} // namespace canvaswick

#endif // CANVASWICK_ROUTING_PATHMONITOR_H
