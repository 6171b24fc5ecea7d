//===- Scenario.h - A scenario of the policy bench --------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The shape of one service, the exchange between daemons, and a timed list of
/// faults, read from an INI file. docs/POLICY-BENCH.md documents the format.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_BENCH_SCENARIO_H
#define CANVASWICK_BENCH_SCENARIO_H

#include "canvaswick/Settings/FleetConfig.h"
#include "canvaswick/Support/Time.h"

#include <string>
#include <vector>

namespace canvaswick {

/// What goes wrong.
enum class FaultKind : uint8_t {
  /// Answers with an error at once.
  Fail,
  /// Never answers; probes stay green.
  Hang,
  /// Answers, but many times slower.
  Slow,
  /// Refuses connections.
  Refuse,
  /// Fails and recovers every few seconds.
  Flap,
  /// Says it is overloaded and runs nothing. No sickness.
  Shed,
  /// Has started anew and is slow for a while. No sickness.
  Cold,
  /// Leaves: runs what it has, takes nothing new. No sickness.
  Drain,
  /// The daemon itself is sick: all its requests fail. No server is sick.
  UnhealthyDaemon,
};

/// Returns the name of a kind as scenarios write it.
const char *getName(FaultKind Kind);

/// One fault.
struct Fault {
  std::string Name;
  FaultKind Kind = FaultKind::Fail;
  /// "all", "hall:NAME", "random:N" or a list of numbers.
  std::string Servers = "random:1";
  /// Which daemons see it, in the same form.
  std::string Daemons = "all";
  Duration Start{};
  Duration End{};
  /// Part of the requests that are hit.
  double Part = 1;
  /// How many times slower, for Slow and Cold.
  double Factor = 10;
  /// Length of a whole good and bad spell, for Flap.
  Duration Period = fromSeconds(4);
};

/// A whole scenario.
struct Scenario {
  std::string Name;
  int Servers = 10;
  int Slots = 3;
  std::vector<std::string> Halls = {"a"};
  int Daemons = 40;
  double RequestsPerSecond = 100;
  Duration ServiceTime = fromMillis(50);
  /// Standard deviation of the logarithm of the service time.
  double Spread = 0.5;
  Duration Deadline = fromSeconds(2);
  /// Requests that fail on a healthy server.
  double BackgroundFailures = 0.001;
  bool IsRepeatable = true;
  int FloorPercent = 50;
  EjectionPreference Preference = EjectionPreference::Balanced;
  Duration ExchangeDelay = fromMillis(5);
  double ExchangeLoss = 0.01;
  Duration Length = fromSeconds(300);
  std::vector<Fault> Faults;
};

/// Reads and checks a scenario. Errors name file, line, section and key.
Result<Scenario> loadScenario(const std::string &Path);

} // namespace canvaswick

#endif // CANVASWICK_BENCH_SCENARIO_H
