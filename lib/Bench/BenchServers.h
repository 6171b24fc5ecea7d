//===- BenchServers.h - Small fakes of one service's backend servers -*- C++
//-*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Slots, a queue, a service time and the faults of a scenario.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_LIB_BENCH_BENCHSERVERS_H
#define CANVASWICK_LIB_BENCH_BENCHSERVERS_H

#include "canvaswick/Bench/Scenario.h"
#include "canvaswick/Health/Outcome.h"
#include "canvaswick/Routing/ServerSelector.h"

#include <vector>

namespace canvaswick {

/// A fault with the servers and daemons that it hits in this run.
struct ActiveFault {
  Fault Description;
  std::vector<bool> Servers;
  std::vector<bool> Daemons;

  /// Returns whether it is on at Now, spells of a flapping one included.
  bool isOn(TimePoint Now) const;

  /// Returns whether Now is between its start and its end.
  bool isActive(TimePoint Now) const;

  /// Returns whether removing the server helps against it.
  bool isServerFault() const;
};

/// How a fake server answers one request.
struct FakeAnswer {
  RequestOutcome Outcome = RequestOutcome::Good;
  TimePoint At{};
};

/// All fake servers of a run.
class FakeServers {
public:
  FakeServers(const Scenario &Spec, std::vector<ActiveFault> Faults,
              RandomSource &Random);

  /// Returns when and how a request that arrives now is answered. An answer
  /// after Deadline never reaches the daemon.
  FakeAnswer serve(size_t Server, size_t Daemon, TimePoint Now,
                   TimePoint Deadline);

  /// Returns whether the platform and the server say that it is leaving.
  bool isLeaving(size_t Server, TimePoint Now) const;

  /// Returns whether a sickness of the server is active for some caller.
  bool isUnhealthy(size_t Server, TimePoint Now) const;

  const std::vector<ActiveFault> &getFaults() const { return this->Faults; }

private:
  const ActiveFault *findFault(size_t Server, size_t Daemon, TimePoint Now);
  FakeAnswer work(size_t Server, TimePoint Now, TimePoint Deadline,
                  double Factor, RequestOutcome Outcome);

  const Scenario &Spec;
  std::vector<ActiveFault> Faults;
  RandomSource &Random;
  /// When each slot of each server is free again.
  std::vector<std::vector<TimePoint>> SlotFree;
};

/// Draws the servers and daemons that each fault hits.
std::vector<ActiveFault> drawFaults(const Scenario &Spec, RandomSource &Random);

} // namespace canvaswick

#endif // CANVASWICK_LIB_BENCH_BENCHSERVERS_H
