//===- LogTest.cpp - Tests for the log limits -----------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests that the log volume is limited, that dropped lines are counted, and
/// that logging does not block.
//===----------------------------------------------------------------------===//

#include "canvaswick/Support/Log.h"
#include "canvaswick/Support/Time.h"

#include <doctest/doctest.h>

#include <unistd.h>

#include <cstdio>
#include <string>
#include <thread>

using namespace canvaswick;

TEST_CASE("lines beyond the rate limit are dropped and counted") {
  LogBounds Bounds;
  Bounds.LinesPerSecond = 0;
  Bounds.Burst = 5;
  const uint64_t Before = countDroppedLogLines();
  startLogWriter(Bounds);
  for (int I = 0; I < 20; ++I)
    logInfo("log-test", "number={}", I);
  CHECK(countDroppedLogLines() - Before == 15);
  stopLogWriter();
  CHECK(countDroppedLogLines() - Before == 15);
}

TEST_CASE("a stalled reader does not block threads that log") {
  int Pipe[2];
  REQUIRE(::pipe(Pipe) == 0);
  const int Saved = ::dup(1);
  std::fflush(stdout);
  ::dup2(Pipe[1], 1);
  LogBounds Bounds;
  Bounds.LinesPerSecond = 1e9;
  Bounds.Burst = 1e9;
  Bounds.QueueLimit = 100;
  const uint64_t Before = countDroppedLogLines();
  startLogWriter(Bounds);
  // Writes more than the pipe and the queue can hold while nothing reads.
  const std::string Long(1000, 'x');
  for (int I = 0; I < 2000; ++I)
    logInfo("log-test", "text={}", Long);
  CHECK(countDroppedLogLines() - Before > 0);
  // The writer thread can only end once the pipe is read.
  std::thread Reader([&Pipe] {
    char Discarded[65536];
    while (::read(Pipe[0], Discarded, sizeof(Discarded)) > 0) {
    }
  });
  stopLogWriter();
  std::fflush(stdout);
  ::dup2(Saved, 1);
  ::close(Pipe[1]);
  Reader.join();
  ::close(Pipe[0]);
  ::close(Saved);
}
