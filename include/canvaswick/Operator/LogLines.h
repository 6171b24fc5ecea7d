//===- LogLines.h - Parser for the daemons' log lines -----------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Parses lines that consist of a time, a level, an event and fields of the
/// form name=value. In a log merged from several daemons, the word before the
/// time names the daemon; in the log of a single daemon there is none.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_OPERATOR_LOGLINES_H
#define CANVASWICK_OPERATOR_LOGLINES_H

#include "canvaswick/Support/Error.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace canvaswick {

/// One line of a daemon's log.
struct LogLine {
  /// Calendar time in seconds.
  double Seconds = 0;
  /// The name of the daemon, or of the file if the line doesn't name a daemon.
  std::string Source;
  std::string Level;
  std::string Event;
  std::map<std::string, std::string> Fields;
  /// The rest of the line, starting at the level.
  std::string Text;

  /// Returns the value of a field, or an empty string if there is none. A
  /// quoted value keeps its quotes and escapes.
  std::string get(const std::string &Name) const;

  /// Returns the value of a field as a number, or 0 if there is none.
  double getNumber(const std::string &Name) const;
};

/// Parses one line of File. Returns std::nullopt if it is not a daemon's log
/// line.
std::optional<LogLine> parseLogLine(const std::string &Text,
                                    const std::string &File);

/// Reads all log lines of the files, sorted by time. Fails with Io if a file
/// can't be read.
Result<std::vector<LogLine>> readLogs(const std::vector<std::string> &Files);

} // namespace canvaswick

#endif // CANVASWICK_OPERATOR_LOGLINES_H
