//===- ReplicaAge.cpp - How old a replica is ------------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A report counts once the replica has reached its position.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Directory/ReplicaAge.h"

#include <algorithm>

namespace canvaswick {

/// How long peers may have news before a daemon that could not get them asks
/// the store: a fetch that is not answered takes as long.
static constexpr Duration BehindLimit = fromMillis(600);

/// Time between two questions to the store. The longer one keeps a hall that
/// peers leave without answers from asking as one.
static constexpr Duration MinCheckInterval = fromMillis(600);
static constexpr Duration MaxCheckInterval = fromMillis(1200);

/// Reports that are kept until the replica has reached them.
static constexpr size_t MaxReports = 16;

void ReplicaAge::recordReport(const StorePosition &AsOf, TimePoint At,
                              const StorePosition &Known) {
  if (AsOf <= Known) {
    this->CurrentAt = std::max(this->CurrentAt, At);
    return;
  }
  this->Ahead.push_back({AsOf, At});
  if (this->Ahead.size() > MaxReports)
    this->Ahead.pop_front();
}

void ReplicaAge::recordProgress(const StorePosition &Known) {
  std::erase_if(this->Ahead, [&](const Report &Each) {
    if (Each.AsOf > Known)
      return false;
    this->CurrentAt = std::max(this->CurrentAt, Each.At);
    return true;
  });
}

bool ReplicaAge::isCheckDue(std::optional<TimePoint> BehindSince,
                            TimePoint Now) const {
  return BehindSince && Now - *BehindSince >= BehindLimit &&
         Now >= this->NextCheckAt;
}

void ReplicaAge::recordCheck(TimePoint Now) {
  std::uniform_int_distribution<int64_t> Wait(MinCheckInterval.count(),
                                              MaxCheckInterval.count());
  this->NextCheckAt = Now + Duration(Wait(this->Random));
}

} // namespace canvaswick
