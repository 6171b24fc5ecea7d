//===- PoisonRequestTable.cpp - Requests that crash backend servers -------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// All daemons that know the same ends and answers come to the same verdict, in
/// whatever order they learned of them.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Admission/PoisonRequestTable.h"

#include <algorithm>
#include <array>
#include <utility>

namespace canvaswick {

/// Number of independent ends at which a request is quarantined. After its
/// third end, the users' rule lets a request reach servers three more times.
static constexpr size_t EndsToQuarantine = 3;

/// Servers that end within this time of each other, while the request was in
/// flight at all of them, are assumed to have ended for a common cause: a rack
/// that loses power looks like this at every frequent request. It is far above
/// the spread of such ends (some milliseconds) and below the time that a caller
/// needs for three more requests.
static constexpr Duration CommonCauseWindow = fromMillis(100);

/// Upper bound of the difference between the times at which two daemons observe
/// the same end of a server.
static constexpr Duration MaxObservationSkew = fromMillis(250);

/// How long an end counts. A request that ends a server each time must not be
/// forgotten between two rare arrivals; a frequent request that is harmless is
/// cleared by its next answer.
static constexpr Duration EndRetention = fromSeconds(600);

/// How long after the previous probe, or after the start of the quarantine, the
/// next one is due, by the number of probes so far. The first two release
/// requests that were quarantined wrongly because servers ended for another
/// reason: such servers are mostly back after some seconds. The first probe
/// comes before the users start to count (three seconds after the third end);
/// they allow three more in all, which are the next three. The last ones find
/// out whether the servers were fixed.
static constexpr std::array<Duration, 5> ProbeDelays = {
    fromSeconds(2), fromSeconds(5), fromSeconds(30), fromSeconds(600),
    fromSeconds(6 * 3600)};

/// Delay after a probe that another daemon obtained, or for which the store did
/// not answer.
static constexpr Duration PostponedProbeDelay = fromSeconds(1);

/// How long an answer is reported again and again. A daemon that missed it
/// continues to report the earlier ends, and others that have never received
/// the request would take these for new.
static constexpr Duration AnswerReportTime = fromSeconds(5);

/// Number of requests that are remembered, at about 300 bytes each. A caller
/// that keeps sending new requests evicts only requests with a single end.
static constexpr size_t MaxRequests = 256;

/// Number of ends that are remembered for each request.
static constexpr size_t MaxEnds = 8;

/// Number of ends from which on a request is recorded in the store. A single
/// end is mostly chance, and each record costs a call.
static constexpr size_t EndsToRecord = 2;

/// Returns whether two attempts ended with the same instance of a server. An
/// attempt that began after the other had ended met the next instance, however
/// soon that started.
static bool areSameEnd(const RequestEnd &One, const RequestEnd &Two) {
  const Duration Apart = One.Ended - Two.Ended;
  return One.Server == Two.Server && One.Began < Two.Ended &&
         Two.Began < One.Ended && std::max(Apart, -Apart) <= MaxObservationSkew;
}

/// Returns the number of ends, counting those with a common cause as one.
static size_t countIndependent(const std::vector<RequestEnd> &Ends) {
  size_t Count = 0;
  const RequestEnd *Last = nullptr;
  for (const RequestEnd &Each : Ends) {
    const bool HasCommonCause = Last && Each.Began < Last->Ended &&
                                Each.Ended - Last->Ended <= CommonCauseWindow;
    if (HasCommonCause)
      continue;
    ++Count;
    Last = &Each;
  }
  return Count;
}

/// Returns when the request reached EndsToQuarantine independent ends. It must
/// have that many.
static TimePoint findQuarantineStart(const std::vector<RequestEnd> &Ends) {
  for (size_t Count = 1; Count <= Ends.size(); ++Count) {
    const auto Until = Ends.begin() + static_cast<ptrdiff_t>(Count);
    if (countIndependent({Ends.begin(), Until}) == EndsToQuarantine)
      return Ends[Count - 1].Ended;
  }
  return Ends.back().Ended;
}

static Duration getProbeDelay(int Probes) {
  const auto Index = static_cast<size_t>(std::max(0, Probes));
  return ProbeDelays[std::min(Index, ProbeDelays.size() - 1)];
}

PoisonRequestTable::Suspect *
PoisonRequestTable::find(RequestFingerprint Request) {
  const auto Found = this->Requests.find(Request);
  return Found == this->Requests.end() ? nullptr : &Found->second;
}

const PoisonRequestTable::Suspect *
PoisonRequestTable::find(RequestFingerprint Request) const {
  const auto Found = this->Requests.find(Request);
  return Found == this->Requests.end() ? nullptr : &Found->second;
}

/// Inserts an end in order. Returns whether it was new.
bool PoisonRequestTable::addEnd(Suspect &Entry, const RequestEnd &End) const {
  if (Entry.AnsweredAt && End.Ended <= *Entry.AnsweredAt)
    return false;
  const bool IsKnown = std::any_of(
      Entry.Ends.begin(), Entry.Ends.end(), [&End](const RequestEnd &Other) {
        return Other.Id == End.Id || areSameEnd(Other, End);
      });
  if (IsKnown || Entry.Ends.size() >= MaxEnds)
    return false;
  const auto Index =
      std::upper_bound(Entry.Ends.begin(), Entry.Ends.end(), End,
                       [](const RequestEnd &Left, const RequestEnd &Right) {
                         return Left.Ended < Right.Ended;
                       });
  Entry.Ends.insert(Index, End);
  return true;
}

/// Returns whether a quarantined request was in flight at the same end.
bool PoisonRequestTable::isExplained(const RequestEnd &End) const {
  return std::any_of(this->Requests.begin(), this->Requests.end(),
                     [&End](const auto &Entry) {
                       const auto &[Request, Other] = Entry;
                       if (Request == End.Request || !Other.QuarantinedSince)
                         return false;
                       return std::any_of(Other.Ends.begin(), Other.Ends.end(),
                                          [&End](const RequestEnd &Each) {
                                            return areSameEnd(Each, End);
                                          });
                     });
}

/// Removes the ends of a request that is now quarantined from the other
/// requests that were in flight or queued at the same ends.
void PoisonRequestTable::removeExplainedEnds(
    RequestFingerprint QuarantinedRequest, const Suspect &By) {
  for (auto &[Request, Other] : this->Requests) {
    if (Request == QuarantinedRequest || Other.QuarantinedSince)
      continue;
    std::erase_if(Other.Ends, [&By](const RequestEnd &End) {
      return std::any_of(
          By.Ends.begin(), By.Ends.end(),
          [&End](const RequestEnd &Each) { return areSameEnd(Each, End); });
    });
  }
}

void PoisonRequestTable::updateQuarantine(RequestFingerprint Request,
                                          Suspect &Entry) {
  if (countIndependent(Entry.Ends) < EndsToQuarantine)
    return;
  // This also applies to a request that is quarantined already: an earlier end
  // may arrive late, and probes must be due at the same time at all daemons
  // that know the same ends.
  Entry.QuarantinedSince = findQuarantineStart(Entry.Ends);
  this->removeExplainedEnds(Request, Entry);
}

/// If the table is full, evicts a request with the fewest ends, and among these
/// the oldest.
void PoisonRequestTable::evictIfFull() {
  if (this->Requests.size() < MaxRequests)
    return;
  const auto Victim = std::min_element(
      this->Requests.begin(), this->Requests.end(),
      [](const auto &Left, const auto &Right) {
        const std::vector<RequestEnd> &One = Left.second.Ends;
        const std::vector<RequestEnd> &Two = Right.second.Ends;
        if (One.size() != Two.size())
          return One.size() < Two.size();
        return !One.empty() && One.back().Ended < Two.back().Ended;
      });
  this->Requests.erase(Victim);
}

bool PoisonRequestTable::recordEnd(const RequestEnd &End, bool IsLocal,
                                   TimePoint Now) {
  if (Now - End.Ended >= EndRetention || this->isExplained(End))
    return false;
  Suspect *Entry = this->find(End.Request);
  if (!Entry) {
    this->evictIfFull();
    Entry = &this->Requests[End.Request];
  }
  Entry->IsLocal = Entry->IsLocal || IsLocal;
  if (!this->addEnd(*Entry, End))
    return false;
  this->updateQuarantine(End.Request, *Entry);
  return true;
}

/// Clears a request of the ends up to an instant.
void PoisonRequestTable::clear(Suspect &Entry, TimePoint At) {
  Entry.AnsweredAt = std::max(Entry.AnsweredAt.value_or(At), At);
  std::erase_if(Entry.Ends,
                [At](const RequestEnd &End) { return End.Ended <= At; });
  Entry.QuarantinedSince.reset();
  Entry.HasReturnedProbe = false;
  Entry.Probes = 0;
}

bool PoisonRequestTable::recordLocalAnswer(const RequestAnswer &Answer) {
  Suspect *Entry = this->find(Answer.Request);
  if (!Entry || Entry->Ends.empty() || Entry->Ends.front().Ended > Answer.At)
    return false;
  Entry->IsClearedLocally = true;
  this->clear(*Entry, Answer.At);
  this->updateQuarantine(Answer.Request, *Entry);
  return true;
}

bool PoisonRequestTable::applyPeerAnswer(const RequestAnswer &Answer) {
  Suspect *Entry = this->find(Answer.Request);
  if (Entry && Entry->AnsweredAt && *Entry->AnsweredAt >= Answer.At)
    return false;
  // Reports of ends before this answer may still arrive.
  if (!Entry) {
    this->evictIfFull();
    Entry = &this->Requests[Answer.Request];
  }
  this->clear(*Entry, Answer.At);
  this->updateQuarantine(Answer.Request, *Entry);
  return true;
}

QuarantineVerdict PoisonRequestTable::classify(RequestFingerprint Request,
                                               TimePoint Now) const {
  const Suspect *Entry = this->find(Request);
  if (!Entry || !Entry->QuarantinedSince)
    return QuarantineVerdict::Allowed;
  return this->getWait(Request, Now) > Duration::zero()
             ? QuarantineVerdict::Quarantined
             : QuarantineVerdict::ProbeDue;
}

Duration PoisonRequestTable::getWait(RequestFingerprint Request,
                                     TimePoint Now) const {
  const Suspect *Entry = this->find(Request);
  if (!Entry || !Entry->QuarantinedSince)
    return Duration::zero();
  const TimePoint Since = std::max(*Entry->QuarantinedSince, Entry->ProbedAt);
  return std::max(Duration::zero(), Since + getProbeDelay(Entry->Probes) - Now);
}

bool PoisonRequestTable::isSuspect(RequestFingerprint Request,
                                   EndedServerId Server) const {
  const Suspect *Entry = this->find(Request);
  return Entry && std::any_of(Entry->Ends.begin(), Entry->Ends.end(),
                              [Server](const RequestEnd &Each) {
                                return Each.Server != Server;
                              });
}

void PoisonRequestTable::recordProbe(RequestFingerprint Request,
                                     TimePoint Now) {
  Suspect *Entry = this->find(Request);
  if (!Entry)
    return;
  Entry->ProbedAt = Now;
  ++Entry->Probes;
}

void PoisonRequestTable::returnProbe(RequestFingerprint Request) {
  Suspect *Entry = this->find(Request);
  if (Entry && Entry->QuarantinedSince)
    Entry->HasReturnedProbe = true;
}

bool PoisonRequestTable::takeReturnedProbe(RequestFingerprint Request) {
  Suspect *Entry = this->find(Request);
  return Entry && std::exchange(Entry->HasReturnedProbe, false);
}

void PoisonRequestTable::postponeProbe(RequestFingerprint Request,
                                       TimePoint Now) {
  if (Suspect *Entry = this->find(Request))
    Entry->ProbedAt =
        std::max(Entry->ProbedAt,
                 Now + PostponedProbeDelay - getProbeDelay(Entry->Probes));
}

/// Applies one record if it has changed, adding what it has beyond what is
/// known here.
void PoisonRequestTable::applyRecord(const PoisonRequestRecord &Record,
                                     TimePoint Now) {
  Suspect *Entry = this->find(Record.Request);
  if (!Entry) {
    this->evictIfFull();
    Entry = &this->Requests[Record.Request];
  }
  if (Entry->RecordedEnds > 0 && Entry->RecordedMillis == Record.ChangedMillis)
    return;
  for (const RequestEnd &End : Record.Ends)
    this->addEnd(*Entry, End);
  Entry->RecordedEnds = Record.Ends.size();
  Entry->RecordedMillis = Record.ChangedMillis;
  if (Record.Probes > Entry->Probes) {
    Entry->Probes = Record.Probes;
    Entry->ProbedAt = Now;
  }
  this->updateQuarantine(Record.Request, *Entry);
}

void PoisonRequestTable::applyRecords(
    const std::vector<PoisonRequestRecord> &Records, TimePoint Now) {
  for (const PoisonRequestRecord &Record : Records)
    this->applyRecord(Record, Now);
  for (auto &[Request, Entry] : this->Requests) {
    const RequestFingerprint Wanted = Request;
    const bool IsListed =
        std::any_of(Records.begin(), Records.end(),
                    [Wanted](const PoisonRequestRecord &Record) {
                      return Record.Request == Wanted;
                    });
    if (IsListed || Entry.RecordedEnds == 0)
      continue;
    Entry.RecordedEnds = 0;
    this->clear(Entry, Now);
  }
}

void PoisonRequestTable::invalidateRecords() {
  for (auto &[Request, Entry] : this->Requests)
    Entry.RecordedEnds = 0;
}

PoisonRequestRecord
PoisonRequestTable::getRecord(RequestFingerprint Request) const {
  PoisonRequestRecord Record;
  Record.Request = Request;
  if (const Suspect *Entry = this->find(Request)) {
    Record.Ends = Entry->Ends;
    Record.Probes = Entry->Probes;
  }
  return Record;
}

std::vector<PoisonRequestRecord> PoisonRequestTable::listUnrecorded() const {
  std::vector<PoisonRequestRecord> Missing;
  for (const auto &[Request, Entry] : this->Requests) {
    const size_t Ends = Entry.Ends.size();
    // More ends add nothing to a request that is already quarantined.
    const bool IsRecorded =
        Entry.RecordedEnds >= std::min(Ends, EndsToQuarantine);
    if (Entry.IsLocal && Ends >= EndsToRecord && !IsRecorded)
      Missing.push_back(this->getRecord(Request));
  }
  return Missing;
}

std::vector<RequestFingerprint> PoisonRequestTable::listCleared() const {
  std::vector<RequestFingerprint> Cleared;
  for (const auto &[Request, Entry] : this->Requests)
    if (Entry.RecordedEnds > 0 && Entry.Ends.empty() && Entry.IsClearedLocally)
      Cleared.push_back(Request);
  return Cleared;
}

PoisonRequestUpdate PoisonRequestTable::buildUpdate(size_t MaxRows,
                                                    TimePoint Now) const {
  std::vector<const Suspect *> Order;
  PoisonRequestUpdate Update;
  for (const auto &[Request, Entry] : this->Requests) {
    Order.push_back(&Entry);
    if (Entry.AnsweredAt && Now - *Entry.AnsweredAt < AnswerReportTime &&
        Update.Answers.size() < MaxRows / 2)
      Update.Answers.push_back({Request, *Entry.AnsweredAt});
  }
  std::stable_sort(Order.begin(), Order.end(),
                   [](const Suspect *Left, const Suspect *Right) {
                     return Left->Ends.size() > Right->Ends.size();
                   });
  for (const Suspect *Entry : Order)
    for (const RequestEnd &End : Entry->Ends)
      if (Update.Ends.size() + Update.Answers.size() < MaxRows)
        Update.Ends.push_back(End);
  return Update;
}

std::vector<PoisonRequestStatus> PoisonRequestTable::describe() const {
  std::vector<PoisonRequestStatus> All;
  for (const auto &[Request, Entry] : this->Requests) {
    if (Entry.Ends.empty())
      continue;
    PoisonRequestStatus Status;
    Status.Record = this->getRecord(Request);
    Status.IsQuarantined = Entry.QuarantinedSince.has_value();
    if (Status.IsQuarantined)
      Status.NextProbe = std::max(*Entry.QuarantinedSince, Entry.ProbedAt) +
                         getProbeDelay(Entry.Probes);
    All.push_back(std::move(Status));
  }
  return All;
}

void PoisonRequestTable::forgetOld(TimePoint Now) {
  for (auto &[Request, Entry] : this->Requests)
    if (!Entry.QuarantinedSince)
      std::erase_if(Entry.Ends, [Now](const RequestEnd &End) {
        return Now - End.Ended >= EndRetention;
      });
  std::erase_if(this->Requests, [Now](const auto &Each) {
    const Suspect &Entry = Each.second;
    // A quarantined request is kept until its last probe delay has passed.
    if (Entry.QuarantinedSince)
      return Now - std::max(*Entry.QuarantinedSince, Entry.ProbedAt) >=
             ProbeDelays.back() + EndRetention;
    const bool IsAnswerOld =
        !Entry.AnsweredAt || Now - *Entry.AnsweredAt >= EndRetention;
    return Entry.Ends.empty() && Entry.RecordedEnds == 0 && IsAnswerOld;
  });
}

size_t PoisonRequestTable::countQuarantined() const {
  return static_cast<size_t>(std::count_if(
      this->Requests.begin(), this->Requests.end(), [](const auto &Each) {
        return Each.second.QuarantinedSince.has_value();
      }));
}

} // namespace canvaswick
