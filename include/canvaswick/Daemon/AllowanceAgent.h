//===- AllowanceAgent.h - Daemons tell what organisations ask ---*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Keeps organisations' allowances over the whole fleet where daemons know each
/// other by membership: each tells the others of its hall what it was asked and
/// has admitted, and the first of a hall tells each other hall the sum, through
/// one daemon there. The decisions are FleetAllowance's.
///
/// A round costs a daemon one call to each other daemon of its hall, four times
/// a second, and nothing while no organisation has a limit.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_DAEMON_ALLOWANCEAGENT_H
#define CANVASWICK_DAEMON_ALLOWANCEAGENT_H

#include "canvaswick/Daemon/MembershipAgent.h"
#include "canvaswick/Proxy/OrganisationQuotas.h"

#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace canvaswick {

/// What a hall's teller says of its hall.
struct HallWord {
  std::string Hall;
  std::string Teller;
  /// Of the teller's messages.
  uint64_t Sequence = 0;
  std::vector<AllowanceLevel> Levels;

  bool operator==(const HallWord &) const = default;
};

/// One message of a daemon.
struct AllowanceMessage {
  std::string Source;
  std::string Hall;
  /// Begins at the calendar time of the process's start, in milliseconds, and
  /// grows by one a round.
  uint64_t Sequence = 0;
  /// To daemons of the same hall: of the source itself, and what other halls
  /// told it since its last message.
  std::vector<AllowanceLevel> Levels;
  std::vector<HallWord> Passed;
  /// To a daemon of another hall: of the source's whole hall.
  std::vector<AllowanceLevel> HallLevels;

  bool operator==(const AllowanceMessage &) const = default;
};

/// Writes a message, and reads it. Returns false if it is malformed.
Json::Value encodeAllowanceMessage(const AllowanceMessage &Message);
bool decodeAllowanceMessage(const Json::Value &Value,
                            AllowanceMessage &Message);

/// Moves levels between daemons. Thread-safe.
class AllowanceAgent {
public:
  AllowanceAgent(const ControlContext &Context, MembershipAgent &Members,
                 OrganisationQuotas &Organisations);

  void addMethods(JsonRpcDispatcher &Dispatcher);

  /// Tells the others. To be called once in SpeakInterval.
  void runRound(TimePoint Now);

  /// Takes what a daemon told, unless something later came from it before.
  void take(const AllowanceMessage &Message, TimePoint Now);

  /// Makes the next message to this hall: what this daemon was asked and what
  /// other halls told it since the last one.
  AllowanceMessage makeMessage(TimePoint Now);

  /// Ends the calls under way.
  void stop();

private:
  void updateFleet(TimePoint Now);
  bool isHallDue(TimePoint Now);
  void tellHalls(const AllowanceMessage &Base, TimePoint Now);
  void tell(const MemberRecord &Peer, const Json::Value &Message);
  bool isLater(const std::string &Source, uint64_t Sequence);
  void takeHall(const HallWord &Word, TimePoint Now);
  Json::Value answerTell(const Json::Value &Params);

  const ControlContext &Context;
  MembershipAgent &Members;
  OrganisationQuotas &Organisations;
  /// Of its own, since a peer that does not answer must not hold up others.
  WorkerPool Calls;

  // Used by runRound only.
  uint64_t FleetVersion = 0;
  std::vector<MemberRecord> Near;
  std::map<std::string, std::vector<MemberRecord>> Far;
  uint64_t Sequence;
  uint64_t Rounds = 0;
  std::mt19937_64 Random;

  std::mutex Mutex;
  /// Peers that have not answered the last call yet.
  std::set<std::string> Busy;
  /// The last message taken of each daemon, as itself and as a teller.
  std::map<std::string, uint64_t> Taken;
  std::map<std::string, uint64_t> TakenAsTeller;
  /// What other halls told this daemon since its last message.
  std::map<std::string, HallWord> ToPass;
};

} // namespace canvaswick

#endif // CANVASWICK_DAEMON_ALLOWANCEAGENT_H
