//===- Scenario.h - Scenario of the policy benchmark ------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Describes one service, the network between daemons and a list of timed
/// faults. Scenarios are read from INI files; docs/POLICY-BENCH.md documents
/// the format.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_BENCH_SCENARIO_H
#define CANVASWICK_BENCH_SCENARIO_H

#include "canvaswick/Settings/FleetConfig.h"
#include "canvaswick/Support/Time.h"

#include <string>
#include <vector>

namespace canvaswick {

/// The kinds of faults.
enum class FaultKind : uint8_t {
  /// Servers answer with an error at once.
  Fail,
  /// Servers never answer requests, although probes succeed.
  Hang,
  /// The service time is multiplied by Factor.
  Slow,
  /// Servers refuse connections.
  Refuse,
  /// Servers alternate between failing and healthy, half a Period each.
  Flap,
  /// Servers shed requests without executing them. The servers are healthy.
  Shed,
  /// Servers have restarted and are slow for a while. The servers are healthy.
  Cold,
  /// Servers drain: they complete requests and accept no new ones. The servers
  /// are healthy.
  Drain,
  /// All requests of the affected daemons fail. The servers are healthy.
  UnhealthyDaemon,
};

/// Returns the name of a kind as scenario files have it.
const char *getName(FaultKind Kind);

/// A fault of a scenario.
struct Fault {
  std::string Name;
  FaultKind Kind = FaultKind::Fail;
  /// Affected servers: "all", "hall:NAME", "random:N" (N drawn at random) or a
  /// list of indexes separated by spaces.
  std::string Servers = "random:1";
  /// Daemons whose requests are affected, in the same form.
  std::string Daemons = "all";
  Duration Start{};
  Duration End{};
  /// Fraction of the requests that is affected.
  double Part = 1;
  /// Factor of the service time, for Slow and Cold.
  double Factor = 10;
  /// Length of a cycle of failing and healthy, for Flap.
  Duration Period = fromSeconds(4);
};

/// The parameters of a run.
struct Scenario {
  std::string Name;
  int Servers = 10;
  int Slots = 3;
  std::vector<std::string> Halls = {"a"};
  int Daemons = 40;
  double RequestsPerSecond = 100;
  Duration ServiceTime = fromMillis(50);
  /// Standard deviation of the natural logarithm of the service time.
  double Spread = 0.5;
  Duration Deadline = fromSeconds(2);
  /// Fraction of the requests that fail on a healthy server.
  double BackgroundFailures = 0.001;
  /// Whether failed requests may be retried.
  bool IsRepeatable = true;
  int FloorPercent = 50;
  EjectionPreference Preference = EjectionPreference::Balanced;
  /// Delay of messages between daemons, which varies by 50 % either way.
  Duration ExchangeDelay = fromMillis(5);
  /// Probability that a message between daemons is lost.
  double ExchangeLoss = 0.01;
  Duration Length = fromSeconds(300);
  std::vector<Fault> Faults;
};

/// Loads and validates a scenario. Errors name the file, the line, the section
/// and the key.
Result<Scenario> loadScenario(const std::string &Path);

} // namespace canvaswick

#endif // CANVASWICK_BENCH_SCENARIO_H
