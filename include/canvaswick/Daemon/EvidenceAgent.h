//===- EvidenceAgent.h - Exchange of health evidence ------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Sends this daemon's reports about backend servers to the owners of each
/// service's evidence pool, maintains the pools that this daemon owns, and
/// sends their summaries to the daemons that reported.
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

/// The number of daemons that own the pool of one service.
inline constexpr size_t PoolOwners = 2;

/// Exchanges evidence about backend servers. Thread-safe.
class EvidenceAgent {
public:
  EvidenceAgent(const ControlContext &Context, MembershipAgent &Members);

  void addMethods(JsonRpcDispatcher &Dispatcher);

  /// Runs one round: sends reports, advances the pools, sends summaries.
  void runRound();

private:
  using Summaries = std::vector<EvidenceSummary>;

  void sendReports(TimePoint Now);
  void sendTo(const std::string &Owner, std::vector<EvidenceReport> Reports);
  Summaries mergeReports(const std::vector<EvidenceReport> &Reports,
                         TimePoint Now);
  void applySummaries(const Summaries &Received, TimePoint Now);
  void advancePools(TimePoint Now);
  EvidencePool *findPool(const std::string &Service);
  std::vector<std::string> getOwners(const std::string &Service);
  uint32_t getRank(const std::string &Service);
  Json::Value handleReport(const Json::Value &Params);
  Json::Value handleSummaries(const Json::Value &Params);

  const ControlContext &Context;
  MembershipAgent &Members;
  mutable std::mutex Mutex;
  std::map<std::string, std::unique_ptr<EvidencePool>> Pools;
};

/// Encode and decode a report. Decoding returns false if the value is
/// malformed.
Json::Value encodeReport(const EvidenceReport &Report);
bool decodeReport(const Json::Value &Value, EvidenceReport &Report);

/// Encode and decode a summary. Decoding returns false if the value is
/// malformed.
Json::Value encodeSummary(const EvidenceSummary &Summary);
bool decodeSummary(const Json::Value &Value, EvidenceSummary &Summary);

} // namespace canvaswick

#endif // CANVASWICK_DAEMON_EVIDENCEAGENT_H
