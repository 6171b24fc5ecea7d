//===- Program.h - Command line, errors and signals of programs -*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Declares what all programs share: command-line parsing with gflags, error
/// output, exit codes, and synchronous waits for signals.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_TOOL_PROGRAM_H
#define CANVASWICK_TOOL_PROGRAM_H

#include "canvaswick/Support/Error.h"

#include <string>

namespace canvaswick {

/// Exit codes of all programs, documented in docs/OPERATIONS.md.
enum class ExitCode : int {
  Success = 0,
  Failure = 1,
  BadUsage = 2,
  BadSettings = 3,
  /// The grace period ended before all requests did.
  DrainIncomplete = 4,
};

/// Returns the numeric value of an exit code.
constexpr int toInt(ExitCode Code) { return static_cast<int>(Code); }

/// Parses the command line with gflags and removes the flags from Values. Exits
/// on an invalid flag, --help and --version. Usage is the text of --help.
void parseCommandLine(int *Count, char ***Values, const std::string &Usage);

/// Prints "PROGRAM: error: LINE" to standard error for each line of the
/// message.
void printError(const std::string &Program, const Error &Failure);

/// The request that a signal makes of the process.
enum class ProcessSignal : uint8_t { None, Stop, Reload };

/// Blocks SIGTERM, SIGINT and SIGHUP in this thread and the threads that it
/// starts, and ignores SIGPIPE. Must be called first in main().
void blockStopSignals();

/// Waits for at most Millis milliseconds for a signal: SIGTERM and SIGINT
/// request a stop, SIGHUP a reload. Returns None if no signal arrives.
ProcessSignal waitForSignal(int64_t Millis);

/// Waits for SIGTERM or SIGINT without a time limit.
void waitForStopSignal();

/// Waits for at most Millis milliseconds for another SIGTERM or SIGINT. Returns
/// whether one arrived.
bool waitForSecondStopSignal(int64_t Millis);

} // namespace canvaswick

#endif // CANVASWICK_TOOL_PROGRAM_H
