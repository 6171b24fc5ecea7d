//===- SuspectBook.cpp - Records of fatal requests, kept outside ----------===//
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

#include "canvaswick/Daemon/SuspectBook.h"
#include "canvaswick/Support/Log.h"

#include <algorithm>

namespace canvaswick {

/// After a write that failed: another daemon has mostly written the same, and
/// that is known here a moment later.
static constexpr Duration RetryWait = fromSeconds(2);

/// Decodes a page. No page is one without records.
static Result<std::vector<PoisonRequestRecord>> decodePage(const BookPage &Page,
                                                           const Instant &Now) {
  if (Page.At.isNone())
    return std::vector<PoisonRequestRecord>();
  return decodeRecords(Page.Text, Now);
}

/// Decodes a page that is about to be replaced. What cannot be read names no
/// request.
static std::vector<PoisonRequestRecord> decodeOldPage(const BookPage &Page,
                                                      const Instant &Now) {
  Result<std::vector<PoisonRequestRecord>> Records = decodePage(Page, Now);
  if (Records)
    return std::move(Records.value());
  logWarning("suspects-replaced", "at={} what={:?}", Page.At,
             Records.error().Message);
  return {};
}

Result<void> SuspectBook::refresh(const Instant &Now) {
  BOOST_OUTCOME_TRY(BookPage Page, this->Read());
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
    this->Guard.invalidateRecords();
  const Result<std::vector<PoisonRequestRecord>> Records =
      decodePage(Page, Now);
  if (Records) {
    this->Guard.applyRecords(Records.value(), Now.Steady);
    return outcome::success();
  }
  // Somebody else wrote there: what is known stays, and is written again.
  logWarning("suspects-refused", "at={} what={:?}", Page.At,
             Records.error().Message);
  this->Guard.invalidateRecords();
  return outcome::success();
}

/// Brings records up to what this daemon knows. Returns whether any changed.
bool SuspectBook::change(std::vector<PoisonRequestRecord> &Records,
                         const Instant &Now) const {
  bool IsChanged = false;
  for (PoisonRequestRecord &Record : this->Guard.listUnrecorded()) {
    mergeRecord(Records, std::move(Record), Now.CalendarMillis);
    IsChanged = true;
  }
  for (const RequestFingerprint Request : this->Guard.listCleared())
    IsChanged |= removeRecord(Records, Request);
  return IsChanged;
}

bool SuspectBook::writeAll(const std::vector<PoisonRequestRecord> &Records,
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

void SuspectBook::runRound(const Instant &Now) {
  const bool HasNews = !this->Guard.listUnrecorded().empty() ||
                       !this->Guard.listCleared().empty();
  if (!HasNews || Now.Steady < this->RetryAt)
    return;
  this->RetryAt = Now.Steady + RetryWait;
  const Result<BookPage> Page = this->Read();
  if (!Page)
    return;
  std::vector<PoisonRequestRecord> Records = decodeOldPage(Page.value(), Now);
  if (this->change(Records, Now))
    this->writeAll(Records, Page.value().At, Now);
}

bool SuspectBook::claimTry(const PoisonRequestRecord &Record,
                           const Instant &Now) {
  const Result<BookPage> Page = this->Read();
  if (!Page)
    return false;
  std::vector<PoisonRequestRecord> Records = decodeOldPage(Page.value(), Now);
  const bool IsTaken = std::any_of(Records.begin(), Records.end(),
                                   [&Record](const PoisonRequestRecord &Known) {
                                     return Known.Request == Record.Request &&
                                            Known.Probes > Record.Probes;
                                   });
  if (IsTaken)
    return false;
  PoisonRequestRecord Tried = Record;
  ++Tried.Probes;
  mergeRecord(Records, std::move(Tried), Now.CalendarMillis);
  return this->writeAll(Records, Page.value().At, Now);
}

} // namespace canvaswick
