//===- LogTables.h - What logs tell of entries and requests -----*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tables over the logs of any number of daemons: entries at the platform that
/// could not be read, and requests under which servers ended.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_OPERATOR_LOGTABLES_H
#define CANVASWICK_OPERATOR_LOGTABLES_H

#include "canvaswick/Operator/LogLines.h"

#include <string>
#include <vector>

namespace canvaswick {

/// Returns a line for each entry that was refused: whose, how often, by how
/// many daemons, and what was wrong the last time.
std::string makeEntryTable(const std::vector<LogLine> &Lines);

/// Returns a line for each daemon: epoch and revision of its copy of the store,
/// since when, the version in force, and how often it saw the store restored.
std::string makeReplicaTable(const std::vector<LogLine> &Lines);

/// Returns a line for each request that was cut off more than once or held
/// back: at which servers, how often it was answered, and where it is held
/// back.
std::string makePoisonRequestTable(const std::vector<LogLine> &Lines);

} // namespace canvaswick

#endif // CANVASWICK_OPERATOR_LOGTABLES_H
