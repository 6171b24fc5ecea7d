//===- EvidenceAgent.h - Exchanges evidence about backend servers -*- C++
//-*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Sends this daemon's reports to the owners of each service's pool, keeps the
/// pools that this daemon owns, and sends their digests to whom they concern.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_DAEMON_EVIDENCEAGENT_H
#define CANVASWICK_DAEMON_EVIDENCEAGENT_H

#include "canvaswick/Daemon/MembershipAgent.h"
#include "canvaswick/Health/EvidencePool.h"

#include <map>
#include <memory>
#include <mutex>

namespace canvaswick {

/// How many daemons keep the pool of one service.
inline constexpr size_t PoolOwners = 2;

/// Moves evidence. Thread-safe.
class EvidenceAgent {
public:
  EvidenceAgent(const ControlContext &Context, MembershipAgent &Members);

  void addMethods(JsonRpcDispatcher &Dispatcher);

  /// Does one round: reports, advances the pools, sends digests.
  void runRound();

private:
  using Digests = std::vector<EvidenceSummary>;

  void sendReports(TimePoint Now);
  void sendTo(const std::string &Owner, std::vector<EvidenceReport> Reports);
  Digests takeReports(const std::vector<EvidenceReport> &Reports,
                      TimePoint Now);
  void takeDigests(const Digests &Taken, TimePoint Now);
  void advancePools(TimePoint Now);
  EvidencePool *findPool(const std::string &Service);
  std::vector<std::string> getOwners(const std::string &Service);
  uint32_t getRank(const std::string &Service);
  Json::Value answerReport(const Json::Value &Params);
  Json::Value answerDigest(const Json::Value &Params);

  const ControlContext &Context;
  MembershipAgent &Members;
  mutable std::mutex Mutex;
  std::map<std::string, std::unique_ptr<EvidencePool>> Pools;
};

/// Writes a report into a message, and reads it.
Json::Value encodeReport(const EvidenceReport &Report);
bool decodeReport(const Json::Value &Value, EvidenceReport &Report);

/// Writes a digest into a message, and reads it.
Json::Value encodeDigest(const EvidenceSummary &Digest);
bool decodeDigest(const Json::Value &Value, EvidenceSummary &Digest);

} // namespace canvaswick

#endif // CANVASWICK_DAEMON_EVIDENCEAGENT_H
