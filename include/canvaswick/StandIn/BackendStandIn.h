//===- BackendStandIn.h - Test double of a backend server -------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A configurable HTTP server that stands in for a backend server in tests. It
/// models slots, service time, cold starts, draining, load shedding, deadlines
/// and cancellation, and injects faults, including false health reports and
/// partial (gray) failures. Faults are switched at run time. A ledger counts
/// how often each keyed request was executed.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_STANDIN_BACKENDSTANDIN_H
#define CANVASWICK_STANDIN_BACKENDSTANDIN_H

#include "canvaswick/Http/HttpServer.h"

#include <json/json.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <random>
#include <string>

namespace canvaswick {

/// The faults that the stand-in injects, and the requests that they affect.
struct BackendFaults {
  /// Percentage of requests that are affected. Requests for /health and /load
  /// never are.
  int Percent = 100;
  /// If not empty, only requests whose target begins with this are affected.
  std::string OnlyTarget;
  /// If not empty, only requests whose Via header names this daemon are
  /// affected.
  std::string OnlyDaemon;
  /// Executes the request for 300 s before it answers.
  bool Hang = false;
  /// Answers with status 500 after the request has been executed.
  bool Fail = false;
  /// Milliseconds that are added to the service time.
  int64_t SlowMs = 0;
  /// Closes the connection after this many bytes of the body; -1 disables it.
  int64_t CutAfter = -1;
  /// Stops sending after this many bytes of the body, with the connection open;
  /// -1 disables it.
  int64_t StallAfter = -1;
  /// Sends extra bytes after the end of the answer.
  bool Overlong = false;
  /// Answers with the request id of another request.
  bool ForeignAnswer = false;
  /// Executes the request, then closes the connection without an answer.
  bool LoseAnswer = false;
  /// Answers without a Content-Length header.
  bool Unframed = false;
  /// Refuses requests with status 503 without executing them.
  bool Shed = false;
  /// Answers with status 421, as the successor of a server does at its address,
  /// without executing the request.
  bool Misdirect = false;
  /// Value of the Canvaswick-Request-Limit header. Empty: not sent.
  std::string Limit;
  /// Sends the Canvaswick-Leaving header.
  bool SendsLeaving = false;
  /// Value of the Retry-After header of refusals that Shed or Drain causes.
  /// Empty: not sent.
  std::string RetryAfter = "1";
  /// Refuses requests like Shed, and reports the state "leaving" in health
  /// checks, whichever requests the other faults affect.
  bool Drain = false;
  /// Fails health checks with status 503 although requests succeed.
  bool HealthLiesRed = false;
};

/// Static parameters of the stand-in.
struct BackendSetup {
  std::string Name;
  /// Requests that are executed at the same time.
  int Slots = 3;
  /// Requests that wait for a slot before further ones are refused.
  int QueueLimit = 8;
  int64_t ServiceMs = 5;
  /// The service time is multiplied by this for ColdMs after the start.
  int ColdFactor = 1;
  int64_t ColdMs = 0;
  /// The process exits after it has executed a request whose target begins with
  /// this. Empty: it never does.
  std::string ExitTargetPrefix;
};

/// Serves the stand-in on one address. Thread-safe.
class BackendStandIn {
public:
  explicit BackendStandIn(BackendSetup Setup);
  ~BackendStandIn();

  /// Binds the address and starts to serve. A port of 0 picks a free one.
  Result<void> start(const Endpoint &Address);
  /// Clears the faults and waits up to 5 s for open requests.
  void stop();
  /// Returns the port that is served.
  uint16_t getPort() const;

  /// Replaces all faults.
  void setFaults(const BackendFaults &Faults);

  /// Returns how often requests with each Idempotency-Key were executed.
  std::map<std::string, int> getLedger() const;

  /// Returns the number of requests that were executed.
  uint64_t countRuns() const;

  /// Returns the number of requests that arrived, executed or not. Health
  /// checks do not count.
  uint64_t countArrivals() const;

  /// Returns the headers of the request that was executed last.
  httplib::Headers getLastHeaders() const;

  /// Returns the number of requests that were abandoned because the client had
  /// closed the connection.
  uint64_t countCanceled() const;

private:
  void handle(HttpExchange &Exchange);
  void handleControl(HttpExchange &Exchange);
  void handleHealth(HttpExchange &Exchange);
  void run(HttpExchange &Exchange, const std::string &Body,
           const BackendFaults &Active);
  bool acquireSlot(TimePoint Deadline);
  void releaseSlot();
  bool isHit(const httplib::Request &Request);
  bool work(HttpExchange &Exchange, Duration Length);
  void answer(HttpExchange &Exchange, const BackendFaults &Active);

  const BackendSetup Setup;
  const TimePoint Started;
  mutable std::mutex Mutex;
  std::condition_variable SlotFree;
  BackendFaults Faults;
  int Busy = 0;
  int Waiting = 0;
  bool Stopping = false;
  std::map<std::string, int> Ledger;
  uint64_t Runs = 0;
  uint64_t Arrivals = 0;
  httplib::Headers LastHeaders;
  uint64_t Canceled = 0;
  std::mt19937 Random{1};
  std::unique_ptr<HttpServer> Server;
};

} // namespace canvaswick

#endif // CANVASWICK_STANDIN_BACKENDSTANDIN_H
