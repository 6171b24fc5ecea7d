//===- LeavingAgent.h - Tracks backend servers that leave -------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tracks backend servers that are shutting down. Some daemons read the
/// platform's list of VMs, which lags behind, on behalf of all; each daemon
/// probes some servers for their own state. Changes are gossiped at once.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_DAEMON_LEAVINGAGENT_H
#define CANVASWICK_DAEMON_LEAVINGAGENT_H

#include "canvaswick/Daemon/MembershipAgent.h"

#include <map>
#include <mutex>
#include <set>
#include <string>

namespace canvaswick {

/// The last known state of one server's address.
struct LeavingStatus {
  bool IsLeaving = false;
  /// The calendar time of the observation in milliseconds. A later one wins.
  int64_t AtMillis = 0;
};

/// The states of all servers, by address. Uses no sockets and no clock.
class LeavingServerTable {
public:
  /// Merges a server's own statement. Returns whether it must be passed on.
  bool mergeStatus(const std::string &Address, const LeavingStatus &Status);

  /// Merges the platform's list. Returns whether it was newer than the last
  /// one.
  bool mergeList(uint64_t Revision, std::set<std::string> Addresses);

  /// Returns the addresses that must receive no new requests. Statements that
  /// were not renewed in time do not count.
  std::set<std::string> getLeaving(int64_t NowMillis) const;

  uint64_t getListRevision() const { return this->ListRevision; }
  const std::set<std::string> &getList() const { return this->List; }

private:
  std::map<std::string, LeavingStatus> Statuses;
  uint64_t ListRevision = 0;
  std::set<std::string> List;
};

/// Keeps the table up to date. Thread-safe.
class LeavingAgent {
public:
  LeavingAgent(const ControlContext &Context, MembershipAgent &Members);

  void addMethods(JsonRpcDispatcher &Dispatcher);

  /// Runs one round: reads the list if this daemon is one of its readers, and
  /// probes the servers assigned to this daemon.
  void runRound();

  /// Applies the table to all services of the version in force.
  void apply();

  void writeVersions(Json::Value &Message);
  void readVersions(const MemberRecord &Peer, const Json::Value &Message);

private:
  /// A server that this daemon probes.
  struct ProbeTarget {
    ServiceRuntimeRef Service;
    size_t Server = 0;
  };

  void readList();
  void updateProbeTargets(const FleetRuntimeRef &Fleet);
  void probeServers();
  void probeServer(const ServiceRuntimeRef &Service, size_t Server);
  void gossip(const Json::Value &Update, const std::string &Except);
  Json::Value buildListUpdate();
  Json::Value handleUpdate(const Json::Value &Params);

  const ControlContext &Context;
  MembershipAgent &Members;
  ConnectionPool Probes;
  mutable std::mutex Mutex;
  LeavingServerTable Table;
  /// Used by runRound only.
  std::vector<ProbeTarget> ProbeTargets;
  FleetRuntimeRef TargetsFleet;
  uint64_t TargetsVersion = 0;
  size_t NextTarget = 0;
};

} // namespace canvaswick

#endif // CANVASWICK_DAEMON_LEAVINGAGENT_H
