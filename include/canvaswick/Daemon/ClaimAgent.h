//===- ClaimAgent.h - Grants the right to run a request once ----*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Each shard of keys has one daemon that writes its log for all, so that many
/// claims share a write. Any daemon may write instead if that one is not
/// reached: the log decides, not who is thought to be in charge.
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

/// How many logs the keys are spread over.
inline constexpr size_t ClaimShards = 16;

/// Claims for this daemon and as a writer for others. Thread-safe.
class ClaimAgent final : public ClaimGate {
public:
  ClaimAgent(const ControlContext &Context, MembershipAgent &Members);

  void addMethods(JsonRpcDispatcher &Dispatcher);

  ClaimVerdict begin(const std::string &Key, const std::string &Fingerprint,
                     TimePoint Deadline) override;
  void finish(const std::string &Key, uint64_t Claim, ClaimEnd End,
              const FirstAnswer &Answer) override;

  /// Writes ends that wait, and empties old chunks. Call some times a second.
  void runRound();

private:
  ClaimWriter &getShard(const std::string &Key);
  std::vector<std::string> listWriters(const std::string &Key) const;
  ClaimVerdict askWriter(const std::string &Writer, const ClaimEntry &Entry,
                         TimePoint Deadline);
  void noteWriter(uint64_t Claim, const std::string &Writer);
  std::string takeWriter(uint64_t Claim);
  ClaimVerdict beginLocally(ClaimEntry Entry);
  ClaimVerdict resolveRunning(ClaimVerdict Verdict, const std::string &Key);
  bool isHolderRunning(const std::string &Holder) const;
  ClaimEntry makeBegin(const std::string &Key, const std::string &Fingerprint);
  uint64_t makeClaim();
  Json::Value answerBegin(const Json::Value &Params);
  Json::Value answerFinish(const Json::Value &Params);

  const ControlContext &Context;
  MembershipAgent &Members;
  const std::string Holder;
  std::vector<std::unique_ptr<ClaimWriter>> Shards;
  /// Used by runRound only.
  uint64_t WritesCounted = 0;
  /// Who wrote each claim that this daemon was granted, until its end.
  std::mutex WritersMutex;
  std::map<uint64_t, std::string> Writers;
  std::mutex RandomMutex;
  std::mt19937_64 Random;
};

} // namespace canvaswick

#endif // CANVASWICK_DAEMON_CLAIMAGENT_H
