//===- LogTest.cpp - Tests of the bounds of the log -----------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Volume stays within its bounds, what is dropped is counted, and writing
/// waits for nobody.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Support/Log.h"
#include "canvaswick/Support/Time.h"

#include <doctest/doctest.h>

#include <unistd.h>

#include <cstdio>
#include <string>
#include <thread>

using namespace canvaswick;

TEST_CASE("a log beyond its rate drops lines and counts them") {
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

TEST_CASE("a reader that stalls holds up nobody who logs") {
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
  // Far more than a pipe and the queue hold; nobody reads meanwhile.
  const std::string Long(1000, 'x');
  for (int I = 0; I < 2000; ++I)
    logInfo("log-test", "text={}", Long);
  CHECK(countDroppedLogLines() - Before > 0);
  // Reading again lets the writer end.
  std::thread Reader([&Pipe] {
    char Thrown[65536];
    while (::read(Pipe[0], Thrown, sizeof(Thrown)) > 0) {
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
