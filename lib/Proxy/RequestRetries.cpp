//===- RequestRetries.cpp - Whether and when to retry ---------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The part of RequestProxy that decides how long to wait for one server,
/// whether to retry at another one, and from which budget.
///
//===----------------------------------------------------------------------===//

#include "RequestContext.h"

#include <algorithm>

namespace canvaswick {

/// Attempts of one request, including the first one.
static constexpr size_t MaxAttempts = 3;

/// The interval at which a request without a response is checked for a better
/// alternative: many times within a typical latency objective.
static constexpr Duration RetryCheckInterval = fromMillis(25);

/// The interval at which an attempt that is not weighed against an alternative
/// is checked for whether this daemon was cut off from the server.
static constexpr Duration PathCheckInterval = fromMillis(100);

size_t RequestProxy::getMaxAttempts(const RequestContext &Request) const {
  const auto Configured = static_cast<size_t>(Request.Route->MaxAttempts);
  return Configured > 0 ? std::min(Configured, MaxAttempts) : MaxAttempts;
}

/// Returns how long a server may be silent within an answer at most: the whole
/// time of a request, or the service's limit if that is longer. What ends an
/// answer sooner loses work that the server has done.
Duration RequestProxy::getLongestSilence(const RequestContext &Request) {
  return std::max(fromMillis(Request.Service->getConfig().StallMs),
                  Request.Deadline - Request.Began);
}

/// Returns the deadline of an attempt. It is a soft deadline if the request can
/// be retried: a slow request is sent to another server while that can still
/// help.
TimePoint RequestProxy::chooseAttemptDeadline(RequestContext &Request,
                                              const ResponseRelay &Relay,
                                              TimePoint Now,
                                              bool &IsSoftDeadline) const {
  IsSoftDeadline = false;
  // A resumed response needs a deadline for its head.
  if (Relay.hasBegun()) {
    const TimePoint Until = Now + getLongestSilence(Request);
    return Request.HasCallerDeadline ? std::min(Until, Request.Deadline)
                                     : Until;
  }
  const bool IsLast = Request.AttemptCount + 1 >= this->getMaxAttempts(Request);
  if (IsLast || !Request.IsBodyBuffered || !isRetryable(*Request.Route))
    return Request.Deadline;
  Request.IsWeighed = this->Options.MaxBufferedResponseBytes > 0 &&
                      Request.Service->hasRetry(Now);
  if (!Request.IsWeighed && !this->Paths.hasPeers())
    return Request.Deadline;
  const TimePoint Until =
      Now + (Request.IsWeighed
                 ? Request.Service->getTypicalTime(Request.Route->Name,
                                                   Request.Needs.Objective)
                 : PathCheckInterval);
  IsSoftDeadline = Until < Request.Deadline;
  return std::min(Until, Request.Deadline);
}

/// Called when the soft deadline of an attempt has passed. Returns the time
/// until which the attempt goes on, or an earlier time to abandon it: because a
/// retry is better, or because this daemon was cut off from the server. An
/// attempt is abandoned only if a retry has been taken from the budget, and a
/// daemon that is stopping does not abandon requests on which a server works.
TimePoint RequestProxy::extendSoftDeadline(RequestContext &Request,
                                           const Attempt &Current,
                                           bool &IsSoftDeadline) {
  const TimePoint Now = readSteadyClock();
  const TimePoint Next =
      Now + (Request.IsWeighed ? RetryCheckInterval : PathCheckInterval);
  const bool IsCutOff = Request.Service->isDisregarded(Current);
  if (!this->IsStopping && Next < Request.Deadline) {
    if (!IsCutOff &&
        !(Request.IsWeighed &&
          Request.Service->shouldAbandonAttempt(Current, Request.Needs, Now)))
      return Next;
    if (this->takeRetry(Request, false, Now))
      return TimePoint{};
    if (IsCutOff)
      return Next;
  }
  IsSoftDeadline = false;
  return Request.Deadline;
}

/// Returns whether an attempt may be given up because its server has fallen
/// silent within the answer: another server can give the answer or the rest of
/// it, and a retry has been taken for that. A daemon that is stopping does not
/// leave servers that are at work.
bool RequestProxy::mayLeaveSilent(RequestContext &Request,
                                  const ResponseRelay &Relay, TimePoint Now) {
  if (this->IsStopping || !isRetryable(*Request.Route) ||
      Request.AttemptCount + 1 >= this->getMaxAttempts(Request))
    return false;
  const bool HasWay =
      Relay.hasBegun() ? Relay.canResume() : Request.IsBodyBuffered;
  return HasWay &&
         (Request.Permit.isHeld() || this->takeRetry(Request, false, Now));
}

/// Called when a server has been silent within its answer for the stall limit
/// of the service, and again after each further one. Returns how much longer to
/// wait.
Duration RequestProxy::extendStall(RequestContext &Request,
                                   const ResponseRelay &Relay,
                                   Duration Silent) {
  if (this->mayLeaveSilent(Request, Relay, readSteadyClock()))
    return Duration::zero();
  return std::min(fromMillis(Request.Service->getConfig().StallMs),
                  getLongestSilence(Request) - Silent);
}

/// Takes a retry for the request from this daemon's budget, or borrows one from
/// a peer. Returns whether the request holds one. IsNotRun: the server declined
/// to run the request.
bool RequestProxy::takeRetry(RequestContext &Request, bool IsNotRun,
                             TimePoint Now) {
  ServiceRuntime &Service = *Request.Service;
  std::optional<TakenRetry> Taken =
      IsNotRun ? Service.tryTakeNotRunRetry(Now) : Service.tryTakeRetry(Now);
  if (!Taken && this->BorrowRetry && Service.hasFleetRetryBudget())
    Taken = this->BorrowRetry(Service, Now);
  if (Taken)
    Request.Permit = RetryPermit(Service, *Taken);
  return Taken.has_value();
}

/// Decides whether a failed request may be retried at another server, and takes
/// the retry from the budget.
bool RequestProxy::mayRetry(RequestContext &Request,
                            const ResponseRelay &Relay) {
  // Asking for the rest runs the request again.
  if (Relay.hasBegun())
    return isRetryable(*Request.Route) && Relay.canResume() &&
           this->isKeyInForce(Request) &&
           (Request.Permit.isHeld() ||
            this->takeRetry(Request, false, readSteadyClock()));
  return !Request.WasBodySent && this->isKeyInForce(Request) &&
         this->takeNextRetry(Request);
}

/// Returns whether a request to which no server has responded may be sent once
/// more.
bool RequestProxy::takeNextRetry(RequestContext &Request) {
  // What arrived nowhere has used up nothing.
  if (Request.Permit.isHeld() || !Request.WasSent)
    return true;
  // A request that was not run may be sent to another server, whatever its
  // class.
  if (Request.Outcome == RunOutcome::NotRun)
    return this->takeNotRunRetry(Request);
  if (!isRetryable(*Request.Route) || !Request.IsBodyBuffered)
    return false;
  return this->takeRetry(Request, false, readSteadyClock());
}

} // namespace canvaswick
