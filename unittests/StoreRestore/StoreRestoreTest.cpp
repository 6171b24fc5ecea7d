//===- StoreRestoreTest.cpp - Daemons whose store is restored -------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests whole daemons with a store that is restored from a backup: it loses
/// its latest acknowledged writes and gives out the same revisions and lease
/// numbers again.
///
//===----------------------------------------------------------------------===//

#include "PlatformAdapter/HallFixture.h"

#include <doctest/doctest.h>

using namespace canvaswick;
using namespace canvaswick::platform;

namespace {

/// Numbers of changes. A restore loses ManyChanges, and FewChanges after it are
/// too few to reach the old revision again.
constexpr int FewChanges = 5;
constexpr int ManyChanges = 30;

/// Daemons with a store that has taken a backup.
struct RestoreFixture : Hall {
  explicit RestoreFixture(int Count) : Hall(Count) {
    this->startServing();
    for (const std::unique_ptr<Member> &Each : this->Members)
      this->waitFor([&] { return this->isListed(*Each); });
    this->Store.takeBackup();
  }

  bool isListed(const Member &Each) const {
    return !this->Store.peek("canvaswick/daemons/" + Each.Config.Name).empty();
  }

  /// Writes an item that no daemon reads Count times.
  void writeUnrelatedItem(int Count) {
    for (int I = 0; I < Count; ++I)
      this->Store.put("other/item", fmt::format("{}", I));
  }

  /// Waits until every daemon's replica is at the store's revision.
  void waitUntilSynced() {
    const std::string Wanted =
        fmt::format("canvaswick_store_as_of {}\n", this->Store.getRevision());
    for (const std::unique_ptr<Member> &Each : this->Members)
      this->waitFor([&] {
        return this->get(Each->Config.Ready, "/metrics").Body.find(Wanted) !=
               std::string::npos;
      });
  }

  /// Restores the store from the backup. The store is down for 300 ms, in which
  /// Write writes to it directly.
  template <typename Writer> void restore(Writer Write) {
    this->Store.setFaults({.IsDown = true});
    this->Store.restoreBackup();
    Write();
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    this->Store.setFaults({});
  }

  void waitForAllToServe(const std::string &Target) {
    for (const std::unique_ptr<Member> &Each : this->Members)
      this->waitFor([&] { return this->serves(*Each, Target); });
  }

  /// Waits until requests no longer reach a server through any daemon.
  void waitUntilUnused(const Upstream &Server) {
    this->waitFor([&] {
      const int Before = Server.Arrivals;
      for (int I = 0; I < 8; ++I)
        for (const std::unique_ptr<Member> &Each : this->Members)
          this->serves(*Each, "/x/1");
      return Server.Arrivals == Before;
    });
  }
};

} // namespace

TEST_CASE("a change is applied although the store's revision went back") {
  RestoreFixture Fixture(4);
  Fixture.writeUnrelatedItem(ManyChanges);
  Fixture.waitUntilSynced();
  Fixture.restore([&] { Fixture.writeUnrelatedItem(FewChanges); });
  Fixture.writeConfig(3, "/y/");
  Fixture.waitForAllToServe("/y/1");
}

TEST_CASE(
    "a change is applied although the revision passed the old one again") {
  RestoreFixture Fixture(4);
  Fixture.writeUnrelatedItem(ManyChanges);
  Fixture.writeConfig(3, "/y/");
  Fixture.waitForAllToServe("/y/1");
  Fixture.restore([&] {
    Fixture.writeConfig(4, "/z/");
    Fixture.writeUnrelatedItem(2 * ManyChanges);
  });
  Fixture.waitForAllToServe("/z/1");
}

TEST_CASE("a server that drains after a restore gets no more requests") {
  RestoreFixture Fixture(4);
  Fixture.writeUnrelatedItem(ManyChanges);
  Fixture.waitUntilSynced();
  Fixture.restore([&] { Fixture.writeUnrelatedItem(FewChanges); });
  Fixture.Store.put("servers/i-1", Fixture.One.makeEntry("draining", 2));
  Fixture.waitUntilUnused(Fixture.One);
}

TEST_CASE("settings in force are kept when the store has lost them") {
  RestoreFixture Fixture(2);
  Fixture.writeUnrelatedItem(ManyChanges);
  Fixture.writeConfig(3, "/y/");
  Fixture.waitForAllToServe("/y/1");
  Fixture.restore([&] { Fixture.writeUnrelatedItem(FewChanges); });
  std::this_thread::sleep_for(std::chrono::seconds(1));
  for (const std::unique_ptr<Member> &Each : Fixture.Members) {
    CHECK(Fixture.serves(*Each, "/y/1"));
    CHECK_FALSE(Fixture.serves(*Each, "/x/1"));
  }
}

TEST_CASE("a change is applied after two restores in a row") {
  RestoreFixture Fixture(3);
  Fixture.writeUnrelatedItem(ManyChanges);
  Fixture.waitUntilSynced();
  Fixture.restore([&] { Fixture.writeUnrelatedItem(FewChanges); });
  Fixture.restore([&] { Fixture.writeUnrelatedItem(FewChanges); });
  Fixture.writeConfig(3, "/y/");
  Fixture.waitForAllToServe("/y/1");
}

TEST_CASE("a daemon whose entry the store has lost is listed again") {
  Hall Fixture(2);
  Fixture.Store.takeBackup();
  Fixture.startServing();
  const std::string Key = "canvaswick/daemons/d0";
  Fixture.waitFor([&] { return !Fixture.Store.peek(Key).empty(); });
  Fixture.Store.restoreBackup();
  Fixture.writeConfig(3, "/y/");
  Fixture.waitFor([&] { return !Fixture.Store.peek(Key).empty(); });
}

TEST_CASE("a restore costs each daemon few calls to the store") {
  constexpr size_t Daemons = 4;
  RestoreFixture Fixture(Daemons);
  Fixture.writeUnrelatedItem(ManyChanges);
  Fixture.waitUntilSynced();
  Fixture.restore([&] { Fixture.writeUnrelatedItem(FewChanges); });
  const double Before = Fixture.Store.sumCallCosts();
  std::this_thread::sleep_for(std::chrono::seconds(2));
  // Each daemon calls as often as after a start; the two watchers add their
  // calls of two seconds.
  constexpr double CallsPerDaemon = 3;
  constexpr double WatchCalls = 10;
  CHECK(Fixture.Store.sumCallCosts() - Before <=
        CallsPerDaemon * Daemons + WatchCalls);
}
