//===- QuotaModel.h - A fleet's allowances in virtual time ------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Plays one organisation's requests against a fleet of daemons, with messages
/// that are late or lost, cuts and kills, and counts what is admitted beyond
/// the bound and what is refused within the allowance. Several ways to keep an
/// allowance can be compared on the same requests.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_BENCH_QUOTAMODEL_H
#define CANVASWICK_BENCH_QUOTAMODEL_H

#include "canvaswick/Settings/DaemonConfig.h"

#include <cstdint>
#include <string>
#include <vector>

namespace canvaswick {

/// How an allowance is kept.
enum class QuotaMethod : uint8_t {
  /// Each daemon has its part of the bucket.
  FixedParts,
  /// One daemon gives out the tokens, and each that does not reach it has its
  /// fixed part.
  OneOwner,
  /// FleetQuota.
  SharedCounts,
};

/// Returns the name of a way.
const char *getName(QuotaMethod Method);

/// What happens to some daemons for a while.
enum class QuotaFault : uint8_t {
  /// They reach no other daemon; callers reach them.
  Cut,
  /// They are gone, and come back having forgotten everything.
  Killed,
  /// Halls do not reach each other.
  HallsApart,
};

/// One stretch of trouble, in milliseconds from the begin.
struct QuotaFaultEvent {
  QuotaFault Kind = QuotaFault::Cut;
  int FromMs = 0;
  int ForMs = 0;
  /// Part of the daemons, from the first on; HallsApart has none.
  double Part = 0;
};

/// One play.
struct QuotaScenario {
  int Halls = 3;
  int DaemonsOfHall = 38;
  /// Of the organisation, which saves up one second's requests.
  double Rate = 8;
  /// Callers, each at one daemon drawn for it.
  int Callers = 19;
  /// What is asked, as a part of the rate; from HotFromMs for HotForMs this
  /// many times as much.
  double TypicalLoad = 0.62;
  double HotFactor = 1;
  int HotFromMs = 0;
  int HotForMs = 0;
  /// At this time the rate becomes this part of what it was.
  int ChangeMs = 0;
  double ChangeFactor = 1;
  int LengthMs = 30000;
  double LossRate = 0.02;
  std::vector<QuotaFaultEvent> Events;
};

/// What came of a play.
struct QuotaModelResult {
  uint64_t Asked = 0;
  uint64_t Admitted = 0;
  /// Requests that the allowance covers, by one bucket over the whole fleet,
  /// and how many of them were refused.
  uint64_t WithinQuota = 0;
  uint64_t RefusedWithinQuota = 0;
  /// The largest part of the bound that any window was filled to.
  double MaxWindowFill = 0;
  uint64_t Messages = 0;

  double computeRefusedRatio() const {
    return this->WithinQuota == 0
               ? 0
               : static_cast<double>(this->RefusedWithinQuota) /
                     static_cast<double>(this->WithinQuota);
  }
};

/// The bound that the users set.
QuotaBounds getModelBounds();

/// Plays a scenario.
QuotaModelResult runQuotaModel(const QuotaScenario &Scenario,
                               QuotaMethod Method, uint64_t Seed);

/// Returns a table of the ways over scenarios at several sizes of a fleet.
std::string compareQuotaMethods(uint64_t Seeds);

} // namespace canvaswick

#endif // CANVASWICK_BENCH_QUOTAMODEL_H
