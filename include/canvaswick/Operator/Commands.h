//===- Commands.h - The commands of canvaswickctl ---------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Declares the commands of the operators' tool: queries, and commands that
/// change the settings. Each returns the text to print or an Error.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_OPERATOR_COMMANDS_H
#define CANVASWICK_OPERATOR_COMMANDS_H

#include "canvaswick/Config/ConfigPublisher.h"
#include "canvaswick/Rpc/PeerCaller.h"

#include <string>
#include <vector>

namespace canvaswick {

/// The flags and arguments of the command line; unset versions are -1.
struct OperatorOptions {
  std::string File;
  std::string Platform;
  std::string Daemon;
  std::string KeyFile;
  std::string Author;
  std::string Note;
  std::string ChangeId;
  int64_t BaseVersion = -1;
  int64_t FromVersion = -1;
  int64_t ToVersion = -1;
  bool IsCsv = false;
  /// The positional arguments after the name of the command.
  std::vector<std::string> Arguments;
};

// Queries that need neither the platform nor a daemon.
Result<std::string> runCheck(const OperatorOptions &Options);
Result<std::string> runEffective(const OperatorOptions &Options);
Result<std::string> runReference(const OperatorOptions &Options);

/// Prints the digest of the key on standard input. A key in an argument would
/// show in the list of processes and in the shell's history; the settings hold
/// only the digest.
Result<std::string> runDigestKey(const OperatorOptions &Options);

// Queries of the platform's store of settings.
Result<std::string> runGet(const OperatorOptions &Options);
Result<std::string> runHistory(const OperatorOptions &Options);
Result<std::string> runDiff(const OperatorOptions &Options);
Result<std::string> runLanded(const OperatorOptions &Options);

// Queries of the fleet's daemons.
Result<std::string> runStatus(const OperatorOptions &Options);
Result<std::string> runExplain(const OperatorOptions &Options);
Result<std::string> runBurn(const OperatorOptions &Options);
Result<std::string> runHeld(const OperatorOptions &Options);
Result<std::string> runOrganisations(const OperatorOptions &Options);

// Queries of the daemons' log files.
Result<std::string> runRequest(const OperatorOptions &Options);
Result<std::string> runLosses(const OperatorOptions &Options);
Result<std::string> runRepeats(const OperatorOptions &Options);
Result<std::string> runEntries(const OperatorOptions &Options);
Result<std::string> runCopies(const OperatorOptions &Options);
Result<std::string> runSuspects(const OperatorOptions &Options);

// Commands that publish a change of the settings.
Result<std::string> runPut(const OperatorOptions &Options);
Result<std::string> runDrain(const OperatorOptions &Options);
Result<std::string> runUndrain(const OperatorOptions &Options);
Result<std::string> runHall(const OperatorOptions &Options);

/// The name, function and usage text of one command.
struct OperatorCommand {
  const char *Name;
  Result<std::string> (*Run)(const OperatorOptions &Options);
  const char *Usage;
};

/// Returns all commands in the order of the usage text.
const std::vector<OperatorCommand> &getOperatorCommands();

} // namespace canvaswick

#endif // CANVASWICK_OPERATOR_COMMANDS_H
