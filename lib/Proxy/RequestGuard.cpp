//===- RequestGuard.cpp - Keeps fatal requests away from servers ----------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Locks, logs and counts around the table of suspects; calls are made outside
/// the lock.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Proxy/RequestGuard.h"
#include "canvaswick/Support/Log.h"

#include <fmt/format.h>

namespace canvaswick {

/// When a request may come back at the earliest: a try that is just being asked
/// for is decided within a call to the store.
static constexpr Duration LeastWait = fromSeconds(1);

static std::string formatServers(const std::vector<RequestEnd> &Ends) {
  std::string Text;
  for (const RequestEnd &Each : Ends)
    Text += fmt::format("{}{:x}", Text.empty() ? "" : ",", Each.Server);
  return Text;
}

/// Logs that a request is held back from now on, or has come free. The caller
/// holds the mutex.
void RequestGuard::logChange(RequestFingerprint Request, bool WasHeld,
                             TimePoint Now) const {
  const bool IsHeld =
      this->Table.classify(Request, Now) != QuarantineVerdict::Allowed;
  if (IsHeld == WasHeld)
    return;
  const PoisonRequestRecord Record = this->Table.getRecord(Request);
  if (IsHeld)
    logWarning("request-held-back", "asks={:016x} ends={} servers={} tries={}",
               Request, Record.Ends.size(), formatServers(Record.Ends),
               Record.Probes);
  else
    logInfo("request-freed", "asks={:016x}", Request);
}

QuarantineVerdict RequestGuard::beginAsking(RequestFingerprint Request,
                                            TimePoint Now,
                                            PoisonRequestRecord &Record) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const QuarantineVerdict Verdict = this->Table.classify(Request, Now);
  if (Verdict != QuarantineVerdict::ProbeDue)
    return Verdict;
  if (!this->Claim || !this->Asking.insert(Request).second)
    return QuarantineVerdict::Quarantined;
  Record = this->Table.getRecord(Request);
  return Verdict;
}

/// Asks for the try that is due, where records are kept.
bool RequestGuard::claimTry(const PoisonRequestRecord &Record, TimePoint Now) {
  const bool IsGranted = this->Claim(Record);
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Asking.erase(Record.Request);
  if (!IsGranted) {
    this->Table.postponeProbe(Record.Request, Now);
    return false;
  }
  this->Table.recordProbe(Record.Request, Now);
  logInfo("request-tried", "asks={:016x} tries={}", Record.Request,
          Record.Probes + 1);
  return true;
}

GuardAnswer RequestGuard::admit(RequestFingerprint Request, TimePoint Now) {
  PoisonRequestRecord Record;
  const QuarantineVerdict Verdict = this->beginAsking(Request, Now, Record);
  if (Verdict == QuarantineVerdict::Allowed)
    return {};
  if (Verdict == QuarantineVerdict::ProbeDue && this->claimTry(Record, Now))
    return {true, true, Duration::zero()};
  std::lock_guard<std::mutex> Lock(this->Mutex);
  if (this->Table.takeReturnedProbe(Request))
    return {true, true, Duration::zero()};
  return {false, false, std::max(LeastWait, this->Table.getWait(Request, Now))};
}

Duration RequestGuard::getWait(RequestFingerprint Request,
                               TimePoint Now) const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return std::max(LeastWait, this->Table.getWait(Request, Now));
}

bool RequestGuard::isHeldBack(RequestFingerprint Request, TimePoint Now) const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Table.classify(Request, Now) != QuarantineVerdict::Allowed;
}

bool RequestGuard::isSuspect(RequestFingerprint Request,
                             EndedServerId Server) const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Table.isSuspect(Request, Server);
}

void RequestGuard::returnProbe(RequestFingerprint Request) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Table.returnProbe(Request);
}

void RequestGuard::recordEnd(RequestEnd End, TimePoint Now) {
  this->Counters.add(Counter::UpstreamCutOffs);
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    End.Id = this->Random();
    const bool WasHeld =
        this->Table.classify(End.Request, Now) != QuarantineVerdict::Allowed;
    if (!this->Table.recordEnd(End, true, Now))
      return;
    this->logChange(End.Request, WasHeld, Now);
  }
  if (this->Listener)
    this->Listener({{End}, {}}, Now);
}

void RequestGuard::noteAnswer(RequestFingerprint Request, TimePoint Now) {
  const RequestAnswer Answer{Request, Now};
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    if (this->Table.isEmpty())
      return;
    const bool WasHeld =
        this->Table.classify(Request, Now) != QuarantineVerdict::Allowed;
    if (!this->Table.recordLocalAnswer(Answer))
      return;
    this->logChange(Request, WasHeld, Now);
  }
  if (this->Listener)
    this->Listener({{}, {Answer}}, Now);
}

PoisonRequestUpdate RequestGuard::takeNews(const PoisonRequestUpdate &News,
                                           TimePoint Now) {
  PoisonRequestUpdate Taken;
  std::lock_guard<std::mutex> Lock(this->Mutex);
  for (const RequestEnd &End : News.Ends) {
    const bool WasHeld =
        this->Table.classify(End.Request, Now) != QuarantineVerdict::Allowed;
    if (!this->Table.recordEnd(End, false, Now))
      continue;
    Taken.Ends.push_back(End);
    this->logChange(End.Request, WasHeld, Now);
  }
  for (const RequestAnswer &Answer : News.Answers) {
    const bool WasHeld =
        this->Table.classify(Answer.Request, Now) != QuarantineVerdict::Allowed;
    if (!this->Table.applyPeerAnswer(Answer))
      continue;
    Taken.Answers.push_back(Answer);
    this->logChange(Answer.Request, WasHeld, Now);
  }
  return Taken;
}

PoisonRequestUpdate RequestGuard::buildUpdate(size_t MaxRows,
                                              TimePoint Now) const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Table.buildUpdate(MaxRows, Now);
}

void RequestGuard::applyRecords(const std::vector<PoisonRequestRecord> &Records,
                                TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const size_t Before = this->Table.countQuarantined();
  this->Table.applyRecords(Records, Now);
  const size_t After = this->Table.countQuarantined();
  if (Before != After)
    logInfo("suspects-read", "records={} held={} before={}", Records.size(),
            After, Before);
}

void RequestGuard::invalidateRecords() {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Table.invalidateRecords();
}

std::vector<PoisonRequestRecord> RequestGuard::listUnrecorded() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Table.listUnrecorded();
}

std::vector<RequestFingerprint> RequestGuard::listCleared() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Table.listCleared();
}

std::vector<PoisonRequestStatus> RequestGuard::describe() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Table.describe();
}

void RequestGuard::forgetOld(TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Table.forgetOld(Now);
}

} // namespace canvaswick
