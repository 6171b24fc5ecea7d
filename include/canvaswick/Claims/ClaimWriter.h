//===- ClaimWriter.h - Many claims, one write -------------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Threads hand in claims for one log; whoever finds no write under way writes
/// for all that wait, and the others sleep until theirs is settled. So the
/// platform sees one write at a time whatever the load.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_CLAIMS_CLAIMWRITER_H
#define CANVASWICK_CLAIMS_CLAIMWRITER_H

#include "canvaswick/Claims/ClaimLog.h"

#include <condition_variable>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace canvaswick {

/// A claim log that many threads share. Thread-safe.
class ClaimWriter {
public:
  /// Writes follow each other no sooner than Gap, so that all logs together
  /// stay within what the platform bears; what waits meanwhile shares a write.
  ClaimWriter(PlatformClient &Platform, size_t Shard, Duration Memory,
              Duration Gap);

  /// Writes a Begin and returns its verdict. Waits for the writes before it.
  ClaimVerdict begin(ClaimEntry Entry);

  /// Hands in the end of a claim. It is written with the next write.
  void addEnd(ClaimEntry Entry);

  /// Notes that a claim of ours was given up without being run.
  void giveUp(const std::string &Key, uint64_t Claim);

  /// Writes ends that wait for nobody's claim, and empties old chunks.
  void runRound();

  /// Returns the holder of a running key, or an empty text.
  std::string getRunningHolder(const std::string &Key);

  /// Returns how many writes were made.
  uint64_t countWrites();

private:
  /// What one write takes along.
  struct WriteBatch {
    std::vector<PendingEntry *> Begins;
    std::vector<ClaimEntry> Ends;
    std::vector<std::pair<std::string, uint64_t>> GivenUp;
  };

  void writeWaiting(std::unique_lock<std::mutex> &Lock);
  void write(WriteBatch &Taken, std::vector<PendingEntry> &Ends);

  const Duration Gap;
  std::mutex Mutex;
  std::condition_variable Written;
  /// True while a thread uses the log without holding the mutex.
  bool IsWriting = false;
  TimePoint NextWrite{};
  WriteBatch Waiting;
  ClaimLog Log;
};

} // namespace canvaswick

#endif // CANVASWICK_CLAIMS_CLAIMWRITER_H
