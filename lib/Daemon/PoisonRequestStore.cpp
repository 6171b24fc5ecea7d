//===- PoisonRequestStore.cpp - Stored records of poison requests ---------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Each change is a read, followed by a write on condition that the value is
/// unchanged.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Daemon/PoisonRequestStore.h"
#include "canvaswick/Support/Log.h"

#include <algorithm>

namespace canvaswick {

/// The minimum time between two writes. When a write fails, another daemon has
/// usually written the same, and this daemon learns of that a moment later.
static constexpr Duration WriteInterval = fromSeconds(2);

/// Decodes the stored value. A missing value has no records.
static Result<std::vector<PoisonRequestRecord>>
decodeStored(const StoredRecords &Stored, const Instant &Now) {
  if (Stored.At.isNone())
    return std::vector<PoisonRequestRecord>();
  return decodeRecords(Stored.Text, Now);
}

/// Decodes a value that is about to be replaced. A malformed value has no
/// records.
static std::vector<PoisonRequestRecord>
decodeReplaced(const StoredRecords &Stored, const Instant &Now) {
  Result<std::vector<PoisonRequestRecord>> Records = decodeStored(Stored, Now);
  if (Records)
    return std::move(Records.value());
  logWarning("suspects-replaced", "at={} what={:?}", Stored.At,
             Records.error().Message);
  return {};
}

Result<void> PoisonRequestStore::refresh(const Instant &Now) {
  BOOST_OUTCOME_TRY(StoredRecords Stored, this->Read());
  bool HasNewEpoch = false;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    if (Stored.At == this->AppliedPosition)
      return outcome::success();
    HasNewEpoch = Stored.At.Epoch != this->AppliedPosition.Epoch;
    this->AppliedPosition = Stored.At;
  }
  // In a new epoch the records may be lost, so a missing record does not clear
  // its request.
  if (HasNewEpoch)
    this->Quarantine.invalidateRecords();
  const Result<std::vector<PoisonRequestRecord>> Records =
      decodeStored(Stored, Now);
  if (Records) {
    this->Quarantine.applyRecords(Records.value(), Now.Steady);
    return outcome::success();
  }
  // Another program has overwritten the value. The known records remain and are
  // written again.
  logWarning("suspects-refused", "at={} what={:?}", Stored.At,
             Records.error().Message);
  this->Quarantine.invalidateRecords();
  return outcome::success();
}

/// Adds this daemon's knowledge to the records. Returns whether any changed.
bool PoisonRequestStore::updateRecords(
    std::vector<PoisonRequestRecord> &Records, const Instant &Now) const {
  bool IsChanged = false;
  for (PoisonRequestRecord &Record : this->Quarantine.listUnrecorded()) {
    mergeRecord(Records, std::move(Record), Now.CalendarMillis);
    IsChanged = true;
  }
  for (const RequestFingerprint Request : this->Quarantine.listCleared())
    IsChanged |= removeRecord(Records, Request);
  return IsChanged;
}

bool PoisonRequestStore::writeRecords(
    const std::vector<PoisonRequestRecord> &Records,
    const StorePosition &Expected, const Instant &Now) {
  Result<StorePosition> Written =
      this->Write(encodeRecords(Records, Now), Expected);
  if (Written) {
    logInfo("suspects-written", "at={} records={}", Written.value(),
            Records.size());
    return true;
  }
  logWarning("suspects-not-written", "expected={} what={:?}", Expected,
             Written.error().Message);
  return false;
}

void PoisonRequestStore::runRound(const Instant &Now) {
  const bool HasChanges = !this->Quarantine.listUnrecorded().empty() ||
                          !this->Quarantine.listCleared().empty();
  if (!HasChanges || Now.Steady < this->NextWrite)
    return;
  this->NextWrite = Now.Steady + WriteInterval;
  const Result<StoredRecords> Stored = this->Read();
  if (!Stored)
    return;
  std::vector<PoisonRequestRecord> Records =
      decodeReplaced(Stored.value(), Now);
  if (this->updateRecords(Records, Now))
    this->writeRecords(Records, Stored.value().At, Now);
}

bool PoisonRequestStore::claimProbe(const PoisonRequestRecord &Record,
                                    const Instant &Now) {
  const Result<StoredRecords> Stored = this->Read();
  if (!Stored)
    return false;
  std::vector<PoisonRequestRecord> Records =
      decodeReplaced(Stored.value(), Now);
  const bool IsClaimed = std::any_of(
      Records.begin(), Records.end(),
      [&Record](const PoisonRequestRecord &Known) {
        return Known.Request == Record.Request && Known.Probes > Record.Probes;
      });
  if (IsClaimed)
    return false;
  PoisonRequestRecord Probed = Record;
  ++Probed.Probes;
  mergeRecord(Records, std::move(Probed), Now.CalendarMillis);
  return this->writeRecords(Records, Stored.value().At, Now);
}

} // namespace canvaswick
