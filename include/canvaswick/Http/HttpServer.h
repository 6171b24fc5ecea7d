//===- HttpServer.h - HTTP server with bounded resources --------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// HttpServer accepts connections, assigns them to threads, refuses what
/// exceeds its limits, validates the framing of a request before the handler
/// runs, and stops without interrupting requests.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_HTTP_HTTPSERVER_H
#define CANVASWICK_HTTP_HTTPSERVER_H

#include "canvaswick/Http/BodyReader.h"
#include "canvaswick/Http/IdleParker.h"
#include "canvaswick/Http/MessageHead.h"
#include "canvaswick/Http/WorkerPool.h"
#include "canvaswick/Settings/FleetConfig.h"

#include <httplib.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace canvaswick {

/// Resource limits of one server.
struct HttpServerLimits {
  WorkerPoolLimits Workers;
  size_t MaxConnections = 4096;
  size_t MaxHeadBytes = 32768;
  Duration IdleLimit = fromSeconds(75);
  /// Time limit for a complete request head, counted from its first byte.
  Duration HeadTime = fromSeconds(10);
};

/// Counters of the requests and connections that the server handled or refused.
struct HttpServerCounters {
  std::atomic<uint64_t> Requests{0};
  std::atomic<uint64_t> RefusedBusy{0};
  std::atomic<uint64_t> RefusedConnections{0};
  std::atomic<uint64_t> Malformed{0};
  /// Requests whose handler threw an exception.
  std::atomic<uint64_t> HandlerFailures{0};
  std::atomic<uint64_t> BytesRead{0};
  std::atomic<uint64_t> BytesWritten{0};
};

/// One request and its response, as a handler receives them.
struct HttpExchange {
  const httplib::Request &Request;
  httplib::Response &Response;
  /// Reads the request body, which may not have arrived yet. Null if there is
  /// no body.
  BodyReader *Body;
  /// The connection to the caller, used for streaming and to detect a
  /// disconnect.
  SocketStream &Stream;
  /// Whether the server is stopping. May become true at any time.
  const std::atomic<bool> &IsServerStopping;
  /// Whether the connection must be closed after the response: the caller asks
  /// for that, or the handler.
  bool MustClose = false;

  /// Returns whether a part of the request's body has not been read.
  bool hasUnreadBody() const {
    return this->Body && this->Body->getEnd() != BodyEnd::Whole;
  }

  /// Decides whether the connection closes after this response. Called once, as
  /// the head of the response is written, so that the Connection header agrees
  /// with what happens. If the flag were read a second time, it could have
  /// changed in between, and the next request on a connection announced as kept
  /// would get no response (unit tests HttpClosing).
  bool decideClose() {
    this->MustClose =
        this->MustClose || this->IsServerStopping || this->hasUnreadBody();
    return this->MustClose;
  }
};

/// An HTTP server on one address.
class HttpServer final {
public:
  using ExchangeHandler = std::function<void(HttpExchange &)>;

  HttpServer(HttpServerLimits Limits, ExchangeHandler Handler);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Binds to Address and starts accepting connections. Fails with Io if the
  /// address is in use.
  Result<void> start(const Endpoint &Address);

  /// Binds to Address. Incoming connections wait in the listen queue of the
  /// kernel until beginAccepting is called. Fails with Io if the address is in
  /// use.
  Result<void> bind(const Endpoint &Address);

  /// Starts accepting connections. Called after bind; further calls have no
  /// effect.
  void beginAccepting();

  /// Sets the size and time limits of request heads, from the next request on,
  /// and the idle time limit of connections.
  void setCallerBounds(size_t MaxHeadBytes, Duration HeadTime,
                       Duration IdleLimit);

  /// From now on every response closes its connection. New connections are
  /// still accepted until stopGracefully.
  void beginClosing();

  /// Stops the server. Requests in flight are completed and answered with
  /// Connection: close, as are requests that arrive on kept connections in the
  /// meantime; then it stops accepting connections. Returns whether all
  /// requests ended before Deadline.
  bool stopGracefully(TimePoint Deadline);

  /// Returns the bound port, which the system chose if port 0 was given.
  uint16_t getPort() const;

  const HttpServerCounters &getCounters() const;

  /// Returns the number of requests being served.
  size_t countInFlight() const;

  /// Returns the number of open connections, including idle ones.
  size_t countConnections() const;

  /// Returns the number of worker threads.
  WorkerPoolThreads countThreads() const { return this->Pool.countThreads(); }

private:
  void takeConnection(int Descriptor);
  void serveReady(std::unique_ptr<SocketStream> Stream);
  void serveRequests(std::unique_ptr<SocketStream> Stream);
  bool serveOne(SocketStream &Stream);
  bool serveRequest(SocketStream &Stream, httplib::Request &Request);
  void runHandler(HttpExchange &Exchange);
  void refuseHead(SocketStream &Stream, HeadEnd End);
  void refuse(SocketStream &Stream, int Status, const char *Reason);
  void release(std::unique_ptr<SocketStream> Stream);

  const HttpServerLimits Limits;
  const ExchangeHandler Handler;
  std::atomic<size_t> MaxHeadBytes;
  std::atomic<int64_t> HeadMicros;
  HttpServerCounters Counters;
  std::atomic<size_t> Connections{0};
  std::atomic<size_t> InFlight{0};
  std::atomic<bool> Stopping{false};
  std::atomic<bool> IsAccepting{false};
  /// The socket that accepts connections, or -1.
  std::atomic<int> Listening{-1};
  uint16_t Port = 0;
  /// Outlives the pool, whose last requests park their connections.
  std::unique_ptr<IdleParker> Parker;
  WorkerPool Pool;
};

} // namespace canvaswick

#endif // CANVASWICK_HTTP_HTTPSERVER_H
