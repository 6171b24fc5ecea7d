//===- ServiceNotices.cpp - Applies server notices ------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The part of ServiceRuntime that handles server notices and drained halls.
/// Every selection of a server applies notices through applyNotices; servers of
/// drained halls count as leaving.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Proxy/ServiceRuntime.h"

#include <algorithm>
#include <cassert>

namespace canvaswick {

/// The time after which a caller may retry if the halls of all servers are
/// drained: operators may return one at any time.
static constexpr Duration DrainedHallWait = fromSeconds(1);

ServerNoticeTableRef
ServiceRuntime::chooseNoticeTable(const DaemonIdentity &Identity,
                                  const ServiceRuntime *Previous) {
  if (Identity.Notices)
    return Identity.Notices;
  return Previous ? Previous->Notices : new ServerNoticeTable;
}

/// Returns the description of a server in the table of notices.
NoticeSource ServiceRuntime::makeNoticeSource(size_t Server) const {
  const ServerConfig &Config = this->getServer(Server);
  return {this->Ids[Server], this->Config.Name + "/" + Config.Name,
          Config.Hall};
}

std::vector<NoticeChange>
ServiceRuntime::handleNotice(Attempt &From, const ServerNotice &Notice,
                             TimePoint Now) {
  From.HasBackoffRequest = Notice.Backoff.has_value();
  if (Notice.isEmpty() && this->Notices->isEmpty())
    return {};
  std::vector<NoticeChange> Changes =
      this->Notices->with([&](ServerNotices &All) {
        return All.recordNotice(this->makeNoticeSource(From.Server), Notice,
                                From.Began, Now);
      });
  if (Notice.IsLeaving) {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->updateLeaving(Now);
  }
  return Changes;
}

bool ServiceRuntime::isLeavingByNotice(size_t Server, TimePoint Now) const {
  return !this->Notices->isEmpty() &&
         this->Notices->with([&](const ServerNotices &All) {
           return All.getActiveKind(this->Ids[Server], Now) ==
                  NoticeKind::Leaving;
         });
}

/// Updates in the policy which servers have announced that they leave: its
/// floor counts without them. The caller holds the mutex.
void ServiceRuntime::updateLeaving(TimePoint Now) {
  for (size_t I = 0; I < this->Ids.size(); ++I) {
    const bool IsLeaving = this->isLeavingByNotice(I, Now);
    if (this->LeavingByNotice[I] == IsLeaving)
      continue;
    this->LeavingByNotice[I] = IsLeaving;
    this->applyLeaving(I, Now);
  }
}

HallDrainsRef ServiceRuntime::chooseHallDrains(const DaemonIdentity &Identity,
                                               const ServiceRuntime *Previous) {
  if (Identity.Halls)
    return Identity.Halls;
  return Previous ? Previous->Halls : new HallDrains;
}

/// Takes the servers of drained halls out of use, and those of returned halls
/// back into use: cold, and judged anew. The caller holds the mutex.
void ServiceRuntime::updateHalls(TimePoint Now) {
  const uint64_t Version = this->Halls->getVersion();
  if (Version == this->HallsVersion)
    return;
  this->HallsVersion = Version;
  for (size_t I = 0; I < this->Ids.size(); ++I) {
    const std::string &Hall = this->getServer(I).Hall;
    const bool IsDrained = this->Halls->isDrained(Hall);
    if (this->LeavingByHall[I] == IsDrained)
      continue;
    this->LeavingByHall[I] = IsDrained;
    this->applyLeaving(I, Now);
    if (!IsDrained)
      this->recordWarmup(I, Now + fromMillis(this->Config.WarmupMs), Now);
  }
}

/// Records until when servers are cold, as their entries say.
void ServiceRuntime::recordWarmups(TimePoint Now) {
  for (size_t I = 0; I < this->Ids.size(); ++I)
    this->recordWarmup(I, this->getServer(I).WarmAt, Now);
}

/// Records that a server is cold until Until. Does nothing if that is past, or
/// if cold servers bear as many requests as others.
void ServiceRuntime::recordWarmup(size_t Server, TimePoint Until,
                                  TimePoint Now) {
  if (this->Config.WarmupPerSecond <= 0 || Until <= Now)
    return;
  this->Notices->with([&](ServerNotices &All) {
    All.recordWarmup(this->makeNoticeSource(Server),
                     this->Config.WarmupPerSecond, Until, Now);
  });
}

/// Returns the index of the server with this id, if this service has it.
std::optional<size_t> ServiceRuntime::findServerIndex(ServerId Id) const {
  const auto Found = std::find(this->Ids.begin(), this->Ids.end(), Id);
  if (Found == this->Ids.end())
    return std::nullopt;
  return static_cast<size_t>(Found - this->Ids.begin());
}

std::vector<NoticeChange>
ServiceRuntime::applyPeerLimit(const LimitReport &Given, TimePoint Now) {
  const std::optional<size_t> Server = this->findServerIndex(Given.Server);
  if (!Server)
    return {};
  return this->Notices->with([&](ServerNotices &All) {
    return All.applyReport(this->makeNoticeSource(*Server), Given, Now);
  });
}

std::vector<NoticeChange> ServiceRuntime::recordGone(const Attempt &From,
                                                     TimePoint Now) {
  if (!this->isOn(Mechanism::GoneServers))
    return {};
  return this->Notices->with([&](ServerNotices &All) {
    return All.recordGone(this->makeNoticeSource(From.Server), Now, Now);
  });
}

std::vector<NoticeChange> ServiceRuntime::applyPeerGone(const GoneReport &Given,
                                                        TimePoint Now) {
  const std::optional<size_t> Server = this->findServerIndex(Given.Server);
  if (!Server || !this->isOn(Mechanism::GoneServers))
    return {};
  return this->Notices->with([&](ServerNotices &All) {
    return All.applyGoneReport(this->makeNoticeSource(*Server), Given, Now);
  });
}

/// Removes servers that may not get a request now from the selection, and
/// raises the share of servers to which this daemon sends on behalf of others.
/// Returns how many servers were removed.
size_t ServiceRuntime::applyNotices(std::vector<double> &Shares,
                                    TimePoint Now) const {
  size_t ExcludedServers = 0;
  if (this->Notices->isEmpty())
    return ExcludedServers;
  this->Notices->with([&](const ServerNotices &All) {
    for (size_t I = 0; I < Shares.size(); ++I) {
      const double Factor = All.getShareFactor(this->Ids[I], Now);
      Shares[I] *= Factor;
      ExcludedServers += Factor <= 0 ? 1 : 0;
    }
  });
  return ExcludedServers;
}

/// Returns whether a server may not get a request now.
bool ServiceRuntime::isExcludedByNotice(size_t Server, TimePoint Now) const {
  return !this->Notices->isEmpty() &&
         this->Notices->with([&](const ServerNotices &All) {
           return All.getShareFactor(this->Ids[Server], Now) <= 0;
         });
}

/// Returns the time until a server may get a request, as far as its notices and
/// its hall tell.
Duration ServiceRuntime::getServerWait(size_t Server, TimePoint Now) const {
  if (this->LeavingByHall[Server])
    return DrainedHallWait;
  if (this->Notices->isEmpty())
    return Duration::zero();
  return this->Notices->with([&](const ServerNotices &All) {
    return All.getWait(this->Ids[Server], Now);
  });
}

/// Returns the time until any server may get a request, or nothing if one may
/// get it now.
std::optional<Duration> ServiceRuntime::computeNoticeWait(TimePoint Now) const {
  const bool IsAnyExcluded =
      this->HallsVersion > 0 || !this->Notices->isEmpty();
  if (!IsAnyExcluded || this->Ids.empty())
    return std::nullopt;
  Duration Shortest = Duration::max();
  for (size_t I = 0; I < this->Ids.size() && Shortest > Duration::zero(); ++I)
    Shortest = std::min(Shortest, this->getServerWait(I, Now));
  if (Shortest <= Duration::zero())
    return std::nullopt;
  return Shortest;
}

static ShareReason getReason(NoticeKind Kind) {
  switch (Kind) {
  case NoticeKind::Limit:
    return ShareReason::Limited;
  case NoticeKind::Leaving:
    return ShareReason::Leaving;
  case NoticeKind::Backoff:
    return ShareReason::ServerBackoff;
  case NoticeKind::Warmup:
    return ShareReason::Cold;
  case NoticeKind::Gone:
    return ShareReason::Gone;
  case NoticeKind::Malformed:
    break;
  }
  assert(false && "notice without a reason");
  return ShareReason::Healthy;
}

/// A server's own notice takes precedence over all other explanations of its
/// share.
void ServiceRuntime::explainNotice(size_t Server, ShareExplanation &Why,
                                   TimePoint Now) const {
  if (this->Notices->isEmpty())
    return;
  this->Notices->with([&](const ServerNotices &All) {
    const std::optional<NoticeKind> ActiveKind =
        All.getActiveKind(this->Ids[Server], Now);
    if (!ActiveKind)
      return;
    Why.Reason = getReason(*ActiveKind);
    Why.Share *= All.getShareFactor(this->Ids[Server], Now);
  });
}

} // namespace canvaswick
