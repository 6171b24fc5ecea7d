//===- BenchObserver.h - Metrics of a policy benchmark run ------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Samples the shares at all daemons on every tick and accumulates the metrics
/// of the result: detection times, false ejections, lost seconds of healthy
/// servers and violations of the floor. Private to this library.
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

/// Accumulates the metrics of one run.
class BenchObserver {
public:
  BenchObserver(const Scenario &Spec, const FakeServers &Servers);

  /// Takes a sample. Step is the time since the last one.
  void observe(const ShareTable &Shares, TimePoint Now, Duration Step);

  /// Sets the columns of a result that are computed from samples.
  void summarize(BenchResult &Into) const;

private:
  /// The removals of one server.
  struct ServerWatch {
    /// By daemon: whether it had removed the server in the last sample.
    std::vector<bool> WasRemoved;
    /// Whether a removal has been counted as a false ejection that still lasts
    /// at some daemon.
    bool IsInFalseEpisode = false;
  };

  void observeServer(size_t Server, const ShareTable &Shares, TimePoint Now,
                     Duration Step);
  void observeFloor(const ShareTable &Shares, TimePoint Now);
  void observeDetection(const ShareTable &Shares, TimePoint Now);

  const Scenario &Spec;
  const FakeServers &Servers;
  std::vector<ServerWatch> Watches;
  /// By fault and server: seconds until detection, or negative if undetected.
  std::vector<std::vector<double>> Detection;
  int FalseEjections = 0;
  int FloorViolations = 0;
  double HealthySecondsLost = 0;
};

} // namespace canvaswick

#endif // CANVASWICK_LIB_BENCH_BENCHOBSERVER_H
