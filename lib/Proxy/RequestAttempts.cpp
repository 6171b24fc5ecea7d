//===- RequestAttempts.cpp - Attempts of one request at servers -----------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Selects a server and runs the exchange. RequestOutcomes.cpp derives the
/// outcome, RequestRetries.cpp decides whether another attempt follows.
///
//===----------------------------------------------------------------------===//

#include "RequestContext.h"
#include "canvaswick/Proxy/ServerNoticeParser.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace canvaswick {

/// Responses to keyed requests are stored up to this size.
static constexpr size_t MaxStoredAnswerBytes = 2 * 1024;

/// Failed connections that are tolerated for one request. They do not count as
/// attempts, because nothing was sent. More are tolerated if each takes only as
/// long as connections usually do.
static constexpr size_t MaxUnreachable = 4;
static constexpr size_t MaxQuicklyUnreachable = 8;

/// A list of servers is rarely older where the store answers.
static constexpr Duration NotableListAge = fromSeconds(1);

/// Returns how the trail shows that a peer connected to the server.
static const char *getPathMark(const Attempt &Ended) {
  if (!Ended.IsThroughPeer)
    return "";
  return Ended.WasPeerLost ? ":peer-lost" : ":peer";
}

/// Returns how the trail shows the list of servers by which an attempt was
/// sent, if that is another one than at the request's arrival.
static std::string getListMark(const FleetRuntimeRef &Arrival,
                               const FleetRuntimeRef &Sent) {
  const std::string &AsOf = Sent->getConfig().ListedAsOf;
  return AsOf == Arrival->getConfig().ListedAsOf
             ? ""
             : fmt::format(":list={}", AsOf);
}

/// Appends an attempt to the trail that is logged when the request ends.
void RequestProxy::addToTrail(RequestContext &Request, const Attempt &Ended,
                              RequestOutcome Outcome, Duration Took) {
  Request.AttemptTrail += fmt::format(
      "{}{}:{}:{}ms:share={:.3f}:sick={:.3f}:load={:.1f}{}{}{}{}{}{}{}{}{}",
      Request.AttemptTrail.empty() ? "" : ",",
      Request.Service->getServer(Ended.Server).Name,
      Ended.WasCutOff ? "cut-off" : getName(Outcome), toMillis(Took),
      Ended.Share, Ended.UnhealthyProbability, Ended.ServerLoad,
      Ended.IsTest ? ":test" : "",
      Ended.Placed ? fmt::format(":{}", getName(*Ended.Placed)) : "",
      getPathMark(Ended), Ended.WasConnectionKept ? ":kept" : "",
      std::exchange(Request.IsRetryPaid, false) ? ":paid" : "",
      Request.WasWithdrawn ? ":withdrawn" : "",
      getListMark(Request.Fleet, Request.AttemptFleet),
      Request.OldListAge
          ? fmt::format(":list-age={}ms", toMillis(*Request.OldListAge))
          : "",
      Request.AnswerFault ? fmt::format(":answer={}", Request.AnswerFault)
                          : "");
}

/// Returns whether another attempt may begin, given the route's maximum number
/// of attempts, the failed connections and the time left.
bool RequestProxy::hasAttemptLeft(const RequestContext &Request,
                                  const ResponseRelay &Relay,
                                  size_t Unreachable, TimePoint Now) const {
  const bool IsQuick =
      this->Options.LearnsConnectTimes && Request.Service->hasManyServers();
  const size_t Tolerated = IsQuick ? MaxQuicklyUnreachable : MaxUnreachable;
  if (Request.AttemptCount >= this->getMaxAttempts(Request) ||
      Unreachable >= Tolerated)
    return false;
  // A response that has begun has its own time limits.
  return Now < Request.Deadline || Relay.hasBegun();
}

Duration getObjective(const RouteConfig &Route, const ServiceConfig &Service) {
  return fromMillis(Route.ObjectiveMs > 0 ? Route.ObjectiveMs
                                          : Service.ObjectiveMs);
}

void RequestProxy::notifyAttemptListener(TimePoint Now) const {
  if (this->Listener)
    this->Listener(Now);
}

/// Notes an attempt by a list of servers that may have been outdated for long.
void RequestProxy::recordListAge(RequestContext &Request, TimePoint Now) {
  const TimePoint CurrentAt = this->ListCurrentAt;
  Request.OldListAge.reset();
  if (CurrentAt == TimePoint{} || Now - CurrentAt < NotableListAge)
    return;
  Request.OldListAge = Now - CurrentAt;
  this->Counters.add(Counter::AttemptsByOldList);
}

/// Returns whether the request is quarantined now. Servers may have crashed
/// since the request began, also under requests of other daemons.
bool RequestProxy::recheckQuarantine(RequestContext &Request,
                                     TimePoint Now) const {
  Request.IsQuarantined = !Request.HasProbe && this->Quarantine.isQuarantined(
                                                   Request.Fingerprint, Now);
  if (Request.IsQuarantined)
    Request.QuarantineWait = this->Quarantine.getWait(Request.Fingerprint, Now);
  return Request.IsQuarantined;
}

/// Reports an attempt to the quarantine. Returns the outcome to record for the
/// server: Canceled if other servers have ended under the request, too. Were
/// the crash charged to the server, it would look like a failure episode of the
/// server, and fewer servers would be used.
RequestOutcome RequestProxy::reportToQuarantine(RequestContext &Request,
                                                const Attempt &Ended,
                                                RequestOutcome Outcome,
                                                TimePoint Now) {
  if (!isServerMissing(Outcome))
    Request.HasProbe = false;
  if (Request.IsAnswered && !Request.WasFailed)
    this->Quarantine.recordAnswer(Request.Fingerprint, Now);
  const ServerConfig &Server = Request.Service->getServer(Ended.Server);
  // A server that is draining ends in any case.
  if (!Ended.WasCutOff || Server.State == ServerState::Draining)
    return Outcome;
  const EndedServerId Id =
      getServerId(Request.Service->getConfig().Name, Server.Name);
  this->Quarantine.recordEnd({Request.Fingerprint, Id, Ended.Began, Now, 0},
                             Now);
  return this->Quarantine.isSuspect(Request.Fingerprint, Id)
             ? RequestOutcome::Canceled
             : Outcome;
}

/// Makes the request use the servers that are listed now, and not those of its
/// arrival. Returns false if its service exists no more.
bool RequestProxy::followSettings(RequestContext &Request) const {
  Request.AttemptFleet = this->Fleet.get();
  const ServiceRuntimeRef Current =
      Request.AttemptFleet->findService(Request.Service->getConfig().Name);
  if (!Current)
    return false;
  if (Current == Request.Service)
    return true;
  Request.Needs.Tried =
      Current->mapServers(Request.Needs.Tried, *Request.Service);
  Request.Service = Current;
  return true;
}

void RequestProxy::runAttempts(RequestContext &Request, ResponseRelay &Relay) {
  AttemptNeeds &Needs = Request.Needs;
  Needs.Class = Request.Route->Class;
  Needs.Route = Request.Route->Name;
  Needs.Deadline = Request.Deadline;
  Needs.Objective = getObjective(*Request.Route, Request.Service->getConfig());
  Needs.ObjectiveDeadline = Request.Began + Needs.Objective;
  Needs.BodyBytes = Request.Body.size();
  size_t Unreachable = 0;
  while (true) {
    const TimePoint Now = readSteadyClock();
    if (!this->hasAttemptLeft(Request, Relay, Unreachable, Now))
      break;
    if (Request.Exchange.Stream.isPeerGone() && !Request.HasClaim) {
      Request.WasCanceled = true;
      break;
    }
    if (!Relay.hasBegun() && this->recheckQuarantine(Request, Now))
      break;
    if (!this->followSettings(Request)) {
      Request.HasNoServer = !Request.WasSent;
      break;
    }
    Needs.IsLast = !isRetryable(*Request.Route) ||
                   Request.AttemptCount + 1 >= this->getMaxAttempts(Request) ||
                   !Request.Service->hasRetry(Now);
    Needs.IsRetry = Request.AttemptCount > 0;
    if (!this->choosePath(Request))
      break;
    Attempt Current;
    if (!Request.Service->begin(Current, Needs, Now)) {
      Request.HasNoServer = Needs.Tried.empty() && !Request.WasSent;
      break;
    }
    const AttemptOwner Owner(*Request.Service, Current);
    this->Counters.add(Counter::ServersExcluded, Current.ExcludedServers);
    this->notifyAttemptListener(Now);
    this->recordListAge(Request, Now);
    const RequestOutcome Outcome = this->runAttempt(Request, Relay, Current);
    Current.Load = Relay.getLoad();
    const TimePoint End = readSteadyClock();
    Request.Service->end(
        Current, this->reportToQuarantine(Request, Current, Outcome, End), End);
    this->notifyAttemptListener(End);
    addToTrail(Request, Current, Outcome, End - Now);
    // If no peer helped, the server was not tried.
    const bool WasTried = !Current.HadNoTunnel || !Request.HasNoPeer;
    if (WasTried)
      Needs.Tried.push_back(Current.Server);
    if (isServerMissing(Outcome) || Request.WasWithdrawn)
      Unreachable += WasTried ? 1 : 0;
    else
      ++Request.AttemptCount;
    // A retry is taken from the budget only if an attempt is left to use it.
    if (Request.IsAnswered || Request.WasCanceled ||
        !this->hasAttemptLeft(Request, Relay, Unreachable, End) ||
        !this->mayRetry(Request, Relay))
      break;
    this->Counters.add(Relay.hasBegun() ? Counter::ResumedAnswers
                                        : Counter::Retries);
  }
  if (Request.HasProbe)
    this->Quarantine.returnProbe(Request.Fingerprint);
}

/// Returns how the response to the next attempt may be buffered, discarded or
/// copied.
RelayOptions
RequestProxy::makeRelayOptions(const RequestContext &Request) const {
  RelayOptions RelaySettings;
  // A later server's own failure response tells the caller more than a generic
  // one.
  RelaySettings.MayDiscardFailure = isRetryable(*Request.Route) &&
                                    Request.IsBodyBuffered &&
                                    Request.AttemptCount == 0;
  RelaySettings.MaxBufferedBytes = this->Options.MaxBufferedResponseBytes;
  RelaySettings.MaxCopiedBytes = Request.HasClaim ? MaxStoredAnswerBytes : 0;
  RelaySettings.ContinuesWithoutCaller = Request.HasClaim;
  return RelaySettings;
}

static Counter getCounter(NoticeKind Kind) {
  switch (Kind) {
  case NoticeKind::Limit:
    return Counter::LimitsReceived;
  case NoticeKind::Leaving:
    return Counter::LeavingNoticesReceived;
  case NoticeKind::Backoff:
    return Counter::BackoffsReceived;
  case NoticeKind::Malformed:
    return Counter::MalformedNotices;
  case NoticeKind::Gone:
    return Counter::GoneServersFound;
  case NoticeKind::Warmup:
    break;
  }
  assert(false && "notice without a counter");
  return Counter::LimitsReceived;
}

/// Records that a server is gone, if the request said which one it was for.
void RequestProxy::handleMisdirection(const RequestContext &Request,
                                      const Attempt &Current,
                                      const std::string &RequestId) {
  if (this->Options.Headers.ExpectedInstance.empty() ||
      Request.Service->getServer(Current.Server).Instance.empty())
    return;
  for (const NoticeChange &Each :
       Request.Service->recordGone(Current, readSteadyClock())) {
    this->Counters.add(getCounter(Each.Kind));
    logNoticeChange(Each, RequestId);
  }
}

/// Applies the server notice in a response before any of it is relayed. Ignores
/// responses to other requests, which may be old, and responses from another
/// server that now has the address.
void RequestProxy::handleServerNotice(const RequestContext &Request,
                                      Attempt &Current,
                                      const std::string &RequestId,
                                      const httplib::Response &Response) {
  const HeaderNames &Names = this->Options.Headers;
  if (!isAnswerTo(Response, Names.RequestId, RequestId))
    return;
  if (Response.status == MisdirectedStatus) {
    this->handleMisdirection(Request, Current, RequestId);
    return;
  }
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
  Relay.setOptions(this->makeRelayOptions(Request));
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
  bool IsSoftDeadline = false;
  const TimePoint Deadline = this->chooseAttemptDeadline(
      Request, Relay, readSteadyClock(), IsSoftDeadline);
  if (IsSoftDeadline)
    Outgoing.ExtendDeadline = [this, &Request, &Current, &IsSoftDeadline] {
      return this->extendSoftDeadline(Request, Current, IsSoftDeadline);
    };
  Outgoing.ExtendStall = [this, &Request, &Relay](Duration Silent) {
    return this->extendStall(Request, Relay, Silent);
  };
  // A claimed request runs only once, so that its response is needed even if
  // this caller has disconnected.
  const bool MayCancel = Request.IsBodyBuffered && !Request.HasClaim;
  const int CallerSocket = MayCancel ? Request.Exchange.Stream.socket() : -1;
  const ExchangeResult Result = this->sendAttempt(Request, Current, Outgoing,
                                                  Deadline, CallerSocket, Sink);
  const RequestOutcome Outcome = this->classifyExchange(Request, Relay, Result);
  Current.WasTimedOut = Result.End == ExchangeEnd::Timeout;
  Current.WasConnectionKept = Result.WasKept;
  Current.WasPeerLost = Request.WasPeerLost;
  Current.WasCutOff = Result.End == ExchangeEnd::Broken &&
                      Result.BytesReceived == 0 && !Current.WasPeerLost &&
                      !Request.Service->isDisregarded(Current);
  Current.HadNoTunnel =
      Result.End == ExchangeEnd::NotSent && Current.IsThroughPeer;
  // An attempt that was abandoned at its soft deadline is only slow.
  return IsSoftDeadline && Result.End == ExchangeEnd::Timeout
             ? RequestOutcome::Slow
             : Outcome;
}

} // namespace canvaswick
