//===- LoadRun.h - Open-loop load generator ---------------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Requests are sent on a schedule that does not depend on answers, so that
/// latencies include the time a request waits to be sent (no coordinated
/// omission). Requests can alternate between the daemon and a direct connection
/// to a backend server; the difference is the latency that the daemon adds.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_LOAD_LOADRUN_H
#define CANVASWICK_LOAD_LOADRUN_H

#include "canvaswick/Metrics/ServiceMetrics.h"
#include "canvaswick/Settings/FleetConfig.h"

#include <cstdint>
#include <string>
#include <vector>

namespace canvaswick {

/// One kind of request in the mix of a run.
struct LoadTarget {
  std::string Method = "GET";
  std::string Target = "/";
  std::string Body;
  /// Whether each request carries a fresh Idempotency-Key.
  bool IsKeyed = false;
};

/// The parameters of a run.
struct LoadPlan {
  /// The caller address of a daemon.
  Endpoint Proxy;
  /// Backend server that receives every second request directly. Port 0: none.
  Endpoint Direct;
  std::string Host = "localhost";
  /// Key that is sent as a bearer token. Empty: none.
  std::string CallerKey;
  /// Used in turn; must not be empty.
  std::vector<LoadTarget> Targets;
  /// Mean rate of both sides together.
  double RequestsPerSecond = 100;
  double Seconds = 10;
  /// Number of sending threads, which bounds the requests in flight.
  size_t Threads = 32;
  uint64_t Seed = 1;
  int64_t DeadlineMs = 10000;
  /// Process whose CPU time is measured. 0: none.
  int64_t DaemonPid = 0;
};

/// The counters and latencies of one side, proxy or direct.
struct LoadSide {
  LoadSide();
  LatencyHistogram Latencies;
  std::atomic<uint64_t> Sent{0};
  /// Complete answers with a status below 400.
  std::atomic<uint64_t> Served{0};
  /// Complete answers with status 429 or 503.
  std::atomic<uint64_t> Refused{0};
  /// All other requests.
  std::atomic<uint64_t> Failed{0};
  /// Failed requests without an answer within the deadline, and failed requests
  /// whose connection broke. The other failed ones got an error status.
  std::atomic<uint64_t> Timeouts{0};
  std::atomic<uint64_t> Broken{0};
  /// Requests that were sent more than a millisecond behind schedule.
  std::atomic<uint64_t> LateStarts{0};
};

/// The result of a run.
struct LoadResult {
  LoadSide Proxy;
  LoadSide Direct;
  /// From the start of the schedule until the last request ended.
  double TookSeconds = 0;
  /// CPU time that the daemon used during the run.
  double DaemonCpuSeconds = 0;
};

/// Runs the plan and adds to Result. Blocks until all requests have ended.
void runLoad(const LoadPlan &Plan, LoadResult &Result);

/// Returns the result as human-readable text.
std::string formatLoadResult(const LoadPlan &Plan, const LoadResult &Result);

} // namespace canvaswick

#endif // CANVASWICK_LOAD_LOADRUN_H
