//===- LogCommands.cpp - Commands that query the daemons' logs ------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Implements the queries of logs. They read only files, so they work while no
/// daemon is reachable.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Operator/Commands.h"
#include "canvaswick/Operator/LogTables.h"
#include "canvaswick/Operator/LossTable.h"
#include "canvaswick/Operator/RetryTable.h"

namespace canvaswick {

Result<std::string> runRequest(const OperatorOptions &Options) {
  if (Options.Arguments.size() < 2)
    return makeError(ErrorKind::InvalidArgument,
                     "needs a request's id and the files to look in");
  const std::vector<std::string> Files(Options.Arguments.begin() + 1,
                                       Options.Arguments.end());
  BOOST_OUTCOME_TRY(std::vector<LogLine> Lines, readLogs(Files));
  return describeRequest(Options.Arguments[0], Lines);
}

/// Builds a table from the log files in the command's arguments.
static Result<std::string>
buildTable(const OperatorOptions &Options,
           std::string (*MakeTable)(const std::vector<LogLine> &)) {
  if (Options.Arguments.empty())
    return makeError(ErrorKind::InvalidArgument, "needs the files to look in");
  BOOST_OUTCOME_TRY(std::vector<LogLine> Lines, readLogs(Options.Arguments));
  return MakeTable(Lines);
}

Result<std::string> runLosses(const OperatorOptions &Options) {
  return buildTable(Options, makeLossTable);
}

Result<std::string> runRepeats(const OperatorOptions &Options) {
  return buildTable(Options, makeRetryTable);
}

Result<std::string> runEntries(const OperatorOptions &Options) {
  return buildTable(Options, makeEntryTable);
}

Result<std::string> runCopies(const OperatorOptions &Options) {
  return buildTable(Options, makeReplicaTable);
}

Result<std::string> runSuspects(const OperatorOptions &Options) {
  return buildTable(Options, makePoisonRequestTable);
}

} // namespace canvaswick
