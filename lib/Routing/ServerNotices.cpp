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

/// A server that leaves is gone well before; one that is still there then is
/// asked again.
static constexpr Duration LeavingLife = fromSeconds(300);

/// No rest is taken to be longer.
static constexpr Duration MostRest = fromSeconds(300);

static constexpr EnumNames<NoticeKind, 3> NoticeKindNames = {{
    {NoticeKind::Limit, "limit"},
    {NoticeKind::Leaving, "leaving"},
    {NoticeKind::Rest, "rest"},
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

void ServerNotices::noteLimit(Entry &Of, const ServerNotice &Notice,
                              TimePoint AskedAt, TimePoint Now,
                              std::vector<NoticeChange> &Changes) {
  if (!Notice.RequestsPerSecond) {
    // An answer that was on its way before the word came says nothing of it.
    const bool IsTakenBack =
        Of.Named && Notice.MayEndLimit && AskedAt > Of.Named->HeardAt;
    if (!IsTakenBack)
      return;
    Changes.push_back(
        {Of.Key, NoticeKind::Limit, NoticeStep::Ended, Of.Named->PerSecond});
    Of.Named.reset();
    return;
  }
  const double Named =
      std::clamp(*Notice.RequestsPerSecond, LeastLimit, MostLimit);
  if (!Of.Named)
    Changes.push_back({Of.Key, NoticeKind::Limit, NoticeStep::Begun, Named});
  else if (Of.Named->PerSecond != Named)
    Changes.push_back({Of.Key, NoticeKind::Limit, NoticeStep::Changed, Named});
  Of.Named = {Named, Now};
}

void ServerNotices::noteLeaving(Entry &Of, TimePoint Now,
                                std::vector<NoticeChange> &Changes) {
  if (!isAhead(Of.LeavingUntil, Now))
    Changes.push_back({Of.Key, NoticeKind::Leaving, NoticeStep::Begun, 0});
  Of.LeavingUntil = Now + LeavingLife;
}

void ServerNotices::noteRest(Entry &Of, Duration Rest, TimePoint Now,
                             std::vector<NoticeChange> &Changes) {
  const TimePoint Until = Now + std::clamp(Rest, Duration::zero(), MostRest);
  if (!isAhead(Of.RestUntil, Now))
    Changes.push_back(
        {Of.Key, NoticeKind::Rest, NoticeStep::Begun, toSeconds(Until - Now)});
  // Each wish holds to its end, whatever a later one says.
  Of.RestUntil = Of.RestUntil ? std::max(*Of.RestUntil, Until) : Until;
}

std::vector<NoticeChange> ServerNotices::note(const NoticedServer &From,
                                              const ServerNotice &Notice,
                                              TimePoint AskedAt,
                                              TimePoint Now) {
  std::vector<NoticeChange> Changes;
  if (Notice.isEmpty() && this->Entries.count(From.Id) == 0)
    return Changes;
  Entry &Of = this->Entries[From.Id];
  Of.Key = From.Key;
  Of.Hall = From.Hall;
  noteLimit(Of, Notice, AskedAt, Now, Changes);
  if (Notice.IsLeaving)
    noteLeaving(Of, Now, Changes);
  if (Notice.Rest)
    noteRest(Of, *Notice.Rest, Now, Changes);
  return Changes;
}

std::optional<NoticeKind> ServerNotices::getState(ServerId Server,
                                                  TimePoint Now) const {
  const auto Found = this->Entries.find(Server);
  if (Found == this->Entries.end())
    return std::nullopt;
  const Entry &Of = Found->second;
  if (isAhead(Of.LeavingUntil, Now))
    return NoticeKind::Leaving;
  if (isAhead(Of.RestUntil, Now))
    return NoticeKind::Rest;
  if (Of.Named)
    return NoticeKind::Limit;
  return std::nullopt;
}

/// Ends the words of a server that no longer hold.
void ServerNotices::endOld(Entry &Of, TimePoint Now,
                           std::vector<NoticeChange> &Changes) {
  if (Of.Named && Now - Of.Named->HeardAt > LimitLife) {
    Changes.push_back(
        {Of.Key, NoticeKind::Limit, NoticeStep::Ended, Of.Named->PerSecond});
    Of.Named.reset();
  }
  if (Of.LeavingUntil && !isAhead(Of.LeavingUntil, Now)) {
    Changes.push_back({Of.Key, NoticeKind::Leaving, NoticeStep::Ended, 0});
    Of.LeavingUntil.reset();
  }
  if (Of.RestUntil && !isAhead(Of.RestUntil, Now)) {
    Changes.push_back({Of.Key, NoticeKind::Rest, NoticeStep::Ended, 0});
    Of.RestUntil.reset();
  }
}

std::vector<NoticeChange> ServerNotices::forgetOld(TimePoint Now) {
  std::vector<NoticeChange> Changes;
  for (auto &[Id, Of] : this->Entries)
    endOld(Of, Now, Changes);
  std::erase_if(this->Entries, [](const auto &Each) {
    const Entry &Of = Each.second;
    return !Of.Named && !Of.LeavingUntil && !Of.RestUntil;
  });
  return Changes;
}

NoticeCounts ServerNotices::count(TimePoint Now) const {
  NoticeCounts Counts;
  for (const auto &[Id, Of] : this->Entries) {
    Counts.Limited += Of.Named ? 1 : 0;
    Counts.Leaving += isAhead(Of.LeavingUntil, Now) ? 1 : 0;
    Counts.Resting += isAhead(Of.RestUntil, Now) ? 1 : 0;
  }
  return Counts;
}

} // namespace canvaswick
