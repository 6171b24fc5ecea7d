//===- PeerCaller.cpp - Signed JSON-RPC calls over HTTP -------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Implements the client side of calls, and the signature check and dispatch of
/// received calls.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Rpc/PeerCaller.h"
#include "canvaswick/Support/EnumNames.h"
#include "canvaswick/Support/Log.h"

#include <random>

namespace canvaswick {

static constexpr size_t MaxConnectionsPerPeer = 4;

/// The maximum length of the body of a call. A whole settings tree fits.
static constexpr size_t MaxCallBytes = 8 << 20;

/// Connections to peers are closed after this time without a call.
static constexpr Duration PeerIdleTimeout = fromSeconds(60);

PeerCaller::PeerCaller(CallKey Key, CounterTable *Counters)
    : PeerCaller(Counters) {
  this->Key = std::move(Key);
}

PeerCaller::PeerCaller(CounterTable *Counters)
    : Counters(Counters),
      NextNonce((static_cast<uint64_t>(std::random_device()()) << 32) ^
                std::random_device()()),
      Pool(MaxConnectionsPerPeer) {}

void PeerCaller::count(Counter Which, uint64_t Amount) {
  if (this->Counters)
    this->Counters->add(Which, Amount);
}

void PeerCaller::closeIdle(TimePoint Now) {
  this->Pool.closeIdle(Now - PeerIdleTimeout, Now);
}

void PeerCaller::closeIdleConnections() {
  this->Pool.closeIdle(TimePoint::max(), TimePoint::max());
}

httplib::Headers PeerCaller::sign(const std::string &Text) {
  httplib::Headers Headers;
  if (this->Key)
    Headers.emplace(
        CallSignatureHeader,
        signCall(*this->Key, Text, readCalendarMillis(), this->NextNonce++));
  return Headers;
}

static ErrorKind findErrorKind(const std::string &Name) {
  for (const ErrorKind Kind :
       {ErrorKind::InvalidArgument, ErrorKind::NotFound, ErrorKind::Conflict,
        ErrorKind::Unavailable, ErrorKind::Timeout, ErrorKind::Unauthorized,
        ErrorKind::RateLimited, ErrorKind::Io})
    if (Name == getName(Kind))
      return Kind;
  return ErrorKind::OutcomeUnknown;
}

Result<Json::Value> PeerCaller::call(const Endpoint &Peer,
                                     const std::string &Method,
                                     const Json::Value &Params,
                                     Duration Timeout) {
  return this->call(Peer, Method, Params,
                    CallLimits{Timeout, Timeout, Duration::zero(), Timeout});
}

Result<Json::Value> PeerCaller::call(const Endpoint &Peer,
                                     const std::string &Method,
                                     const Json::Value &Params,
                                     const CallLimits &Limits,
                                     CallTraffic *Traffic) {
  ExchangeResult Exchange;
  const JsonRpcTransport Transport = [&](const std::string &Request,
                                         std::string &Answer) {
    OutgoingRequest Outgoing;
    Outgoing.Method = "POST";
    Outgoing.Target = CallPath;
    Outgoing.Body = Request;
    Outgoing.ConnectLimit = Limits.Connect;
    Outgoing.StallLimit = Limits.Stall;
    const TimePoint Now = readSteadyClock();
    Outgoing.BodyDeadline = Now + Limits.Whole;
    Outgoing.Headers = this->sign(Request);
    Exchange = this->Pool.exchange(Peer, Outgoing, Now + Limits.Head,
                                   this->Cancellation.getDescriptor(), nullptr);
    Answer = Exchange.Body;
    return Exchange.End == ExchangeEnd::Complete && Exchange.Status == 200;
  };
  Json::Value Answer;
  const std::string Failure = callJsonRpc(Transport, Method, Params, Answer);
  if (Traffic)
    *Traffic = {Exchange.BytesReceived, Exchange.Status};
  this->count(Counter::CallsSent, 1);
  this->count(Counter::ControlBytesSent, Exchange.BytesSent);
  this->count(Counter::ControlBytesReceived, Exchange.BytesReceived);
  if (!Failure.empty()) {
    this->count(Counter::CallsFailed, 1);
    if (Exchange.Status == 401)
      return makeError(ErrorKind::Unauthorized, Exchange.Body);
    const bool IsNotSent = Exchange.End == ExchangeEnd::NotSent ||
                           Exchange.End == ExchangeEnd::NoConnection;
    return makeError(IsNotSent ? ErrorKind::Unavailable
                               : ErrorKind::OutcomeUnknown,
                     Method + " to " + Peer.format() + ": " + Failure);
  }
  if (!Answer.isObject())
    return makeError(ErrorKind::OutcomeUnknown,
                     Method + " to " + Peer.format() + ": not an object");
  if (Answer.isMember("error"))
    return makeError(findErrorKind(Answer["error"].asString()),
                     Answer["message"].asString());
  return Answer;
}

Json::Value makeCallError(const Error &Failure) {
  Json::Value Answer;
  Answer["error"] = getName(Failure.Kind);
  Answer["message"] = Failure.Message;
  return Answer;
}

bool readWholeBody(HttpExchange &Exchange, size_t Limit, std::string &Body) {
  if (!Exchange.Body)
    return true;
  const BodyEnd End = Exchange.Body->read([&](const char *Data, size_t Size) {
    if (Body.size() + Size > Limit)
      return false;
    Body.append(Data, Size);
    return true;
  });
  return End == BodyEnd::Whole;
}

void serveUnsignedCall(HttpExchange &Exchange,
                       const JsonRpcDispatcher &Dispatcher) {
  std::string Body;
  if (!readWholeBody(Exchange, MaxCallBytes, Body)) {
    Exchange.Response.status = 413;
    Exchange.MustClose = true;
    return;
  }
  Exchange.Response.set_content(Dispatcher.handle(Body), "application/json");
}

/// Checks the signature of a request for Text.
static Result<void> checkSignature(const HttpExchange &Exchange,
                                   const std::string &Text,
                                   CallVerifier &Verifier,
                                   std::mutex &VerifierMutex) {
  const std::string Signature =
      Exchange.Request.get_header_value(CallSignatureHeader);
  std::lock_guard<std::mutex> Lock(VerifierMutex);
  return Verifier.verify(Signature, Text, readCalendarMillis());
}

bool isSignedRequest(const HttpExchange &Exchange, const std::string &Text,
                     CallVerifier &Verifier, std::mutex &VerifierMutex) {
  return checkSignature(Exchange, Text, Verifier, VerifierMutex).has_value();
}

void serveCall(HttpExchange &Exchange, CallVerifier &Verifier,
               std::mutex &VerifierMutex, const JsonRpcDispatcher &Dispatcher,
               CounterTable &Counters) {
  std::string Body;
  if (!readWholeBody(Exchange, MaxCallBytes, Body)) {
    Exchange.Response.status = 413;
    Exchange.MustClose = true;
    return;
  }
  const Result<void> Check =
      checkSignature(Exchange, Body, Verifier, VerifierMutex);
  if (!Check) {
    Counters.add(Counter::CallsRefused);
    Exchange.Response.status = 401;
    Exchange.Response.set_content(Check.error().Message, "text/plain");
    return;
  }
  Exchange.Response.set_content(Dispatcher.handle(Body), "application/json");
}

} // namespace canvaswick
