//===- LogTables.h - Tables of entries, replicas and requests ---*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Builds tables from the logs of any number of daemons: store entries that
/// were rejected, the daemons' replicas of the store, and poison requests,
/// which make the servers that run them crash.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_OPERATOR_LOGTABLES_H
#define CANVASWICK_OPERATOR_LOGTABLES_H

#include "canvaswick/Operator/LogLines.h"

#include <string>
#include <vector>

namespace canvaswick {

/// Returns a line for each store entry that was rejected: its subject, how
/// often and by how many daemons it was rejected, and the last error.
std::string makeEntryTable(const std::vector<LogLine> &Lines);

/// Returns a line for each daemon: the epoch and revision of its replica of the
/// store, the time when the replica reached them, the settings version in
/// force, and how often the daemon saw the store restored.
std::string makeReplicaTable(const std::vector<LogLine> &Lines);

/// Returns an entry for each request fingerprint that was cut off more than
/// once or quarantined: the servers that cut it off, how often it was answered,
/// and the number of daemons that quarantined it.
std::string makePoisonRequestTable(const std::vector<LogLine> &Lines);

} // namespace canvaswick

#endif // CANVASWICK_OPERATOR_LOGTABLES_H
