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
void RequestQuarantine::logChange(RequestDigest Request, bool WasQuarantined,
                                  TimePoint Now) const {
  const bool IsQuarantined =
      this->Table.judge(Request, Now) != SuspectVerdict::Free;
  if (IsQuarantined == WasQuarantined)
    return;
  const SuspectRecord Record = this->Table.getRecord(Request);
  if (IsQuarantined)
    logWarning("request-held-back", "asks={:016x} ends={} servers={} tries={}",
               Request, Record.Ends.size(), formatServers(Record.Ends),
               Record.Tries);
  else
    logInfo("request-freed", "asks={:016x}", Request);
}

SuspectVerdict RequestQuarantine::beginProbe(RequestDigest Request,
                                             TimePoint Now,
                                             SuspectRecord &Record) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const SuspectVerdict Verdict = this->Table.judge(Request, Now);
  if (Verdict != SuspectVerdict::TryDue)
    return Verdict;
  if (!this->Claim || !this->ProbesBeingClaimed.insert(Request).second)
    return SuspectVerdict::HeldBack;
  Record = this->Table.getRecord(Request);
  return Verdict;
}

/// Claims the probe that is due where the records are stored.
bool RequestQuarantine::requestProbe(const SuspectRecord &Record,
                                     TimePoint Now) {
  const bool IsGranted = this->Claim(Record);
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->ProbesBeingClaimed.erase(Record.Request);
  if (!IsGranted) {
    this->Table.missTry(Record.Request, Now);
    return false;
  }
  this->Table.grantTry(Record.Request, Now);
  logInfo("request-tried", "asks={:016x} tries={}", Record.Request,
          Record.Tries + 1);
  return true;
}

QuarantineDecision RequestQuarantine::admit(RequestDigest Request,
                                            TimePoint Now) {
  SuspectRecord Record;
  const SuspectVerdict Verdict = this->beginProbe(Request, Now, Record);
  if (Verdict == SuspectVerdict::Free)
    return {};
  if (Verdict == SuspectVerdict::TryDue && this->requestProbe(Record, Now))
    return {true, true, Duration::zero()};
  std::lock_guard<std::mutex> Lock(this->Mutex);
  if (this->Table.takeReturnedTry(Request))
    return {true, true, Duration::zero()};
  return {false, false,
          std::max(MinRetryAfter, this->Table.getWait(Request, Now))};
}

Duration RequestQuarantine::getWait(RequestDigest Request,
                                    TimePoint Now) const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return std::max(MinRetryAfter, this->Table.getWait(Request, Now));
}

bool RequestQuarantine::isQuarantined(RequestDigest Request,
                                      TimePoint Now) const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Table.judge(Request, Now) != SuspectVerdict::Free;
}

bool RequestQuarantine::isSuspect(RequestDigest Request,
                                  EndedServer Server) const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Table.isSuspect(Request, Server);
}

void RequestQuarantine::returnTry(RequestDigest Request) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Table.returnTry(Request);
}

void RequestQuarantine::noteEnd(RequestEnd End, TimePoint Now) {
  this->Counters.add(Counter::UpstreamCutOffs);
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    End.Id = this->Random();
    const bool WasQuarantined =
        this->Table.judge(End.Request, Now) != SuspectVerdict::Free;
    if (!this->Table.noteEnd(End, true, Now))
      return;
    this->logChange(End.Request, WasQuarantined, Now);
  }
  if (this->Listener)
    this->Listener({{End}, {}}, Now);
}

void RequestQuarantine::recordAnswer(RequestDigest Request, TimePoint Now) {
  const RequestAnswer Answer{Request, Now};
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    if (this->Table.isEmpty())
      return;
    const bool WasQuarantined =
        this->Table.judge(Request, Now) != SuspectVerdict::Free;
    if (!this->Table.noteOwnAnswer(Answer))
      return;
    this->logChange(Request, WasQuarantined, Now);
  }
  if (this->Listener)
    this->Listener({{}, {Answer}}, Now);
}

SuspectNews RequestQuarantine::mergeUpdate(const SuspectNews &Update,
                                           TimePoint Now) {
  SuspectNews Merged;
  std::lock_guard<std::mutex> Lock(this->Mutex);
  for (const RequestEnd &End : Update.Ends) {
    const bool WasQuarantined =
        this->Table.judge(End.Request, Now) != SuspectVerdict::Free;
    if (!this->Table.noteEnd(End, false, Now))
      continue;
    Merged.Ends.push_back(End);
    this->logChange(End.Request, WasQuarantined, Now);
  }
  for (const RequestAnswer &Answer : Update.Answers) {
    const bool WasQuarantined =
        this->Table.judge(Answer.Request, Now) != SuspectVerdict::Free;
    if (!this->Table.notePeerAnswer(Answer))
      continue;
    Merged.Answers.push_back(Answer);
    this->logChange(Answer.Request, WasQuarantined, Now);
  }
  return Merged;
}

SuspectNews RequestQuarantine::makeNews(size_t MaxRows, TimePoint Now) const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Table.makeNews(MaxRows, Now);
}

void RequestQuarantine::takeRecords(const std::vector<SuspectRecord> &Records,
                                    TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const size_t Before = this->Table.countHeld();
  this->Table.takeRecords(Records, Now);
  const size_t After = this->Table.countHeld();
  if (Before != After)
    logInfo("suspects-read", "records={} held={} before={}", Records.size(),
            After, Before);
}

void RequestQuarantine::loseRecords() {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Table.loseRecords();
}

std::vector<SuspectRecord> RequestQuarantine::listUnrecorded() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Table.listUnrecorded();
}

std::vector<RequestDigest> RequestQuarantine::listCleared() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Table.listCleared();
}

std::vector<SuspectStatus> RequestQuarantine::describe() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Table.describe();
}

void RequestQuarantine::forgetOld(TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Table.forgetOld(Now);
}

} // namespace canvaswick
