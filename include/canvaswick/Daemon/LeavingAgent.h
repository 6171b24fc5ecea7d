//===- LeavingAgent.h - Which backend servers are leaving -------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Reads the platform's lagging list on behalf of all, probes some servers for
/// what they say themselves, and spreads what it finds at once.
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

/// What is known of one leaving address.
struct LeavingStatus {
  bool IsLeaving = false;
  /// Calendar time of the observation. A later one wins.
  int64_t AtMillis = 0;
};

/// The signs of all servers, by address. No sockets, no clock.
class LeavingServerTable {
public:
  /// Takes what a server said of itself. Returns whether it was news.
  bool mergeStatus(const std::string &Address, const LeavingStatus &Sign);

  /// Takes the platform's list. Returns whether it was newer.
  bool mergeList(uint64_t Revision, std::set<std::string> Addresses);

  /// Returns the addresses that receive no new work. Signs that were not
  /// renewed in time no longer count.
  std::set<std::string> getLeaving(int64_t NowMillis) const;

  uint64_t getListRevision() const { return this->ListRevision; }
  const std::set<std::string> &getList() const { return this->List; }

private:
  std::map<std::string, LeavingStatus> Signs;
  uint64_t ListRevision = 0;
  std::set<std::string> List;
};

/// Keeps the board up to date. Thread-safe.
class LeavingAgent {
public:
  LeavingAgent(const ControlContext &Context, MembershipAgent &Members);

  void addMethods(JsonRpcDispatcher &Dispatcher);

  /// Does one round: reads the list and probes, where that is this daemon's
  /// duty.
  void runRound();

  /// Applies the board to all services of the version in force.
  void apply();

  void writeVersions(Json::Value &Message);
  void readVersions(const MemberRecord &Peer, const Json::Value &Message);

private:
  /// One server that this daemon probes.
  struct ProbeDuty {
    ServiceRuntimeRef Service;
    size_t Server = 0;
  };

  void readList();
  void updateDuties(const FleetRuntimeRef &Fleet);
  void probeServers();
  void probeServer(const ServiceRuntimeRef &Service, size_t Server);
  void spread(const Json::Value &News, const std::string &Except);
  Json::Value makeListNews();
  Json::Value answerNews(const Json::Value &Params);

  const ControlContext &Context;
  MembershipAgent &Members;
  ConnectionPool Probes;
  mutable std::mutex Mutex;
  LeavingServerTable Board;
  /// Used by runRound only.
  std::vector<ProbeDuty> Duties;
  FleetRuntimeRef DutiesOf;
  uint64_t DutiesAt = 0;
  size_t NextDuty = 0;
};

} // namespace canvaswick

#endif // CANVASWICK_DAEMON_LEAVINGAGENT_H
