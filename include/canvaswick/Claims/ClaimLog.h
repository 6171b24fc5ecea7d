//===- ClaimLog.h - Log of the claims of one shard --------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Appends batches of entries by compare-and-swap to numbered chunks, which the
/// platform stores. A write fails unless the writer has read the newest
/// revision, so a writer that was paused reads what other writers appended
/// before it can write. The exclusion of writers does not depend on clocks.
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

/// A begin or an end of a claim that is to be appended to the log.
struct PendingEntry {
  ClaimEntry Entry;
  /// The verdict of a Begin. ClaimLog::append sets it.
  ClaimVerdict Verdict;
  /// Whether append has processed the entry. An entry with false is to be tried
  /// again.
  bool IsAppended = false;
  /// Whether Verdict is final. ClaimWriter sets it.
  bool IsResolved = false;
};

/// The view that one writer has of the log of a shard. Not thread-safe.
class ClaimLog {
public:
  /// Stores the log below the key canvaswick/claims/SHARD of the platform. Keys
  /// of requests are remembered for Memory.
  ClaimLog(PlatformClient &Platform, size_t Shard, Duration Memory);

  /// Appends the entries and sets their verdicts. A Begin that is not the first
  /// of its key is not written. If the platform cannot be reached, each Begin
  /// whose outcome is not final gets the verdict Unavailable. If a write was
  /// attempted, its claims also count as abandoned: a later append releases the
  /// keys of those that were stored nevertheless.
  void append(std::vector<PendingEntry *> &Batch, int64_t NowMillis);

  /// Records that a claim of this daemon was given up and its request not run.
  /// The next append releases the key, if the claim was stored in the log.
  void abandonClaim(const std::string &Key, uint64_t Claim);

  /// Returns the holder of a key whose request is running, or an empty string.
  std::string getRunningHolder(const std::string &Key) const;

  /// Empties the oldest chunk if all its entries are older than the time for
  /// which keys are remembered.
  void prune(int64_t NowMillis);

  /// Returns how many writes to chunks this writer has attempted.
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
  /// Returns the verdict that the index gives if no later entry can change it,
  /// else Unavailable.
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
  /// Number of the oldest chunk that is not pruned, and the revision of the
  /// value that stores this number.
  uint64_t FirstChunk = 0;
  uint64_t HeadRevision = 0;
  /// Number, revision and content of the chunk that is appended to.
  uint64_t CurrentChunk = 0;
  uint64_t Revision = 0;
  ClaimChunk Chunk;
  /// Time of the newest entry of each sealed chunk, by number of the chunk.
  std::map<uint64_t, int64_t> SealedAt;
  ClaimIndex Index;
  /// Keys of the claims that are to be released, by claim.
  std::map<uint64_t, std::string> Abandoned;
  uint64_t Writes = 0;
};

} // namespace canvaswick

#endif // CANVASWICK_CLAIMS_CLAIMLOG_H
