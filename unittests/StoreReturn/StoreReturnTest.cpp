//===- StoreReturnTest.cpp - A store that comes back from a copy ----------===//
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

#include "PlatformAdapter/HallBench.h"

#include <doctest/doctest.h>

using namespace canvaswick;
using namespace canvaswick::platform;

namespace {

/// Changes that the store forgets, and more of them than it makes anew.
constexpr int FewChanges = 5;
constexpr int ManyChanges = 30;

/// Daemons before a store that has a copy of itself.
struct ReturnBench : Hall {
  explicit ReturnBench(int Count) : Hall(Count) {
    this->settle();
    for (const std::unique_ptr<Member> &Each : this->Members)
      this->waitFor([&] { return this->isListed(*Each); });
    this->Store.keepCopy();
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

  /// Comes back from the copy after a moment in which nobody is answered.
  /// Meanwhile the others write what they choose.
  template <typename Writer> void comeBack(Writer Write) {
    this->Store.setFaults({.IsDown = true});
    this->Store.returnFromCopy();
    Write();
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    this->Store.setFaults({});
  }

  void waitForVersionAt(const std::string &Target) {
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
  ReturnBench Under(4);
  Under.change(ManyChanges);
  Under.waitForAll();
  Under.comeBack([&] { Under.change(FewChanges); });
  Under.writeConfig(3, "/y/");
  Under.waitForVersionAt("/y/1");
}

TEST_CASE("a change is in force though lower revisions than the one before") {
  ReturnBench Under(4);
  Under.change(ManyChanges);
  Under.writeConfig(3, "/y/");
  Under.waitForVersionAt("/y/1");
  Under.comeBack([&] {
    Under.writeConfig(4, "/z/");
    Under.change(2 * ManyChanges);
  });
  Under.waitForVersionAt("/z/1");
}

TEST_CASE("a server that leaves after the store's return gets nothing more") {
  ReturnBench Under(4);
  Under.change(ManyChanges);
  Under.waitForAll();
  Under.comeBack([&] { Under.change(FewChanges); });
  Under.Store.put("servers/i-1", Under.One.makeEntry("draining", 2));
  Under.waitUntilUnused(Under.One);
}

TEST_CASE("settings in force outlast a store that has lost them") {
  ReturnBench Under(2);
  Under.change(ManyChanges);
  Under.writeConfig(3, "/y/");
  Under.waitForVersionAt("/y/1");
  Under.comeBack([&] { Under.change(FewChanges); });
  std::this_thread::sleep_for(std::chrono::seconds(1));
  for (const std::unique_ptr<Member> &Each : Under.Members) {
    CHECK(Under.serves(*Each, "/y/1"));
    CHECK_FALSE(Under.serves(*Each, "/x/1"));
  }
}

TEST_CASE("two returns in a row are taken as well as one") {
  ReturnBench Under(3);
  Under.change(ManyChanges);
  Under.waitForAll();
  Under.comeBack([&] { Under.change(FewChanges); });
  Under.comeBack([&] { Under.change(FewChanges); });
  Under.writeConfig(3, "/y/");
  Under.waitForVersionAt("/y/1");
}

TEST_CASE("a daemon whose entry the store has lost is listed again") {
  Hall Under(2);
  Under.Store.keepCopy();
  Under.settle();
  const std::string Key = "canvaswick/daemons/d0";
  Under.waitFor([&] { return !Under.Store.peek(Key).empty(); });
  Under.Store.returnFromCopy();
  Under.writeConfig(3, "/y/");
  Under.waitFor([&] { return !Under.Store.peek(Key).empty(); });
}

TEST_CASE("a store's return costs each daemon few calls") {
  constexpr size_t Daemons = 4;
  ReturnBench Under(Daemons);
  Under.change(ManyChanges);
  Under.waitForAll();
  Under.comeBack([&] { Under.change(FewChanges); });
  const double Before = Under.Store.countPricedCalls();
  std::this_thread::sleep_for(std::chrono::seconds(2));
  // As after a start, and what two daemons that watch ask in two seconds.
  constexpr double CallsADaemon = 3;
  constexpr double CallsOfWatches = 10;
  CHECK(Under.Store.countPricedCalls() - Before <=
        CallsADaemon * Daemons + CallsOfWatches);
}
