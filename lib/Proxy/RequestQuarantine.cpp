//===- RequestQuarantine.cpp - Quarantine of poison requests --------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Adds locking, logging and counters to the table of poison requests.
/// Callbacks run outside the lock.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Proxy/RequestQuarantine.h"
#include "canvaswick/Support/Log.h"

#include <fmt/format.h>

namespace canvaswick {

/// The earliest time after which a request may be retried. A probe that is
/// being claimed is decided within one call to the store.
static constexpr Duration MinRetryAfter = fromSeconds(1);

static std::string formatServers(const std::vector<RequestEnd> &Ends) {
  std::string Text;
  for (const RequestEnd &Each : Ends)
    Text += fmt::format("{}{:x}", Text.empty() ? "" : ",", Each.Server);
  return Text;
}

/// Logs whether a request has entered or left quarantine. The caller holds the
/// mutex.
void RequestQuarantine::logChange(RequestFingerprint Request,
                                  bool WasQuarantined, TimePoint Now) const {
  const bool IsQuarantined =
      this->Table.classify(Request, Now) != QuarantineVerdict::Allowed;
  if (IsQuarantined == WasQuarantined)
    return;
  const PoisonRequestRecord Record = this->Table.getRecord(Request);
  if (IsQuarantined)
    logWarning("request-held-back", "asks={:016x} ends={} servers={} tries={}",
               Request, Record.Ends.size(), formatServers(Record.Ends),
               Record.Probes);
  else
    logInfo("request-freed", "asks={:016x}", Request);
}

QuarantineVerdict RequestQuarantine::beginProbe(RequestFingerprint Request,
                                                TimePoint Now,
                                                PoisonRequestRecord &Record) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const QuarantineVerdict Verdict = this->Table.classify(Request, Now);
  if (Verdict != QuarantineVerdict::ProbeDue)
    return Verdict;
  if (!this->Claim || !this->ProbesBeingClaimed.insert(Request).second)
    return QuarantineVerdict::Quarantined;
  Record = this->Table.getRecord(Request);
  return Verdict;
}

/// Claims the probe that is due where the records are stored.
bool RequestQuarantine::requestProbe(const PoisonRequestRecord &Record,
                                     TimePoint Now) {
  const bool IsGranted = this->Claim(Record);
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->ProbesBeingClaimed.erase(Record.Request);
  if (!IsGranted) {
    this->Table.postponeProbe(Record.Request, Now);
    return false;
  }
  this->Table.recordProbe(Record.Request, Now);
  logInfo("request-tried", "asks={:016x} tries={}", Record.Request,
          Record.Probes + 1);
  return true;
}

QuarantineDecision RequestQuarantine::admit(RequestFingerprint Request,
                                            TimePoint Now) {
  PoisonRequestRecord Record;
  const QuarantineVerdict Verdict = this->beginProbe(Request, Now, Record);
  if (Verdict == QuarantineVerdict::Allowed)
    return {};
  if (Verdict == QuarantineVerdict::ProbeDue && this->requestProbe(Record, Now))
    return {true, true, Duration::zero()};
  std::lock_guard<std::mutex> Lock(this->Mutex);
  if (this->Table.takeReturnedProbe(Request))
    return {true, true, Duration::zero()};
  return {false, false,
          std::max(MinRetryAfter, this->Table.getWait(Request, Now))};
}

Duration RequestQuarantine::getWait(RequestFingerprint Request,
                                    TimePoint Now) const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return std::max(MinRetryAfter, this->Table.getWait(Request, Now));
}

bool RequestQuarantine::isQuarantined(RequestFingerprint Request,
                                      TimePoint Now) const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Table.classify(Request, Now) != QuarantineVerdict::Allowed;
}

bool RequestQuarantine::isSuspect(RequestFingerprint Request,
                                  EndedServerId Server) const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Table.isSuspect(Request, Server);
}

void RequestQuarantine::returnProbe(RequestFingerprint Request) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Table.returnProbe(Request);
}

void RequestQuarantine::recordEnd(RequestEnd End, TimePoint Now) {
  this->Counters.add(Counter::UpstreamCutOffs);
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    End.Id = this->Random();
    const bool WasQuarantined =
        this->Table.classify(End.Request, Now) != QuarantineVerdict::Allowed;
    if (!this->Table.recordEnd(End, true, Now))
      return;
    this->logChange(End.Request, WasQuarantined, Now);
  }
  if (this->Listener)
    this->Listener({{End}, {}}, Now);
}

void RequestQuarantine::recordAnswer(RequestFingerprint Request,
                                     TimePoint Now) {
  const RequestAnswer Answer{Request, Now};
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    if (this->Table.isEmpty())
      return;
    const bool WasQuarantined =
        this->Table.classify(Request, Now) != QuarantineVerdict::Allowed;
    if (!this->Table.recordLocalAnswer(Answer))
      return;
    this->logChange(Request, WasQuarantined, Now);
  }
  if (this->Listener)
    this->Listener({{}, {Answer}}, Now);
}

PoisonRequestUpdate
RequestQuarantine::mergeUpdate(const PoisonRequestUpdate &Update,
                               TimePoint Now) {
  PoisonRequestUpdate Merged;
  std::lock_guard<std::mutex> Lock(this->Mutex);
  for (const RequestEnd &End : Update.Ends) {
    const bool WasQuarantined =
        this->Table.classify(End.Request, Now) != QuarantineVerdict::Allowed;
    if (!this->Table.recordEnd(End, false, Now))
      continue;
    Merged.Ends.push_back(End);
    this->logChange(End.Request, WasQuarantined, Now);
  }
  for (const RequestAnswer &Answer : Update.Answers) {
    const bool WasQuarantined =
        this->Table.classify(Answer.Request, Now) != QuarantineVerdict::Allowed;
    if (!this->Table.applyPeerAnswer(Answer))
      continue;
    Merged.Answers.push_back(Answer);
    this->logChange(Answer.Request, WasQuarantined, Now);
  }
  return Merged;
}

PoisonRequestUpdate RequestQuarantine::buildUpdate(size_t MaxRows,
                                                   TimePoint Now) const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Table.buildUpdate(MaxRows, Now);
}

void RequestQuarantine::applyRecords(
    const std::vector<PoisonRequestRecord> &Records, TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const size_t Before = this->Table.countQuarantined();
  this->Table.applyRecords(Records, Now);
  const size_t After = this->Table.countQuarantined();
  if (Before != After)
    logInfo("suspects-read", "records={} held={} before={}", Records.size(),
            After, Before);
}

void RequestQuarantine::invalidateRecords() {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Table.invalidateRecords();
}

std::vector<PoisonRequestRecord> RequestQuarantine::listUnrecorded() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Table.listUnrecorded();
}

std::vector<RequestFingerprint> RequestQuarantine::listCleared() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Table.listCleared();
}

std::vector<PoisonRequestStatus> RequestQuarantine::describe() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Table.describe();
}

void RequestQuarantine::forgetOld(TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Table.forgetOld(Now);
}

} // namespace canvaswick
