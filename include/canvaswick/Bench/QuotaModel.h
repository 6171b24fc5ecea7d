//===- QuotaModel.h - Simulation of fleet quotas ----------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Simulates the requests of one organisation to a fleet of daemons in virtual
/// time, with message delay and loss, network partitions and restarts. It
/// measures how close admissions come to the bound of the quota and how many
/// requests within the quota are refused, so that enforcement methods can be
/// compared on the same requests.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_BENCH_QUOTAMODEL_H
#define CANVASWICK_BENCH_QUOTAMODEL_H

#include "canvaswick/Settings/DaemonConfig.h"

#include <cstdint>
#include <string>
#include <vector>

namespace canvaswick {

/// A method of enforcing a quota across a fleet.
enum class QuotaMethod : uint8_t {
  /// Each daemon has an equal, fixed part of the bucket.
  FixedParts,
  /// One daemon hands out the tokens. A daemon that cannot reach it falls back
  /// to
  /// its fixed part.
  OneOwner,
  /// Daemons exchange their usage (FleetQuota).
  SharedCounts,
};

/// Returns the name of a method as the CSV has it.
const char *getName(QuotaMethod Method);

/// A fault that affects some daemons for a limited time.
enum class QuotaFault : uint8_t {
  /// The daemons cannot reach any other daemon, but callers reach them.
  Cut,
  /// The daemons are down and restart without state.
  Killed,
  /// Daemons of different halls cannot reach each other.
  HallsApart,
};

/// A fault with its begin and length, in milliseconds from the start of the
/// run.
struct QuotaFaultEvent {
  QuotaFault Kind = QuotaFault::Cut;
  int FromMs = 0;
  int ForMs = 0;
  /// Fraction of the daemons of each hall that is affected, counted from the
  /// first. Not used by HallsApart.
  double Part = 0;
};

/// The parameters of a simulation.
struct QuotaScenario {
  int Halls = 3;
  int DaemonsOfHall = 38;
  /// Requests per second of the organisation. Its burst is the requests of one
  /// second.
  double Rate = 8;
  /// Number of callers. Each sends to one daemon that is drawn at random.
  int Callers = 19;
  /// Offered load divided by Rate. For HotForMs from HotFromMs on, the load is
  /// multiplied by HotFactor.
  double TypicalLoad = 0.62;
  double HotFactor = 1;
  int HotFromMs = 0;
  int HotForMs = 0;
  /// At ChangeMs the rate is multiplied by ChangeFactor. 0: never.
  int ChangeMs = 0;
  double ChangeFactor = 1;
  int LengthMs = 30000;
  /// Probability that a message is lost.
  double LossRate = 0.02;
  std::vector<QuotaFaultEvent> Events;
};

/// The result of a simulation.
struct QuotaModelResult {
  /// Requests that reached a daemon.
  uint64_t Asked = 0;
  uint64_t Admitted = 0;
  /// Requests within the quota, that is, those that a single token bucket of
  /// the whole fleet would admit, and how many of them were refused.
  uint64_t WithinQuota = 0;
  uint64_t RefusedWithinQuota = 0;
  /// Largest number of admissions in any window, divided by the bound. Above 1
  /// the bound is violated.
  double MaxWindowFill = 0;
  /// Messages between daemons.
  uint64_t Messages = 0;

  /// Returns the fraction of the requests within the quota that was refused.
  double computeRefusedRatio() const {
    return this->WithinQuota == 0
               ? 0
               : static_cast<double>(this->RefusedWithinQuota) /
                     static_cast<double>(this->WithinQuota);
  }
};

/// Returns the required bounds: 10 % and 20 requests above the limit in 5 s.
QuotaBounds getModelBounds();

/// Runs a simulation. The result depends on the arguments alone.
QuotaModelResult runQuotaModel(const QuotaScenario &Scenario,
                               QuotaMethod Method, uint64_t Seed);

/// Returns a CSV table that compares the methods in several scenarios and fleet
/// sizes, each over Seeds seeds.
std::string compareQuotaMethods(uint64_t Seeds);

} // namespace canvaswick

#endif // CANVASWICK_BENCH_QUOTAMODEL_H
