//===- Log.h - Structured logging to standard output ------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A counter tells how often something happened; a log line tells the outcome
/// of one request or a change of state. The format of a line is "time level
/// event key=value ...". The log volume is limited, and logging never blocks on
/// a slow reader.
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_SUPPORT_LOG_H
#define CANVASWICK_SUPPORT_LOG_H

#include <fmt/format.h>

#include <cstdint>
#include <string>
#include <utility>

namespace canvaswick {

/// Limits of the log volume of a process.
struct LogBounds {
  /// Rate limit in lines per second, and the maximum burst in lines.
  double LinesPerSecond = 400;
  double Burst = 2000;
  /// Maximum number of lines that wait to be written.
  size_t QueueLimit = 4096;
};

/// Starts a thread that writes the lines within Bounds. Before this call, and
/// in programs that never make it, each line is written synchronously.
void startLogWriter(const LogBounds &Bounds);

/// Writes the queued lines and stops the thread.
void stopLogWriter();

/// Returns the number of lines dropped since the process started, because of
/// the rate limit or a full queue.
uint64_t countDroppedLogLines();

/// Severity of a log line.
enum class LogLevel { Info, Warning, Error };

/// Writes one line. Event is a short constant name, and Fields has the form
/// "key=value ...". Thread-safe.
void writeLogLine(LogLevel Level, const char *Event, const std::string &Fields);

/// Formats the fields and writes one line at the level Info.
template <typename... Args>
void logInfo(const char *Event, fmt::format_string<Args...> Format,
             Args &&...Values) {
  writeLogLine(LogLevel::Info, Event,
               fmt::format(Format, std::forward<Args>(Values)...));
}

/// Formats the fields and writes one line at the level Warning.
template <typename... Args>
void logWarning(const char *Event, fmt::format_string<Args...> Format,
                Args &&...Values) {
  writeLogLine(LogLevel::Warning, Event,
               fmt::format(Format, std::forward<Args>(Values)...));
}

/// Formats the fields and writes one line at the level Error.
template <typename... Args>
void logError(const char *Event, fmt::format_string<Args...> Format,
              Args &&...Values) {
  writeLogLine(LogLevel::Error, Event,
               fmt::format(Format, std::forward<Args>(Values)...));
}

} // namespace canvaswick

#endif // CANVASWICK_SUPPORT_LOG_H
