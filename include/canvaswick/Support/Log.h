//===- Log.h - Structured log lines on standard output ----------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Counters tell how often something happened; a log line tells what became of
/// one request or that a belief changed. A line is "time level event key=value
/// ...". The volume is bounded, and writing never waits for a reader.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_SUPPORT_LOG_H
#define CANVASWICK_SUPPORT_LOG_H

#include <fmt/format.h>

#include <cstdint>
#include <string>
#include <utility>

namespace canvaswick {

/// How much a process may log.
struct LogBounds {
  /// Lines a second, and lines that may come at once.
  double LinesPerSecond = 400;
  double Burst = 2000;
  /// Lines that wait to be written.
  size_t QueueLimit = 4096;
};

/// Starts to write lines on a thread of their own, within bounds. Before, and
/// in programs that never call it, a line is written at once.
void startLogWriter(const LogBounds &Bounds);

/// Writes what waits and ends the thread.
void stopLogWriter();

/// Returns how many lines were dropped since the start, by the rate or because
/// too many waited.
uint64_t countDroppedLogLines();

/// How much a line matters to the person on call.
enum class LogLevel { Info, Warning, Error };

/// Writes one line. Event is a short constant name, Fields is "key=value ...".
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
