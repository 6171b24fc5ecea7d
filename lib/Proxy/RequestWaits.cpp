//===- RequestWaits.cpp - Waits of one request for a retry ----------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The part of RequestProxy that lets a request which servers declined to run
/// wait for a retry of the fleet's budget.
///
//===----------------------------------------------------------------------===//

#include "RequestContext.h"

namespace canvaswick {

/// A request that can't be served is refused within this fraction of its
/// objective.
static constexpr int PatienceDivisor = 8;

static Counter getCounter(WaitEnd End) {
  switch (End) {
  case WaitEnd::Served:
    return Counter::WaitsServed;
  case WaitEnd::Refused:
    return Counter::WaitsRefused;
  case WaitEnd::CallerLeft:
    return Counter::WaitsCallerLeft;
  case WaitEnd::Stopping:
    return Counter::WaitsStopping;
  }
  return Counter::WaitsRefused;
}

void RequestProxy::beginStop(TimePoint Until) {
  this->StopUntil = Until;
  this->IsStopping = true;
  const FleetRuntimeRef Current = this->Fleet.get();
  if (!Current)
    return;
  for (const ServiceRuntimeRef &Service : Current->getServices())
    Service->getRoom().close(readSteadyClock());
}

/// Takes a retry of a request that a server declined to run, where the
/// operators' settings allow it after a wait.
bool RequestProxy::takeNotRunRetry(RequestContext &Request) {
  ServiceRuntime &Service = *Request.Service;
  if (this->IsStopping || !Service.mayWait(*Request.Route))
    return this->takeRetry(Request, true, readSteadyClock());
  this->waitForRetry(Request);
  // The key may have been revoked meanwhile.
  return Request.LastWait == WaitEnd::Served && this->isKeyInForce(Request);
}

WaitingRequest
RequestProxy::makeWaitingRequest(const RequestContext &Request) const {
  WaitingRequest Waiting;
  Waiting.Priority = Request.Route->Priority;
  if (Request.KeyOwner)
    Waiting.Priority =
        Request.KeyOwner->Priority.value_or(Request.Route->Priority);
  Waiting.Organisation = Request.Organisation;
  Waiting.IsBeyondQuota = Request.IsBeyondQuota;
  Waiting.ObjectiveDeadline = Request.Needs.ObjectiveDeadline;
  Waiting.Deadline = Request.Deadline;
  Waiting.WorkTime = Request.Service->getTypicalTime(Request.Route->Name,
                                                     Request.Needs.Objective);
  Waiting.Patience = Request.Needs.Objective / PatienceDivisor;
  return Waiting;
}

/// Returns how the wait of a request ends for a reason outside the room.
/// close() does not reach the room of a service that was removed.
std::optional<WaitEnd>
RequestProxy::checkWaitEnd(const RequestContext &Request) const {
  if (Request.Exchange.Stream.isPeerGone())
    return WaitEnd::CallerLeft;
  if (this->IsStopping)
    return WaitEnd::Stopping;
  const ServiceRuntimeRef Current =
      this->Fleet.get()->findService(Request.Service->getConfig().Name);
  if (readSteadyClock() >= Request.Deadline || !Current ||
      &Current->getRoom() != &Request.Service->getRoom())
    return WaitEnd::Refused;
  return std::nullopt;
}

void RequestProxy::waitForRetry(RequestContext &Request) {
  ServiceRuntime &Service = *Request.Service;
  WaitingRequest Waiting = this->makeWaitingRequest(Request);
  bool HasWaited = false;
  WaitWatch Watch;
  if (this->BorrowRetry)
    Watch.BorrowRetry = [&] {
      return this->BorrowRetry(Service, readSteadyClock());
    };
  Watch.CheckEnd = [&] { return this->checkWaitEnd(Request); };
  Watch.OnWait = [&] {
    HasWaited = true;
    this->Counters.add(Counter::WaitsBegun);
  };
  const TimePoint Began = readSteadyClock();
  const WaitEnd End = Service.getRoom().wait(Waiting, Service, Watch);
  if (HasWaited) {
    this->Counters.add(getCounter(End));
    Request.Waited += readSteadyClock() - Began;
  }
  if (End == WaitEnd::Served)
    Request.Permit = RetryPermit(Service, Waiting.Retry);
  Request.LastWait = End;
  Request.RoomRetryAfter = Waiting.RetryAfter;
  Request.WasCanceled = End == WaitEnd::CallerLeft;
}

/// Gives the final response to a request for which no retry was left. No server
/// has run it.
void RequestProxy::refuseAfterWait(RequestContext &Request) {
  const bool IsStopping = Request.LastWait == WaitEnd::Stopping;
  Request.Reason = IsStopping ? getName(Refusal::Stopping) : "no-retry-left";
  const Duration Wait = Request.RoomRetryAfter > Duration::zero()
                            ? Request.RoomRetryAfter
                            : fromMillis(this->Options.DefaultRetryAfterMs);
  this->refuse(Request.Exchange, this->Options.NotRunStatus, Request.Outcome,
               Request.Reason, addRetryJitter(Request.CallerId, Wait));
}

} // namespace canvaswick
