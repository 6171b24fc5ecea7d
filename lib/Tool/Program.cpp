//===- Program.cpp - Command line, errors and signals of programs ---------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Implements the helpers with gflags and the signal calls of POSIX.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Tool/Program.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <csignal>
#include <cstdio>
#include <ctime>
#include <sstream>

namespace canvaswick {

static constexpr const char *VersionText = "0.1.0";

void parseCommandLine(int *Count, char ***Values, const std::string &Usage) {
  gflags::SetUsageMessage(Usage);
  gflags::SetVersionString(VersionText);
  gflags::ParseCommandLineFlags(Count, Values, true);
}

void printError(const std::string &Program, const Error &Failure) {
  std::istringstream Lines(Failure.Message);
  std::string Line;
  while (std::getline(Lines, Line))
    fmt::print(stderr, "{}: error: {}\n", Program, Line);
}

static sigset_t makeStopSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  return Signals;
}

void blockStopSignals() {
  sigset_t Signals = makeStopSignals();
  sigaddset(&Signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

ProcessSignal waitForSignal(int64_t Millis) {
  sigset_t Signals = makeStopSignals();
  sigaddset(&Signals, SIGHUP);
  const timespec Wait{Millis / 1000, (Millis % 1000) * 1000000};
  const int Signal = sigtimedwait(&Signals, nullptr, &Wait);
  if (Signal <= 0)
    return ProcessSignal::None;
  return Signal == SIGHUP ? ProcessSignal::Reload : ProcessSignal::Stop;
}

void waitForStopSignal() {
  const sigset_t Signals = makeStopSignals();
  int Signal = 0;
  sigwait(&Signals, &Signal);
}

bool waitForSecondStopSignal(int64_t Millis) {
  const sigset_t Signals = makeStopSignals();
  const timespec Wait{Millis / 1000, (Millis % 1000) * 1000000};
  return sigtimedwait(&Signals, nullptr, &Wait) > 0;
}

} // namespace canvaswick
