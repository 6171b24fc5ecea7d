//===- PoisonRequestAgent.h - Poison requests in signed calls ---*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Shares knowledge of poison requests, during which servers crash, with
/// daemons that communicate by signed calls: an update goes at once to a few
/// peers, who pass it on, and travels again with each ping. Stores the records
/// at the platform.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_DAEMON_POISONREQUESTAGENT_H
#define CANVASWICK_DAEMON_POISONREQUESTAGENT_H

#include "canvaswick/Daemon/MembershipAgent.h"
#include "canvaswick/Daemon/PoisonRequestStore.h"

namespace canvaswick {

/// Exchanges and stores records of poison requests. Thread-safe.
class PoisonRequestAgent {
public:
  PoisonRequestAgent(const ControlContext &Context, MembershipAgent &Members,
                     RequestQuarantine &Quarantine);

  void addMethods(JsonRpcDispatcher &Dispatcher);

  /// Runs one round: reads the stored records at the start and while requests
  /// are suspected, writes what they lack, and drops what is old.
  void runRound(const Instant &Now);

  /// Add an update to a ping and apply one from a ping.
  void writeUpdate(Json::Value &Message, TimePoint Now) const;
  void readUpdate(const Json::Value &Message, TimePoint Now);

private:
  void gossip(const PoisonRequestUpdate &Update, TimePoint Now);
  Json::Value handleUpdate(const Json::Value &Params);
  Result<StoredRecords> readRecords() const;
  Result<StorePosition> writeRecords(const std::string &Text,
                                     const StorePosition &Expected) const;

  const ControlContext &Context;
  MembershipAgent &Members;
  RequestQuarantine &Quarantine;
  PoisonRequestStore Store;
  /// Used by runRound only.
  TimePoint LastRead{};
  bool HasRead = false;
};

} // namespace canvaswick

#endif // CANVASWICK_DAEMON_POISONREQUESTAGENT_H
