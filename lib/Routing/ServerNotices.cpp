//===- ServerNotices.cpp - State of server notices ------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Every notice expires, so that a server that sends wrong notices or crashes
/// gets requests again. Memory is bounded by the number of servers that sent
/// notices recently.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Routing/ServerNotices.h"
#include "canvaswick/Support/EnumNames.h"

#include <algorithm>
#include <utility>

namespace canvaswick {

/// Limits are clamped to this range, in requests per second. With a lower
/// limit, daemons would not notice that the server accepts more again.
static constexpr double MinLimit = 0.1;
static constexpr double MaxLimit = 100000;

/// A limit that has not been stated for this time expires.
static constexpr Duration LimitTimeout = fromSeconds(300);

/// The time for which the end of a limit is remembered, because reports from
/// peers may be late.
static constexpr Duration LimitEndTimeout = fromSeconds(5);

/// The interval at which a limit is reported to peers: several times while the
/// report is fresh.
static constexpr Duration ReportInterval = fromMillis(500);

/// A leaving server stops well before this time. If it is still there, it gets
/// requests again.
static constexpr Duration LeavingTimeout = fromSeconds(300);

/// Malformed notices of one server are logged once, and again after none has
/// arrived for this time.
static constexpr Duration MalformedTimeout = fromSeconds(60);

/// The wait if all servers are leaving. Others may replace them at any time, so
/// that callers should retry soon.
static constexpr Duration SuccessorWait = fromSeconds(1);

/// The upper bound of a backoff.
static constexpr Duration MaxBackoff = fromSeconds(300);

static constexpr EnumNames<NoticeKind, 6> NoticeKindNames = {{
    {NoticeKind::Limit, "limit"},
    {NoticeKind::Leaving, "leaving"},
    {NoticeKind::Backoff, "rest"},
    {NoticeKind::Malformed, "misread"},
    {NoticeKind::Warmup, "warm-up"},
    {NoticeKind::Gone, "gone"},
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

/// Returns whether a time is set and lies in the future.
static bool isFuture(const std::optional<TimePoint> &Until, TimePoint Now) {
  return Until && Now < *Until;
}

void ServerNotices::setFleet(const FleetDaemons &Given, TimePoint Now) {
  if (Given == this->Fleet)
    return;
  this->Fleet = Given;
  this->Gone.setSelf(Given.Self);
  for (auto &[Id, State] : this->Entries) {
    if (State.Limit)
      State.Limit->setFleet(Given, Now);
    if (State.Warmup)
      State.Warmup->setFleet(Given, Now);
  }
}

ServerNotices::Entry &ServerNotices::findEntry(const NoticeSource &Source) {
  Entry &Found = this->Entries[Source.Id];
  Found.Key = Source.Key;
  Found.Hall = Source.Hall;
  return Found;
}

void ServerNotices::setLimit(Entry &State, double Stated, TimePoint ReceivedAt,
                             TimePoint Now, Changes &All) const {
  const double Clamped = std::clamp(Stated, MinLimit, MaxLimit);
  if (!State.Limit) {
    All.push_back({State.Key, NoticeKind::Limit, NoticeStep::Begun, Clamped});
    State.Limit.emplace(State.Key, State.Hall, Clamped, ReceivedAt, this->Fleet,
                        Now);
    return;
  }
  if (State.Limit->getPerSecond() != Clamped)
    All.push_back({State.Key, NoticeKind::Limit, NoticeStep::Changed, Clamped});
  State.Limit->updateLimit(Clamped, ReceivedAt, this->Fleet, Now);
}

void ServerNotices::endLimit(Entry &State, TimePoint At, Changes &All) {
  All.push_back({State.Key, NoticeKind::Limit, NoticeStep::Ended,
                 State.Limit->getPerSecond()});
  State.Limit.reset();
  State.LimitEndedAt = At;
}

void ServerNotices::recordLimit(Entry &State, const ServerNotice &Notice,
                                TimePoint SentAt, TimePoint Now,
                                Changes &All) const {
  if (Notice.RequestsPerSecond) {
    this->setLimit(State, *Notice.RequestsPerSecond, Now, Now, All);
    State.HasUnreportedLimit = true;
    return;
  }
  // A response to a request that was sent before the limit was received does
  // not withdraw it.
  const bool IsWithdrawn = State.Limit && Notice.MayEndLimit &&
                           SentAt > State.Limit->getReceivedAt();
  if (!IsWithdrawn)
    return;
  endLimit(State, Now, All);
  State.HasUnreportedLimit = true;
}

void ServerNotices::recordLeaving(Entry &State, TimePoint Now, Changes &All) {
  if (!isFuture(State.LeavingUntil, Now))
    All.push_back({State.Key, NoticeKind::Leaving, NoticeStep::Begun, 0});
  State.LeavingUntil = Now + LeavingTimeout;
}

void ServerNotices::recordBackoff(Entry &State, Duration Backoff, TimePoint Now,
                                  Changes &All) {
  const TimePoint Until =
      Now + std::clamp(Backoff, Duration::zero(), MaxBackoff);
  if (!isFuture(State.BackoffUntil, Now))
    All.push_back({State.Key, NoticeKind::Backoff, NoticeStep::Begun,
                   toSeconds(Until - Now)});
  // A backoff lasts until its end, even if a later notice names a shorter one.
  State.BackoffUntil =
      State.BackoffUntil ? std::max(*State.BackoffUntil, Until) : Until;
}

void ServerNotices::recordMalformed(Entry &State, TimePoint Now, Changes &All) {
  if (!isFuture(State.MalformedUntil, Now))
    All.push_back({State.Key, NoticeKind::Malformed, NoticeStep::Begun, 0});
  State.MalformedUntil = Now + MalformedTimeout;
}

std::vector<NoticeChange>
ServerNotices::recordNotice(const NoticeSource &From,
                            const ServerNotice &Notice, TimePoint SentAt,
                            TimePoint Now) {
  Changes All;
  if (Notice.isEmpty() && this->Entries.count(From.Id) == 0)
    return All;
  Entry &State = this->findEntry(From);
  this->recordLimit(State, Notice, SentAt, Now, All);
  if (Notice.IsLeaving)
    recordLeaving(State, Now, All);
  if (Notice.Backoff)
    recordBackoff(State, *Notice.Backoff, Now, All);
  if (Notice.IsMalformed)
    recordMalformed(State, Now, All);
  return All;
}

std::vector<NoticeChange> ServerNotices::applyReport(const NoticeSource &From,
                                                     const LimitReport &Given,
                                                     TimePoint Now) {
  Changes All;
  const TimePoint StatedAt = Now - Given.Age;
  const auto Found = this->Entries.find(From.Id);
  const bool IsKnown = Found != this->Entries.end();
  const bool IsOld =
      IsKnown &&
      ((Found->second.Limit &&
        Found->second.Limit->getReceivedAt() >= StatedAt) ||
       (Found->second.LimitEndedAt && *Found->second.LimitEndedAt >= StatedAt));
  const bool HasLimit = IsKnown && Found->second.Limit;
  if (IsOld || (Given.PerSecond <= 0 && !HasLimit))
    return All;
  Entry &State = this->findEntry(From);
  if (Given.PerSecond > 0)
    this->setLimit(State, Given.PerSecond, StatedAt, Now, All);
  else
    endLimit(State, StatedAt, All);
  return All;
}

std::vector<NoticeChange> ServerNotices::recordGone(const NoticeSource &Server,
                                                    TimePoint ProvedAt,
                                                    TimePoint Now) {
  if (!this->Gone.recordAnswer(Server.Id, Server.Key, ProvedAt, Now))
    return {};
  return {{Server.Key, NoticeKind::Gone, NoticeStep::Begun, 0}};
}

std::vector<NoticeChange>
ServerNotices::applyGoneReport(const NoticeSource &Server,
                               const GoneReport &Given, TimePoint Now) {
  if (!this->Gone.applyReport(Given, Server.Key, Now))
    return {};
  return {{Server.Key, NoticeKind::Gone, NoticeStep::Begun, 0}};
}

void ServerNotices::recordWarmup(const NoticeSource &From, double PerSecond,
                                 TimePoint Until, TimePoint Now) {
  if (PerSecond <= 0 || Until <= Now)
    return;
  Entry &State = this->findEntry(From);
  if (isCold(State, Now) && State.Warmup->getPerSecond() == PerSecond) {
    State.Warmup->extend(Until);
    return;
  }
  State.Warmup.emplace(State.Key, State.Hall, PerSecond, Until, this->Fleet,
                       Now);
}

LimitReport ServerNotices::makeReport(ServerId Server, const Entry &State,
                                      TimePoint Now) {
  if (State.Limit)
    return {Server, State.Limit->getPerSecond(),
            Now - State.Limit->getReceivedAt()};
  return {Server, 0, Now - State.LimitEndedAt.value_or(Now)};
}

std::vector<LimitReport> ServerNotices::drainLimitReports(size_t MaxReports,
                                                          TimePoint Now) {
  std::vector<LimitReport> Reports;
  for (auto &[Id, State] : this->Entries) {
    if (!State.HasUnreportedLimit || Reports.size() >= MaxReports ||
        Now - State.ReportedAt < ReportInterval)
      continue;
    State.HasUnreportedLimit = false;
    State.ReportedAt = Now;
    Reports.push_back(makeReport(Id, State, Now));
  }
  return Reports;
}

std::vector<LimitReport> ServerNotices::listLimitReports(size_t MaxReports,
                                                         TimePoint Now) const {
  std::vector<LimitReport> Limits;
  for (const auto &[Id, State] : this->Entries) {
    const bool IsFresh = State.Limit ? State.Limit->isFresh(Now)
                                     : State.LimitEndedAt.has_value();
    if (IsFresh && Limits.size() < MaxReports)
      Limits.push_back(makeReport(Id, State, Now));
  }
  return Limits;
}

/// Returns whether a server is known to be cold.
bool ServerNotices::isCold(const Entry &State, TimePoint Now) {
  return State.Warmup && !State.Warmup->isOver(Now);
}

double ServerNotices::getShareFactor(ServerId Server, TimePoint Now) const {
  if (this->Gone.isGone(Server, Now))
    return 0;
  const auto Found = this->Entries.find(Server);
  if (Found == this->Entries.end())
    return 1;
  const Entry &State = Found->second;
  if (isFuture(State.LeavingUntil, Now) || isFuture(State.BackoffUntil, Now))
    return 0;
  double Factor = 1;
  if (State.Limit)
    Factor = State.Limit->maySend(Now) ? State.Limit->getWeightFactor() : 0;
  if (!isCold(State, Now))
    return Factor;
  // A limit and a warm-up may choose different senders; the weight is raised
  // for one of them only.
  return State.Warmup->maySend(Now)
             ? std::min(Factor, 1.0) * State.Warmup->getWeightFactor()
             : 0;
}

Duration ServerNotices::getWait(ServerId Server, TimePoint Now) const {
  const Duration GoneLeft =
      std::min(SuccessorWait, this->Gone.getTimeLeft(Server, Now));
  const auto Found = this->Entries.find(Server);
  if (Found == this->Entries.end())
    return GoneLeft;
  const Entry &State = Found->second;
  if (isFuture(State.LeavingUntil, Now))
    return SuccessorWait;
  const Duration Backoff = isFuture(State.BackoffUntil, Now)
                               ? *State.BackoffUntil - Now
                               : Duration::zero();
  Duration Wait = std::max(Backoff, GoneLeft);
  if (State.Limit)
    Wait = std::max(Wait, State.Limit->getWait(Now));
  if (State.Warmup)
    Wait = std::max(Wait, State.Warmup->getWait(Now));
  return Wait;
}

void ServerNotices::recordRequestSent(ServerId Server, TimePoint Now) {
  const auto Found = this->Entries.find(Server);
  if (Found == this->Entries.end())
    return;
  if (Found->second.Limit)
    Found->second.Limit->recordRequestSent(Now);
  if (Found->second.Warmup)
    Found->second.Warmup->recordRequestSent(Now);
}

std::optional<NoticeKind> ServerNotices::getActiveKind(ServerId Server,
                                                       TimePoint Now) const {
  const auto Found = this->Entries.find(Server);
  const bool IsKnown = Found != this->Entries.end();
  if (IsKnown && isFuture(Found->second.LeavingUntil, Now))
    return NoticeKind::Leaving;
  if (this->Gone.isGone(Server, Now))
    return NoticeKind::Gone;
  if (!IsKnown)
    return std::nullopt;
  const Entry &State = Found->second;
  if (isFuture(State.BackoffUntil, Now))
    return NoticeKind::Backoff;
  if (State.Limit)
    return NoticeKind::Limit;
  if (isCold(State, Now))
    return NoticeKind::Warmup;
  return std::nullopt;
}

/// Ends the notices of a server that have expired.
void ServerNotices::endExpired(Entry &State, TimePoint Now, Changes &All) {
  if (State.Limit && Now - State.Limit->getReceivedAt() > LimitTimeout)
    endLimit(State, Now, All);
  if (State.LimitEndedAt && Now - *State.LimitEndedAt > LimitEndTimeout)
    State.LimitEndedAt.reset();
  if (State.LeavingUntil && !isFuture(State.LeavingUntil, Now)) {
    All.push_back({State.Key, NoticeKind::Leaving, NoticeStep::Ended, 0});
    State.LeavingUntil.reset();
  }
  if (State.BackoffUntil && !isFuture(State.BackoffUntil, Now)) {
    All.push_back({State.Key, NoticeKind::Backoff, NoticeStep::Ended, 0});
    State.BackoffUntil.reset();
  }
  if (!isFuture(State.MalformedUntil, Now))
    State.MalformedUntil.reset();
  if (!isCold(State, Now))
    State.Warmup.reset();
}

std::vector<NoticeChange> ServerNotices::forgetOld(TimePoint Now) {
  Changes All;
  for (auto &[Id, State] : this->Entries)
    endExpired(State, Now, All);
  for (std::string &Key : this->Gone.forgetOld(Now))
    All.push_back({std::move(Key), NoticeKind::Gone, NoticeStep::Ended, 0});
  std::erase_if(this->Entries, [](const auto &Each) {
    const Entry &State = Each.second;
    return !State.Limit && !State.LimitEndedAt && !State.LeavingUntil &&
           !State.BackoffUntil && !State.MalformedUntil && !State.Warmup;
  });
  return All;
}

NoticeCounts ServerNotices::count(TimePoint Now) const {
  NoticeCounts Counts;
  Counts.Gone = this->Gone.count(Now);
  for (const auto &[Id, State] : this->Entries) {
    Counts.Limited += State.Limit ? 1 : 0;
    Counts.Leaving += isFuture(State.LeavingUntil, Now) ? 1 : 0;
    Counts.InBackoff += isFuture(State.BackoffUntil, Now) ? 1 : 0;
    Counts.Cold += isCold(State, Now) ? 1 : 0;
  }
  return Counts;
}

} // namespace canvaswick
