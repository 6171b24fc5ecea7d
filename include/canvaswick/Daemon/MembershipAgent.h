//===- MembershipAgent.h - Membership protocol with peers -------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Runs the membership protocol: pings members, pings indirectly through
/// others, and answers pings. Messages also carry the versions of the data that
/// daemons share.
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

  /// Sets the callbacks. Call before the threads start.
  void setVersionHooks(VersionWriter Writer, VersionReader Reader);

  /// Adds the methods that peers call.
  void addMethods(JsonRpcDispatcher &Dispatcher);

  /// Runs one round: pings one member, or tries to join while there is none.
  /// Blocks until the pings are answered or time out.
  void runRound();

  /// Sets the addresses of the platform's list, which are used for joining in
  /// addition to the configured seeds.
  void addSeeds(const std::vector<Endpoint> &Seeds);

  /// Announces to peers that this daemon leaves.
  void leave();

  /// Returns the names of the daemons that share the work.
  std::vector<std::string> getWorking() const;

  /// Returns a number that increases whenever the result of getWorking changes.
  uint64_t getWorkingVersion() const;

  /// Returns all members that are not dead.
  std::vector<MemberRecord> getAll() const;

  std::optional<MemberRecord> find(const std::string &Name) const;

  /// Returns up to Count members, chosen at random, without Except.
  std::vector<MemberRecord> choose(size_t Count, const std::string &Except);

private:
  Json::Value makeMessage(const std::string &Receiver, bool WantsAll);
  void mergeMessage(const Json::Value &Message);
  bool ping(const MemberRecord &Target, Duration Timeout);
  bool pingIndirectly(const MemberRecord &Target);
  bool tryJoin(const Endpoint &Seed);
  void join();
  void contactUnknownSeed();
  Json::Value handlePing(const Json::Value &Params);
  Json::Value handlePingFor(const Json::Value &Params);

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

/// Encodes a record for a message.
Json::Value encodeMember(const MemberRecord &Record);

/// Decodes a record. Returns false if it is malformed.
bool decodeMember(const Json::Value &Value, MemberRecord &Record);

} // namespace canvaswick

#endif // CANVASWICK_DAEMON_MEMBERSHIPAGENT_H
