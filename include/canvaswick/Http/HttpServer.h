//===- HttpServer.h - An HTTP server over cpp-httplib with a bounded pool -*-
// C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// cpp-httplib reads requests and writes answers; this class takes connections,
/// decides which thread serves them, refuses what does not fit, checks the
/// shape of a request before anything sees it, and stops without cutting one.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_HTTP_HTTPSERVER_H
#define CANVASWICK_HTTP_HTTPSERVER_H

#include "canvaswick/Http/IdleParker.h"
#include "canvaswick/Http/WorkerPool.h"
#include "canvaswick/Settings/FleetConfig.h"

#include <httplib.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace canvaswick {

/// The bounds of one server.
struct HttpServerLimits {
  WorkerPoolLimits Workers;
  size_t MaxConnections = 4096;
  size_t MaxHeadBytes = 32768;
  Duration IdleLimit = fromSeconds(75);
  /// How long one head may take to arrive once its first byte has.
  Duration HeadTime = fromSeconds(10);
};

/// Counts of what the server itself decided.
struct HttpServerCounters {
  std::atomic<uint64_t> Requests{0};
  std::atomic<uint64_t> RefusedBusy{0};
  std::atomic<uint64_t> RefusedConnections{0};
  std::atomic<uint64_t> Malformed{0};
  std::atomic<uint64_t> BytesRead{0};
  std::atomic<uint64_t> BytesWritten{0};
};

/// One request as a handler sees it.
struct HttpExchange {
  const httplib::Request &Request;
  httplib::Response &Response;
  /// Reads the body, which may still be on the wire.
  const httplib::ContentReader *Body;
  /// The caller's connection, for streaming and for its hang-up.
  SocketStream &Stream;
  /// Whether the server is stopping, which may begin at any moment.
  const std::atomic<bool> &IsServerStopping;
  /// Set by the handler when the connection must not be kept.
  bool MustClose = false;

  /// Decides whether the connection ends with this answer. Called once, as the
  /// head of the answer is written: what it announces is what is done. Looked
  /// at twice, the flag may change in between, and a caller's next request on a
  /// connection that nobody called closed ends without an answer (unit tests
  /// HttpClosing).
  bool decideClose() {
    this->MustClose = this->MustClose || this->IsServerStopping;
    return this->MustClose;
  }
};

/// Serves one address.
class HttpServer final : public httplib::Server {
public:
  using ExchangeHandler = std::function<void(HttpExchange &)>;

  HttpServer(HttpServerLimits Limits, ExchangeHandler Handler);
  ~HttpServer() override;

  /// Binds and starts to accept. Fails with Io if the address is taken.
  Result<void> start(const Endpoint &Address);

  /// Binds. Connections that come wait in the system's queue until
  /// beginAccepting. Fails with Io if the address is taken.
  Result<void> bind(const Endpoint &Address);

  /// Starts to accept, after bind. Does nothing the second time.
  void beginAccepting();

  /// Changes what one head may be, from the next request on, and how long a
  /// connection may be idle.
  void setCallerBounds(size_t MaxHeadBytes, Duration HeadTime,
                       Duration IdleLimit);

  /// Answers close their connections from now on. New connections are taken
  /// until stopGracefully.
  void beginClosing();

  /// Stops: no new connection is taken, requests in flight are answered with
  /// Connection: close, and a request that arrives on a kept connection in the
  /// meantime is still answered. Returns whether all ended before Deadline.
  bool stopGracefully(TimePoint Deadline);

  /// Returns the port in use, for a start on port 0.
  uint16_t getPort() const;

  const HttpServerCounters &getCounters() const;

  /// Returns how many requests are being worked on.
  size_t countInFlight() const;

  /// Returns how many connections are open, idle ones included.
  size_t countConnections() const;

  /// Returns how many threads serve requests.
  WorkerPoolThreads countThreads() const { return this->Pool.countThreads(); }

private:
  void takeConnection(int Descriptor);
  void serveReady(std::unique_ptr<SocketStream> Stream);
  void serveRequests(std::unique_ptr<SocketStream> Stream);
  bool serveOne(SocketStream &Stream);
  void handle(const httplib::Request &Request, httplib::Response &Response,
              const httplib::ContentReader *Body);
  void refuse(SocketStream &Stream, const char *Reason);
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
  uint16_t Port = 0;
  WorkerPool Pool;
  std::unique_ptr<IdleParker> Parker;
};

/// Returns what is wrong with a request's framing or header names, or null. A
/// request with a fault here could be read in two ways and is never forwarded.
const char *findRequestFault(const httplib::Request &Request);

} // namespace canvaswick

#endif // CANVASWICK_HTTP_HTTPSERVER_H
