//===- BenchRun.h - Event simulation of the policy benchmark ----*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Simulates daemons, servers and messages as discrete events in virtual time.
/// Private to this library.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_LIB_BENCH_BENCHRUN_H
#define CANVASWICK_LIB_BENCH_BENCHRUN_H

#include "BenchObserver.h"
#include "canvaswick/Admission/Limits.h"
#include "canvaswick/Bench/PolicyBench.h"
#include "canvaswick/Health/EvidencePool.h"

#include <json/json.h>

#include <functional>
#include <memory>
#include <queue>

namespace canvaswick {

/// An event. Order makes events of the same time run in the order in which they
/// were scheduled.
struct Event {
  TimePoint At;
  uint64_t Order;
  std::function<void()> Run;
};

/// Orders events so that a priority queue has the earliest on top.
struct IsLater {
  bool operator()(const Event &Left, const Event &Right) const {
    if (Left.At != Right.At)
      return Left.At > Right.At;
    return Left.Order > Right.Order;
  }
};

/// A request at the daemon that received it.
struct BenchRequest {
  size_t Daemon = 0;
  TimePoint Began{};
  TimePoint Deadline{};
  int Tries = 0;
};

/// An attempt to send a request to a server, while it is in flight.
struct BenchAttempt {
  size_t Server = 0;
  TimePoint Began{};
  /// Whether the attempt was recorded as slow before it ended.
  bool IsRecordedSlow = false;
  bool IsEnded = false;
};

/// A simulated daemon.
struct BenchDaemon {
  std::string Name;
  std::string Hall;
  HealthPolicy Policy;
  ServerSelector Selector;
  LatencyTracker Latency;
  RetryBudget Retries;
  std::vector<std::shared_ptr<BenchAttempt>> InFlight;
  /// Null unless this daemon owns the pool.
  std::unique_ptr<EvidencePool> Pool;
};

/// A run of one policy on one scenario with one seed.
class BenchRun {
public:
  BenchRun(const Scenario &Spec, PolicyKind Kind, uint64_t Seed);
  BenchResult run();

private:
  void schedule(TimePoint At, std::function<void()> Run);
  void makeDaemons(PolicyKind Kind);
  void arrive();
  void tryRequest(std::shared_ptr<BenchRequest> Request);
  void endAttempt(const std::shared_ptr<BenchRequest> &Request,
                  const std::shared_ptr<BenchAttempt> &Attempt,
                  RequestOutcome Outcome);
  void tick();
  void tickDaemon(BenchDaemon &Daemon);
  void exchange(BenchDaemon &Daemon);
  void send(const Json::Value &Message, std::function<void()> Deliver);
  void deliverReport(BenchDaemon &Owner, BenchDaemon &Source,
                     const EvidenceReport &Report);
  void deliverSummary(BenchDaemon &Reader, const EvidenceSummary &Summary);
  void advancePool(BenchDaemon &Owner);
  void observe();
  std::vector<double> getShares(const BenchDaemon &Daemon) const;
  BenchResult summarize() const;

  const Scenario &Spec;
  const PolicyKind Kind;
  const uint64_t Seed;
  RandomSource Arrivals;
  RandomSource Service;
  RandomSource Choices;
  RandomSource Network;
  FakeServers Servers;
  std::vector<BenchDaemon> Daemons;
  std::priority_queue<Event, std::vector<Event>, IsLater> Events;
  uint64_t NextOrder = 0;
  TimePoint Now{};
  BenchObserver Observer;
  BenchResult Result;
  uint64_t Failed = 0;
  uint64_t Late = 0;
  uint64_t ControlBytes = 0;
};

} // namespace canvaswick

#endif // CANVASWICK_LIB_BENCH_BENCHRUN_H
