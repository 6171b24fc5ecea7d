//===- ClaimIndex.h - What is known of claimed requests ---------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The state that the entries of a claim log add up to. Entries are applied in
/// the order of the log; the first claim of a key wins whoever wrote it.
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

/// What an entry of the log says.
enum class ClaimEntryKind : uint8_t { Begin, Ran, NotRun, NotKnown };

/// One entry of the log.
struct ClaimEntry {
  ClaimEntryKind Kind = ClaimEntryKind::Begin;
  std::string Key;
  /// Names this claim; the same in its Begin and its end.
  uint64_t Claim = 0;
  /// For Begin: tells the same request from another.
  std::string Fingerprint;
  /// For Begin: the daemon, with the start of its process.
  std::string Holder;
  int64_t TimeMillis = 0;
  /// For Ran: the first answer.
  FirstAnswer Answer;
};

/// The state of all keys of one log.
class ClaimIndex {
public:
  /// Applies the next entry of the log.
  void apply(const ClaimEntry &Entry);

  /// Returns whether a Begin would be the first of its key now.
  bool isFree(const std::string &Key) const;

  /// Returns what to answer a request. Claim is the asker's own claim: if it is
  /// the one that holds the key, the answer is Granted.
  ClaimVerdict evaluate(const std::string &Key, const std::string &Fingerprint,
                        uint64_t Claim) const;

  /// Returns the holder of a key whose end is not known yet, or an empty text.
  std::string getRunningHolder(const std::string &Key) const;

  /// Returns the claim that holds a key, or 0.
  uint64_t getClaim(const std::string &Key) const;

  /// Forgets keys whose claim began before.
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
  std::deque<std::pair<int64_t, std::string>> ByAge;
};

/// One chunk of a log: a value of the platform that is only ever appended to
/// by compare-and-swap, until it is sealed and the next one begins.
struct ClaimChunk {
  bool IsSealed = false;
  std::vector<ClaimEntry> Entries;
};

/// Writes a chunk as one value of the platform.
std::string encodeChunk(const ClaimChunk &Chunk);

/// Reads a chunk.
Result<ClaimChunk> decodeChunk(const std::string &Text);

} // namespace canvaswick

#endif // CANVASWICK_CLAIMS_CLAIMINDEX_H
