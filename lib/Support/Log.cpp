//===- Log.cpp - Structured log lines on standard error -------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Writes each line with one call, so that lines of threads do not mix.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Support/Log.h"
#include "canvaswick/Support/EnumNames.h"
#include "canvaswick/Support/Time.h"

#include <cstdio>

namespace canvaswick {

static constexpr EnumNames<LogLevel, 3> LogLevelNames = {{
    {LogLevel::Info, "info"},
    {LogLevel::Warning, "warning"},
    {LogLevel::Error, "error"},
}};

void writeLogLine(LogLevel Level, const char *Event,
                  const std::string &Fields) {
  const int64_t Now = readCalendarMillis();
  const std::string Line =
      fmt::format("{}.{:03} {} {} {}\n", Now / 1000, Now % 1000,
                  getEnumName(LogLevelNames, Level), Event, Fields);
  std::fwrite(Line.data(), 1, Line.size(), stderr);
}

} // namespace canvaswick
