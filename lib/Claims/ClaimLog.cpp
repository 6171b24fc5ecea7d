//===- ClaimLog.cpp - One shard's log of claims at the platform -----------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Load, append, find out after a lost answer, seal, prune.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Claims/ClaimLog.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>

namespace canvaswick {

/// A chunk is sealed when it grows beyond this.
static constexpr size_t ChunkBytes = 64 * 1024;

/// Tries to get a batch into the log before it is given up.
static constexpr int WriteTries = 8;

ClaimLog::ClaimLog(PlatformClient &Platform, size_t Shard, Duration Memory)
    : Platform(Platform), Shard(Shard), Memory(Memory) {}

std::string ClaimLog::getChunkKey(uint64_t Chunk) const {
  return fmt::format("canvaswick/claims/{}/chunk/{}", this->Shard, Chunk);
}

std::string ClaimLog::getHeadKey() const {
  return fmt::format("canvaswick/claims/{}/first", this->Shard);
}

/// Returns the newest time in a chunk.
static int64_t getNewestTime(const ClaimChunk &Chunk) {
  int64_t Newest = 0;
  for (const ClaimEntry &Entry : Chunk.Entries)
    Newest = std::max(Newest, Entry.TimeMillis);
  return Newest;
}

/// Applies what a newer state of the current chunk holds beyond ours.
void ClaimLog::applyNewEntries(const ClaimChunk &Read) {
  for (size_t I = this->Chunk.Entries.size(); I < Read.Entries.size(); ++I)
    this->Index.apply(Read.Entries[I]);
  this->Chunk = Read;
}

/// Reads on from the current chunk to the newest one.
Result<void> ClaimLog::readNewest() {
  while (true) {
    Result<PlatformValue> Value =
        this->Platform.get(this->getChunkKey(this->CurrentChunk));
    if (!Value && Value.error().Kind == ErrorKind::NotFound) {
      // The log ends here: the next write creates this chunk.
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

/// Returns whether a key is free once our abandoned claims are released.
bool ClaimLog::willBeFree(const std::string &Key) const {
  return this->Index.isFree(Key) ||
         this->Abandoned.count(this->Index.getClaim(Key)) > 0;
}

/// Returns the entries of a batch that are worth writing now.
std::vector<ClaimEntry>
ClaimLog::chooseEntries(const std::vector<PendingEntry *> &Batch,
                        int64_t NowMillis) const {
  std::vector<ClaimEntry> Chosen;
  // A claim of ours that landed although we gave it up was never run.
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

/// Returns whether a request of the batch finds its key running.
bool ClaimLog::hasRunningKey(const std::vector<PendingEntry *> &Batch) const {
  return std::any_of(
      Batch.begin(), Batch.end(), [this](const PendingEntry *Pending) {
        return !this->Index.getRunningHolder(Pending->Entry.Key).empty();
      });
}

/// Writes once. Returns whether it took effect; false means that the log has
/// moved on and was read again.
Result<bool> ClaimLog::tryWrite(const std::vector<PendingEntry *> &Batch,
                                int64_t NowMillis) {
  const std::vector<ClaimEntry> Chosen = this->chooseEntries(Batch, NowMillis);
  if (Chosen.empty()) {
    // What runs here may have ended in the log meanwhile.
    if (this->hasRunningKey(Batch)) {
      BOOST_OUTCOME_TRY(this->readNewest());
    }
    return true;
  }
  ClaimChunk Next = this->Chunk;
  Next.Entries.insert(Next.Entries.end(), Chosen.begin(), Chosen.end());
  std::string Text = encodeChunk(Next);
  if (Text.size() > ChunkBytes) {
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
  // Either someone else wrote, or our answer was lost: reading tells, because
  // every claim has a name of its own.
  BOOST_OUTCOME_TRY(this->readNewest());
  return false;
}

/// Fills the verdicts of a batch from the index.
void ClaimLog::fillVerdicts(std::vector<PendingEntry *> &Batch) {
  for (PendingEntry *Pending : Batch) {
    Pending->IsAppended = true;
    if (Pending->Entry.Kind == ClaimEntryKind::Begin)
      Pending->Verdict = this->Index.evaluate(
          Pending->Entry.Key, Pending->Entry.Fingerprint, Pending->Entry.Claim);
  }
}

/// Answers a batch that could not be written: from what is known where that
/// cannot change any more, and as unavailable otherwise.
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
    // Nothing was written, so nothing needs to be released.
    this->answerWithoutWriting(Batch);
    return;
  }
  for (int Try = 0; Try < WriteTries; ++Try) {
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
  // The pointer moves first: a reader never starts at a chunk that is gone.
  Result<uint64_t> Moved = this->Platform.put(
      this->getHeadKey(), fmt::format("{}", this->FirstChunk + 1),
      this->HeadRevision);
  if (!Moved) {
    this->IsLoaded = false;
    return;
  }
  this->HeadRevision = Moved.value();
  // The chunk is emptied, not removed: a writer that was paused since before
  // the pointer moved must find it sealed, or it could begin the log anew.
  const std::string Key = this->getChunkKey(this->FirstChunk);
  ClaimChunk Empty;
  Empty.IsSealed = true;
  if (Result<PlatformValue> Old = this->Platform.get(Key))
    (void)this->Platform.put(Key, encodeChunk(Empty), Old.value().Revision);
  ++this->FirstChunk;
  this->SealedAt.erase(First);
}

} // namespace canvaswick
