//===- FleetStartTest.cpp - Many daemons that start at once ---------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Guards against a slow start of a whole fleet. After all VMs of a fleet of
/// 443 daemons had lost power, 8 in 10 requests of the next two seconds were
/// refused, since the daemons had no settings yet; the last had them 1.1 s
/// after its process was up. The starts also made nearly all of the fleet's
/// calls to the store, seven each.
///
/// Every daemon read all items of the store in three pages, started a watch,
/// opened a lease and wrote its entry, and watched again for each group of
/// entries of the others. Reading everything from the store saturates its link:
/// 443 replicas of about 300 KB take a second, and the later a daemon of a hall
/// came up the longer it waited, 0.09 to 1.08 s.
///
//===----------------------------------------------------------------------===//

#include "PlatformAdapter/PlatformFixture.h"
#include "platform/SnapshotWriter.h"

#include <doctest/doctest.h>

#include <memory>
#include <vector>

using namespace canvaswick;
using namespace canvaswick::platform;

/// Number of daemons: half of those of a hall of a large fleet.
static constexpr int DaemonCount = 40;

/// Number of listed servers that do not answer, besides the two that do.
static constexpr int SilentServers = 150;

/// Response time of the users' store, in milliseconds.
static constexpr int StoreDelayMs = 4;

namespace {

/// A hall whose daemons start and stop together.
struct FleetFixture : PlatformFixture {
  FleetFixture() {
    this->Store.setPageItems(500);
    this->Store.setFaults({.SlowMs = StoreDelayMs});
    this->writeConfig(2);
    this->addServers();
    for (int I = 0; I < SilentServers; ++I)
      this->Store.put(fmt::format("servers/i-silent-{}", I),
                      R"({"address": "127.0.0.1:1", "info": {"service": "t",
                          "version": "v1", "zone": "h", "slots": 3},
                          "status": {"state": "ready", "seq": 1,
                          "warmupLeftS": 0}})");
    for (int I = 0; I < DaemonCount; ++I) {
      DaemonConfig Config = this->makeDaemonConfig(fmt::format("d{}", I));
      Config.Control = {"127.0.0.1", findFreePort()};
      Config.PeerPort = findFreePort();
      Config.AloneWait = fromSeconds(2);
      this->Configs.push_back(Config);
    }
  }

  /// Starts all daemons but the first SkipCount at once.
  void start(int SkipCount = 0) {
    for (const DaemonConfig &Config : this->Configs) {
      this->Daemons.push_back(std::make_unique<PlatformDaemon>(Config));
      if (--SkipCount >= 0) {
        this->Daemons.pop_back();
        continue;
      }
      const Result<void> Started = this->Daemons.back()->start();
      REQUIRE_MESSAGE(Started, (Started ? "" : Started.error().Message));
    }
  }

  /// Stops all daemons as after a power loss: they end nothing at the store.
  void killAll() {
    std::vector<std::thread> Threads;
    for (std::unique_ptr<PlatformDaemon> &Each : this->Daemons)
      Threads.emplace_back([&Each] { Each.reset(); });
    for (std::thread &Each : Threads)
      Each.join();
    this->Daemons.clear();
  }

  bool serves(const DaemonConfig &Config, const std::string &Target) {
    return this->sendRequestTo(Config.Callers, "GET", Target).Status == 200;
  }

  /// Waits until the last Count daemons serve a path.
  void waitUntilServing(size_t Count, const std::string &Target) {
    for (size_t I = this->Configs.size() - Count; I < this->Configs.size(); ++I)
      this->waitFor([&] { return this->serves(this->Configs[I], Target); });
  }

  /// Waits until the stored snapshot holds all items and daemons.
  void waitForSnapshot() {
    this->waitFor([this] {
      const Result<ItemChanges> Snapshot =
          decodeSnapshot(this->Store.peek("canvaswick/copy"));
      return Snapshot &&
             Snapshot.value().Items.size() == SilentServers + 3 + DaemonCount;
    });
  }

  std::vector<DaemonConfig> Configs;
  std::vector<std::unique_ptr<PlatformDaemon>> Daemons;
};

} // namespace

TEST_CASE(
    "daemons that start at once make few calls, and fewer the next time") {
  FleetFixture Fixture;
  Fixture.start();
  Fixture.waitUntilServing(DaemonCount, "/x/1");
  // The first daemon to know the others writes the snapshot seconds later.
  std::this_thread::sleep_for(std::chrono::seconds(3));
  const double FirstCost = Fixture.Store.sumCallCosts() / DaemonCount;
  MESSAGE("first start: ", FirstCost, " calls each");
  CHECK(FirstCost < 4.5);
  Fixture.waitForSnapshot();
  Fixture.killAll();

  const double CostBefore = Fixture.Store.sumCallCosts();
  const TimePoint StartTime = readSteadyClock();
  Fixture.start();
  Fixture.waitUntilServing(DaemonCount, "/x/1");
  MESSAGE("served by all ", toMillis(readSteadyClock() - StartTime),
          " ms after the first began to restart");
  std::this_thread::sleep_for(std::chrono::seconds(1));
  const double SecondCost =
      (Fixture.Store.sumCallCosts() - CostBefore) / DaemonCount;
  MESSAGE("second start: ", SecondCost, " calls each");
  CHECK(SecondCost < 1);
  // A change reaches daemons that have never called the store themselves.
  Fixture.writeConfig(3, "/y/");
  Fixture.waitUntilServing(DaemonCount, "/y/1");
}

TEST_CASE("the seeds read a large store at the first start, the others wait "
          "for their snapshot") {
  FleetFixture Fixture;
  // Eleven pages.
  Fixture.Store.setPageItems(15);
  constexpr size_t SeedCount = 3;
  std::vector<Endpoint> Seeds;
  for (size_t I = 0; I < SeedCount; ++I)
    Seeds.push_back(Fixture.Configs[I].Control);
  for (DaemonConfig &Config : Fixture.Configs)
    Config.Seeds = Seeds;
  Fixture.start();
  Fixture.waitUntilServing(DaemonCount, "/x/1");
  const size_t Pages = Fixture.Store.countCalls("/kv-range");
  MESSAGE("pages read: ", Pages);
  // The seeds read all pages, the others the first page with each look for the
  // snapshot. If all read all pages, there would be 440.
  CHECK(Pages < 5 * DaemonCount);
}

TEST_CASE("a fleet whose servers enter as it starts makes few calls") {
  FleetFixture Fixture;
  constexpr int EnteringServers = 1500;
  Fixture.Store.setMaxEvents(60);
  std::thread Entering([&Fixture] {
    for (int I = 0; I < EnteringServers; ++I) {
      Fixture.Store.put(fmt::format("servers/i-entering-{}", I),
                        R"({"address": "127.0.0.1:1", "info": {"service": "t",
                            "version": "v1", "zone": "h", "slots": 3},
                            "status": {"state": "ready", "seq": 1,
                            "warmupLeftS": 0}})");
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
  });
  Fixture.start();
  Fixture.waitUntilServing(DaemonCount, "/x/1");
  Entering.join();
  Fixture.writeConfig(3, "/y/");
  Fixture.waitUntilServing(DaemonCount, "/y/1");
  const double Cost = Fixture.Store.sumCallCosts() / DaemonCount;
  MESSAGE("first start: ", Cost, " calls each");
  // The changes of the start fill 26 answers. Only the watchers need them all.
  CHECK(Cost < 8);
}

TEST_CASE("daemons learn changes when the elected watchers do not come back") {
  FleetFixture Fixture;
  Fixture.start();
  Fixture.waitUntilServing(DaemonCount, "/x/1");
  std::this_thread::sleep_for(std::chrono::seconds(3));
  Fixture.waitForSnapshot();
  Fixture.killAll();
  // The snapshot does not hold this change.
  Fixture.writeConfig(3, "/y/");
  // Half of the hall restarts, which may or may not include the watchers.
  constexpr size_t RestartCount = DaemonCount / 2;
  Fixture.start(DaemonCount - static_cast<int>(RestartCount));
  Fixture.waitUntilServing(RestartCount, "/y/1");
}

// Guards against calls to a failing store that grow with the fleet. While no
// daemon of a hall gets answers, all of them call the store, each as often as a
// daemon of a small hall would. On a day on which 94 daemons were added while
// the store answered nobody for 8 s, the fleet made 2,789 calls to it, nearly
// three times as many as on six other days.
TEST_CASE("a large hall calls a failing store no more often than a small one") {
  FleetFixture Fixture;
  Fixture.start();
  Fixture.waitUntilServing(DaemonCount, "/x/1");
  std::this_thread::sleep_for(std::chrono::seconds(3));
  Fixture.Store.setFaults({.IsDown = true});
  // After this time all daemons have noticed and back off for the longest time.
  std::this_thread::sleep_for(std::chrono::seconds(5));
  const double CostBefore = Fixture.Store.sumCallCosts();
  const TimePoint StartTime = readSteadyClock();
  std::this_thread::sleep_for(std::chrono::seconds(3));
  const double Rate = (Fixture.Store.sumCallCosts() - CostBefore) /
                      toSeconds(readSteadyClock() - StartTime);
  MESSAGE("calls a second of ", DaemonCount, " daemons: ", Rate);
  // The backoffs allow 30. The rate was 82 while daemons ignored the size of
  // their hall, and 44 while each of them wrote the snapshot.
  CHECK(Rate < 40);
  // Once the store answers again, all daemons learn the change.
  Fixture.writeConfig(3, "/y/");
  Fixture.Store.setFaults({.SlowMs = StoreDelayMs});
  Fixture.waitUntilServing(DaemonCount, "/y/1");
}
