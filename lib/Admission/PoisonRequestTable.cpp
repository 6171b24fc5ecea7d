//===- PoisonRequestTable.cpp - Requests under which servers end ----------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Ends and answers in, verdicts out. All daemons that have heard of the same
/// ends and answers come to the same verdict.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Admission/PoisonRequestTable.h"

#include <algorithm>
#include <array>
#include <utility>

namespace canvaswick {

/// Ends after which a request is held back. By the users' rule a request may
/// still reach servers three times after its third.
static constexpr size_t EndsToHold = 3;

/// Servers that end within this time of each other, while the request was in
/// flight at all of them, ended for one reason: a rack that lost power looks
/// like this at every request that is asked for often. Far above the spread of
/// such ends (some milliseconds), and below the time that a caller needs to ask
/// again three times.
static constexpr Duration AtOnce = fromMillis(100);

/// By how much daemons see the end of one server at different times, at most.
static constexpr Duration SeenApart = fromMillis(250);

/// How long an end counts. A request that ends a server each time must not come
/// back so seldom that it is forgotten between; one that is asked for and well
/// is cleared by its next answer.
static constexpr Duration EndMemory = fromSeconds(600);

/// After how long the next try of a request that is held back is due, by the
/// tries it has had. The first two serve those that were held back wrongly,
/// while servers ended for another reason: these are mostly back after some
/// seconds. The first is sent before the users count (three seconds after the
/// third end); they allow three more in all, which are the next three. The last
/// ones find out whether servers were mended.
static constexpr std::array<Duration, 5> TryWaits = {
    fromSeconds(2), fromSeconds(5), fromSeconds(30), fromSeconds(600),
    fromSeconds(6 * 3600)};

/// After a try that another daemon has, or that the store did not answer for.
static constexpr Duration MissedTryWait = fromSeconds(1);

/// How long it is told again that a request was answered. Who missed it goes on
/// telling the ends before; others, which have never heard of the request,
/// would take them for new.
static constexpr Duration AnswerRetold = fromSeconds(5);

/// Requests that are remembered, at some 300 bytes each. Who invents new ones
/// pushes out only such with a single end.
static constexpr size_t MaxSuspects = 256;

/// Ends of one request that are remembered.
static constexpr size_t MaxEnds = 8;

/// Ends from which on a request's record is kept outside: one alone is mostly
/// chance, and a call each.
static constexpr size_t EndsToRecord = 2;

/// Returns whether two attempts ended with the same life of a server. One that
/// began after the other had ended met the next life, however soon that came.
static bool areSameEnd(const RequestEnd &One, const RequestEnd &Two) {
  const Duration Apart = One.Ended - Two.Ended;
  return One.Server == Two.Server && One.Began < Two.Ended &&
         Two.Began < One.Ended && std::max(Apart, -Apart) <= SeenApart;
}

/// Counts ends, those at one moment as one.
static size_t countSeparate(const std::vector<RequestEnd> &Ends) {
  size_t Count = 0;
  const RequestEnd *Last = nullptr;
  for (const RequestEnd &Each : Ends) {
    const bool IsAtOnce =
        Last && Each.Began < Last->Ended && Each.Ended - Last->Ended <= AtOnce;
    if (IsAtOnce)
      continue;
    ++Count;
    Last = &Each;
  }
  return Count;
}

/// Returns when the third separate end came. There must be as many.
static TimePoint findHoldStart(const std::vector<RequestEnd> &Ends) {
  for (size_t Count = 1; Count <= Ends.size(); ++Count) {
    const auto Until = Ends.begin() + static_cast<ptrdiff_t>(Count);
    if (countSeparate({Ends.begin(), Until}) == EndsToHold)
      return Ends[Count - 1].Ended;
  }
  return Ends.back().Ended;
}

static Duration getTryWait(int Probes) {
  const auto Place = static_cast<size_t>(std::max(0, Probes));
  return TryWaits[std::min(Place, TryWaits.size() - 1)];
}

PoisonRequestTable::Suspect *
PoisonRequestTable::find(RequestFingerprint Request) {
  const auto Found = this->Suspects.find(Request);
  return Found == this->Suspects.end() ? nullptr : &Found->second;
}

const PoisonRequestTable::Suspect *
PoisonRequestTable::find(RequestFingerprint Request) const {
  const auto Found = this->Suspects.find(Request);
  return Found == this->Suspects.end() ? nullptr : &Found->second;
}

/// Adds an end in its place. Returns whether it was not known.
bool PoisonRequestTable::addEnd(Suspect &Entry, const RequestEnd &End) const {
  if (Entry.AnsweredAt && End.Ended <= *Entry.AnsweredAt)
    return false;
  const bool IsKnown = std::any_of(
      Entry.Ends.begin(), Entry.Ends.end(), [&End](const RequestEnd &Other) {
        return Other.Id == End.Id || areSameEnd(Other, End);
      });
  if (IsKnown || Entry.Ends.size() >= MaxEnds)
    return false;
  const auto Place =
      std::upper_bound(Entry.Ends.begin(), Entry.Ends.end(), End,
                       [](const RequestEnd &Left, const RequestEnd &Right) {
                         return Left.Ended < Right.Ended;
                       });
  Entry.Ends.insert(Place, End);
  return true;
}

/// Returns whether a request that is held back was in flight at the same end.
bool PoisonRequestTable::isExplained(const RequestEnd &End) const {
  return std::any_of(this->Suspects.begin(), this->Suspects.end(),
                     [&End](const auto &Entry) {
                       const auto &[Request, Other] = Entry;
                       if (Request == End.Request || !Other.HeldSince)
                         return false;
                       return std::any_of(Other.Ends.begin(), Other.Ends.end(),
                                          [&End](const RequestEnd &Each) {
                                            return areSameEnd(Each, End);
                                          });
                     });
}

/// Takes the ends of a request that is now held back away from the others that
/// were in flight or queued at them.
void PoisonRequestTable::explainOthers(RequestFingerprint Held,
                                       const Suspect &By) {
  for (auto &[Request, Other] : this->Suspects) {
    if (Request == Held || Other.HeldSince)
      continue;
    std::erase_if(Other.Ends, [&By](const RequestEnd &End) {
      return std::any_of(
          By.Ends.begin(), By.Ends.end(),
          [&End](const RequestEnd &Each) { return areSameEnd(Each, End); });
    });
  }
}

void PoisonRequestTable::updateHold(RequestFingerprint Request,
                                    Suspect &Entry) {
  if (countSeparate(Entry.Ends) < EndsToHold)
    return;
  // Also for one that is held: an earlier end may have come late, and tries are
  // due at the same time for all who know of the same ends.
  Entry.HeldSince = findHoldStart(Entry.Ends);
  this->explainOthers(Request, Entry);
}

/// Leaves out a request with the fewest ends, and of these the oldest, if there
/// are too many.
void PoisonRequestTable::makeRoom() {
  if (this->Suspects.size() < MaxSuspects)
    return;
  const auto Least = std::min_element(
      this->Suspects.begin(), this->Suspects.end(),
      [](const auto &Left, const auto &Right) {
        const std::vector<RequestEnd> &One = Left.second.Ends;
        const std::vector<RequestEnd> &Two = Right.second.Ends;
        if (One.size() != Two.size())
          return One.size() < Two.size();
        return !One.empty() && One.back().Ended < Two.back().Ended;
      });
  this->Suspects.erase(Least);
}

bool PoisonRequestTable::recordEnd(const RequestEnd &End, bool IsOwn,
                                   TimePoint Now) {
  if (Now - End.Ended >= EndMemory || this->isExplained(End))
    return false;
  Suspect *Entry = this->find(End.Request);
  if (!Entry) {
    this->makeRoom();
    Entry = &this->Suspects[End.Request];
  }
  Entry->IsOwn = Entry->IsOwn || IsOwn;
  if (!this->addEnd(*Entry, End))
    return false;
  this->updateHold(End.Request, *Entry);
  return true;
}

/// Clears a request of the ends up to an instant.
void PoisonRequestTable::clear(Suspect &Entry, TimePoint At) {
  Entry.AnsweredAt = std::max(Entry.AnsweredAt.value_or(At), At);
  std::erase_if(Entry.Ends,
                [At](const RequestEnd &End) { return End.Ended <= At; });
  Entry.HeldSince.reset();
  Entry.HasReturnedTry = false;
  Entry.Probes = 0;
}

bool PoisonRequestTable::recordLocalAnswer(const RequestAnswer &Answer) {
  Suspect *Entry = this->find(Answer.Request);
  if (!Entry || Entry->Ends.empty() || Entry->Ends.front().Ended > Answer.At)
    return false;
  Entry->IsClearedHere = true;
  this->clear(*Entry, Answer.At);
  this->updateHold(Answer.Request, *Entry);
  return true;
}

bool PoisonRequestTable::applyPeerAnswer(const RequestAnswer &Answer) {
  Suspect *Entry = this->find(Answer.Request);
  if (Entry && Entry->AnsweredAt && *Entry->AnsweredAt >= Answer.At)
    return false;
  // Ends before it may be on their way still.
  if (!Entry) {
    this->makeRoom();
    Entry = &this->Suspects[Answer.Request];
  }
  this->clear(*Entry, Answer.At);
  this->updateHold(Answer.Request, *Entry);
  return true;
}

QuarantineVerdict PoisonRequestTable::classify(RequestFingerprint Request,
                                               TimePoint Now) const {
  const Suspect *Entry = this->find(Request);
  if (!Entry || !Entry->HeldSince)
    return QuarantineVerdict::Allowed;
  return this->getWait(Request, Now) > Duration::zero()
             ? QuarantineVerdict::Quarantined
             : QuarantineVerdict::ProbeDue;
}

Duration PoisonRequestTable::getWait(RequestFingerprint Request,
                                     TimePoint Now) const {
  const Suspect *Entry = this->find(Request);
  if (!Entry || !Entry->HeldSince)
    return Duration::zero();
  const TimePoint Since = std::max(*Entry->HeldSince, Entry->TriedAt);
  return std::max(Duration::zero(), Since + getTryWait(Entry->Probes) - Now);
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
  Entry->TriedAt = Now;
  ++Entry->Probes;
}

void PoisonRequestTable::returnProbe(RequestFingerprint Request) {
  Suspect *Entry = this->find(Request);
  if (Entry && Entry->HeldSince)
    Entry->HasReturnedTry = true;
}

bool PoisonRequestTable::takeReturnedProbe(RequestFingerprint Request) {
  Suspect *Entry = this->find(Request);
  return Entry && std::exchange(Entry->HasReturnedTry, false);
}

void PoisonRequestTable::postponeProbe(RequestFingerprint Request,
                                       TimePoint Now) {
  if (Suspect *Entry = this->find(Request))
    Entry->TriedAt = std::max(Entry->TriedAt,
                              Now + MissedTryWait - getTryWait(Entry->Probes));
}

/// Takes one record, if it has changed: what it has more than is known here
/// counts.
void PoisonRequestTable::takeRecord(const PoisonRequestRecord &Record,
                                    TimePoint Now) {
  Suspect *Entry = this->find(Record.Request);
  if (!Entry) {
    this->makeRoom();
    Entry = &this->Suspects[Record.Request];
  }
  if (Entry->RecordedEnds > 0 && Entry->RecordedMillis == Record.ChangedMillis)
    return;
  for (const RequestEnd &End : Record.Ends)
    this->addEnd(*Entry, End);
  Entry->RecordedEnds = Record.Ends.size();
  Entry->RecordedMillis = Record.ChangedMillis;
  if (Record.Probes > Entry->Probes) {
    Entry->Probes = Record.Probes;
    Entry->TriedAt = Now;
  }
  this->updateHold(Record.Request, *Entry);
}

void PoisonRequestTable::applyRecords(
    const std::vector<PoisonRequestRecord> &Records, TimePoint Now) {
  for (const PoisonRequestRecord &Record : Records)
    this->takeRecord(Record, Now);
  for (auto &[Request, Entry] : this->Suspects) {
    const RequestFingerprint Wanted = Request;
    const bool IsThere =
        std::any_of(Records.begin(), Records.end(),
                    [Wanted](const PoisonRequestRecord &Record) {
                      return Record.Request == Wanted;
                    });
    if (IsThere || Entry.RecordedEnds == 0)
      continue;
    Entry.RecordedEnds = 0;
    this->clear(Entry, Now);
  }
}

void PoisonRequestTable::invalidateRecords() {
  for (auto &[Request, Entry] : this->Suspects)
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
  for (const auto &[Request, Entry] : this->Suspects) {
    const size_t Ends = Entry.Ends.size();
    // What is held back already gains nothing by more ends.
    const bool IsRecorded = Entry.RecordedEnds >= std::min(Ends, EndsToHold);
    if (Entry.IsOwn && Ends >= EndsToRecord && !IsRecorded)
      Missing.push_back(this->getRecord(Request));
  }
  return Missing;
}

std::vector<RequestFingerprint> PoisonRequestTable::listCleared() const {
  std::vector<RequestFingerprint> Cleared;
  for (const auto &[Request, Entry] : this->Suspects)
    if (Entry.RecordedEnds > 0 && Entry.Ends.empty() && Entry.IsClearedHere)
      Cleared.push_back(Request);
  return Cleared;
}

PoisonRequestUpdate PoisonRequestTable::buildUpdate(size_t MaxRows,
                                                    TimePoint Now) const {
  std::vector<const Suspect *> Order;
  PoisonRequestUpdate News;
  for (const auto &[Request, Entry] : this->Suspects) {
    Order.push_back(&Entry);
    if (Entry.AnsweredAt && Now - *Entry.AnsweredAt < AnswerRetold &&
        News.Answers.size() < MaxRows / 2)
      News.Answers.push_back({Request, *Entry.AnsweredAt});
  }
  std::stable_sort(Order.begin(), Order.end(),
                   [](const Suspect *Left, const Suspect *Right) {
                     return Left->Ends.size() > Right->Ends.size();
                   });
  for (const Suspect *Entry : Order)
    for (const RequestEnd &End : Entry->Ends)
      if (News.Ends.size() + News.Answers.size() < MaxRows)
        News.Ends.push_back(End);
  return News;
}

std::vector<PoisonRequestStatus> PoisonRequestTable::describe() const {
  std::vector<PoisonRequestStatus> All;
  for (const auto &[Request, Entry] : this->Suspects) {
    if (Entry.Ends.empty())
      continue;
    PoisonRequestStatus Status;
    Status.Record = this->getRecord(Request);
    Status.IsQuarantined = Entry.HeldSince.has_value();
    if (Status.IsQuarantined)
      Status.NextProbe =
          std::max(*Entry.HeldSince, Entry.TriedAt) + getTryWait(Entry.Probes);
    All.push_back(std::move(Status));
  }
  return All;
}

void PoisonRequestTable::forgetOld(TimePoint Now) {
  for (auto &[Request, Entry] : this->Suspects)
    if (!Entry.HeldSince)
      std::erase_if(Entry.Ends, [Now](const RequestEnd &End) {
        return Now - End.Ended >= EndMemory;
      });
  std::erase_if(this->Suspects, [Now](const auto &Each) {
    const Suspect &Entry = Each.second;
    // What is held back is remembered until its last try has passed.
    if (Entry.HeldSince)
      return Now - std::max(*Entry.HeldSince, Entry.TriedAt) >=
             TryWaits.back() + EndMemory;
    const bool IsAnswerOld =
        !Entry.AnsweredAt || Now - *Entry.AnsweredAt >= EndMemory;
    return Entry.Ends.empty() && Entry.RecordedEnds == 0 && IsAnswerOld;
  });
}

size_t PoisonRequestTable::countQuarantined() const {
  return static_cast<size_t>(std::count_if(
      this->Suspects.begin(), this->Suspects.end(),
      [](const auto &Each) { return Each.second.HeldSince.has_value(); }));
}

} // namespace canvaswick
