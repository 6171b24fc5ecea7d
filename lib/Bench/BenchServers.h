//===- BenchServers.h - Simulated backend servers ---------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Simulates the backend servers of one service with slots, a queue, random
/// service times and the faults of a scenario. Private to this library.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_LIB_BENCH_BENCHSERVERS_H
#define CANVASWICK_LIB_BENCH_BENCHSERVERS_H

#include "canvaswick/Bench/Scenario.h"
#include "canvaswick/Health/Outcome.h"
#include "canvaswick/Routing/ServerSelector.h"

#include <vector>

namespace canvaswick {

/// A fault with the servers and daemons that it affects in this run.
struct ActiveFault {
  Fault Description;
  std::vector<bool> Servers;
  std::vector<bool> Daemons;

  /// Returns whether requests fail at Now. Unlike isActive, this is false in
  /// the healthy phases of a flapping server.
  bool isOn(TimePoint Now) const;

  /// Returns whether Now is between the start and the end of the fault.
  bool isActive(TimePoint Now) const;

  /// Returns whether the affected servers are unhealthy, so that their removal
  /// is the right reaction.
  bool isServerFault() const;
};

/// The outcome of a request and the time of the answer.
struct FakeAnswer {
  RequestOutcome Outcome = RequestOutcome::Good;
  TimePoint At{};
};

/// All simulated servers of a run.
class FakeServers {
public:
  FakeServers(const Scenario &Spec, std::vector<ActiveFault> Faults,
              RandomSource &Random);

  /// Returns how and when a request that arrives at Now is answered. The daemon
  /// does not see an answer after Deadline.
  FakeAnswer serve(size_t Server, size_t Daemon, TimePoint Now,
                   TimePoint Deadline);

  /// Returns whether the server is leaving and the daemons know it.
  bool isLeaving(size_t Server, TimePoint Now) const;

  /// Returns whether the server is unhealthy for requests of some daemon.
  bool isUnhealthy(size_t Server, TimePoint Now) const;

  const std::vector<ActiveFault> &getFaults() const { return this->Faults; }

private:
  const ActiveFault *findFault(size_t Server, size_t Daemon, TimePoint Now);
  FakeAnswer work(size_t Server, TimePoint Now, TimePoint Deadline,
                  double Factor, RequestOutcome Outcome);

  const Scenario &Spec;
  std::vector<ActiveFault> Faults;
  RandomSource &Random;
  /// By server and slot: the time at which the slot becomes free.
  std::vector<std::vector<TimePoint>> SlotFree;
};

/// Draws the servers and daemons that each fault affects.
std::vector<ActiveFault> drawFaults(const Scenario &Spec, RandomSource &Random);

} // namespace canvaswick

#endif // CANVASWICK_LIB_BENCH_BENCHSERVERS_H
