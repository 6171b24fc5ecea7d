//===- QuotaAgent.h - Quota exchange between daemons ------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Enforces organisations' quotas across the fleet where daemons know each
/// other through membership. Each daemon reports its demand and its admitted
/// requests to the other daemons of its hall. One daemon of each hall, the hall
/// reporter, sends the hall's totals to one daemon of each other hall.
/// FleetQuota makes the decisions.
///
/// A round costs a daemon one call to each other daemon of its hall, four times
/// a second, and nothing while no organisation has a limit.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_DAEMON_QUOTAAGENT_H
#define CANVASWICK_DAEMON_QUOTAAGENT_H

#include "canvaswick/Daemon/MembershipAgent.h"
#include "canvaswick/Proxy/OrganisationQuotas.h"

#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace canvaswick {

/// The usage of a whole hall, as its reporter sends it.
struct HallUsage {
  std::string Hall;
  std::string Reporter;
  /// The sequence number of the reporter's message.
  uint64_t Sequence = 0;
  std::vector<QuotaUsage> Usages;

  bool operator==(const HallUsage &) const = default;
};

/// A daemon's message about the usage of organisations.
struct QuotaMessage {
  std::string Source;
  std::string Hall;
  /// Starts at the calendar time of the process's start, in milliseconds, and
  /// increases by one per round.
  uint64_t Sequence = 0;
  /// Sent within a hall: the usage of the source itself, and what it received
  /// from other halls since its last message.
  std::vector<QuotaUsage> Usages;
  std::vector<HallUsage> RelayedHalls;
  /// Sent to another hall: the usage of the source's whole hall.
  std::vector<QuotaUsage> HallUsages;

  bool operator==(const QuotaMessage &) const = default;
};

/// Encode and decode a message. Decoding returns false if the value is
/// malformed.
Json::Value encodeQuotaMessage(const QuotaMessage &Message);
bool decodeQuotaMessage(const Json::Value &Value, QuotaMessage &Message);

/// Exchanges usage reports between daemons. Thread-safe.
class QuotaAgent {
public:
  QuotaAgent(const ControlContext &Context, MembershipAgent &Members,
             OrganisationQuotas &Organisations);

  void addMethods(JsonRpcDispatcher &Dispatcher);

  /// Sends this daemon's usage to its peers. Must be called once per quota
  /// report interval.
  void runRound(TimePoint Now);

  /// Applies a message from a peer. A message that is not newer than the last
  /// one from the same source is ignored.
  void applyMessage(const QuotaMessage &Message, TimePoint Now);

  /// Builds the next message to this hall: this daemon's usage and what other
  /// halls reported since the last message.
  QuotaMessage makeMessage(TimePoint Now);

  /// Stops the worker pool for calls.
  void stop();

private:
  void updatePeers(TimePoint Now);
  bool isReporter(TimePoint Now);
  void reportToHalls(const QuotaMessage &Base, TimePoint Now);
  void sendMessage(const MemberRecord &Peer, const Json::Value &Message);
  bool isNewer(const std::string &Source, uint64_t Sequence);
  void mergeHallUsage(const HallUsage &Report, TimePoint Now);
  Json::Value handleReport(const Json::Value &Params);

  const ControlContext &Context;
  MembershipAgent &Members;
  OrganisationQuotas &Organisations;
  /// A pool of its own, so that an unresponsive peer does not delay other
  /// calls.
  WorkerPool Calls;

  // Used by runRound only.
  uint64_t PeersVersion = 0;
  std::vector<MemberRecord> LocalPeers;
  std::map<std::string, std::vector<MemberRecord>> RemotePeers;
  uint64_t Sequence;
  uint64_t Rounds = 0;
  std::mt19937_64 Random;

  std::mutex Mutex;
  /// Peers whose last call has not returned yet.
  std::set<std::string> Unanswered;
  /// The sequence number of the last message applied per daemon, from the
  /// daemon itself and as a hall reporter.
  std::map<std::string, uint64_t> LastSequence;
  std::map<std::string, uint64_t> LastHallSequence;
  /// What other halls reported to this daemon since its last message.
  std::map<std::string, HallUsage> PendingRelay;
};

} // namespace canvaswick

#endif // CANVASWICK_DAEMON_QUOTAAGENT_H
