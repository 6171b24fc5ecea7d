//===- MembershipAgent.h - Talks with other daemons about who there is -*- C++
//-*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Pings, asks others to ping, answers pings, and carries the versions of what
/// daemons share along with them.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_DAEMON_MEMBERSHIPAGENT_H
#define CANVASWICK_DAEMON_MEMBERSHIPAGENT_H

#include "canvaswick/Daemon/ControlContext.h"
#include "canvaswick/Membership/MemberTable.h"

#include <functional>
#include <mutex>
#include <random>

namespace canvaswick {

/// Keeps the member table up to date. Thread-safe.
class MembershipAgent {
public:
  /// Writes this daemon's versions into a message.
  using VersionWriter = std::function<void(Json::Value &)>;
  /// Reads a peer's versions.
  using VersionReader =
      std::function<void(const MemberRecord &, const Json::Value &)>;

  explicit MembershipAgent(const ControlContext &Context);

  /// Sets the hooks. Call before start of the threads.
  void setVersionHooks(VersionWriter Writer, VersionReader Reader);

  /// Adds the methods that peers call.
  void addMethods(JsonRpcDispatcher &Dispatcher);

  /// Does one round: one ping, and joining while alone. Takes a second at most.
  void runRound();

  /// Adds addresses to join by, from the platform's list.
  void addSeeds(const std::vector<Endpoint> &Seeds);

  /// Tells others that this daemon leaves.
  void leave();

  /// Returns the names of the daemons that share the work.
  std::vector<std::string> getWorking() const;

  /// Grows whenever getWorking changes.
  uint64_t getWorkingVersion() const;

  /// Returns all members that are not dead.
  std::vector<MemberRecord> getAll() const;

  std::optional<MemberRecord> find(const std::string &Name) const;

  /// Returns members at random.
  std::vector<MemberRecord> choose(size_t Count, const std::string &Except);

private:
  Json::Value makeMessage(const std::string &Receiver, bool WantsAll);
  void takeMessage(const Json::Value &Message);
  bool ping(const MemberRecord &Target, Duration Timeout);
  bool askOthers(const MemberRecord &Target);
  bool tryJoin(const Endpoint &Seed);
  void join();
  void greetStranger();
  Json::Value answerPing(const Json::Value &Params);
  Json::Value answerPingFor(const Json::Value &Params);

  const ControlContext &Context;
  VersionWriter Writer;
  VersionReader Reader;
  mutable std::mutex Mutex;
  MemberTable Table;
  std::mt19937_64 Random;
  std::vector<Endpoint> Seeds;
  /// Used by runRound only.
  uint64_t Rounds = 0;
};

/// Writes a record into a message.
Json::Value encodeMember(const MemberRecord &Record);

/// Reads a record. Returns false if it is malformed.
bool decodeMember(const Json::Value &Value, MemberRecord &Record);

} // namespace canvaswick

#endif // CANVASWICK_DAEMON_MEMBERSHIPAGENT_H
