//===- FleetStartTest.cpp - Many daemons that start at once ---------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The failure. After all machines of a fleet of 443 had lost power, 8 in 10
/// requests of the next two seconds were refused, since the daemons had no
/// settings yet; the last had them 1.1 s after its process was up. The starts
/// also made nearly all of the fleet's calls to the store, seven each.
///
/// The order of events. Every daemon read all items of the store in three
/// pages, began to watch, opened a lease and wrote its entry, and watched again
/// for each group of entries of the others.
///
/// The cause. Each start reads everything and relies on nobody. Evidence: the
/// later a daemon of a hall came up the longer it waited, 0.09 to 1.08 s, as on
/// a full link: 443 copies of about 300 KB take a second of the store's.
///
//===----------------------------------------------------------------------===//

#include "PlatformAdapter/PlatformFixture.h"
#include "platform/SnapshotWriter.h"

#include <doctest/doctest.h>

#include <memory>
#include <vector>

using namespace canvaswick;
using namespace canvaswick::platform;

/// As many as a hall of a large fleet has in half.
static constexpr int DaemonCount = 40;

/// Servers' entries beside the two that answer.
static constexpr int SilentServers = 150;

/// What an answer of the users' store takes.
static constexpr int StoreMillis = 4;

namespace {

/// A hall whose daemons come and go together.
struct Fleet : PlatformFixture {
  Fleet() {
    this->Store.setPageItems(500);
    this->Store.setFaults({.SlowMs = StoreMillis});
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

  /// Starts all daemons but the first Left at once.
  void start(int Left = 0) {
    for (const DaemonConfig &Config : this->Configs) {
      this->Daemons.push_back(std::make_unique<PlatformDaemon>(Config));
      if (--Left >= 0) {
        this->Daemons.pop_back();
        continue;
      }
      const Result<void> Started = this->Daemons.back()->start();
      REQUIRE_MESSAGE(Started, (Started ? "" : Started.error().Message));
    }
  }

  /// All daemons lose power: they end nothing at the store.
  void losePower() {
    std::vector<std::thread> Ends;
    for (std::unique_ptr<PlatformDaemon> &Each : this->Daemons)
      Ends.emplace_back([&Each] { Each.reset(); });
    for (std::thread &Each : Ends)
      Each.join();
    this->Daemons.clear();
  }

  bool serves(const DaemonConfig &Config, const std::string &Target) {
    return this->sendRequestTo(Config.Callers, "GET", Target).Status == 200;
  }

  /// Waits until the last Count daemons serve a path.
  void waitUntilServed(size_t Count, const std::string &Target) {
    for (size_t I = this->Configs.size() - Count; I < this->Configs.size(); ++I)
      this->waitFor([&] { return this->serves(this->Configs[I], Target); });
  }

  /// Waits until the copy lists all daemons.
  void waitForCopy() {
    this->waitFor([this] {
      const Result<ItemChanges> Copy =
          decodeSnapshot(this->Store.peek("canvaswick/copy"));
      return Copy &&
             Copy.value().Items.size() == SilentServers + 3 + DaemonCount;
    });
  }

  std::vector<DaemonConfig> Configs;
  std::vector<std::unique_ptr<PlatformDaemon>> Daemons;
};

} // namespace

TEST_CASE("daemons that start at once cost few calls, and less the next time") {
  Fleet Under;
  Under.start();
  Under.waitUntilServed(DaemonCount, "/x/1");
  // The first to know the others writes the copy some seconds later.
  std::this_thread::sleep_for(std::chrono::seconds(3));
  const double First = Under.Store.sumCallCosts() / DaemonCount;
  MESSAGE("first start: ", First, " calls each");
  CHECK(First < 4.5);
  Under.waitForCopy();
  Under.losePower();

  const double Before = Under.Store.sumCallCosts();
  const TimePoint Began = readSteadyClock();
  Under.start();
  Under.waitUntilServed(DaemonCount, "/x/1");
  MESSAGE("served by all ", toMillis(readSteadyClock() - Began),
          " ms after the first began to start again");
  std::this_thread::sleep_for(std::chrono::seconds(1));
  const double Second = (Under.Store.sumCallCosts() - Before) / DaemonCount;
  MESSAGE("second start: ", Second, " calls each");
  CHECK(Second < 1);
  // A change reaches those that have never asked the store themselves.
  Under.writeConfig(3, "/y/");
  Under.waitUntilServed(DaemonCount, "/y/1");
}

TEST_CASE("who should watch does not come back, and the others learn all") {
  Fleet Under;
  Under.start();
  Under.waitUntilServed(DaemonCount, "/x/1");
  std::this_thread::sleep_for(std::chrono::seconds(3));
  Under.waitForCopy();
  Under.losePower();
  // What changes now is not in the copy.
  Under.writeConfig(3, "/y/");
  // Half of the hall, those who watch among them as likely as not.
  constexpr size_t Back = DaemonCount / 2;
  Under.start(DaemonCount - static_cast<int>(Back));
  Under.waitUntilServed(Back, "/y/1");
}

// The failure. On a day on which 94 daemons were added while the store answered
// nobody for 8 s, the fleet made 2,789 calls to it, nearly three times as many
// as on others. The cause. While nobody of a hall is answered all its daemons
// ask, each as often as one of a small hall would: the calls grow with the
// fleet just as the store has trouble. Evidence: the calls of that day against
// six others.
TEST_CASE(
    "a large hall asks a store that fails no more often than a small one") {
  Fleet Under;
  Under.start();
  Under.waitUntilServed(DaemonCount, "/x/1");
  std::this_thread::sleep_for(std::chrono::seconds(3));
  Under.Store.setFaults({.IsDown = true});
  // All have noticed, and wait longest.
  std::this_thread::sleep_for(std::chrono::seconds(5));
  const double Before = Under.Store.sumCallCosts();
  const TimePoint Began = readSteadyClock();
  std::this_thread::sleep_for(std::chrono::seconds(3));
  const double Rate = (Under.Store.sumCallCosts() - Before) /
                      toSeconds(readSteadyClock() - Began);
  MESSAGE("calls a second of ", DaemonCount, " daemons: ", Rate);
  // 30 by the waits; 82 before, and 44 while each of them wrote the copy.
  CHECK(Rate < 40);
  // Once it answers again all learn what has changed.
  Under.writeConfig(3, "/y/");
  Under.Store.setFaults({.SlowMs = StoreMillis});
  Under.waitUntilServed(DaemonCount, "/y/1");
}
