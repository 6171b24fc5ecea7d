//===- BackendStandIn.h - A small stand-in for a backend server -*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Slots, a service time, drain, cold start, shedding, deadlines and
/// cancellation, lying health and load, and the gray faults, each switched at
/// run time. A ledger counts how often each keyed request was run.
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

/// What the stand-in does wrong, and to which part of the requests.
struct BackendFaults {
  /// Requests hit, in percent. Health and load answers are never hit.
  int Percent = 100;
  /// Only targets that begin with this are hit. Empty: all.
  std::string OnlyTarget;
  /// Only requests that came through this daemon are hit. Empty: all.
  std::string OnlyDaemon;
  bool Hang = false;
  bool Fail = false;
  int64_t SlowMs = 0;
  /// Cut the body after this many bytes; -1: not.
  int64_t CutAfter = -1;
  /// Stop sending after this many bytes; -1: not.
  int64_t StallAfter = -1;
  /// Send bytes after the end of the answer.
  bool Overlong = false;
  /// Answer with the request id of another request.
  bool ForeignAnswer = false;
  /// Run the request, then close without an answer.
  bool LoseAnswer = false;
  /// Answer without saying how long the body is.
  bool Unframed = false;
  bool Shed = false;
  /// What it says of itself in its answers: its limit, whether it leaves, and
  /// how long it wants rest, if it sheds. Empty: nothing.
  std::string Limit;
  bool SendsLeaving = false;
  std::string Rest = "1";
  bool Drain = false;
  /// Answer health checks with red although all is well.
  bool HealthLiesRed = false;
};

/// How the stand-in is made.
struct BackendSetup {
  std::string Name;
  int Slots = 3;
  int QueueLimit = 8;
  int64_t ServiceMs = 5;
  /// The first requests after the start are this many times slower.
  int ColdFactor = 1;
  int64_t ColdMs = 0;
  /// The whole process ends when it has run a request whose target begins with
  /// this. Empty: it never does.
  std::string ExitTargetPrefix;
};

/// Serves one address.
class BackendStandIn {
public:
  explicit BackendStandIn(BackendSetup Setup);
  ~BackendStandIn();

  Result<void> start(const Endpoint &Address);
  void stop();
  uint16_t getPort() const;

  void setFaults(const BackendFaults &Faults);

  /// Returns how often each Idempotency-Key was run.
  std::map<std::string, int> getLedger() const;

  /// Returns how many requests were run in all.
  uint64_t countRuns() const;

  /// Returns the headers of the request that was run last.
  httplib::Headers getLastHeaders() const;

  /// Returns how many requests were given up because the peer had left.
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
  httplib::Headers LastHeaders;
  uint64_t Canceled = 0;
  std::mt19937 Random{1};
  std::unique_ptr<HttpServer> Server;
};

} // namespace canvaswick

#endif // CANVASWICK_STANDIN_BACKENDSTANDIN_H
