//===- RequestProxy.cpp - One caller's request from end to end ------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The steps in order; each either goes on or gives the final answer.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Proxy/RequestProxy.h"
#include "RequestFlow.h"
#include "canvaswick/Support/EnumNames.h"
#include "canvaswick/Support/Hash.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>

namespace canvaswick {

static constexpr EnumNames<RunOutcome, 3> RunOutcomeNames = {{
    {RunOutcome::NotRun, "not-run"},
    {RunOutcome::NotKnown, "not-known"},
    {RunOutcome::Ran, "ran"},
}};

const char *getName(RunOutcome Outcome) {
  return getEnumName(RunOutcomeNames, Outcome);
}

/// Bodies up to this length are kept, so that the request can be tried again.
static constexpr size_t KeptBodyBytes = 64 * 1024;

/// A keyed request's body is kept up to this length, to tell it from another.
static constexpr size_t KeyedBodyBytes = 1 << 20;

/// A caller that takes no byte for this long has left.
static constexpr Duration CallerStallLimit = fromSeconds(30);

static constexpr Duration SoonWait = fromSeconds(1);
static constexpr Duration RunningWait = fromSeconds(2);
static constexpr Duration NoWait = Duration::zero();

RequestProxy::RequestProxy(std::string DaemonName,
                           const FleetRuntimeSlot &Fleet,
                           ConnectionPool &Upstreams, CounterTable &Counters,
                           ClaimGate *Claims)
    : DaemonName(std::move(DaemonName)), Fleet(Fleet), Upstreams(Upstreams),
      Counters(Counters), Claims(Claims) {}

void RequestProxy::configure(const FleetConfig &Config) {
  std::lock_guard<std::mutex> Lock(this->OrganisationMutex);
  this->Organisations.configure(Config.Organisations);
}

void RequestProxy::forgetIdle(TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->OrganisationMutex);
  this->Organisations.forgetIdle(Now);
}

void RequestProxy::refuse(HttpExchange &Exchange, int Status,
                          RunOutcome Outcome, const char *Reason,
                          Duration Wait) {
  httplib::Response &Response = Exchange.Response;
  Response.status = Status;
  Response.set_header(OutcomeHeader, getName(Outcome));
  Response.set_header(ReasonHeader, Reason);
  if (Wait > NoWait)
    Response.set_header("Retry-After",
                        fmt::format("{}", toRetryAfterSeconds(Wait)));
  Response.set_content(fmt::format("{}: {}\n", getName(Outcome), Reason),
                       "text/plain");
}

static TimePoint computeDeadline(const httplib::Request &Request,
                                 const ServiceConfig &Service, TimePoint Now,
                                 bool &IsOwn) {
  int64_t Millis = Service.DeadlineMs;
  const std::string Asked = Request.get_header_value(DeadlineHeader);
  IsOwn = !Asked.empty();
  if (IsOwn)
    Millis =
        std::min<int64_t>(Millis, std::strtoll(Asked.c_str(), nullptr, 10));
  return Now + fromMillis(std::max<int64_t>(0, Millis));
}

void RequestProxy::handle(HttpExchange &Exchange) {
  this->Counters.add(Counter::Requests);
  Flow Request(Exchange);
  Request.Began = readSteadyClock();
  Exchange.Stream.setDeadline(TimePoint::max());
  Exchange.Stream.setStallLimit(CallerStallLimit);
  Request.Fleet = this->Fleet.get();
  if (!Request.Fleet) {
    this->refuse(Exchange, 503, RunOutcome::NotRun, "no-settings", SoonWait);
    Exchange.MustClose = true;
    return;
  }
  const std::string &Target = Exchange.Request.target;
  if (isAmbiguousPath(getPathOfTarget(Target))) {
    this->Counters.add(Counter::RefusedUnknownRoute);
    this->refuse(Exchange, 400, RunOutcome::NotRun, "ambiguous-path", NoWait);
    Exchange.MustClose = true;
    return;
  }
  Request.Route = Request.Fleet->getRoutes().find(
      Exchange.Request.get_header_value("Host"), Target);
  if (!Request.Route) {
    this->Counters.add(Counter::RefusedUnknownRoute);
    this->refuse(Exchange, 404, RunOutcome::NotRun,
                 getName(Refusal::UnknownRoute), NoWait);
    Exchange.MustClose = true;
    return;
  }
  Request.Service = Request.Fleet->getServices()[Request.Route->Service];
  Request.Deadline =
      computeDeadline(Exchange.Request, Request.Service->getConfig(),
                      Request.Began, Request.HasOwnDeadline);
  if (this->admitOrganisation(Request))
    this->serve(Request);
}

bool RequestProxy::admitOrganisation(Flow &Request) {
  Request.Organisation =
      Request.Exchange.Request.get_header_value(OrganisationHeader);
  Duration Wait = SoonWait;
  {
    std::lock_guard<std::mutex> Lock(this->OrganisationMutex);
    if (this->Organisations.tryTake(Request.Organisation, Request.Began, Wait))
      return true;
  }
  this->Counters.add(Counter::RefusedOrganisationRate);
  this->refuse(Request.Exchange, 429, RunOutcome::NotRun,
               getName(Refusal::OrganisationRate), Wait);
  Request.Exchange.MustClose = true;
  return false;
}

static Counter getCounter(Refusal Reason) {
  switch (Reason) {
  case Refusal::DeadlineTooShort:
    return Counter::RefusedDeadline;
  case Refusal::NoServer:
    return Counter::RefusedNoServer;
  case Refusal::OrganisationRate:
    return Counter::RefusedOrganisationRate;
  case Refusal::UnknownRoute:
    return Counter::RefusedUnknownRoute;
  case Refusal::None:
  case Refusal::ServiceBusy:
  case Refusal::Stopping:
    return Counter::RefusedServiceBusy;
  }
  return Counter::RefusedServiceBusy;
}

void RequestProxy::serve(Flow &Request) {
  Duration Wait = SoonWait;
  const Refusal Refused = Request.Service->admit(
      Request.Deadline - Request.Began, Request.Began, Wait);
  if (Refused != Refusal::None) {
    this->Counters.add(getCounter(Refused));
    const int Status = Refused == Refusal::DeadlineTooShort ? 504 : 503;
    this->refuse(Request.Exchange, Status, RunOutcome::NotRun, getName(Refused),
                 Wait);
    Request.Exchange.MustClose = true;
    Request.Service->getMetrics().add(AnswerKind::Refused, NoWait, NoWait,
                                      Request.Began);
    return;
  }
  RelayRules Rules;
  AnswerRelay Relay(Request.Exchange, Rules);
  if (this->readBody(Request) && this->claim(Request)) {
    this->runAttempts(Request, Relay);
    this->settleClaim(Request, Relay);
  }
  this->finish(Request, Relay);
}

static bool hasBody(const httplib::Request &Request) {
  return Request.has_header("Transfer-Encoding") ||
         (Request.has_header("Content-Length") &&
          Request.get_header_value("Content-Length") != "0");
}

/// Keeps a short body; a long one stays on the wire and is streamed.
bool RequestProxy::readBody(Flow &Request) {
  const httplib::Request &Caller = Request.Exchange.Request;
  const bool IsOnce = Request.Route->Class == RouteClass::Once;
  if (IsOnce)
    Request.Key = Caller.get_header_value(IdempotencyHeader);
  if (!hasBody(Caller) || !Request.Exchange.Body)
    return true;
  const auto Limit =
      static_cast<uint64_t>(Request.Service->getConfig().MaxBodyBytes);
  const bool IsChunked = Caller.has_header("Transfer-Encoding");
  if (!IsChunked && getBodyLength(Caller) > Limit) {
    this->refuse(Request.Exchange, 413, RunOutcome::NotRun, "body-too-long",
                 NoWait);
    Request.Exchange.MustClose = true;
    Request.IsAnswered = true;
    return false;
  }
  const size_t Keep = Request.Key.empty() ? KeptBodyBytes : KeyedBodyBytes;
  if (IsChunked || getBodyLength(Caller) > Keep) {
    Request.IsBodyWhole = false;
    return true;
  }
  Request.Exchange.Stream.setDeadline(Request.Deadline);
  const bool IsRead =
      (*Request.Exchange.Body)([&Request](const char *Data, size_t Size) {
        Request.Body.append(Data, Size);
        return true;
      });
  Request.Exchange.Stream.setDeadline(TimePoint::max());
  if (IsRead)
    return true;
  this->refuse(Request.Exchange, 408, RunOutcome::NotRun, "body-cut", NoWait);
  Request.Exchange.MustClose = true;
  Request.IsAnswered = true;
  return false;
}

static std::string makeFingerprint(const httplib::Request &Request,
                                   const std::string &Body) {
  const std::string Length = Request.get_header_value("Content-Length");
  return digestText(Request.method + "\n" + Request.target + "\n" + Length +
                    "\n" + Body)
      .substr(0, 32);
}

/// Asks for the right to run a keyed request of the class once.
bool RequestProxy::claim(Flow &Request) {
  if (Request.Key.empty())
    return true;
  if (!Request.IsBodyWhole &&
      Request.Exchange.Request.has_header("Transfer-Encoding")) {
    this->refuse(Request.Exchange, 411, RunOutcome::NotRun,
                 "keyed-body-needs-length", NoWait);
    Request.Exchange.MustClose = true;
    Request.IsAnswered = true;
    return false;
  }
  ClaimVerdict Verdict;
  if (this->Claims) {
    // The stored key says nothing about the caller to who reads the store.
    Request.ClaimKey = digestText(Request.Service->getConfig().Name + "\n" +
                                  Request.Organisation + "\n" + Request.Key)
                           .substr(0, 32);
    Verdict = this->Claims->begin(
        Request.ClaimKey,
        makeFingerprint(Request.Exchange.Request, Request.Body),
        Request.Deadline);
  }
  if (Verdict.Kind == ClaimKind::Granted) {
    this->Counters.add(Counter::ClaimsGranted);
    Request.Claim = Verdict.Claim;
    Request.HasClaim = true;
    return true;
  }
  Request.IsAnswered = true;
  if (!Request.IsBodyWhole)
    Request.Exchange.MustClose = true;
  this->answerFromClaim(Request, Verdict);
  return false;
}

void RequestProxy::answerFromClaim(Flow &Request, const ClaimVerdict &Verdict) {
  HttpExchange &Exchange = Request.Exchange;
  const bool IsRefused = Verdict.Kind == ClaimKind::Unavailable ||
                         Verdict.Kind == ClaimKind::Different;
  this->Counters.add(IsRefused ? Counter::ClaimsRefused
                               : Counter::ClaimsRepeated);
  switch (Verdict.Kind) {
  case ClaimKind::Granted:
    return;
  case ClaimKind::FirstAnswer:
    if (!Verdict.Answer.HasBody) {
      this->refuse(Exchange, 409, RunOutcome::Ran, "answer-not-kept", NoWait);
      return;
    }
    Exchange.Response.status = Verdict.Answer.Status;
    Exchange.Response.set_header(OutcomeHeader, getName(RunOutcome::Ran));
    Exchange.Response.set_header(ReasonHeader, "first-answer");
    Exchange.Response.set_content(Verdict.Answer.Body,
                                  Verdict.Answer.ContentType);
    return;
  case ClaimKind::StillRunning:
    this->refuse(Exchange, 409, RunOutcome::NotKnown, "still-running",
                 RunningWait);
    return;
  case ClaimKind::NotKnown:
    this->refuse(Exchange, 409, RunOutcome::NotKnown, "outcome-not-known",
                 NoWait);
    return;
  case ClaimKind::Different:
    this->refuse(Exchange, 422, RunOutcome::NotRun, "key-used-differently",
                 NoWait);
    return;
  case ClaimKind::Unavailable:
    this->refuse(Exchange, 503, RunOutcome::NotRun, "claims-unavailable",
                 RunningWait);
    return;
  }
}

void RequestProxy::settleClaim(Flow &Request, const AnswerRelay &Relay) {
  if (!Request.HasClaim)
    return;
  FirstAnswer Answer;
  ClaimEnd End = ClaimEnd::NotKnown;
  const KeptAnswer &Kept = Relay.getKept();
  if (Request.IsAnswered) {
    End = ClaimEnd::Ran;
    Answer.Status = Kept.Status;
    Answer.ContentType = Kept.ContentType;
    Answer.Body = Kept.Body;
    Answer.HasBody = Relay.hasWholeCopy();
  } else if (Request.Outcome == RunOutcome::NotRun) {
    End = ClaimEnd::NotRun;
  }
  this->Claims->finish(Request.ClaimKey, Request.Claim, End, Answer);
}

/// Gives the final answer if none was given, and counts the request.
void RequestProxy::finish(Flow &Request, AnswerRelay &Relay) {
  const TimePoint Now = readSteadyClock();
  AnswerKind Kind = AnswerKind::Good;
  if (Relay.hasBegun()) {
    Relay.finish(Request.IsAnswered);
    if (!Request.IsAnswered && !Request.WasCanceled)
      this->Counters.add(Counter::CutAnswers);
    if (!Request.IsAnswered || Request.WasFailed)
      Kind = AnswerKind::Failed;
  } else if (!Request.IsAnswered) {
    Kind = AnswerKind::Failed;
    if (!Request.IsBodyWhole)
      Request.Exchange.MustClose = true;
    if (Request.HasNoServer) {
      this->Counters.add(Counter::RefusedNoServer);
      this->refuse(Request.Exchange, 503, RunOutcome::NotRun,
                   getName(Refusal::NoServer), SoonWait);
    } else {
      const char *Reason = Request.WasTimeout ? "deadline" : "server-failed";
      this->refuse(Request.Exchange, Request.WasTimeout ? 504 : 502,
                   Request.Outcome, Reason, SoonWait);
    }
  }
  if (Request.WasCanceled) {
    Kind = AnswerKind::Canceled;
    Request.Exchange.MustClose = true;
  }
  if (Kind == AnswerKind::Good)
    this->Counters.add(Counter::Answered);
  Request.Service->finish(Kind, Now - Request.Began, Now);
}

} // namespace canvaswick
