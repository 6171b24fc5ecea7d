//===- ClaimLog.h - One shard's log of claims at the platform ---*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Appends batches of entries by compare-and-swap to numbered chunks. A writer
/// holds the newest revision or fails, so one that was paused learns what
/// happened meanwhile before it can write anything: no clock is trusted.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_CLAIMS_CLAIMLOG_H
#define CANVASWICK_CLAIMS_CLAIMLOG_H

#include "canvaswick/Claims/ClaimIndex.h"
#include "canvaswick/Platform/PlatformClient.h"

#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace canvaswick {

/// A claim or an end that waits for its place in the log.
struct PendingEntry {
  ClaimEntry Entry;
  /// Set by append.
  ClaimVerdict Verdict;
  bool IsAppended = false;
  /// Set by ClaimWriter when the verdict is there.
  bool IsResolved = false;
};

/// One shard's log as one writer sees it. Not thread-safe.
class ClaimLog {
public:
  /// Keys live below canvaswick/claims/SHARD.
  ClaimLog(PlatformClient &Platform, size_t Shard, Duration Memory);

  /// Appends the entries and fills their verdicts. A Begin that is not the
  /// first of its key is not written. After a failure to reach the platform
  /// the verdict of every Begin that is not known to have landed is
  /// Unavailable, and the entry counts as abandoned: if it landed after all,
  /// it is ended as not run later.
  void append(std::vector<PendingEntry *> &Batch, int64_t NowMillis);

  /// Notes that a claim of ours was given up without being run, wherever it
  /// may have landed. The next append releases its key.
  void abandonClaim(const std::string &Key, uint64_t Claim);

  /// Returns the holder of a running key.
  std::string getRunningHolder(const std::string &Key) const;

  /// Empties one chunk that is older than the memory, if there is one.
  void prune(int64_t NowMillis);

  /// Returns how many writes this writer has made.
  uint64_t countWrites() const { return this->Writes; }

  size_t countKeys() const { return this->Index.countKeys(); }

private:
  Result<void> load();
  Result<void> readNewest();
  Result<bool> tryWrite(const std::vector<PendingEntry *> &Batch,
                        int64_t NowMillis);
  bool willBeFree(const std::string &Key) const;
  bool hasRunningKey(const std::vector<PendingEntry *> &Batch) const;
  std::vector<ClaimEntry>
  chooseEntries(const std::vector<PendingEntry *> &Batch,
                int64_t NowMillis) const;
  void fillVerdicts(std::vector<PendingEntry *> &Batch);
  /// Answers from what is known without a write: only verdicts that cannot
  /// change any more.
  ClaimVerdict findFinalVerdict(const std::string &Key,
                                const std::string &Fingerprint,
                                uint64_t Claim) const;
  void abandon(const std::vector<PendingEntry *> &Batch);
  void answerWithoutWriting(std::vector<PendingEntry *> &Batch);
  std::string getChunkKey(uint64_t Chunk) const;
  std::string getHeadKey() const;
  void applyNewEntries(const ClaimChunk &Read);

  PlatformClient &Platform;
  const size_t Shard;
  const Duration Memory;
  bool IsLoaded = false;
  uint64_t FirstChunk = 0;
  uint64_t HeadRevision = 0;
  uint64_t CurrentChunk = 0;
  uint64_t Revision = 0;
  ClaimChunk Chunk;
  /// Newest entry time of each sealed chunk, by number.
  std::map<uint64_t, int64_t> SealedAt;
  ClaimIndex Index;
  std::map<uint64_t, std::string> Abandoned;
  uint64_t Writes = 0;
};

} // namespace canvaswick

#endif // CANVASWICK_CLAIMS_CLAIMLOG_H
