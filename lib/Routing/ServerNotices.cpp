//===- ServerNotices.cpp - What servers say of themselves -----------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Each word has a bound in time, so that a server that lies or dies is asked
/// again, and memory is bounded by the servers that spoke of late.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Routing/ServerNotices.h"
#include "canvaswick/Support/EnumNames.h"

#include <algorithm>

namespace canvaswick {

/// Limits are taken to be no less and no more than this, in requests a second.
/// Below it nobody would notice that the server takes more again.
static constexpr double LeastLimit = 0.1;
static constexpr double MostLimit = 100000;

/// A limit that nobody has named for this long is forgotten.
static constexpr Duration LimitLife = fromSeconds(300);

/// That a limit has ended is remembered this long, for peers that hear of it
/// late.
static constexpr Duration EndedLife = fromSeconds(5);

/// How often peers hear of one limit: a few times while their word is new.
static constexpr Duration ReportInterval = fromMillis(500);

/// A server that leaves is gone well before; one that is still there then is
/// asked again.
static constexpr Duration LeavingLife = fromSeconds(300);

/// Of a server whose words cannot be understood it is said once in this time.
static constexpr Duration MisreadLife = fromSeconds(60);

/// Where all servers leave, others may take their place at any time: callers
/// are asked to look again after this.
static constexpr Duration SuccessorWait = fromSeconds(1);

/// No rest is taken to be longer.
static constexpr Duration MostRest = fromSeconds(300);

static constexpr EnumNames<NoticeKind, 4> NoticeKindNames = {{
    {NoticeKind::Limit, "limit"},
    {NoticeKind::Leaving, "leaving"},
    {NoticeKind::Backoff, "rest"},
    {NoticeKind::Malformed, "misread"},
}};

static constexpr EnumNames<NoticeStep, 3> NoticeStepNames = {{
    {NoticeStep::Begun, "begun"},
    {NoticeStep::Changed, "changed"},
    {NoticeStep::Ended, "ended"},
}};

const char *getName(NoticeKind Kind) {
  return getEnumName(NoticeKindNames, Kind);
}

const char *getName(NoticeStep Step) {
  return getEnumName(NoticeStepNames, Step);
}

/// Returns whether an instant that may not be set is still to come.
static bool isAhead(const std::optional<TimePoint> &Until, TimePoint Now) {
  return Until && Now < *Until;
}

void ServerNotices::setFleet(const FleetDaemons &Given, TimePoint Now) {
  if (Given == this->Fleet)
    return;
  this->Fleet = Given;
  for (auto &[Id, Of] : this->Entries)
    if (Of.Limit)
      Of.Limit->setFleet(Given, Now);
}

ServerNotices::Entry &ServerNotices::findEntry(const NoticeSource &Of) {
  Entry &Found = this->Entries[Of.Id];
  Found.Key = Of.Key;
  Found.Hall = Of.Hall;
  return Found;
}

void ServerNotices::setLimit(Entry &Of, double Asked, TimePoint HeardAt,
                             TimePoint Now, Changes &All) const {
  const double Named = std::clamp(Asked, LeastLimit, MostLimit);
  if (!Of.Limit) {
    All.push_back({Of.Key, NoticeKind::Limit, NoticeStep::Begun, Named});
    Of.Limit.emplace(Of.Key, Of.Hall, Named, HeardAt, this->Fleet, Now);
    return;
  }
  if (Of.Limit->getPerSecond() != Named)
    All.push_back({Of.Key, NoticeKind::Limit, NoticeStep::Changed, Named});
  Of.Limit->updateLimit(Named, HeardAt, this->Fleet, Now);
}

void ServerNotices::endLimit(Entry &Of, TimePoint At, Changes &All) {
  All.push_back(
      {Of.Key, NoticeKind::Limit, NoticeStep::Ended, Of.Limit->getPerSecond()});
  Of.Limit.reset();
  Of.LimitEndedAt = At;
}

void ServerNotices::noteLimit(Entry &Of, const ServerNotice &Notice,
                              TimePoint AskedAt, TimePoint Now,
                              Changes &All) const {
  if (Notice.RequestsPerSecond) {
    this->setLimit(Of, *Notice.RequestsPerSecond, Now, Now, All);
    Of.HasNews = true;
    return;
  }
  // An answer that was on its way before the word came says nothing of it.
  const bool IsTakenBack =
      Of.Limit && Notice.MayEndLimit && AskedAt > Of.Limit->getReceivedAt();
  if (!IsTakenBack)
    return;
  endLimit(Of, Now, All);
  Of.HasNews = true;
}

void ServerNotices::noteLeaving(Entry &Of, TimePoint Now, Changes &All) {
  if (!isAhead(Of.LeavingUntil, Now))
    All.push_back({Of.Key, NoticeKind::Leaving, NoticeStep::Begun, 0});
  Of.LeavingUntil = Now + LeavingLife;
}

void ServerNotices::noteRest(Entry &Of, Duration Rest, TimePoint Now,
                             Changes &All) {
  const TimePoint Until = Now + std::clamp(Rest, Duration::zero(), MostRest);
  if (!isAhead(Of.RestUntil, Now))
    All.push_back({Of.Key, NoticeKind::Backoff, NoticeStep::Begun,
                   toSeconds(Until - Now)});
  // Each wish holds to its end, whatever a later one says.
  Of.RestUntil = Of.RestUntil ? std::max(*Of.RestUntil, Until) : Until;
}

void ServerNotices::noteMisread(Entry &Of, TimePoint Now, Changes &All) {
  if (!isAhead(Of.MisreadUntil, Now))
    All.push_back({Of.Key, NoticeKind::Malformed, NoticeStep::Begun, 0});
  Of.MisreadUntil = Now + MisreadLife;
}

std::vector<NoticeChange>
ServerNotices::recordNotice(const NoticeSource &From,
                            const ServerNotice &Notice, TimePoint AskedAt,
                            TimePoint Now) {
  Changes All;
  if (Notice.isEmpty() && this->Entries.count(From.Id) == 0)
    return All;
  Entry &Of = this->findEntry(From);
  this->noteLimit(Of, Notice, AskedAt, Now, All);
  if (Notice.IsLeaving)
    noteLeaving(Of, Now, All);
  if (Notice.Backoff)
    noteRest(Of, *Notice.Backoff, Now, All);
  if (Notice.IsMalformed)
    noteMisread(Of, Now, All);
  return All;
}

std::vector<NoticeChange> ServerNotices::applyReport(const NoticeSource &From,
                                                     const LimitReport &Given,
                                                     TimePoint Now) {
  Changes All;
  const TimePoint SaidAt = Now - Given.Age;
  const auto Found = this->Entries.find(From.Id);
  const bool IsKnown = Found != this->Entries.end();
  const bool IsOld =
      IsKnown &&
      ((Found->second.Limit &&
        Found->second.Limit->getReceivedAt() >= SaidAt) ||
       (Found->second.LimitEndedAt && *Found->second.LimitEndedAt >= SaidAt));
  const bool HasLimit = IsKnown && Found->second.Limit;
  if (IsOld || (Given.PerSecond <= 0 && !HasLimit))
    return All;
  Entry &Of = this->findEntry(From);
  if (Given.PerSecond > 0)
    this->setLimit(Of, Given.PerSecond, SaidAt, Now, All);
  else
    endLimit(Of, SaidAt, All);
  return All;
}

LimitReport ServerNotices::makeReport(ServerId Server, const Entry &Of,
                                      TimePoint Now) {
  if (Of.Limit)
    return {Server, Of.Limit->getPerSecond(), Now - Of.Limit->getReceivedAt()};
  return {Server, 0, Now - Of.LimitEndedAt.value_or(Now)};
}

std::vector<LimitReport> ServerNotices::drainLimitReports(size_t Most,
                                                          TimePoint Now) {
  std::vector<LimitReport> News;
  for (auto &[Id, Of] : this->Entries) {
    if (!Of.HasNews || News.size() >= Most || Now - Of.ToldAt < ReportInterval)
      continue;
    Of.HasNews = false;
    Of.ToldAt = Now;
    News.push_back(makeReport(Id, Of, Now));
  }
  return News;
}

std::vector<LimitReport> ServerNotices::listLimitReports(size_t Most,
                                                         TimePoint Now) const {
  std::vector<LimitReport> Limits;
  for (const auto &[Id, Of] : this->Entries) {
    const bool IsFresh =
        Of.Limit ? Of.Limit->isFresh(Now) : Of.LimitEndedAt.has_value();
    if (IsFresh && Limits.size() < Most)
      Limits.push_back(makeReport(Id, Of, Now));
  }
  return Limits;
}

double ServerNotices::getShareFactor(ServerId Server, TimePoint Now) const {
  const auto Found = this->Entries.find(Server);
  if (Found == this->Entries.end())
    return 1;
  const Entry &Of = Found->second;
  if (isAhead(Of.LeavingUntil, Now) || isAhead(Of.RestUntil, Now))
    return 0;
  if (!Of.Limit)
    return 1;
  return Of.Limit->maySend(Now) ? Of.Limit->getWeightFactor() : 0;
}

Duration ServerNotices::getWait(ServerId Server, TimePoint Now) const {
  const auto Found = this->Entries.find(Server);
  if (Found == this->Entries.end())
    return Duration::zero();
  const Entry &Of = Found->second;
  if (isAhead(Of.LeavingUntil, Now))
    return SuccessorWait;
  const Duration Rest =
      isAhead(Of.RestUntil, Now) ? *Of.RestUntil - Now : Duration::zero();
  return Of.Limit ? std::max(Rest, Of.Limit->getWait(Now)) : Rest;
}

void ServerNotices::recordRequestSent(ServerId Server, TimePoint Now) {
  const auto Found = this->Entries.find(Server);
  if (Found != this->Entries.end() && Found->second.Limit)
    Found->second.Limit->recordRequestSent(Now);
}

std::optional<NoticeKind> ServerNotices::getActiveKind(ServerId Server,
                                                       TimePoint Now) const {
  const auto Found = this->Entries.find(Server);
  if (Found == this->Entries.end())
    return std::nullopt;
  const Entry &Of = Found->second;
  if (isAhead(Of.LeavingUntil, Now))
    return NoticeKind::Leaving;
  if (isAhead(Of.RestUntil, Now))
    return NoticeKind::Backoff;
  if (Of.Limit)
    return NoticeKind::Limit;
  return std::nullopt;
}

/// Ends the words of a server that no longer hold.
void ServerNotices::endOld(Entry &Of, TimePoint Now, Changes &All) {
  if (Of.Limit && Now - Of.Limit->getReceivedAt() > LimitLife)
    endLimit(Of, Now, All);
  if (Of.LimitEndedAt && Now - *Of.LimitEndedAt > EndedLife)
    Of.LimitEndedAt.reset();
  if (Of.LeavingUntil && !isAhead(Of.LeavingUntil, Now)) {
    All.push_back({Of.Key, NoticeKind::Leaving, NoticeStep::Ended, 0});
    Of.LeavingUntil.reset();
  }
  if (Of.RestUntil && !isAhead(Of.RestUntil, Now)) {
    All.push_back({Of.Key, NoticeKind::Backoff, NoticeStep::Ended, 0});
    Of.RestUntil.reset();
  }
  if (!isAhead(Of.MisreadUntil, Now))
    Of.MisreadUntil.reset();
}

std::vector<NoticeChange> ServerNotices::forgetOld(TimePoint Now) {
  Changes All;
  for (auto &[Id, Of] : this->Entries)
    endOld(Of, Now, All);
  std::erase_if(this->Entries, [](const auto &Each) {
    const Entry &Of = Each.second;
    return !Of.Limit && !Of.LimitEndedAt && !Of.LeavingUntil && !Of.RestUntil &&
           !Of.MisreadUntil;
  });
  return All;
}

NoticeCounts ServerNotices::count(TimePoint Now) const {
  NoticeCounts Counts;
  for (const auto &[Id, Of] : this->Entries) {
    Counts.Limited += Of.Limit ? 1 : 0;
    Counts.Leaving += isAhead(Of.LeavingUntil, Now) ? 1 : 0;
    Counts.InBackoff += isAhead(Of.RestUntil, Now) ? 1 : 0;
  }
  return Counts;
}

} // namespace canvaswick
