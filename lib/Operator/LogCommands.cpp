//===- LogCommands.cpp - Commands about the daemons' logs -----------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Reads files only: logs are at hand when daemons are not.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Operator/Commands.h"
#include "canvaswick/Operator/LogTables.h"
#include "canvaswick/Operator/LossTable.h"

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

/// Makes a table over the logs that the command names.
static Result<std::string>
tabulate(const OperatorOptions &Options,
         std::string (*Make)(const std::vector<LogLine> &)) {
  if (Options.Arguments.empty())
    return makeError(ErrorKind::InvalidArgument, "needs the files to look in");
  BOOST_OUTCOME_TRY(std::vector<LogLine> Lines, readLogs(Options.Arguments));
  return Make(Lines);
}

Result<std::string> runLosses(const OperatorOptions &Options) {
  return tabulate(Options, makeLossTable);
}

Result<std::string> runEntries(const OperatorOptions &Options) {
  return tabulate(Options, makeEntryTable);
}

Result<std::string> runCopies(const OperatorOptions &Options) {
  return tabulate(Options, makeReplicaTable);
}

Result<std::string> runSuspects(const OperatorOptions &Options) {
  return tabulate(Options, makePoisonRequestTable);
}

} // namespace canvaswick
