//===- StoreRestoreTest.cpp - A store that is restored from a backup ------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Whole daemons before a store that loses what it has acknowledged of late and
/// gives the same revisions and leases out again.
///
//===----------------------------------------------------------------------===//

#include "PlatformAdapter/HallFixture.h"

#include <doctest/doctest.h>

using namespace canvaswick;
using namespace canvaswick::platform;

namespace {

/// Changes that the store forgets, and more of them than it makes anew.
constexpr int FewChanges = 5;
constexpr int ManyChanges = 30;

/// Daemons before a store that has a backup of itself.
struct RestoreBench : Hall {
  explicit RestoreBench(int Count) : Hall(Count) {
    this->startServing();
    for (const std::unique_ptr<Member> &Each : this->Members)
      this->waitFor([&] { return this->isListed(*Each); });
    this->Store.takeBackup();
  }

  bool isListed(const Member &Each) const {
    return !this->Store.peek("canvaswick/daemons/" + Each.Config.Name).empty();
  }

  /// Changes items that mean nothing to a daemon.
  void change(int Count) {
    for (int I = 0; I < Count; ++I)
      this->Store.put("other/item", fmt::format("{}", I));
  }

  /// Waits until every daemon has a copy as far as the store.
  void waitForAll() {
    const std::string Wanted =
        fmt::format("canvaswick_store_as_of {}\n", this->Store.getRevision());
    for (const std::unique_ptr<Member> &Each : this->Members)
      this->waitFor([&] {
        return this->get(Each->Config.Ready, "/metrics").Body.find(Wanted) !=
               std::string::npos;
      });
  }

  /// Is restored from the backup after a moment in which nobody is answered.
  /// Meanwhile the others write what they choose.
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

TEST_CASE("a change is in force though the store's revisions went back") {
  RestoreBench Under(4);
  Under.change(ManyChanges);
  Under.waitForAll();
  Under.restore([&] { Under.change(FewChanges); });
  Under.writeConfig(3, "/y/");
  Under.waitForAllToServe("/y/1");
}

TEST_CASE("a change is in force though lower revisions than the one before") {
  RestoreBench Under(4);
  Under.change(ManyChanges);
  Under.writeConfig(3, "/y/");
  Under.waitForAllToServe("/y/1");
  Under.restore([&] {
    Under.writeConfig(4, "/z/");
    Under.change(2 * ManyChanges);
  });
  Under.waitForAllToServe("/z/1");
}

TEST_CASE(
    "a server that leaves after the store was restored gets nothing more") {
  RestoreBench Under(4);
  Under.change(ManyChanges);
  Under.waitForAll();
  Under.restore([&] { Under.change(FewChanges); });
  Under.Store.put("servers/i-1", Under.One.makeEntry("draining", 2));
  Under.waitUntilUnused(Under.One);
}

TEST_CASE("settings in force outlast a store that has lost them") {
  RestoreBench Under(2);
  Under.change(ManyChanges);
  Under.writeConfig(3, "/y/");
  Under.waitForAllToServe("/y/1");
  Under.restore([&] { Under.change(FewChanges); });
  std::this_thread::sleep_for(std::chrono::seconds(1));
  for (const std::unique_ptr<Member> &Each : Under.Members) {
    CHECK(Under.serves(*Each, "/y/1"));
    CHECK_FALSE(Under.serves(*Each, "/x/1"));
  }
}

TEST_CASE("two restores in a row are taken as well as one") {
  RestoreBench Under(3);
  Under.change(ManyChanges);
  Under.waitForAll();
  Under.restore([&] { Under.change(FewChanges); });
  Under.restore([&] { Under.change(FewChanges); });
  Under.writeConfig(3, "/y/");
  Under.waitForAllToServe("/y/1");
}

TEST_CASE("a daemon whose entry the store has lost is listed again") {
  Hall Under(2);
  Under.Store.takeBackup();
  Under.startServing();
  const std::string Key = "canvaswick/daemons/d0";
  Under.waitFor([&] { return !Under.Store.peek(Key).empty(); });
  Under.Store.restoreBackup();
  Under.writeConfig(3, "/y/");
  Under.waitFor([&] { return !Under.Store.peek(Key).empty(); });
}

TEST_CASE("a store that was restored costs each daemon few calls") {
  constexpr size_t Daemons = 4;
  RestoreBench Under(Daemons);
  Under.change(ManyChanges);
  Under.waitForAll();
  Under.restore([&] { Under.change(FewChanges); });
  const double Before = Under.Store.sumCallCosts();
  std::this_thread::sleep_for(std::chrono::seconds(2));
  // As after a start, and what two daemons that watch ask in two seconds.
  constexpr double CallsADaemon = 3;
  constexpr double CallsOfWatches = 10;
  CHECK(Under.Store.sumCallCosts() - Before <=
        CallsADaemon * Daemons + CallsOfWatches);
}
