//===- ClaimWriter.h - Batches the claims of many threads -------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Many threads submit claims for one log. A thread that finds no write in
/// progress writes the entries of all waiting threads, and the others sleep
/// until theirs are resolved. The platform therefore receives one write at a
/// time, independent of the load.
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

/// A claim log that several threads share. Thread-safe.
class ClaimWriter {
public:
  /// Gap is the minimum time between the starts of two writes. It keeps the
  /// write rate of all logs together within the capacity of the platform.
  /// Entries that arrive meanwhile share the next write.
  ClaimWriter(PlatformClient &Platform, size_t Shard, Duration Memory,
              Duration Gap);

  /// Writes a Begin and returns its verdict. Blocks until it is written or has
  /// failed.
  ClaimVerdict begin(ClaimEntry Entry);

  /// Queues the end of a claim for the next write. Does not block on the
  /// platform.
  void addEnd(ClaimEntry Entry);

  /// Records that a claim of this daemon was given up and its request not run.
  /// The next write releases the key.
  void giveUp(const std::string &Key, uint64_t Claim);

  /// Writes the queued ends and releases that no Begin has carried, and prunes
  /// the log. To be called periodically.
  void runRound();

  /// Returns the holder of a key whose request is running, or an empty string.
  std::string getRunningHolder(const std::string &Key);

  /// Returns how many writes to the platform were attempted.
  uint64_t countWrites();

private:
  /// The entries that the next write appends.
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
  /// Is true while a thread uses Log without holding Mutex.
  bool IsWriting = false;
  TimePoint NextWrite{};
  WriteBatch Waiting;
  ClaimLog Log;
};

} // namespace canvaswick

#endif // CANVASWICK_CLAIMS_CLAIMWRITER_H
