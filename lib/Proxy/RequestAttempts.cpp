//===- RequestAttempts.cpp - The tries of one request at backend servers --===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Picks a server, runs the exchange, judges what it showed about the server
/// and what the caller can be told. Whether another may be tried stands in
/// RequestRepeats.cpp.
///
//===----------------------------------------------------------------------===//

#include "RequestContext.h"
#include "canvaswick/Proxy/ServerNoticeParser.h"
#include "canvaswick/Support/Text.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>

namespace canvaswick {

/// An answer to a keyed request is kept up to this length.
static constexpr size_t KeptAnswerBytes = 2 * 1024;

/// Connections that may fail to come about for one request. They are no
/// attempts: nothing was sent.
static constexpr size_t MaxUnreachable = 4;

/// Notes what came of an attempt for the log.
void RequestProxy::addToTrail(RequestContext &Request, const Attempt &Ended,
                              RequestOutcome Outcome, Duration Took) {
  Request.Trail +=
      fmt::format("{}{}:{}:{}ms:share={:.3f}:sick={:.3f}:load={:.1f}{}",
                  Request.Trail.empty() ? "" : ",",
                  Request.Service->getServer(Ended.Server).Name,
                  Ended.WasCutOff ? "cut-off" : getName(Outcome),
                  toMillis(Took), Ended.Share, Ended.UnhealthyProbability,
                  Ended.ServerLoad, Ended.IsTest ? ":test" : "");
}

/// Returns whether another attempt may begin, by the route's attempts, by the
/// connections that did not come about, and by the time that is left.
bool RequestProxy::hasAttemptLeft(const RequestContext &Request,
                                  const ResponseRelay &Relay,
                                  size_t Unreachable, TimePoint Now) const {
  if (Request.Tries >= this->getMaxAttempts(Request) ||
      Unreachable >= MaxUnreachable)
    return false;
  // An answer that has begun has its own time limits.
  return Now < Request.Deadline || Relay.hasBegun();
}

/// Returns within what time an answer is to come, by the operators.
static Duration getObjective(const RouteConfig &Route,
                             const ServiceConfig &Service) {
  return fromMillis(Route.ObjectiveMs > 0 ? Route.ObjectiveMs
                                          : Service.ObjectiveMs);
}

void RequestProxy::tellChange(TimePoint Now) const {
  if (this->Listener)
    this->Listener(Now);
}

/// Returns whether servers have ended under the request too often, also
/// elsewhere and since it began.
bool RequestProxy::isHeldBackNow(RequestContext &Request, TimePoint Now) const {
  Request.IsHeldBack =
      !Request.HasTry && this->Quarantine.isQuarantined(Request.Digest, Now);
  if (Request.IsHeldBack)
    Request.HeldWait = this->Quarantine.getWait(Request.Digest, Now);
  return Request.IsHeldBack;
}

/// Tells the guard what came of an attempt. Returns what it shows of the
/// server: nothing if other servers have ended under the request too. Charged
/// to the server, the end would look like a spell, and fewer would be used.
RequestOutcome RequestProxy::tellGuard(RequestContext &Request,
                                       const Attempt &Ended,
                                       RequestOutcome Outcome, TimePoint Now) {
  if (Outcome != RequestOutcome::Unreachable)
    Request.HasTry = false;
  if (Request.IsAnswered && !Request.WasFailed)
    this->Quarantine.recordAnswer(Request.Digest, Now);
  const ServerConfig &Server = Request.Service->getServer(Ended.Server);
  // One that is leaving ends in any case.
  if (!Ended.WasCutOff || Server.State == ServerState::Draining)
    return Outcome;
  const EndedServerId Id =
      getServerId(Request.Service->getConfig().Name, Server.Name);
  this->Quarantine.recordEnd({Request.Digest, Id, Ended.Began, Now, 0}, Now);
  return this->Quarantine.isSuspect(Request.Digest, Id)
             ? RequestOutcome::Canceled
             : Outcome;
}

void RequestProxy::runAttempts(RequestContext &Request, ResponseRelay &Relay) {
  AttemptNeeds &Needs = Request.Needs;
  Needs.Class = Request.Route->Class;
  Needs.Route = Request.Route->Name;
  Needs.Deadline = Request.Deadline;
  Needs.Objective = getObjective(*Request.Route, Request.Service->getConfig());
  Needs.ObjectiveDeadline = Request.Began + Needs.Objective;
  size_t Unreachable = 0;
  while (true) {
    const TimePoint Now = readSteadyClock();
    if (!this->hasAttemptLeft(Request, Relay, Unreachable, Now))
      break;
    if (Request.Exchange.Stream.isPeerGone() && !Request.HasClaim) {
      Request.WasCanceled = true;
      break;
    }
    if (!Relay.hasBegun() && this->isHeldBackNow(Request, Now))
      break;
    Needs.IsLast = !isRetryable(*Request.Route) ||
                   Request.Tries + 1 >= this->getMaxAttempts(Request) ||
                   !Request.Service->hasRetry(Now);
    Attempt Current;
    if (!Request.Service->begin(Current, Needs, Now)) {
      Request.HasNoServer = Needs.Tried.empty();
      break;
    }
    this->Counters.add(Counter::ServersLeftOut, Current.ExcludedServers);
    this->tellChange(Now);
    const RequestOutcome Outcome = this->runAttempt(Request, Relay, Current);
    Current.Load = Relay.getLoad();
    const TimePoint End = readSteadyClock();
    Request.Service->end(Current,
                         this->tellGuard(Request, Current, Outcome, End), End);
    this->tellChange(End);
    addToTrail(Request, Current, Outcome, End - Now);
    Needs.Tried.push_back(Current.Server);
    if (Outcome == RequestOutcome::Unreachable)
      ++Unreachable;
    else
      ++Request.Tries;
    // A right to a repeat is taken only where there is a try left to use it.
    if (Request.IsAnswered || Request.WasCanceled ||
        !this->hasAttemptLeft(Request, Relay, Unreachable, End) ||
        !this->mayRetry(Request, Relay))
      break;
    this->Counters.add(Relay.hasBegun() ? Counter::ResumedAnswers
                                        : Counter::Repeats);
  }
  if (Request.HasTry)
    this->Quarantine.returnProbe(Request.Digest);
}

/// Returns whether a header of the caller is replaced by one of ours, or is for
/// this daemon only. HasKeys: callers show keys, which no server may see. The
/// four in capitals are the HTTP library's own notes.
static bool isOwnHeader(const std::string &Name, const HeaderNames &Names,
                        bool HasKeys) {
  return (HasKeys && equalsIgnoringCase(Name, Names.Key)) ||
         equalsIgnoringCase(Name, Names.Organisation) ||
         Name == "REMOTE_ADDR" || Name == "REMOTE_PORT" ||
         Name == "LOCAL_ADDR" || Name == "LOCAL_PORT" ||
         equalsIgnoringCase(Name, Names.Deadline) ||
         equalsIgnoringCase(Name, Names.RequestId) ||
         equalsIgnoringCase(Name, Names.ExpectedInstance) ||
         ::strcasecmp(Name.c_str(), "Expect") == 0;
}

/// Adds what a server should know of the request besides the caller's headers.
void RequestProxy::addServerHeaders(RequestContext &Request,
                                    const ServerConfig &Server,
                                    const std::string &RequestId,
                                    OutgoingRequest &Outgoing) const {
  const HeaderNames &Names = this->Options.Headers;
  const Duration Left = Request.Deadline - readSteadyClock();
  Outgoing.Headers.emplace(
      Names.Deadline, fmt::format("{}", std::max<int64_t>(1, toMillis(Left))));
  if (!RequestId.empty())
    Outgoing.Headers.emplace(Names.RequestId, RequestId);
  if (!Names.ExpectedInstance.empty() && !Server.Instance.empty())
    Outgoing.Headers.emplace(Names.ExpectedInstance, Server.Instance);
  if (!Request.Organisation.empty())
    Outgoing.Headers.emplace(Names.Organisation, Request.Organisation);
  Outgoing.Headers.emplace("Via", "1.1 " + this->DaemonName);
  Outgoing.Headers.emplace("X-Forwarded-For",
                           Request.Exchange.Request.remote_addr);
}

OutgoingRequest
RequestProxy::buildOutgoing(RequestContext &Request, const ResponseRelay &Relay,
                            const ServerConfig &Server,
                            const std::string &RequestId) const {
  const httplib::Request &Caller = Request.Exchange.Request;
  OutgoingRequest Outgoing;
  Outgoing.Method = Caller.method;
  Outgoing.Target = Caller.target;
  const bool HasKeys = Request.Fleet->getConfig().Organisations->needsKeys();
  for (const auto &[Name, Value] : Caller.headers)
    if (!isOwnHeader(Name, this->Options.Headers, HasKeys) &&
        !isHopByHopHeader(Name, Caller.headers))
      Outgoing.Headers.emplace(Name, Value);
  this->addServerHeaders(Request, Server, RequestId, Outgoing);
  Outgoing.ServerInstance = Server.Name;
  Outgoing.ConnectLimit = fromMillis(this->Options.ConnectMs);
  Outgoing.WantsFreshConnection =
      this->Options.UsesFreshConnections && !isRetryable(*Request.Route);
  Outgoing.MayEndWithConnection = this->Options.MaxBufferedResponseBytes > 0;
  Relay.addResumeHeaders(Outgoing.Headers);
  Outgoing.StallLimit = fromMillis(Request.Service->getConfig().StallMs);
  if (Request.HasOwnDeadline)
    Outgoing.BodyDeadline = Request.Deadline;
  Outgoing.Body = Request.Body;
  if (!Request.IsBodyWhole)
    this->streamBody(Request, Outgoing);
  return Outgoing;
}

/// Returns what may be held back, set aside or kept of an attempt's answer.
RelayOptions RequestProxy::makeRelayRules(const RequestContext &Request) const {
  RelayOptions Rules;
  // The second server's own words are worth more than a general failure.
  Rules.MayDiscardFailure =
      isRetryable(*Request.Route) && Request.IsBodyWhole && Request.Tries == 0;
  Rules.MaxBufferedBytes = this->Options.MaxBufferedResponseBytes;
  Rules.MaxCopiedBytes = Request.HasClaim ? KeptAnswerBytes : 0;
  Rules.ContinuesWithoutCaller = Request.HasClaim;
  return Rules;
}

static Counter getCounter(NoticeKind Kind) {
  switch (Kind) {
  case NoticeKind::Limit:
    return Counter::LimitsHeard;
  case NoticeKind::Leaving:
    return Counter::LeavingsHeard;
  case NoticeKind::Backoff:
    return Counter::RestsHeard;
  case NoticeKind::Malformed:
    return Counter::NoticesMisread;
  }
  assert(false && "notice without a counter");
  return Counter::LimitsHeard;
}

/// Takes what an answer says of its server, before anything is passed on. One
/// to another request may be old, and one that names another server is not of
/// this one.
void RequestProxy::handleServerNotice(const RequestContext &Request,
                                      Attempt &Current,
                                      const std::string &RequestId,
                                      const httplib::Response &Response) {
  const HeaderNames &Names = this->Options.Headers;
  const std::string Echo = Response.get_header_value(Names.RequestId);
  if ((!Echo.empty() && Echo != RequestId) ||
      Response.status == MisdirectedStatus)
    return;
  const ServerNotice Notice =
      parseServerNotice(Response, Names, readCalendarMillis());
  for (const NoticeChange &Each :
       Request.Service->handleNotice(Current, Notice, readSteadyClock())) {
    if (Each.Step != NoticeStep::Ended)
      this->Counters.add(getCounter(Each.Kind));
    logNoticeChange(Each, RequestId);
  }
}

RequestOutcome RequestProxy::runAttempt(RequestContext &Request,
                                        ResponseRelay &Relay,
                                        Attempt &Current) {
  const std::string RequestId =
      this->Options.Headers.PassesCallerId
          ? Request.CallerId
          : fmt::format("{}-{}", this->DaemonName, this->NextRequest++);
  Relay.setRules(this->makeRelayRules(Request));
  Relay.beginAttempt(RequestId);
  const AnswerSink Sink{[&](const httplib::Response &Response) {
                          this->handleServerNotice(Request, Current, RequestId,
                                                   Response);
                          return Relay.handleHead(Response);
                        },
                        [&Relay](const char *Data, size_t Size) {
                          return Relay.handleBody(Data, Size);
                        }};
  const ServerConfig &Server = Request.Service->getServer(Current.Server);
  OutgoingRequest Outgoing =
      this->buildOutgoing(Request, Relay, Server, RequestId);
  bool IsPatience = false;
  const TimePoint Deadline = this->chooseAttemptDeadline(
      Request, Relay, readSteadyClock(), IsPatience);
  if (IsPatience)
    Outgoing.ExtendDeadline = [this, &Request, &Current, &IsPatience] {
      return this->extendPatience(Request, Current, IsPatience);
    };
  // A claimed request is run once: its answer is wanted even if this caller
  // has left.
  const bool MayCancel = Request.IsBodyWhole && !Request.HasClaim;
  const int HangUp = MayCancel ? Request.Exchange.Stream.socket() : -1;
  const ExchangeResult Result = this->Upstreams.exchange(
      Server.Address, Outgoing, Deadline, HangUp, &Sink);
  const RequestOutcome Outcome = this->classifyExchange(Request, Relay, Result);
  Current.WasTimedOut = Result.End == ExchangeEnd::Timeout;
  Current.WasCutOff =
      Result.End == ExchangeEnd::Broken && Result.BytesReceived == 0;
  // One that ran out of patience is no more than late.
  return IsPatience && Result.End == ExchangeEnd::Timeout ? RequestOutcome::Slow
                                                          : Outcome;
}

/// Judges a whole answer.
RequestOutcome RequestProxy::classifyResponse(RequestContext &Request,
                                              const ResponseRelay &Relay) {
  switch (Relay.getVerdict()) {
  case ResponseVerdict::NotRun:
    this->Counters.add(Counter::UpstreamSheds);
    // Another server has taken over the address: this one is not there.
    return Relay.getStatus() == MisdirectedStatus ? RequestOutcome::Unreachable
                                                  : RequestOutcome::Shed;
  case ResponseVerdict::Relayed:
    Request.IsAnswered = true;
    Request.WasFailed = Relay.getStatus() >= 500;
    break;
  case ResponseVerdict::None:
  case ResponseVerdict::Failed:
  case ResponseVerdict::RequestIdMismatch:
  case ResponseVerdict::ResumeMismatch:
    Request.Outcome = RunOutcome::NotKnown;
    break;
  }
  if (Relay.getStatus() >= 500 ||
      Relay.getVerdict() == ResponseVerdict::Failed) {
    this->Counters.add(Counter::UpstreamFailures);
    return RequestOutcome::Failed;
  }
  return RequestOutcome::Good;
}

/// Turns the end of an exchange into evidence about the server, and into what
/// the caller may be told.
RequestOutcome RequestProxy::classifyExchange(RequestContext &Request,
                                              const ResponseRelay &Relay,
                                              const ExchangeResult &Result) {
  Request.WasFailed = true;
  Request.WasTimeout = Result.End == ExchangeEnd::Timeout;
  if (Result.End != ExchangeEnd::NoConnection &&
      Result.End != ExchangeEnd::NotSent)
    Request.WasSent = true;
  switch (Result.End) {
  case ExchangeEnd::NoConnection:
    return RequestOutcome::Canceled;
  case ExchangeEnd::NotSent:
    this->Counters.add(Counter::UpstreamFailures);
    return RequestOutcome::Unreachable;
  case ExchangeEnd::Complete:
    break;
  case ExchangeEnd::Timeout:
  case ExchangeEnd::Broken:
  case ExchangeEnd::Canceled:
    Request.Outcome = RunOutcome::NotKnown;
    break;
  }
  if (Result.End == ExchangeEnd::Canceled &&
      Relay.getVerdict() == ResponseVerdict::RequestIdMismatch) {
    this->Counters.add(Counter::ForeignAnswers);
    return RequestOutcome::Failed;
  }
  if (Result.End == ExchangeEnd::Canceled &&
      Relay.getVerdict() == ResponseVerdict::ResumeMismatch)
    return RequestOutcome::Canceled;
  if (Result.End == ExchangeEnd::Canceled || Request.IsBodyBroken) {
    Request.WasCanceled = true;
    this->Counters.add(Counter::CallerHangUps);
    return RequestOutcome::Canceled;
  }
  if (Result.End != ExchangeEnd::Complete) {
    this->Counters.add(Counter::UpstreamFailures);
    return RequestOutcome::Failed;
  }
  return this->classifyResponse(Request, Relay);
}

} // namespace canvaswick
