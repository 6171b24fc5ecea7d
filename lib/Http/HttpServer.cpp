//===- HttpServer.cpp - HTTP server with bounded resources ----------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The thread of IdleParker accepts connections and waits for input on idle
/// ones. It passes readable connections to the worker pool. A worker serves
/// requests until the connection is idle again, then parks it. Of cpp-httplib
/// only the types of messages are used: its server interprets what a proxy only
/// passes on.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Http/HttpServer.h"
#include "canvaswick/Http/BodyReader.h"
#include "canvaswick/Http/HeadGrammar.h"
#include "canvaswick/Http/ListenSocket.h"
#include "canvaswick/Http/MessageHead.h"
#include "canvaswick/Http/ResponseWriter.h"
#include "canvaswick/Support/Exceptions.h"
#include "canvaswick/Support/Text.h"

#include <fmt/format.h>

#include <unistd.h>

#include <thread>

namespace canvaswick {

/// Maximum number of connections in the listen queue.
static constexpr int ListenBacklog = 1024;

/// Time limit for writing the answer to a request that is not served.
static constexpr Duration RefusalLimit = fromMillis(50);

/// Time limit for the caller to close a connection after our side has been shut
/// down, however much it sends meanwhile.
static constexpr Duration LingerLimit = fromSeconds(2);

/// Status and Retry-After of requests that were refused because the server is
/// busy.
static constexpr int BusyStatus = 503;
static constexpr int BusyRetrySeconds = 1;

HttpServer::HttpServer(HttpServerLimits Limits, ExchangeHandler Handler)
    : Limits(Limits), Handler(std::move(Handler)),
      MaxHeadBytes(Limits.MaxHeadBytes), HeadMicros(Limits.HeadTime.count()),
      Pool(Limits.Workers) {
  const auto Ready = [this](std::unique_ptr<SocketStream> Stream) {
    this->serveReady(std::move(Stream));
  };
  const auto Expired = [this](std::unique_ptr<SocketStream> Stream) {
    this->release(std::move(Stream));
  };
  this->Parker = std::make_unique<IdleParker>(Limits.IdleLimit, Ready, Expired);
}

HttpServer::~HttpServer() { this->stopGracefully(readSteadyClock()); }

Result<void> HttpServer::start(const Endpoint &Address) {
  BOOST_OUTCOME_TRY(this->bind(Address));
  this->beginAccepting();
  return outcome::success();
}

Result<void> HttpServer::bind(const Endpoint &Address) {
  const int Socket = listenTcp(Address, ListenBacklog);
  if (Socket < 0)
    return makeError(ErrorKind::Io, "cannot bind to " + Address.format());
  this->Listening = Socket;
  this->Port = readBoundPort(Socket);
  return outcome::success();
}

void HttpServer::beginAccepting() {
  if (this->IsAccepting.exchange(true))
    return;
  this->Parker->listen(this->Listening, [this](int Descriptor) {
    this->takeConnection(Descriptor);
  });
}

uint16_t HttpServer::getPort() const { return this->Port; }

const HttpServerCounters &HttpServer::getCounters() const {
  return this->Counters;
}

size_t HttpServer::countInFlight() const { return this->InFlight; }

size_t HttpServer::countConnections() const { return this->Connections; }

void HttpServer::setCallerBounds(size_t HeadLimit, Duration HeadTime,
                                 Duration IdleLimit) {
  this->MaxHeadBytes = HeadLimit;
  this->HeadMicros = HeadTime.count();
  this->Parker->setIdleLimit(IdleLimit);
}

void HttpServer::beginClosing() { this->Stopping = true; }

bool HttpServer::stopGracefully(TimePoint Deadline) {
  this->Stopping = true;
  bool AllEnded = true;
  while (this->InFlight > 0 && AllEnded) {
    AllEnded = readSteadyClock() < Deadline;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  this->Parker->stop();
  const int Socket = this->Listening.exchange(-1);
  if (Socket >= 0)
    ::close(Socket);
  if (AllEnded)
    this->Pool.stop();
  return AllEnded;
}

/// Handles a newly accepted connection. Runs on the thread of IdleParker.
void HttpServer::takeConnection(int Descriptor) {
  auto Stream = std::make_unique<SocketStream>(Descriptor);
  if (++this->Connections > this->Limits.MaxConnections) {
    ++this->Counters.RefusedConnections;
    this->refuse(*Stream, BusyStatus, "connections");
    this->release(std::move(Stream));
    return;
  }
  this->Parker->park(std::move(Stream));
}

void HttpServer::release(std::unique_ptr<SocketStream> Stream) {
  Stream.reset();
  --this->Connections;
}

/// Answers a request that does not reach the handler, and closes the connection
/// once the caller has had time to read that.
void HttpServer::refuse(SocketStream &Stream, int Status, const char *Reason) {
  httplib::Response Response;
  Response.status = Status;
  Response.set_header("Canvaswick-Outcome", "not-run");
  Response.set_header("Canvaswick-Reason", Reason);
  if (Status == BusyStatus)
    Response.set_header("Retry-After", fmt::format("{}", BusyRetrySeconds));
  Stream.setDeadline(readSteadyClock() + RefusalLimit);
  writeResponse(Stream, Response, {.IsLast = true});
  Stream.beginLinger(readSteadyClock() + LingerLimit);
}

void HttpServer::serveReady(std::unique_ptr<SocketStream> Stream) {
  if (Stream->isLingering()) {
    if (Stream->discardInput() || readSteadyClock() > Stream->getLingerEnd())
      this->release(std::move(Stream));
    else
      this->Parker->park(std::move(Stream));
    return;
  }
  // std::function requires a copyable job; the pool runs it once.
  SocketStream *Raw = Stream.release();
  ++this->InFlight;
  const auto Job = [this, Raw] {
    runAndLogExceptions("connection-failed", [this, Raw] {
      this->serveRequests(std::unique_ptr<SocketStream>(Raw));
    });
    --this->InFlight;
  };
  if (this->Pool.trySubmit(Job))
    return;
  Stream.reset(Raw);
  ++this->Counters.RefusedBusy;
  this->refuse(*Stream, BusyStatus, "busy");
  --this->InFlight;
  this->Parker->park(std::move(Stream));
}

void HttpServer::serveRequests(std::unique_ptr<SocketStream> Stream) {
  while (this->serveOne(*Stream)) {
    if (Stream->hasBufferedBytes())
      continue;
    this->Parker->park(std::move(Stream));
    return;
  }
  const bool NeedsLinger = Stream->getFailure() == StreamFailure::None;
  if (!NeedsLinger) {
    this->release(std::move(Stream));
    return;
  }
  Stream->beginLinger(readSteadyClock() + LingerLimit);
  if (Stream->discardInput())
    this->release(std::move(Stream));
  else
    this->Parker->park(std::move(Stream));
}

/// Serves one request. Returns whether the connection may be kept open.
bool HttpServer::serveOne(SocketStream &Stream) {
  Stream.muteWrites(false);
  Stream.beginMessage();
  Stream.setDeadline(readSteadyClock() + Duration(this->HeadMicros));
  Stream.watchHangUp(-1);
  LineReader Lines(Stream, this->MaxHeadBytes);
  MessageHead Head;
  httplib::Request Request;
  HeadEnd End = readMessageHead(Lines, Head);
  if (End == HeadEnd::Whole && !parseRequestHead(std::move(Head), Request))
    End = HeadEnd::Malformed;
  bool IsKept = false;
  if (End == HeadEnd::Whole)
    IsKept = this->serveRequest(Stream, Request);
  else
    this->refuseHead(Stream, End);
  Stream.watchHangUp(-1);
  Stream.setStallLimit(Duration::zero());
  this->Counters.BytesRead += Stream.countBytesRead();
  this->Counters.BytesWritten += Stream.countBytesWritten();
  return IsKept;
}

/// Returns the status of the answer to a request whose head cannot be read.
static int getStatus(HeadEnd End) {
  switch (End) {
  case HeadEnd::Malformed:
  case HeadEnd::FieldName:
  case HeadEnd::FieldValue:
    return 400;
  case HeadEnd::TooLong:
    return 431;
  case HeadEnd::Whole:
  case HeadEnd::Cut:
    break;
  }
  return 408;
}

/// Answers a request whose head cannot be read. One that was cut off has nobody
/// to answer.
void HttpServer::refuseHead(SocketStream &Stream, HeadEnd End) {
  if (Stream.countBytesRead() == 0)
    return;
  ++this->Counters.Malformed;
  if (End == HeadEnd::Cut && Stream.getFailure() != StreamFailure::Timeout)
    return;
  this->refuse(Stream, getStatus(End), getName(End));
}

/// Returns what delimits the body of a request without a fault.
static BodyFraming findRequestFraming(const httplib::Request &Request) {
  const BodyFraming Framing = findBodyFraming(Request.headers);
  const bool IsEmpty = Framing == BodyFraming::UntilClose ||
                       Request.get_header_value("Content-Length") == "0";
  return IsEmpty ? BodyFraming::None : Framing;
}

bool HttpServer::serveRequest(SocketStream &Stream, httplib::Request &Request) {
  static constexpr const char *Invitation = "HTTP/1.1 100 Continue\r\n\r\n";
  ++this->Counters.Requests;
  Stream.get_remote_ip_and_port(Request.remote_addr, Request.remote_port);
  const char *Fault = findRequestFault(Request);
  const BodyFraming Framing =
      Fault ? BodyFraming::Ambiguous : findRequestFraming(Request);
  BodyReader Body(Stream, Framing, Request.headers);
  if (equalsIgnoringCase(Request.get_header_value("Expect"), "100-continue"))
    Body.setInvitation(Invitation);
  httplib::Response Response;
  HttpExchange Exchange{
      Request, Response,       Framing == BodyFraming::None ? nullptr : &Body,
      Stream,  this->Stopping, hasConnectionOption(Request.headers, "close")};
  if (Fault) {
    ++this->Counters.Malformed;
    Response.status = 400;
    Response.set_header("Canvaswick-Outcome", "not-run");
    Response.set_header("Canvaswick-Reason", Fault);
  } else {
    this->runHandler(Exchange);
  }
  // A handler that wrote the response itself has already decided. A close that
  // its response did not announce is allowed only if that response is cut short
  // anyway.
  if (!Stream.areWritesMuted()) {
    Exchange.decideClose();
    Exchange.MustClose |= !writeResponse(
        Stream, Response,
        {.IsLast = Exchange.MustClose, .IsHeadOnly = Request.method == "HEAD"});
  }
  // What is left of a body must never be read as a request.
  return !Exchange.MustClose && !Exchange.hasUnreadBody();
}

/// Runs the handler. A request whose handler throws is answered, unless its
/// response has begun, and its connection is closed.
void HttpServer::runHandler(HttpExchange &Exchange) {
  const bool HasReturned =
      runAndLogExceptions("handler-failed", [&] { this->Handler(Exchange); });
  if (HasReturned)
    return;
  ++this->Counters.HandlerFailures;
  Exchange.MustClose = true;
  Exchange.Response = httplib::Response();
  Exchange.Response.status = 500;
  Exchange.Response.set_header("Canvaswick-Outcome", "not-known");
  Exchange.Response.set_header("Canvaswick-Reason", "daemon-failed");
  if (Exchange.Stream.countBytesWritten() > 0)
    Exchange.Stream.muteWrites(true);
}

} // namespace canvaswick
