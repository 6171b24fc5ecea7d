//===- ReplicaAudit.cpp - Notices replicas that differ --------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A comparison does not show which of two replicas is wrong, so a right one
/// may be renewed as well. Renewals are rare and bounded.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Directory/ReplicaAudit.h"

#include <algorithm>

namespace canvaswick {

/// Number of positions at which peers can be compared with: the last seconds
/// of a large fleet.
static constexpr size_t MaxDigests = 32;

/// Shortest time between two renewals of a daemon's replica. A read of a large
/// store takes some hundred calls.
static constexpr Duration ReadInterval = fromSeconds(10);
static constexpr Duration CopyInterval = fromSeconds(3);

/// How long a watcher has to differ before it is copied. If the watcher is
/// wrong, it reads the store meanwhile.
static constexpr Duration CopyDelay = fromMillis(500);

/// A daemon that watches believes two others that do not.
static constexpr size_t MinDifferent = 2;

/// Peers that are remembered as different. Those that end do not say so.
static constexpr size_t MaxPeers = 256;

void DigestHistory::record(const ReplicaDigest &Digest) {
  if (!this->Recent.empty() && this->Recent.back().AsOf == Digest.AsOf)
    this->Recent.pop_back();
  this->Recent.push_back(Digest);
  if (this->Recent.size() > MaxDigests)
    this->Recent.pop_front();
}

DigestMatch DigestHistory::compare(const ReplicaDigest &Other) const {
  const auto Found = std::find_if(
      this->Recent.rbegin(), this->Recent.rend(),
      [&Other](const ReplicaDigest &Each) { return Each.AsOf == Other.AsOf; });
  if (Found == this->Recent.rend())
    return DigestMatch::Unknown;
  return Found->Value == Other.Value ? DigestMatch::Equal
                                     : DigestMatch::Different;
}

bool ReplicaAudit::isDue(const std::string &Peer, bool IsPeerWatching,
                         bool IsWatching, TimePoint Now) const {
  if (Now < this->NextRenewalAt)
    return false;
  if (IsWatching)
    return IsPeerWatching || this->DifferentSince.size() >= MinDifferent;
  return IsPeerWatching && Now - this->DifferentSince.at(Peer) >= CopyDelay;
}

AuditStep ReplicaAudit::recordDifferent(const std::string &Peer,
                                        bool IsPeerWatching, bool IsWatching,
                                        TimePoint Now) {
  if (this->DifferentSince.size() >= MaxPeers)
    this->DifferentSince.clear();
  this->DifferentSince.emplace(Peer, Now);
  if (!this->isDue(Peer, IsPeerWatching, IsWatching, Now))
    return AuditStep::None;
  this->DifferentSince.clear();
  this->NextRenewalAt = Now + (IsWatching ? ReadInterval : CopyInterval);
  return IsWatching ? AuditStep::ReadStore : AuditStep::CopyPeer;
}

} // namespace canvaswick
