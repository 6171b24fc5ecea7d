//===- Time.h - Time types shared by every decision -------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Decisions take the present time as an argument of these types, so that a
/// test or a bench can drive them. Only programs and input/output code read the
/// clocks.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_SUPPORT_TIME_H
#define CANVASWICK_SUPPORT_TIME_H

#include <chrono>
#include <cstdint>

#include <time.h>

namespace canvaswick {

/// A length of time in microseconds.
using Duration = std::chrono::microseconds;

/// The steady clock of this product: it never goes back, and counts the time in
/// which the machine was suspended, as std::chrono::steady_clock does not here.
/// After a suspension of ten seconds each age, lease and deadline is ten
/// seconds older; with the other clock all that was known before looked fresh.
struct MachineClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MachineClock, duration>;
  // Named so by the requirements on clocks.
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

/// An instant of the steady clock. Zero is an arbitrary start.
using TimePoint = MachineClock::time_point;

/// Reads the steady clock. Only input/output code may call this.
inline TimePoint readSteadyClock() { return MachineClock::now(); }

/// Reads the calendar clock in whole milliseconds since the epoch.
inline int64_t readCalendarMillis() {
  auto Since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(Since).count();
}

/// One instant on both clocks: the steady one, and the calendar's milliseconds.
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
