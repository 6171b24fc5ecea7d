//===- DaemonConfigFileTest.cpp - Tests of a settings file that changes ---===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//

#include "canvaswick/Settings/DaemonConfigFile.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <cstdio>
#include <fstream>

#include <unistd.h>

using namespace canvaswick;

namespace {

/// A settings file on disk.
struct FileFixture {
  FileFixture() { this->write("10"); }
  ~FileFixture() { std::remove(this->Path.c_str()); }

  void write(const std::string &Grace) const {
    std::ofstream(this->Path)
        << "[daemon]\nsource = platform\nname = d\nregion = r\n"
           "hall = h\ncaller-address = 127.0.0.1:1\n"
           "ready-address = 127.0.0.1:2\n"
           "platform-address = 127.0.0.1:3\ngrace-s = "
        << Grace << "\n";
  }

  DaemonConfigFile load() const {
    return DaemonConfigFile::load(this->Path).value();
  }

  const std::string Path =
      fmt::format("/tmp/canvaswick-file-{}.ini", ::getpid());
};

} // namespace

TEST_CASE("a file that has changed is loaded, with or without a signal") {
  const FileFixture Fixture;
  DaemonConfigFile File = Fixture.load();
  CHECK_FALSE(File.refresh(false));
  CHECK(File.refresh(true));
  CHECK(File.getConfig().Grace == fromSeconds(10));
  Fixture.write("6");
  CHECK(File.refresh(false));
  CHECK(File.getConfig().Grace == fromSeconds(6));
  CHECK_FALSE(File.refresh(false));
}

TEST_CASE("a file that cannot be used leaves the configuration as it is") {
  const FileFixture Fixture;
  DaemonConfigFile File = Fixture.load();
  Fixture.write("soon");
  CHECK_FALSE(File.refresh(false));
  CHECK_FALSE(File.refresh(true));
  CHECK(File.getConfig().Grace == fromSeconds(10));
  std::remove(Fixture.Path.c_str());
  CHECK_FALSE(File.refresh(true));
  CHECK(File.getConfig().Grace == fromSeconds(10));
  Fixture.write("6");
  CHECK(File.refresh(false));
  CHECK(File.getConfig().Grace == fromSeconds(6));
}
