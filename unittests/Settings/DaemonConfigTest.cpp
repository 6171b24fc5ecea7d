//===- DaemonConfigTest.cpp - Tests of the settings of a daemon -----------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests which sections a daemon's INI file may have and the limits on its
/// threads.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Settings/DaemonConfig.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <cstdio>
#include <fstream>

#include <unistd.h>

using namespace canvaswick;

/// Loads a file with the required keys, to which Rest is appended.
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

TEST_CASE("all mechanisms are on in a file without section [policy]") {
  const Result<DaemonConfig> Loaded = load("");
  REQUIRE(Loaded);
  CHECK(Loaded.value().Policy.isOn(Mechanism::Floor));
}

TEST_CASE("section [policy] switches mechanisms off") {
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

TEST_CASE("a file limits the threads that serve callers") {
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

TEST_CASE("more kept threads than threads, or an idle time of 0, is an error") {
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
