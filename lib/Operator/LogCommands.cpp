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
  if (Options.Words.size() < 2)
    return makeError(ErrorKind::InvalidArgument,
                     "needs a request's id and the files to look in");
  const std::vector<std::string> Files(Options.Words.begin() + 1,
                                       Options.Words.end());
  BOOST_OUTCOME_TRY(std::vector<LogLine> Lines, readLogs(Files));
  return describeRequest(Options.Words[0], Lines);
}

/// Makes a table over the logs that the command names.
static Result<std::string>
tabulate(const OperatorOptions &Options,
         std::string (*Make)(const std::vector<LogLine> &)) {
  if (Options.Words.empty())
    return makeError(ErrorKind::InvalidArgument, "needs the files to look in");
  BOOST_OUTCOME_TRY(std::vector<LogLine> Lines, readLogs(Options.Words));
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
