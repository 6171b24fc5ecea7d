//===- ClaimAgent.h - Grants the right to run a keyed request ---*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Grants claims, which let a keyed request run once. One daemon per shard of
/// keys writes the shard's log for the whole fleet, so that many claims share a
/// write. Any daemon may write instead if that one is unreachable: conditional
/// writes to the log keep claims correct, not agreement on a leader.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_DAEMON_CLAIMAGENT_H
#define CANVASWICK_DAEMON_CLAIMAGENT_H

#include "canvaswick/Claims/ClaimGate.h"
#include "canvaswick/Claims/ClaimWriter.h"
#include "canvaswick/Daemon/MembershipAgent.h"

#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace canvaswick {

/// The number of logs over which keys are distributed.
inline constexpr size_t ClaimShards = 16;

/// Obtains claims for this daemon's requests and writes claims for other
/// daemons. Thread-safe.
class ClaimAgent final : public ClaimGate {
public:
  ClaimAgent(const ControlContext &Context, MembershipAgent &Members);

  void addMethods(JsonRpcDispatcher &Dispatcher);

  ClaimVerdict begin(const std::string &Key, const std::string &Fingerprint,
                     TimePoint Deadline) override;
  void finish(const std::string &Key, uint64_t Claim, ClaimEnd End,
              const FirstAnswer &Answer) override;

  /// Writes pending claim results and empties old chunks. Call several times a
  /// second.
  void runRound();

private:
  ClaimWriter &getShard(const std::string &Key);
  std::vector<std::string> listWriters(const std::string &Key) const;
  ClaimVerdict askWriter(const std::string &Writer, const ClaimEntry &Entry,
                         TimePoint Deadline);
  void recordWriter(uint64_t Claim, const std::string &Writer);
  std::string extractWriter(uint64_t Claim);
  ClaimVerdict beginLocally(ClaimEntry Entry);
  ClaimVerdict resolveRunning(ClaimVerdict Verdict, const std::string &Key);
  bool isHolderRunning(const std::string &Holder) const;
  ClaimEntry makeBegin(const std::string &Key, const std::string &Fingerprint);
  uint64_t makeClaim();
  Json::Value handleBegin(const Json::Value &Params);
  Json::Value handleFinish(const Json::Value &Params);

  const ControlContext &Context;
  MembershipAgent &Members;
  const std::string Holder;
  std::vector<std::unique_ptr<ClaimWriter>> Shards;
  /// Used by runRound only.
  uint64_t WritesCounted = 0;
  /// Which daemon wrote each claim that was granted to this one, until the
  /// claim ends.
  std::mutex WritersMutex;
  std::map<uint64_t, std::string> Writers;
  std::mutex RandomMutex;
  std::mt19937_64 Random;
};

} // namespace canvaswick

#endif // CANVASWICK_DAEMON_CLAIMAGENT_H
