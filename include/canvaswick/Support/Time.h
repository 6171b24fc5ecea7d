//===- Time.h - Clock and time types ----------------------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Functions that make decisions take the current time as an argument of these
/// types, so that tests and simulations control it. Only programs and
/// input/output code read the clocks.
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_SUPPORT_TIME_H
#define CANVASWICK_SUPPORT_TIME_H

#include <chrono>
#include <cstdint>

#include <time.h>

namespace canvaswick {

/// A duration in microseconds.
using Duration = std::chrono::microseconds;

/// A monotonic clock that includes the time during which the machine was
/// suspended, which std::chrono::steady_clock excludes on Linux. After a
/// suspension of ten seconds every age, lease and deadline must be ten seconds
/// older; with steady_clock, state from before the suspension would look
/// current.
struct MachineClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MachineClock, duration>;
  // The standard requires this name for clocks.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;

  static time_point now() {
    timespec Now{};
    ::clock_gettime(CLOCK_BOOTTIME, &Now);
    return time_point(std::chrono::seconds(Now.tv_sec) +
                      std::chrono::duration_cast<duration>(
                          std::chrono::nanoseconds(Now.tv_nsec)));
  }
};

/// A point in time of MachineClock. Zero has no defined meaning.
using TimePoint = MachineClock::time_point;

/// Returns the current time of MachineClock. Only input/output code may call
/// this.
inline TimePoint readSteadyClock() { return MachineClock::now(); }

/// Returns the calendar time in whole milliseconds since the epoch.
inline int64_t readCalendarMillis() {
  auto Since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(Since).count();
}

/// The same instant on both clocks: MachineClock, and the calendar time in
/// milliseconds since the epoch.
struct Instant {
  TimePoint Steady{};
  int64_t CalendarMillis = 0;
};

/// Reads both clocks.
inline Instant readInstant() {
  return {readSteadyClock(), readCalendarMillis()};
}

/// Converts seconds to a Duration.
constexpr Duration fromSeconds(double Seconds) {
  return Duration(static_cast<int64_t>(Seconds * 1e6));
}

/// Converts milliseconds to a Duration.
constexpr Duration fromMillis(int64_t Millis) {
  return Duration(Millis * 1000);
}

/// Converts a Duration to seconds.
constexpr double toSeconds(Duration Length) {
  return static_cast<double>(Length.count()) / 1e6;
}

/// Converts a Duration to milliseconds, rounded down.
constexpr int64_t toMillis(Duration Length) { return Length.count() / 1000; }

} // namespace canvaswick

#endif // CANVASWICK_SUPPORT_TIME_H
