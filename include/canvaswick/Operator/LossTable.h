//===- LossTable.h - Failed attempts by knowledge of the server -*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Builds a table of the outcomes of attempts from the daemons' logs, grouped
/// by what the daemon knew of the server when it chose it.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_OPERATOR_LOSSTABLE_H
#define CANVASWICK_OPERATOR_LOSSTABLE_H

#include "canvaswick/Operator/RequestReport.h"

#include <cstdint>

namespace canvaswick {

/// What a daemon knew of a server when it chose it for an attempt.
enum class ServerKnowledge : uint8_t {
  /// The attempt was a probe of the server's health.
  Test,
  /// The estimated probability that it was unhealthy was high.
  Suspect,
  /// It seemed healthy but had many requests in flight.
  Loaded,
  /// It seemed healthy and was not loaded.
  Unsuspected,
  /// The log line doesn't have the estimate.
  Unknown,
};

/// Returns the name as the table prints it.
const char *getName(ServerKnowledge Knowledge);

/// Returns what was known of the server of an attempt.
ServerKnowledge classifyAttempt(const LoggedAttempt &Attempt);

/// Returns a table for each route, the busiest first, that counts first and
/// later attempts by ServerKnowledge and by outcome.
std::string makeLossTable(const std::vector<LogLine> &Lines);

} // namespace canvaswick

#endif // CANVASWICK_OPERATOR_LOSSTABLE_H
