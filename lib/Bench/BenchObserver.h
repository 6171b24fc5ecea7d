//===- BenchObserver.h - What a run of the policy bench shows ---*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Looks at the shares of all daemons at every tick and keeps the figures of
/// the result: detection, false ejections, lost seconds, violations.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_LIB_BENCH_BENCHOBSERVER_H
#define CANVASWICK_LIB_BENCH_BENCHOBSERVER_H

#include "BenchServers.h"
#include "canvaswick/Bench/PolicyBench.h"

#include <vector>

namespace canvaswick {

/// The share of each server at each daemon: Shares[Daemon][Server].
using ShareTable = std::vector<std::vector<double>>;

/// Follows one run.
class BenchObserver {
public:
  BenchObserver(const Scenario &Spec, const FakeServers &Servers);

  /// Looks once. Step is the time since the last look.
  void observe(const ShareTable &Shares, TimePoint Now, Duration Step);

  /// Fills the columns that come from looking.
  void summarize(BenchResult &Into) const;

private:
  /// What is followed of one server.
  struct ServerWatch {
    std::vector<bool> WasRemoved;
    bool IsInFalseEpisode = false;
  };

  void observeServer(size_t Server, const ShareTable &Shares, TimePoint Now,
                     Duration Step);
  void observeFloor(const ShareTable &Shares, TimePoint Now);
  void observeDetection(const ShareTable &Shares, TimePoint Now);

  const Scenario &Spec;
  const FakeServers &Servers;
  std::vector<ServerWatch> Watches;
  /// For each fault and server: seconds until detection, or negative.
  std::vector<std::vector<double>> Detection;
  int FalseEjections = 0;
  int FloorViolations = 0;
  double HealthySecondsLost = 0;
};

} // namespace canvaswick

#endif // CANVASWICK_LIB_BENCH_BENCHOBSERVER_H
