//===- StartAtOnceTest.cpp - Tests of daemons that start together ---------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The real daemons beside the model of ListAge: they start at one moment, and
/// each reads the store before the others have registered.
///
//===----------------------------------------------------------------------===//

#include "PlatformFixture.h"
#include "platform/WireNames.h"

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace canvaswick;
using namespace canvaswick::platform;

namespace {

/// Daemons of a hall of eight and of a hall of one, of which the first three
/// are named as seeds.
struct StartFixture : PlatformFixture {
  StartFixture() {
    this->writeConfig(2);
    this->addServers();
    std::vector<Endpoint> Seeds;
    for (int I = 0; I < 9; ++I) {
      DaemonConfig Config = this->makeDaemonConfig(fmt::format("d{}", I));
      Config.Hall = I < 8 ? "h" : "lone";
      Config.Control = {"127.0.0.1", findFreePort()};
      Config.PeerPort = findFreePort();
      Config.AloneWait = fromMillis(500);
      if (I < 3)
        Seeds.push_back(Config.Control);
      this->Configs.push_back(Config);
    }
    for (DaemonConfig &Each : this->Configs) {
      Each.Seeds = Seeds;
      this->Daemons.push_back(std::make_unique<PlatformDaemon>(Each));
    }
  }

  void startAtOnce() {
    std::vector<std::thread> Threads;
    for (std::unique_ptr<PlatformDaemon> &Each : this->Daemons)
      Threads.emplace_back([&Each] { CHECK(Each->start()); });
    for (std::thread &Each : Threads)
      Each.join();
    for (const DaemonConfig &Each : this->Configs)
      this->waitFor([&] {
        return this->sendRequestTo(Each.Callers, "GET", "/x/1").Status == 200;
      });
  }

  /// Returns the version of the settings that a daemon has in force.
  uint64_t readVersion(const DaemonConfig &Each) {
    static const std::string Name = "\ncanvaswick_config_version ";
    const std::string Text = this->get(Each.Ready, "/metrics").Body;
    const size_t At = Text.find(Name);
    return At == std::string::npos
               ? 0
               : std::strtoull(Text.c_str() + At + Name.size(), nullptr, 10);
  }

  std::vector<DaemonConfig> Configs;
  std::vector<std::unique_ptr<PlatformDaemon>> Daemons;
};

} // namespace

// Guards against daemons that serve by the list of their start until a snapshot
// is written, or their wait for others of their hall ends (DRAIN).
TEST_CASE("daemons that start at one moment all follow what changes then") {
  StartFixture Fixture;
  Fixture.startAtOnce();
  Duration Longest{};
  for (int Change = 0; Change < 6; ++Change) {
    const TimePoint Began = readSteadyClock();
    const uint64_t Version = 3 + static_cast<uint64_t>(Change);
    Fixture.writeConfig(Version);
    std::vector<std::thread> Threads;
    std::atomic<size_t> Informed{0};
    for (const DaemonConfig &Each : Fixture.Configs)
      Threads.emplace_back([&] {
        const TimePoint End = readSteadyClock() + fromSeconds(5);
        while (readSteadyClock() < End && Fixture.readVersion(Each) < Version)
          std::this_thread::sleep_for(std::chrono::milliseconds(5));
        Informed += Fixture.readVersion(Each) >= Version ? 1 : 0;
      });
    for (std::thread &Each : Threads)
      Each.join();
    CHECK(Informed == Fixture.Configs.size());
    Longest = std::max(Longest, readSteadyClock() - Began);
  }
  MESSAGE("longest until a change was in force: ", toMillis(Longest), " ms");
}

/// Returns how often a daemon that knows no other of its hall watches the store
/// while its wait for others ends, after so many changes.
static size_t countWatches(int Changes) {
  PlatformFixture Fixture;
  Fixture.writeConfig(2);
  Fixture.addServers();
  DaemonConfig Config = Fixture.makeDaemonConfig("d1");
  Config.Control = {"127.0.0.1", findFreePort()};
  Config.PeerPort = findFreePort();
  Config.AloneWait = fromSeconds(2);
  // Nobody answers there.
  Config.Seeds = {{"127.0.0.1", findFreePort()}};
  PlatformDaemon Daemon(Config);
  REQUIRE(Daemon.start());
  Fixture.waitFor([&] {
    return Fixture.sendRequestTo(Config.Callers, "GET", "/x/1").Status == 200;
  });
  for (int I = 0; I < Changes; ++I)
    Fixture.Store.put(fmt::format("other/{}", I), "{}");
  std::this_thread::sleep_for(std::chrono::seconds(3));
  return Fixture.Store.countCalls("/kv-watch");
}

// Guards against a large fleet that starts, each of whose daemons asks the
// store for all that its start has changed.
TEST_CASE("who knows nobody watches a store that changed little, and waits for "
          "the snapshot of one that changed much") {
  CHECK(countWatches(10) > 0);
  CHECK(countWatches(2000) == 0);
}

// Guards against a daemon alone in its hall that serves for seconds by the
// fleet's snapshot, because a small store was often written since (DRAIN).
TEST_CASE("who is alone in its hall watches a small store, however often it "
          "changed since the snapshot") {
  PlatformFixture Fixture;
  Fixture.writeConfig(2);
  Fixture.addServers();
  DaemonConfig Seed = Fixture.makeDaemonConfig("d1");
  Seed.Control = {"127.0.0.1", findFreePort()};
  Seed.PeerPort = findFreePort();
  Seed.Seeds = {Seed.Control};
  {
    PlatformDaemon Writer(Seed);
    REQUIRE(Writer.start());
    Fixture.waitFor(
        [&] { return !Fixture.Store.peek(wire::SnapshotKey).empty(); });
  }
  for (int I = 0; I < 2000; ++I)
    Fixture.Store.put("other", "{}");
  DaemonConfig Config = Seed;
  Config.Name = "d2";
  Config.Hall = "lone";
  Config.Callers = {"127.0.0.1", findFreePort()};
  Config.Ready = {"127.0.0.1", findFreePort()};
  Config.Control = {"127.0.0.1", findFreePort()};
  Config.PeerPort = findFreePort();
  PlatformDaemon Daemon(Config);
  REQUIRE(Daemon.start());
  Fixture.waitFor([&] {
    return Fixture.sendRequestTo(Config.Callers, "GET", "/x/1").Status == 200;
  });
  Fixture.writeConfig(3, "/y/");
  Fixture.waitFor([&] {
    return Fixture.sendRequestTo(Config.Callers, "GET", "/y/1").Status == 200;
  });
}
