//===- RequestRetries.cpp - Whether and when a request goes elsewhere -----===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The part of RequestProxy that decides how long one server is waited for,
/// whether another may be tried after it, and by whose right.
///
//===----------------------------------------------------------------------===//

#include "RequestContext.h"

#include <algorithm>
#include <utility>

namespace canvaswick {

/// Tries of one request, the first included.
static constexpr size_t MaxAttempts = 3;

/// How often it is asked whether a request without an answer is better sent
/// elsewhere: many times within a usual objective.
static constexpr Duration PatienceStep = fromMillis(25);

size_t RequestProxy::getMaxAttempts(const RequestContext &Request) const {
  const auto Asked = static_cast<size_t>(Request.Route->MaxAttempts);
  return Asked > 0 ? std::min(Asked, MaxAttempts) : MaxAttempts;
}

/// Returns until when an attempt may take. A repeatable request that is slow
/// is sent elsewhere while that can still help.
TimePoint RequestProxy::chooseAttemptDeadline(RequestContext &Request,
                                              const ResponseRelay &Relay,
                                              TimePoint Now,
                                              bool &IsPatience) const {
  IsPatience = false;
  // The head of an answer to be resumed needs a deadline of its own.
  if (Relay.hasBegun())
    return Now + fromMillis(Request.Service->getConfig().StallMs);
  const bool IsLast = Request.Tries + 1 >= this->getMaxAttempts(Request);
  if (this->Options.MaxBufferedResponseBytes == 0 || IsLast ||
      !Request.IsBodyWhole || !isRetryable(*Request.Route) ||
      !Request.Service->hasRetry(Now))
    return Request.Deadline;
  const TimePoint Until =
      Now + Request.Service->getRetryCheckDelay(Request.Route->Name,
                                                Request.Needs.Objective);
  IsPatience = Until < Request.Deadline;
  return std::min(Until, Request.Deadline);
}

/// Returns until when an attempt whose patience has run out goes on waiting, or
/// an earlier time to give it up. Nothing is given up without the right to try
/// elsewhere at hand, and a daemon that is stopping breaks nothing off that a
/// server works on.
TimePoint RequestProxy::extendPatience(RequestContext &Request,
                                       const Attempt &Current,
                                       bool &IsPatience) {
  const TimePoint Now = readSteadyClock();
  const TimePoint Next = Now + PatienceStep;
  if (!this->IsStopping && Next < Request.Deadline) {
    if (!Request.Service->shouldAbandonAttempt(Current, Request.Needs, Now))
      return Next;
    Request.HasRepeatRight = this->takeRetry(*Request.Service, false, Now);
    if (Request.HasRepeatRight)
      return TimePoint{};
  }
  IsPatience = false;
  return Request.Deadline;
}

/// Takes the right to a repeat: this daemon's own, or one that a peer lends.
/// IsUnrun: the server declined to run the request.
bool RequestProxy::takeRetry(ServiceRuntime &Service, bool IsUnrun,
                             TimePoint Now) {
  const bool IsOwn =
      IsUnrun ? Service.tryTakeNotRunRetry(Now) : Service.tryTakeRetry(Now);
  return IsOwn || (this->Borrow && Service.hasFleetRetryBudget() &&
                   this->Borrow(Service, Now));
}

/// Decides whether another server may be tried after a failure.
bool RequestProxy::mayRetry(RequestContext &Request,
                            const ResponseRelay &Relay) {
  if (Relay.hasBegun())
    return Relay.canResume() && this->isKeyInForce(Request) &&
           this->takeRetry(*Request.Service, false, readSteadyClock());
  if (Request.WasBodySent || !this->isKeyInForce(Request))
    return false;
  if (std::exchange(Request.HasRepeatRight, false))
    return true;
  // What was not run may be sent elsewhere, whatever its class. What was never
  // sent is no repeat.
  if (Request.Outcome == RunOutcome::NotRun)
    return !Request.WasSent ||
           this->takeRetry(*Request.Service, true, readSteadyClock());
  if (!isRetryable(*Request.Route) || !Request.IsBodyWhole)
    return false;
  return this->takeRetry(*Request.Service, false, readSteadyClock());
}

} // namespace canvaswick
