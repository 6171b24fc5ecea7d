//===- Program.h - What every program has in common -------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Command line by gflags, errors as "program: error: ...", signals as a value
/// to wait for, exit codes by name.
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
  DrainIncomplete = 4,
};

/// Returns the number of an exit code.
constexpr int toInt(ExitCode Code) { return static_cast<int>(Code); }

/// Parses the command line by gflags. Usage is the text of --help.
void parseCommandLine(int *Count, char ***Values, const std::string &Usage);

/// Prints "program: error: what" for each line of the failure.
void printError(const std::string &Program, const Error &Failure);

/// What a process is asked for from outside.
enum class ProcessSignal : uint8_t { None, Stop, Reload };

/// Blocks SIGTERM, SIGINT and SIGHUP in this thread and those it starts. Call
/// first in main.
void blockStopSignals();

/// Waits for a signal, at most Millis. SIGHUP asks for a reload.
ProcessSignal waitForSignal(int64_t Millis);

/// Waits for SIGTERM or SIGINT.
void waitForStopSignal();

/// Waits for another one, at most until the steady clock passes Deadline.
/// Returns whether one came.
bool waitForSecondStopSignal(int64_t Millis);

} // namespace canvaswick

#endif // CANVASWICK_TOOL_PROGRAM_H
