//===- DaemonConfigTest.cpp - Tests of a daemon's file --------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Which sections a daemon's INI file may have.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Settings/DaemonConfig.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <cstdio>
#include <fstream>

#include <unistd.h>

using namespace canvaswick;

static Result<DaemonConfig> load(const std::string &Rest) {
  const std::string Path = fmt::format("/tmp/canvaswick-{}.ini", ::getpid());
  std::ofstream(Path) << "[daemon]\nsource = platform\nname = d\nregion = r\n"
                         "hall = h\ncaller-address = 127.0.0.1:1\n"
                         "ready-address = 127.0.0.1:2\n"
                         "platform-address = 127.0.0.1:3\n"
                      << Rest;
  Result<DaemonConfig> Loaded = loadDaemonConfig(Path);
  std::remove(Path.c_str());
  return Loaded;
}

TEST_CASE("a file without a section of switches has all mechanisms on") {
  const Result<DaemonConfig> Loaded = load("");
  REQUIRE(Loaded);
  CHECK(Loaded.value().Policy.isOn(Mechanism::Floor));
}

TEST_CASE("a file may switch mechanisms off") {
  const Result<DaemonConfig> Loaded = load("[policy]\nfloor = off\n");
  REQUIRE(Loaded);
  CHECK_FALSE(Loaded.value().Policy.isOn(Mechanism::Floor));
  CHECK(Loaded.value().Policy.isOn(Mechanism::Tests));
}

TEST_CASE("an unknown switch or section is an error") {
  const Result<DaemonConfig> Switch = load("[policy]\nluck = off\n");
  REQUIRE_FALSE(Switch);
  CHECK(Switch.error().Message.find(":10: [policy]: luck is no mechanism") !=
        std::string::npos);
  CHECK_FALSE(load("[other]\nfloor = off\n"));
  CHECK_FALSE(load("[policy]\nfloor = off\n[other]\n"));
}

TEST_CASE("a file bounds the threads for callers") {
  const Result<DaemonConfig> Defaults = load("");
  REQUIRE(Defaults);
  CHECK(Defaults.value().Workers == 64);
  CHECK(Defaults.value().KeptWorkers == 1);
  CHECK(Defaults.value().WorkerIdle == fromSeconds(5));
  const Result<DaemonConfig> Loaded =
      load("workers = 8\nkept-workers = 8\nworker-idle-s = 0.5\n");
  REQUIRE(Loaded);
  CHECK(Loaded.value().KeptWorkers == 8);
  CHECK(Loaded.value().WorkerIdle == fromMillis(500));
}

TEST_CASE(
    "more kept threads than threads, or no time to be idle, is an error") {
  const Result<DaemonConfig> Kept = load("workers = 8\nkept-workers = 9\n");
  REQUIRE_FALSE(Kept);
  CHECK(Kept.error().Message.find(
            ":10: [daemon] kept-workers: kept-workers is 9, more than workers, "
            "8") != std::string::npos);
  const Result<DaemonConfig> Idle = load("worker-idle-s = 0\n");
  REQUIRE_FALSE(Idle);
  CHECK(Idle.error().Message.find(":9: [daemon] worker-idle-s") !=
        std::string::npos);
  CHECK_FALSE(load("kept-workers = -1\n"));
  CHECK_FALSE(load("worker-idle-s = 601\n"));
}
