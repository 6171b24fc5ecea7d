//===- PoisonRequestStore.cpp - Records of fatal requests, kept outside ---===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Read, change, write if unchanged.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Daemon/PoisonRequestStore.h"
#include "canvaswick/Support/Log.h"

#include <algorithm>

namespace canvaswick {

/// After a write that failed: another daemon has mostly written the same, and
/// that is known here a moment later.
static constexpr Duration RetryWait = fromSeconds(2);

/// Decodes a page. No page is one without records.
static Result<std::vector<SuspectRecord>> decodePage(const StoredRecords &Page,
                                                     const Instant &Now) {
  if (Page.At.isNone())
    return std::vector<SuspectRecord>();
  return decodeRecords(Page.Text, Now);
}

/// Decodes a page that is about to be replaced. What cannot be read names no
/// request.
static std::vector<SuspectRecord> decodeOldPage(const StoredRecords &Page,
                                                const Instant &Now) {
  Result<std::vector<SuspectRecord>> Records = decodePage(Page, Now);
  if (Records)
    return std::move(Records.value());
  logWarning("suspects-replaced", "at={} what={:?}", Page.At,
             Records.error().Message);
  return {};
}

Result<void> PoisonRequestStore::refresh(const Instant &Now) {
  BOOST_OUTCOME_TRY(StoredRecords Page, this->Read());
  bool IsOfNewEpoch = false;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    if (Page.At == this->TakenAt)
      return outcome::success();
    IsOfNewEpoch = Page.At.Epoch != this->TakenAt.Epoch;
    this->TakenAt = Page.At;
  }
  // What was written may be lost: that it is missing clears nobody.
  if (IsOfNewEpoch)
    this->Guard.loseRecords();
  const Result<std::vector<SuspectRecord>> Records = decodePage(Page, Now);
  if (Records) {
    this->Guard.takeRecords(Records.value(), Now.Steady);
    return outcome::success();
  }
  // Somebody else wrote there: what is known stays, and is written again.
  logWarning("suspects-refused", "at={} what={:?}", Page.At,
             Records.error().Message);
  this->Guard.loseRecords();
  return outcome::success();
}

/// Brings records up to what this daemon knows. Returns whether any changed.
bool PoisonRequestStore::change(std::vector<SuspectRecord> &Records,
                                const Instant &Now) const {
  bool IsChanged = false;
  for (SuspectRecord &Record : this->Guard.listUnrecorded()) {
    mergeRecord(Records, std::move(Record), Now.CalendarMillis);
    IsChanged = true;
  }
  for (const RequestDigest Request : this->Guard.listCleared())
    IsChanged |= removeRecord(Records, Request);
  return IsChanged;
}

bool PoisonRequestStore::writeAll(const std::vector<SuspectRecord> &Records,
                                  const StorePosition &Expected,
                                  const Instant &Now) {
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
  const bool HasNews = !this->Guard.listUnrecorded().empty() ||
                       !this->Guard.listCleared().empty();
  if (!HasNews || Now.Steady < this->RetryAt)
    return;
  this->RetryAt = Now.Steady + RetryWait;
  const Result<StoredRecords> Page = this->Read();
  if (!Page)
    return;
  std::vector<SuspectRecord> Records = decodeOldPage(Page.value(), Now);
  if (this->change(Records, Now))
    this->writeAll(Records, Page.value().At, Now);
}

bool PoisonRequestStore::claimProbe(const SuspectRecord &Record,
                                    const Instant &Now) {
  const Result<StoredRecords> Page = this->Read();
  if (!Page)
    return false;
  std::vector<SuspectRecord> Records = decodeOldPage(Page.value(), Now);
  const bool IsTaken = std::any_of(
      Records.begin(), Records.end(), [&Record](const SuspectRecord &Known) {
        return Known.Request == Record.Request && Known.Tries > Record.Tries;
      });
  if (IsTaken)
    return false;
  SuspectRecord Tried = Record;
  ++Tried.Tries;
  mergeRecord(Records, std::move(Tried), Now.CalendarMillis);
  return this->writeAll(Records, Page.value().At, Now);
}

} // namespace canvaswick
