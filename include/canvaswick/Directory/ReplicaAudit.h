//===- ReplicaAudit.h - Notices replicas that differ ------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Replicas that are complete up to the same position must be equal. Daemons
/// compare digests in the messages that they send anyway. What is right comes
/// from the store: daemons that watch it read it again, others copy a watcher.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_DIRECTORY_REPLICAAUDIT_H
#define CANVASWICK_DIRECTORY_REPLICAAUDIT_H

#include "canvaswick/Directory/StorePosition.h"
#include "canvaswick/Support/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace canvaswick {

/// The digest of a replica at the position up to which it is complete.
struct ReplicaDigest {
  StorePosition AsOf;
  uint64_t Value = 0;

  bool operator==(const ReplicaDigest &) const = default;
};

/// How another replica compares with this one.
enum class DigestMatch : uint8_t {
  /// This replica was not at that position, or knew newer items as well.
  Unknown,
  Equal,
  Different,
};

/// The last digests of a replica. Not thread-safe.
class DigestHistory {
public:
  void record(const ReplicaDigest &Digest);

  /// Forgets everything, because positions have lost their meaning or the
  /// replica was replaced.
  void clear() { this->Recent.clear(); }

  DigestMatch compare(const ReplicaDigest &Other) const;

private:
  /// Oldest first, one for each position.
  std::deque<ReplicaDigest> Recent;
};

/// What to do about a replica that may be wrong.
enum class AuditStep : uint8_t { None, ReadStore, CopyPeer };

/// Decides which daemon renews its replica after a comparison. Not thread-safe.
class ReplicaAudit {
public:
  /// Records that a peer's replica equals this one.
  void recordEqual(const std::string &Peer) {
    this->DifferentSince.erase(Peer);
  }

  /// Records that a peer's replica differs. IsPeerWatching and IsWatching tell
  /// whether the store answers the peer and this daemon. Returns what this
  /// daemon is to do now.
  AuditStep recordDifferent(const std::string &Peer, bool IsPeerWatching,
                            bool IsWatching, TimePoint Now);

private:
  bool isDue(const std::string &Peer, bool IsPeerWatching, bool IsWatching,
             TimePoint Now) const;

  /// Since when each peer has differed.
  std::map<std::string, TimePoint> DifferentSince;
  TimePoint NextRenewalAt{};
};

} // namespace canvaswick

#endif // CANVASWICK_DIRECTORY_REPLICAAUDIT_H
