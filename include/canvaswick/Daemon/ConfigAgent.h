//===- ConfigAgent.h - Brings new versions of the settings to this daemon and on
// to others -*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A few daemons watch the platform; the others hear of a version from peers,
/// fetch the parts they lack from the one who told them, and tell some more.
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

  /// Loads the local settings file, if there is one and nothing else is known.
  Result<void> loadLocal();

  /// Does one round: watches the platform if that is this daemon's duty, or
  /// sleeps. Takes some seconds at most.
  void runRound();

  void writeVersions(Json::Value &Message);
  void readVersions(const MemberRecord &Peer, const Json::Value &Message);

  uint64_t getVersion() const;

  /// Returns how long ago the newest known look at the platform was, in
  /// milliseconds, or -1 if there was none.
  int64_t getConfirmedAgeMillis() const;

private:
  void watchPlatform();
  void lookAtPlatform();
  void takeFromPlatform(const PlatformValue &Value);
  void fetchFrom(const MemberRecord &Peer);
  void accept(const ConfigManifest &Candidate, const ConfigTexts &Fetched);
  void spreadNews(const std::string &Except);
  Json::Value answerManifest();
  Json::Value answerParts(const Json::Value &Params);
  Json::Value answerNews(const Json::Value &Params);

  const ControlContext &Context;
  MembershipAgent &Members;
  const Applier Apply;
  /// One fetch at a time. Taken before Mutex.
  std::mutex FetchMutex;
  mutable std::mutex Mutex;
  ConfigFollower Follower;
  ConfigWatchSchedule Duty;
  uint64_t PlatformRevision = 0;
  std::mt19937_64 Random;
};

} // namespace canvaswick

#endif // CANVASWICK_DAEMON_CONFIGAGENT_H
