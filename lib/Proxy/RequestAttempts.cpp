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
/// and what the caller can be told, and decides whether another may be tried.
///
//===----------------------------------------------------------------------===//

#include "RequestFlow.h"

#include <fmt/format.h>

#include <algorithm>

namespace canvaswick {

/// An answer to a keyed request is kept up to this length.
static constexpr size_t KeptAnswerBytes = 2 * 1024;

/// Tries of one request, the first included.
static constexpr size_t MaxAttempts = 3;

void RequestProxy::runAttempts(Flow &Request, AnswerRelay &Relay) {
  std::vector<size_t> Tried;
  while (Tried.size() < MaxAttempts) {
    const TimePoint Now = readSteadyClock();
    if (Now >= Request.Deadline && !Relay.hasBegun())
      break;
    Attempt Current;
    if (!Request.Service->begin(Current, Tried, Now)) {
      Request.HasNoServer = Tried.empty();
      break;
    }
    const RequestOutcome Outcome = this->tryOnce(Request, Relay, Current);
    Request.Service->end(Current, Outcome, readSteadyClock());
    Tried.push_back(Current.Server);
    if (Request.IsAnswered || Request.WasCanceled ||
        !this->mayTryAgain(Request, Relay))
      break;
    this->Counters.add(Relay.hasBegun() ? Counter::ResumedAnswers
                                        : Counter::Repeats);
  }
}

OutgoingRequest
RequestProxy::buildOutgoing(Flow &Request, const AnswerRelay &Relay,
                            const std::string &RequestId) const {
  const httplib::Request &Caller = Request.Exchange.Request;
  OutgoingRequest Outgoing;
  Outgoing.Method = Caller.method;
  Outgoing.Target = Caller.target;
  for (const auto &[Name, Value] : Caller.headers) {
    const bool IsOurs = Name == "REMOTE_ADDR" || Name == "REMOTE_PORT" ||
                        Name == "LOCAL_ADDR" || Name == "LOCAL_PORT" ||
                        ::strcasecmp(Name.c_str(), DeadlineHeader) == 0 ||
                        ::strcasecmp(Name.c_str(), RequestIdHeader) == 0 ||
                        ::strcasecmp(Name.c_str(), "Expect") == 0;
    if (!IsOurs && !isConnectionHeader(Name, Caller.headers))
      Outgoing.Headers.emplace(Name, Value);
  }
  const Duration Left = Request.Deadline - readSteadyClock();
  Outgoing.Headers.emplace(
      DeadlineHeader, fmt::format("{}", std::max<int64_t>(1, toMillis(Left))));
  Outgoing.Headers.emplace(RequestIdHeader, RequestId);
  Outgoing.Headers.emplace("Via", "1.1 " + this->DaemonName);
  Outgoing.Headers.emplace("X-Forwarded-For", Caller.remote_addr);
  Relay.addResumeHeaders(Outgoing.Headers);
  Outgoing.StallLimit = fromMillis(Request.Service->getConfig().StallMs);
  if (Request.HasOwnDeadline)
    Outgoing.BodyDeadline = Request.Deadline;
  Outgoing.Body = Request.Body;
  if (Request.IsBodyWhole)
    return Outgoing;
  const uint64_t Limit =
      static_cast<uint64_t>(Request.Service->getConfig().MaxBodyBytes);
  Outgoing.BodyIsChunked = Caller.has_header("Transfer-Encoding");
  Outgoing.BodyLength = getBodyLength(Caller);
  Outgoing.BodyProvider = [&Request, Limit](size_t, size_t,
                                            httplib::DataSink &Sink) {
    Request.WasBodySent = true;
    uint64_t Sent = 0;
    const bool IsRead =
        (*Request.Exchange.Body)([&](const char *Data, size_t Size) {
          Sent += Size;
          return Sent <= Limit && Sink.write(Data, Size);
        });
    Request.IsBodyBroken = !IsRead;
    if (IsRead && Sink.done)
      Sink.done();
    return IsRead;
  };
  return Outgoing;
}

RequestOutcome RequestProxy::tryOnce(Flow &Request, AnswerRelay &Relay,
                                     const Attempt &Current) {
  const std::string RequestId =
      fmt::format("{}-{}", this->DaemonName, this->NextRequest++);
  const bool IsRepeatable = Request.Route->Class == RouteClass::Repeatable;
  RelayRules Rules;
  // The second server's own words are worth more than a general failure.
  Rules.MaySetAsideFailure =
      IsRepeatable && Request.IsBodyWhole && Request.Tries == 0;
  ++Request.Tries;
  Rules.KeepBytes = Request.HasClaim ? KeptAnswerBytes : 0;
  Rules.GoesOnWithoutCaller = Request.HasClaim;
  Relay.setRules(Rules);
  Relay.beginAttempt(RequestId);
  const AnswerSink Sink{[&Relay](const httplib::Response &Response) {
                          return Relay.takeHead(Response);
                        },
                        [&Relay](const char *Data, size_t Size) {
                          return Relay.takeBody(Data, Size);
                        }};
  const OutgoingRequest Outgoing =
      this->buildOutgoing(Request, Relay, RequestId);
  // The head of an answer to be resumed needs a deadline of its own.
  const TimePoint Deadline = Relay.hasBegun()
                                 ? readSteadyClock() + Outgoing.StallLimit
                                 : Request.Deadline;
  // A claimed request is run once: its answer is wanted even if this caller
  // has left.
  const bool MayCancel = Request.IsBodyWhole && !Request.HasClaim;
  const int HangUp = MayCancel ? Request.Exchange.Stream.socket() : -1;
  const ExchangeResult Result = this->Upstreams.exchange(
      Request.Service->getServer(Current.Server).Address, Outgoing, Deadline,
      HangUp, &Sink);
  return this->judge(Request, Relay, Result);
}

/// Turns the end of an exchange into evidence about the server, and into what
/// the caller may be told.
RequestOutcome RequestProxy::judge(Flow &Request, const AnswerRelay &Relay,
                                   const ExchangeResult &Result) {
  Request.WasFailed = true;
  Request.WasTimeout = Result.End == ExchangeEnd::Timeout;
  switch (Result.End) {
  case ExchangeEnd::NoConnection:
    return RequestOutcome::Canceled;
  case ExchangeEnd::NotSent:
    this->Counters.add(Counter::UpstreamFailures);
    return RequestOutcome::Failed;
  case ExchangeEnd::Complete:
    break;
  case ExchangeEnd::Timeout:
  case ExchangeEnd::Broken:
  case ExchangeEnd::Canceled:
    Request.Outcome = RunOutcome::NotKnown;
    break;
  }
  if (Result.End == ExchangeEnd::Canceled &&
      Relay.getVerdict() == AnswerVerdict::Foreign) {
    this->Counters.add(Counter::ForeignAnswers);
    return RequestOutcome::Failed;
  }
  if (Result.End == ExchangeEnd::Canceled &&
      Relay.getVerdict() == AnswerVerdict::Mismatch)
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
  switch (Relay.getVerdict()) {
  case AnswerVerdict::NotRun:
    this->Counters.add(Counter::UpstreamSheds);
    return RequestOutcome::Shed;
  case AnswerVerdict::Relayed:
    Request.IsAnswered = true;
    Request.WasFailed = Relay.getStatus() >= 500;
    break;
  case AnswerVerdict::None:
  case AnswerVerdict::Failed:
  case AnswerVerdict::Foreign:
  case AnswerVerdict::Mismatch:
    Request.Outcome = RunOutcome::NotKnown;
    break;
  }
  if (Relay.getStatus() >= 500) {
    this->Counters.add(Counter::UpstreamFailures);
    return RequestOutcome::Failed;
  }
  return RequestOutcome::Good;
}

/// Decides whether another server may be tried after a failure.
bool RequestProxy::mayTryAgain(Flow &Request, const AnswerRelay &Relay) {
  if (Relay.hasBegun())
    return Relay.canResume() && Request.Service->tryRepeat(readSteadyClock());
  if (Request.WasBodySent)
    return false;
  // What was not run may be sent elsewhere, whatever its class.
  if (Request.Outcome == RunOutcome::NotRun)
    return true;
  if (Request.Route->Class != RouteClass::Repeatable || !Request.IsBodyWhole)
    return false;
  return Request.Service->tryRepeat(readSteadyClock());
}

} // namespace canvaswick
