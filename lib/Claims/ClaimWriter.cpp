//===- ClaimWriter.cpp - Batches the claims of many threads ---------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Mutex guards the waiting entries. IsWriting guards the log, which is used
/// without holding Mutex because a write blocks on the platform.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Claims/ClaimWriter.h"

#include <thread>

namespace canvaswick {

ClaimWriter::ClaimWriter(PlatformClient &Platform, size_t Shard,
                         Duration Memory, Duration Gap)
    : Gap(Gap), Log(Platform, Shard, Memory) {}

/// Writes all waiting entries. The caller holds Lock and has checked that no
/// write is in progress. Lock is released during the write.
void ClaimWriter::writeWaiting(std::unique_lock<std::mutex> &Lock) {
  this->IsWriting = true;
  if (readSteadyClock() < this->NextWrite) {
    Lock.unlock();
    std::this_thread::sleep_until(this->NextWrite);
    Lock.lock();
  }
  this->NextWrite = readSteadyClock() + this->Gap;
  WriteBatch Taken;
  std::swap(Taken, this->Waiting);
  std::vector<PendingEntry> Ends(Taken.Ends.size());
  Lock.unlock();
  this->write(Taken, Ends);
  Lock.lock();
  // An end that was not appended is queued again for the next write.
  for (const PendingEntry &End : Ends)
    if (!End.IsAppended)
      this->Waiting.Ends.push_back(End.Entry);
  for (PendingEntry *Begin : Taken.Begins)
    Begin->IsResolved = true;
  this->IsWriting = false;
  this->Written.notify_all();
}

void ClaimWriter::write(WriteBatch &Taken, std::vector<PendingEntry> &Ends) {
  for (const auto &[Key, Claim] : Taken.GivenUp)
    this->Log.abandonClaim(Key, Claim);
  std::vector<PendingEntry *> Batch;
  for (size_t I = 0; I < Ends.size(); ++I) {
    Ends[I].Entry = std::move(Taken.Ends[I]);
    Batch.push_back(&Ends[I]);
  }
  Batch.insert(Batch.end(), Taken.Begins.begin(), Taken.Begins.end());
  this->Log.append(Batch, readCalendarMillis());
}

ClaimVerdict ClaimWriter::begin(ClaimEntry Entry) {
  PendingEntry Pending;
  Pending.Entry = std::move(Entry);
  std::unique_lock<std::mutex> Lock(this->Mutex);
  this->Waiting.Begins.push_back(&Pending);
  while (!Pending.IsResolved) {
    if (this->IsWriting)
      this->Written.wait(Lock);
    else
      this->writeWaiting(Lock);
  }
  return Pending.Verdict;
}

void ClaimWriter::addEnd(ClaimEntry Entry) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Waiting.Ends.push_back(std::move(Entry));
}

void ClaimWriter::giveUp(const std::string &Key, uint64_t Claim) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Waiting.GivenUp.emplace_back(Key, Claim);
}

void ClaimWriter::runRound() {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  this->Written.wait(Lock, [this] { return !this->IsWriting; });
  if (!this->Waiting.Ends.empty() || !this->Waiting.GivenUp.empty())
    this->writeWaiting(Lock);
  this->Written.wait(Lock, [this] { return !this->IsWriting; });
  this->IsWriting = true;
  Lock.unlock();
  this->Log.prune(readCalendarMillis());
  Lock.lock();
  this->IsWriting = false;
  this->Written.notify_all();
}

std::string ClaimWriter::getRunningHolder(const std::string &Key) {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  this->Written.wait(Lock, [this] { return !this->IsWriting; });
  return this->Log.getRunningHolder(Key);
}

uint64_t ClaimWriter::countWrites() {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  this->Written.wait(Lock, [this] { return !this->IsWriting; });
  return this->Log.countWrites();
}

} // namespace canvaswick
