//===- LossTable.h - Where requests were lost -------------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tables, from daemons' logs, of the attempts that did not go well by what was
/// known when their servers were chosen.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_OPERATOR_LOSSTABLE_H
#define CANVASWICK_OPERATOR_LOSSTABLE_H

#include "canvaswick/Operator/RequestReport.h"

#include <cstdint>

namespace canvaswick {

/// What was known of a server when an attempt chose it.
enum class ServerKnowledge : uint8_t {
  /// It was chosen to find out how it is.
  Test,
  /// Something spoke against it.
  Suspect,
  /// It had more requests than the others to be expected there.
  Loaded,
  /// Nothing spoke against it.
  Unsuspected,
  /// The line does not tell.
  Unknown,
};

/// Returns the name of a moment as tables print it.
const char *getName(ServerKnowledge Moment);

/// Returns the moment of an attempt.
ServerKnowledge classifyAttempt(const LoggedAttempt &Attempt);

/// Returns a table for each route, the busiest first: first and later attempts
/// by moment, how many there were, and what came of them.
std::string makeLossTable(const std::vector<LogLine> &Lines);

} // namespace canvaswick

#endif // CANVASWICK_OPERATOR_LOSSTABLE_H
