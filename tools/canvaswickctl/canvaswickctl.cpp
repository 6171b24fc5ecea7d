//===- canvaswickctl.cpp - Command-line tool for operators ----------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Runs the command that the first argument names and prints its result or its
/// error.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Operator/Commands.h"
#include "canvaswick/Tool/Program.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

DEFINE_string(file, "", "A settings tree");
DEFINE_string(platform, "", "IP number:port of the platform's service");
DEFINE_string(daemon, "", "Control address of any daemon");
DEFINE_string(key_file, "", "File with the keys that sign calls");
DEFINE_string(author, "operator", "Who makes the change");
DEFINE_string(note, "", "What the change is for");
DEFINE_string(change, "", "Id of the change");
DEFINE_int64(base, -1, "Version that the change is made from");
DEFINE_int64(from, -1, "Older version to compare");
DEFINE_int64(to, -1, "Newer version to compare, or version to print");
DEFINE_bool(csv, false, "Print CSV");

using namespace canvaswick;

static constexpr const char *ProgramName = "canvaswickctl";

static std::string makeUsage() {
  std::string Usage = "Operates the fleet. canvaswickctl COMMAND ...\n";
  for (const OperatorCommand &Command : getOperatorCommands())
    Usage += fmt::format("  {} {}\n", Command.Name, Command.Usage);
  return Usage;
}

static OperatorOptions readOptions(int Count, char **Values) {
  OperatorOptions Options;
  Options.File = FLAGS_file;
  Options.Platform = FLAGS_platform;
  Options.Daemon = FLAGS_daemon;
  Options.KeyFile = FLAGS_key_file;
  Options.Author = FLAGS_author;
  Options.Note = FLAGS_note;
  Options.ChangeId = FLAGS_change;
  Options.BaseVersion = FLAGS_base;
  Options.FromVersion = FLAGS_from;
  Options.ToVersion = FLAGS_to;
  Options.IsCsv = FLAGS_csv;
  for (int I = 2; I < Count; ++I)
    Options.Arguments.push_back(Values[I]);
  return Options;
}

static ExitCode getExitCode(const Error &Failure) {
  return Failure.Kind == ErrorKind::InvalidArgument ? ExitCode::BadSettings
                                                    : ExitCode::Failure;
}

int main(int Count, char **Values) {
  parseCommandLine(&Count, &Values, makeUsage());
  const std::string Name = Count > 1 ? Values[1] : "";
  for (const OperatorCommand &Command : getOperatorCommands()) {
    if (Name != Command.Name)
      continue;
    Result<std::string> Text = Command.Run(readOptions(Count, Values));
    if (!Text) {
      printError(ProgramName, Text.error());
      return toInt(getExitCode(Text.error()));
    }
    fmt::print("{}", Text.value());
    return toInt(ExitCode::Success);
  }
  printError(ProgramName,
             {ErrorKind::InvalidArgument, "no command '" + Name + "'"});
  fmt::print(stderr, "{}", makeUsage());
  return toInt(ExitCode::BadUsage);
}
