//===- ClaimLog.cpp - Log of the claims of one shard ----------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Implements loading, appending, recovery from lost responses, sealing of full
/// chunks and pruning.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Claims/ClaimLog.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>

namespace canvaswick {

/// A chunk is sealed when its encoding exceeds this size.
static constexpr size_t MaxChunkBytes = 64 * 1024;

/// Attempts to append a batch before it is abandoned.
static constexpr int MaxWriteAttempts = 8;

ClaimLog::ClaimLog(PlatformClient &Platform, size_t Shard, Duration Memory)
    : Platform(Platform), Shard(Shard), Memory(Memory) {}

std::string ClaimLog::getChunkKey(uint64_t Chunk) const {
  return fmt::format("canvaswick/claims/{}/chunk/{}", this->Shard, Chunk);
}

std::string ClaimLog::getHeadKey() const {
  return fmt::format("canvaswick/claims/{}/first", this->Shard);
}

/// Returns the time of the newest entry of a chunk, or 0 if it has none.
static int64_t getNewestTime(const ClaimChunk &Chunk) {
  int64_t Newest = 0;
  for (const ClaimEntry &Entry : Chunk.Entries)
    Newest = std::max(Newest, Entry.TimeMillis);
  return Newest;
}

/// Applies the entries that a newer revision of the current chunk has beyond
/// the known one.
void ClaimLog::applyNewEntries(const ClaimChunk &Read) {
  for (size_t I = this->Chunk.Entries.size(); I < Read.Entries.size(); ++I)
    this->Index.apply(Read.Entries[I]);
  this->Chunk = Read;
}

/// Reads the log from the current chunk to its end.
Result<void> ClaimLog::readNewest() {
  while (true) {
    Result<PlatformValue> Value =
        this->Platform.get(this->getChunkKey(this->CurrentChunk));
    if (!Value && Value.error().Kind == ErrorKind::NotFound) {
      // The chunk does not exist yet. The next write creates it.
      this->Revision = 0;
      this->Chunk = ClaimChunk();
      return outcome::success();
    }
    if (!Value)
      return outcome::failure(Value.error());
    BOOST_OUTCOME_TRY(ClaimChunk Read, decodeChunk(Value.value().Value));
    this->applyNewEntries(Read);
    this->Revision = Value.value().Revision;
    if (!Read.IsSealed)
      return outcome::success();
    this->SealedAt[this->CurrentChunk] = getNewestTime(Read);
    ++this->CurrentChunk;
    this->Chunk = ClaimChunk();
  }
}

Result<void> ClaimLog::load() {
  Result<PlatformValue> Head = this->Platform.get(this->getHeadKey());
  if (!Head && Head.error().Kind != ErrorKind::NotFound)
    return outcome::failure(Head.error());
  if (Head) {
    this->FirstChunk = std::strtoull(Head.value().Value.c_str(), nullptr, 10);
    this->HeadRevision = Head.value().Revision;
  }
  if (this->CurrentChunk < this->FirstChunk) {
    this->CurrentChunk = this->FirstChunk;
    this->Chunk = ClaimChunk();
  }
  BOOST_OUTCOME_TRY(this->readNewest());
  this->IsLoaded = true;
  return outcome::success();
}

/// Returns whether a key is free once the abandoned claims are released.
bool ClaimLog::willBeFree(const std::string &Key) const {
  return this->Index.isFree(Key) ||
         this->Abandoned.count(this->Index.getClaim(Key)) > 0;
}

/// Returns the entries to write: a release for each abandoned claim, and the
/// batch without those begins that cannot be granted.
std::vector<ClaimEntry>
ClaimLog::chooseEntries(const std::vector<PendingEntry *> &Batch,
                        int64_t NowMillis) const {
  std::vector<ClaimEntry> Chosen;
  // An abandoned claim that was stored nevertheless was never run.
  for (const auto &[Claim, Key] : this->Abandoned) {
    ClaimEntry Release;
    Release.Kind = ClaimEntryKind::NotRun;
    Release.Key = Key;
    Release.Claim = Claim;
    Release.TimeMillis = NowMillis;
    Chosen.push_back(Release);
  }
  std::set<std::string> Begun;
  for (const PendingEntry *Pending : Batch) {
    const ClaimEntry &Entry = Pending->Entry;
    const bool IsBegin = Entry.Kind == ClaimEntryKind::Begin;
    if (IsBegin &&
        (!this->willBeFree(Entry.Key) || !Begun.insert(Entry.Key).second))
      continue;
    Chosen.push_back(Entry);
  }
  return Chosen;
}

/// Returns whether the request of any key of the batch is running.
bool ClaimLog::hasRunningKey(const std::vector<PendingEntry *> &Batch) const {
  return std::any_of(
      Batch.begin(), Batch.end(), [this](const PendingEntry *Pending) {
        return !this->Index.getRunningHolder(Pending->Entry.Key).empty();
      });
}

/// Attempts one write. Returns true if the batch is appended or needs no write,
/// and false if the write may not have taken effect: the newest state has then
/// been read, and the caller tries again.
Result<bool> ClaimLog::tryWrite(const std::vector<PendingEntry *> &Batch,
                                int64_t NowMillis) {
  const std::vector<ClaimEntry> Chosen = this->chooseEntries(Batch, NowMillis);
  if (Chosen.empty()) {
    // Another writer may have appended the end of a running request.
    if (this->hasRunningKey(Batch)) {
      BOOST_OUTCOME_TRY(this->readNewest());
    }
    return true;
  }
  ClaimChunk Next = this->Chunk;
  Next.Entries.insert(Next.Entries.end(), Chosen.begin(), Chosen.end());
  std::string Text = encodeChunk(Next);
  if (Text.size() > MaxChunkBytes) {
    Next.IsSealed = true;
    Text = encodeChunk(Next);
  }
  ++this->Writes;
  Result<uint64_t> Written = this->Platform.put(
      this->getChunkKey(this->CurrentChunk), Text, this->Revision);
  if (Written) {
    this->applyNewEntries(Next);
    this->Revision = Written.value();
    this->Abandoned.clear();
    if (Next.IsSealed) {
      this->SealedAt[this->CurrentChunk] = getNewestTime(Next);
      ++this->CurrentChunk;
      this->Revision = 0;
      this->Chunk = ClaimChunk();
    }
    return true;
  }
  const ErrorKind Kind = Written.error().Kind;
  if (Kind != ErrorKind::Conflict && Kind != ErrorKind::OutcomeUnknown)
    return outcome::failure(Written.error());
  // Another writer was faster, or the response of the platform was lost. The
  // log tells which, because every claim has a unique identifier.
  BOOST_OUTCOME_TRY(this->readNewest());
  return false;
}

/// Sets the verdicts of an appended batch from the index.
void ClaimLog::fillVerdicts(std::vector<PendingEntry *> &Batch) {
  for (PendingEntry *Pending : Batch) {
    Pending->IsAppended = true;
    if (Pending->Entry.Kind == ClaimEntryKind::Begin)
      Pending->Verdict = this->Index.evaluate(
          Pending->Entry.Key, Pending->Entry.Fingerprint, Pending->Entry.Claim);
  }
}

/// Sets the verdicts of a batch that could not be written: final verdicts from
/// the index, and Unavailable otherwise.
void ClaimLog::answerWithoutWriting(std::vector<PendingEntry *> &Batch) {
  for (PendingEntry *Pending : Batch)
    if (Pending->Entry.Kind == ClaimEntryKind::Begin)
      Pending->Verdict = this->findFinalVerdict(
          Pending->Entry.Key, Pending->Entry.Fingerprint, Pending->Entry.Claim);
}

void ClaimLog::abandon(const std::vector<PendingEntry *> &Batch) {
  for (const PendingEntry *Pending : Batch)
    if (Pending->Entry.Kind == ClaimEntryKind::Begin)
      this->Abandoned[Pending->Entry.Claim] = Pending->Entry.Key;
}

void ClaimLog::append(std::vector<PendingEntry *> &Batch, int64_t NowMillis) {
  this->Index.forgetBefore(NowMillis - toMillis(this->Memory));
  if (!this->IsLoaded && !this->load()) {
    // No write was attempted, so there is no claim to release.
    this->answerWithoutWriting(Batch);
    return;
  }
  for (int Attempt = 0; Attempt < MaxWriteAttempts; ++Attempt) {
    Result<bool> Done = this->tryWrite(Batch, NowMillis);
    if (!Done) {
      this->IsLoaded = false;
      break;
    }
    if (Done.value()) {
      this->fillVerdicts(Batch);
      return;
    }
  }
  this->abandon(Batch);
  this->answerWithoutWriting(Batch);
}

void ClaimLog::abandonClaim(const std::string &Key, uint64_t Claim) {
  this->Abandoned[Claim] = Key;
}

ClaimVerdict ClaimLog::findFinalVerdict(const std::string &Key,
                                        const std::string &Fingerprint,
                                        uint64_t Claim) const {
  ClaimVerdict Verdict = this->Index.evaluate(Key, Fingerprint, Claim);
  const bool IsFinal = Verdict.Kind == ClaimKind::FirstAnswer ||
                       Verdict.Kind == ClaimKind::NotKnown ||
                       Verdict.Kind == ClaimKind::DifferentRequest;
  return IsFinal ? Verdict : ClaimVerdict();
}

std::string ClaimLog::getRunningHolder(const std::string &Key) const {
  return this->Index.getRunningHolder(Key);
}

void ClaimLog::prune(int64_t NowMillis) {
  const int64_t Oldest = NowMillis - toMillis(this->Memory);
  const auto First = this->SealedAt.begin();
  if (First == this->SealedAt.end() || First->second >= Oldest ||
      First->first != this->FirstChunk)
    return;
  // The number of the first chunk is advanced before the chunk is emptied, so
  // that no reader starts at an emptied chunk.
  Result<uint64_t> Moved = this->Platform.put(
      this->getHeadKey(), fmt::format("{}", this->FirstChunk + 1),
      this->HeadRevision);
  if (!Moved) {
    this->IsLoaded = false;
    return;
  }
  this->HeadRevision = Moved.value();
  // The chunk is emptied and not deleted. A writer that was paused before the
  // number advanced must find the chunk sealed; if the chunk did not exist,
  // that writer would create it and start a second log.
  const std::string Key = this->getChunkKey(this->FirstChunk);
  ClaimChunk Empty;
  Empty.IsSealed = true;
  if (Result<PlatformValue> Old = this->Platform.get(Key))
    (void)this->Platform.put(Key, encodeChunk(Empty), Old.value().Revision);
  ++this->FirstChunk;
  this->SealedAt.erase(First);
}

} // namespace canvaswick
