//===- ClaimIndex.h - State of all claimed requests of a log ----*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The state that results from replaying a claim log. Entries are applied in
/// the order of the log, and the first claim of a key wins, whichever daemon
/// wrote it. Also defines the encoding of the chunks of a log.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_CLAIMS_CLAIMINDEX_H
#define CANVASWICK_CLAIMS_CLAIMINDEX_H

#include "canvaswick/Claims/ClaimGate.h"
#include "canvaswick/Support/Error.h"

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace canvaswick {

/// The kind of a log entry: the begin of a claim, or how it ended.
enum class ClaimEntryKind : uint8_t { Begin, Ran, NotRun, NotKnown };

/// One entry of a claim log.
struct ClaimEntry {
  ClaimEntryKind Kind = ClaimEntryKind::Begin;
  std::string Key;
  /// Identifies the claim. The begin and the end of a claim hold the same
  /// value.
  uint64_t Claim = 0;
  /// For Begin: tells whether two requests with one key are the same request.
  std::string Fingerprint;
  /// For Begin: the daemon and the start time of its process.
  std::string Holder;
  /// Calendar time at which the entry was made, in milliseconds.
  int64_t TimeMillis = 0;
  /// For Ran: the response of the request.
  FirstAnswer Answer;
};

/// The state of all keys of one log. Not thread-safe.
class ClaimIndex {
public:
  /// Applies the next entry of the log.
  void apply(const ClaimEntry &Entry);

  /// Returns whether a Begin of Key would be granted now.
  bool isFree(const std::string &Key) const;

  /// Returns the verdict for a request. Claim is the claim of the request: the
  /// verdict is Granted if that claim holds the key. The verdict of an unknown
  /// key is Unavailable.
  ClaimVerdict evaluate(const std::string &Key, const std::string &Fingerprint,
                        uint64_t Claim) const;

  /// Returns the holder of a key whose request is running, or an empty string.
  std::string getRunningHolder(const std::string &Key) const;

  /// Returns the claim that holds a key, or 0 if the key is free.
  uint64_t getClaim(const std::string &Key) const;

  /// Forgets the keys whose claim began before TimeMillis.
  void forgetBefore(int64_t TimeMillis);

  size_t countKeys() const { return this->Keys.size(); }

private:
  struct KeyState {
    uint64_t Claim = 0;
    std::string Fingerprint;
    std::string Holder;
    int64_t BeganMillis = 0;
    ClaimEntryKind State = ClaimEntryKind::Begin;
    FirstAnswer Answer;
  };

  std::unordered_map<std::string, KeyState> Keys;
  /// Begin time and key of each claim, in the order of the log.
  std::deque<std::pair<int64_t, std::string>> ByAge;
};

/// One chunk of a log, stored as one value of the platform. Writers append to
/// it by compare-and-swap until it is sealed; the log then continues in the
/// next chunk.
struct ClaimChunk {
  bool IsSealed = false;
  std::vector<ClaimEntry> Entries;
};

/// Encodes a chunk as JSON.
std::string encodeChunk(const ClaimChunk &Chunk);

/// Decodes a chunk. Fails with InvalidArgument if Text is malformed.
Result<ClaimChunk> decodeChunk(const std::string &Text);

} // namespace canvaswick

#endif // CANVASWICK_CLAIMS_CLAIMINDEX_H
