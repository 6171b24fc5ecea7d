//===- RequestProxy.cpp - Proxies one request -----------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The steps of a request in order. Each step either lets the request continue
/// or gives the final response. Bodies, claims, organisations, attempts and
/// retries are handled in files of their own.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Proxy/RequestProxy.h"
#include "RequestContext.h"
#include "canvaswick/Support/EnumNames.h"
#include "canvaswick/Support/Hash.h"
#include "canvaswick/Support/Log.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
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

/// A caller that accepts no byte for this long is considered gone.
static constexpr Duration CallerStallLimit = fromSeconds(30);

/// A stopping daemon takes a request if this many typical times of its route
/// are left.
static constexpr int StopTimeFactor = 2;

/// Maps an id or a name to a number in [0, 1), uniformly distributed.
static double drawFraction(const std::string &Name) {
  constexpr uint64_t Steps = 1024;
  return static_cast<double>(hashText(Name) % Steps) /
         static_cast<double>(Steps);
}

RequestProxy::RequestProxy(std::string DaemonName,
                           const FleetRuntimeSlot &Fleet,
                           ConnectionPool &Upstreams, CounterTable &Counters,
                           ClaimGate *Claims, ProxyOptions Options)
    : DaemonName(std::move(DaemonName)), Fleet(Fleet), Upstreams(Upstreams),
      Counters(Counters), Claims(Claims), Options(std::move(Options)),
      Quarantine(Counters), Started(readSteadyClock()),
      Organisations(this->Options.QuotaLimits, this->Started,
                    drawFraction(this->DaemonName)) {}

void RequestProxy::configure(const FleetConfig &Config) {
  this->Organisations.configure(Config.Organisations, readSteadyClock());
}

void RequestProxy::forgetIdle(TimePoint Now) {
  this->Organisations.forgetIdle(Now);
}

std::string RequestProxy::formatRetryAfter(Duration Wait) const {
  if (this->Options.Headers.HasFractionalRetryAfter)
    return fmt::format("{:.3f}", toSeconds(Wait));
  return fmt::format("{}", toRetryAfterSeconds(Wait));
}

void RequestProxy::refuse(HttpExchange &Exchange, int Status,
                          RunOutcome Outcome, const char *Reason,
                          Duration Wait) {
  httplib::Response &Response = Exchange.Response;
  Response.status = Status;
  Response.set_header(OutcomeHeader, getName(Outcome));
  Response.set_header(ReasonHeader, Reason);
  if (Wait > NoWait)
    Response.set_header("Retry-After", this->formatRetryAfter(Wait));
  Response.set_content(fmt::format("{}: {}\n", getName(Outcome), Reason),
                       "text/plain");
}

/// Returns the time by which a request must be answered. Sets IsFromCaller if
/// the caller has specified a deadline.
static TimePoint computeDeadline(const std::string &Requested,
                                 const RouteConfig &Route,
                                 const ServiceConfig &Service, TimePoint Now,
                                 bool &IsFromCaller) {
  int64_t Millis = Route.TimeoutMs > 0 ? Route.TimeoutMs : Service.DeadlineMs;
  IsFromCaller = !Requested.empty();
  if (IsFromCaller)
    Millis =
        std::min<int64_t>(Millis, std::strtoll(Requested.c_str(), nullptr, 10));
  return Now + fromMillis(std::max<int64_t>(0, Millis));
}

/// Finds the route of a request. Returns false if the request was refused.
bool RequestProxy::findRoute(RequestContext &Request) {
  HttpExchange &Exchange = Request.Exchange;
  if (!Request.Fleet) {
    this->refuse(Exchange, 503, RunOutcome::NotRun, "no-settings",
                 computeSettingsRetryAfter(Request.Began - this->Started,
                                           drawFraction(Request.CallerId)));
    logInfo("request", "id={} outcome=not-run reason=no-settings",
            Request.CallerId);
    Exchange.MustClose = true;
    return false;
  }
  const std::string &Target = Exchange.Request.target;
  if (isAmbiguousPath(getTargetPath(Target))) {
    this->Counters.add(Counter::RefusedUnknownRoute);
    this->refuse(Exchange, 400, RunOutcome::NotRun, "ambiguous-path", NoWait);
    Exchange.MustClose = true;
    return false;
  }
  Request.Route = Request.Fleet->getRoutes().find(
      Exchange.Request.get_header_value("Host"), Target);
  if (!Request.Route) {
    this->Counters.add(Counter::RefusedUnknownRoute);
    this->refuse(Exchange, 404, RunOutcome::NotRun,
                 getName(Refusal::UnknownRoute), NoWait);
    logInfo("request", "id={} version={} outcome=not-run reason=unknown-route",
            Request.CallerId, Request.Fleet->getConfig().Version);
    Exchange.MustClose = true;
    return false;
  }
  return true;
}

void RequestProxy::handle(HttpExchange &Exchange) {
  this->Counters.add(Counter::Requests);
  RequestContext Request(Exchange);
  Request.Began = readSteadyClock();
  Exchange.Stream.setDeadline(TimePoint::max());
  Exchange.Stream.setStallLimit(CallerStallLimit);
  Request.CallerId =
      Exchange.Request.get_header_value(this->Options.Headers.RequestId);
  Request.Fleet = this->Fleet.get();
  if (!this->findRoute(Request) || !this->findOrganisation(Request))
    return;
  Request.Service = this->chooseService(*Request.Fleet, *Request.Route);
  Request.Deadline = computeDeadline(
      Exchange.Request.get_header_value(this->Options.Headers.Deadline),
      *Request.Route, Request.Service->getConfig(), Request.Began,
      Request.HasCallerDeadline);
  if (this->applyStopDeadline(Request) && this->admitOrganisation(Request))
    this->serve(Request);
}

/// Returns whether a request that has just come is usually served before Until.
bool RequestProxy::isUsuallyServedBefore(const RequestContext &Request,
                                         TimePoint Until) {
  const Duration Typical = Request.Service->getTypicalTime(
      Request.Route->Name,
      getObjective(*Request.Route, Request.Service->getConfig()));
  return Request.Began + Typical * StopTimeFactor <= Until;
}

/// Limits the deadline of a request to the end of the daemon's shutdown.
/// Returns false if the request was refused, because it might have to be
/// aborted.
bool RequestProxy::applyStopDeadline(RequestContext &Request) {
  const TimePoint Until = this->StopUntil;
  if (Request.Deadline <= Until)
    return true;
  Request.Deadline = Until;
  if (!this->RefusesLateRequests && isUsuallyServedBefore(Request, Until))
    return true;
  this->refuseUnadmitted(Request, Refusal::Stopping,
                         fromMillis(this->Options.DefaultRetryAfterMs));
  return false;
}

/// Chooses the service of a split route. Multiples of the golden ratio
/// distribute any number of consecutive requests almost exactly by the weights.
ServiceRuntimeRef RequestProxy::chooseService(const FleetRuntime &Runtime,
                                              const RouteConfig &Route) {
  static constexpr double GoldenRatio = 0.6180339887498949;
  const std::vector<ServiceRuntimeRef> &Services = Runtime.getServices();
  if (Route.Split.empty())
    return Services[Route.Service];
  int64_t Sum = 0;
  for (const WeightedService &Part : Route.Split)
    Sum += Part.Weight;
  const double Position = std::fmod(this->NextSplit++ * GoldenRatio, 1.0);
  auto Left = static_cast<int64_t>(Position * static_cast<double>(Sum));
  for (const WeightedService &Part : Route.Split) {
    Left -= Part.Weight;
    if (Left < 0)
      return Services[Part.Service];
  }
  return Services[Route.Split.back().Service];
}

static Counter getCounter(Refusal Reason) {
  switch (Reason) {
  case Refusal::DeadlineTooShort:
    return Counter::RefusedDeadline;
  case Refusal::NoServer:
    return Counter::RefusedNoServer;
  case Refusal::Quarantined:
    return Counter::RefusedQuarantined;
  case Refusal::OrganisationRate:
    return Counter::RefusedOrganisationRate;
  case Refusal::UnknownRoute:
    return Counter::RefusedUnknownRoute;
  case Refusal::UnknownKey:
    return Counter::RefusedUnknownKey;
  case Refusal::None:
  case Refusal::ServiceBusy:
  case Refusal::Stopping:
    return Counter::RefusedServiceBusy;
  }
  return Counter::RefusedServiceBusy;
}

/// Gives the final response to a request that its service does not admit.
void RequestProxy::refuseUnadmitted(RequestContext &Request, Refusal Refused,
                                    Duration Wait) {
  this->Counters.add(getCounter(Refused));
  const int Status = Refused == Refusal::DeadlineTooShort ? 504 : 503;
  this->refuse(Request.Exchange, Status, RunOutcome::NotRun, getName(Refused),
               Wait);
  Request.Exchange.MustClose = true;
  this->refundIfNotRun(Request, Request.Began);
  Request.Service->getMetrics().add(AnswerKind::Refused, NoWait, NoWait,
                                    Request.Began);
  logInfo("request", "id={} route={} outcome=not-run reason={} left-ms={}",
          Request.CallerId, Request.Route->Name, getName(Refused),
          toMillis(Request.Deadline - Request.Began));
}

/// Returns whether the request may be sent, or is quarantined because too many
/// servers have ended under it.
bool RequestProxy::checkQuarantine(RequestContext &Request) {
  const QuarantineDecision Answer =
      this->Quarantine.admit(Request.Fingerprint, readSteadyClock());
  Request.HasProbe = Answer.IsProbe;
  Request.IsQuarantined = !Answer.MaySend;
  Request.QuarantineWait = Answer.Wait;
  return Answer.MaySend;
}

Duration RequestProxy::addRetryJitter(const std::string &CallerId,
                                      Duration Wait) {
  return fromSeconds(toSeconds(Wait) * (1 + drawFraction(CallerId) / 2));
}

/// Refuses a quarantined request that was sent to no server.
void RequestProxy::refuseQuarantined(RequestContext &Request) {
  this->Counters.add(Counter::RefusedQuarantined);
  Request.Reason = getName(Refusal::Quarantined);
  this->refuse(Request.Exchange, 503, RunOutcome::NotRun, Request.Reason,
               addRetryJitter(Request.CallerId, Request.QuarantineWait));
}

void RequestProxy::serve(RequestContext &Request) {
  Duration Wait = fromMillis(this->Options.DefaultRetryAfterMs);
  const Refusal Refused = Request.Service->admit(
      Request.Route->Name, Request.Deadline - Request.Began, Request.Began,
      Wait);
  if (Refused == Refusal::NoServer)
    Wait = addRetryJitter(Request.CallerId, Wait);
  if (Refused != Refusal::None) {
    this->refuseUnadmitted(Request, Refused, Wait);
    return;
  }
  Request.Admitted.begin(Request.Service, Request.Began);
  RelayOptions InitialOptions;
  ResponseRelay Relay(Request.Exchange, this->Options.Headers, InitialOptions);
  const bool IsRead = this->readBody(Request);
  this->computeFingerprint(Request);
  if (IsRead && this->checkQuarantine(Request) && this->claim(Request)) {
    this->runAttempts(Request, Relay);
    this->resolveClaim(Request, Relay);
  }
  this->finish(Request, Relay);
}

/// Gives the final response to a request that no server has answered.
void RequestProxy::refuseUnserved(RequestContext &Request) {
  if (Request.IsQuarantined && !Request.WasSent) {
    this->refuseQuarantined(Request);
    return;
  }
  if (Request.HasBodyFailed) {
    this->refuseStreamedBody(Request);
    return;
  }
  const Duration Wait =
      Request.IsQuarantined
          ? addRetryJitter(Request.CallerId, Request.QuarantineWait)
          : fromMillis(this->Options.DefaultRetryAfterMs);
  if (Request.HasNoServer) {
    this->Counters.add(Counter::RefusedNoServer);
    Request.Reason = getName(Refusal::NoServer);
    this->refuse(Request.Exchange, 503, RunOutcome::NotRun, Request.Reason,
                 Wait);
    return;
  }
  if (Request.Outcome == RunOutcome::NotRun && Request.LastWait &&
      Request.LastWait != WaitEnd::Served) {
    this->refuseAfterWait(Request);
    return;
  }
  Request.Reason = Request.WasTimeout ? "deadline" : "server-failed";
  if (Request.WasPeerLost)
    Request.Reason = "peer-lost";
  if (Request.HasNoPeer && Request.Outcome == RunOutcome::NotRun)
    Request.Reason = "servers-out-of-reach";
  int Status = Request.WasTimeout ? 504 : 502;
  if (Request.Outcome == RunOutcome::NotRun)
    Status = this->Options.NotRunStatus;
  this->refuse(Request.Exchange, Status, Request.Outcome, Request.Reason, Wait);
}

/// Returns how the log shows the list of servers at a request's arrival.
static std::string getListMark(const FleetConfig &Config) {
  return Config.ListedAsOf.empty()
             ? ""
             : fmt::format(" list-as-of={}", Config.ListedAsOf);
}

void RequestProxy::logEnd(const RequestContext &Request,
                          const ResponseRelay &Relay, TimePoint Now) {
  const bool IsRelayed = Request.IsAnswered && Request.AttemptCount > 0;
  logInfo("request",
          "id={} caller={} organisation={:?} asks={:016x} route={} service={} "
          "version={}{} "
          "status={} outcome={} reason={} ms={} left-ms={} tries={}{}",
          Request.CallerId, Request.Exchange.Request.remote_addr,
          Request.Organisation, Request.Fingerprint, Request.Route->Name,
          Request.Service->getConfig().Name, Request.Fleet->getConfig().Version,
          getListMark(Request.Fleet->getConfig()),
          IsRelayed ? Relay.getStatus() : Request.Exchange.Response.status,
          IsRelayed ? "relayed"
                    : (Request.WasCanceled ? "caller-left"
                                           : getName(Request.Outcome)),
          *Request.Reason ? Request.Reason : "-", toMillis(Now - Request.Began),
          toMillis(Request.Deadline - Now),
          Request.AttemptTrail.empty() ? "-" : Request.AttemptTrail,
          Request.Waited > Duration::zero()
              ? fmt::format(" waited-ms={}", toMillis(Request.Waited))
              : "");
}

/// Gives the final response if there is none yet, and records the request.
void RequestProxy::finish(RequestContext &Request, ResponseRelay &Relay) {
  const TimePoint Now = readSteadyClock();
  AnswerKind Kind = AnswerKind::Good;
  Relay.finish(Request.IsAnswered);
  if (Relay.hasBegun()) {
    if (!Request.IsAnswered && !Request.WasCanceled)
      this->Counters.add(Counter::TruncatedAnswers);
    if (!Request.IsAnswered || Request.WasFailed)
      Kind = AnswerKind::Failed;
  } else if (!Request.IsAnswered) {
    Kind = AnswerKind::Failed;
    if (!Request.IsBodyBuffered)
      Request.Exchange.MustClose = true;
    this->refuseUnserved(Request);
  }
  if (Request.WasCanceled) {
    Kind = AnswerKind::Canceled;
    Request.Exchange.MustClose = true;
  }
  if (Kind == AnswerKind::Good)
    this->Counters.add(Counter::Answered);
  this->refundIfNotRun(Request, Now);
  this->logEnd(Request, Relay, Now);
  Request.Admitted.finish(Kind, Now);
}

} // namespace canvaswick
