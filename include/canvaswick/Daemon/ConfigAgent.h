//===- ConfigAgent.h - Distribution of settings versions --------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Keeps this daemon's settings current and passes new versions on to peers. A
/// few daemons watch the platform. The others learn of a version from peers,
/// fetch the parts that they lack from the daemon that announced it, and
/// announce it to a few more.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_DAEMON_CONFIGAGENT_H
#define CANVASWICK_DAEMON_CONFIGAGENT_H

#include "canvaswick/Config/ConfigFollower.h"
#include "canvaswick/Daemon/MembershipAgent.h"

#include <functional>
#include <mutex>

namespace canvaswick {

/// Keeps the settings up to date. Thread-safe.
class ConfigAgent {
public:
  /// Puts a compiled version in force.
  using Applier = std::function<void(FleetConfigRef)>;

  ConfigAgent(const ControlContext &Context, MembershipAgent &Members,
              Applier Apply);

  void addMethods(JsonRpcDispatcher &Dispatcher);

  /// Loads the local settings file if the daemon's settings name one.
  Result<void> loadLocal();

  /// Runs one round: watches the platform if this daemon is an elected watcher,
  /// otherwise sleeps. Blocks for a few seconds at most.
  void runRound();

  void writeVersions(Json::Value &Message);
  void readVersions(const MemberRecord &Peer, const Json::Value &Message);

  uint64_t getVersion() const;

  /// Returns the age in milliseconds of the newest known read of the platform
  /// by any daemon, or -1 if there is none.
  int64_t getConfirmedAgeMillis() const;

private:
  void watchPlatform();
  void readPlatform();
  void applyPlatformValue(const PlatformValue &Value);
  void fetchFrom(const MemberRecord &Peer);
  void accept(const ConfigManifest &Candidate, const ConfigTexts &Fetched);
  void announceVersion(const std::string &Except);
  Json::Value handleManifest();
  Json::Value handleParts(const Json::Value &Params);
  Json::Value handleAnnouncement(const Json::Value &Params);

  const ControlContext &Context;
  MembershipAgent &Members;
  const Applier Apply;
  /// Serializes fetches. Locked before Mutex.
  std::mutex FetchMutex;
  mutable std::mutex Mutex;
  ConfigFollower Follower;
  ConfigWatchSchedule WatchSchedule;
  uint64_t PlatformRevision = 0;
  std::mt19937_64 Random;
};

} // namespace canvaswick

#endif // CANVASWICK_DAEMON_CONFIGAGENT_H
