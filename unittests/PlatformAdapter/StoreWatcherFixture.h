//===- StoreWatcherFixture.h - A store and a watcher of it ------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The parts of a daemon that follow the store, without the daemon. For tests
/// only.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_UNITTESTS_PLATFORMADAPTER_STOREWATCHERFIXTURE_H
#define CANVASWICK_UNITTESTS_PLATFORMADAPTER_STOREWATCHERFIXTURE_H

#include "platform/StoreWatcher.h"
#include "platform/standin/StoreStandIn.h"

#include <doctest/doctest.h>

namespace canvaswick::platform {

struct StoreWatcherFixture {
  StoreWatcherFixture() : Client(start(Store), Counters) {}

  static Endpoint start(StoreStandIn &Store) {
    REQUIRE(Store.start());
    return Store.getAddress();
  }

  /// Runs two rounds: the first read may be stale, the watch after it is not.
  static void synchronize(StoreWatcher &Watcher) {
    Watcher.runRound();
    CHECK_FALSE(Watcher.isSynced());
    Watcher.runRound();
    CHECK(Watcher.isSynced());
  }

  StoreStandIn Store;
  CounterTable Counters;
  StoreClient Client;
  FleetView View{{70}, fromSeconds(2)};
  StoreWatcher Watcher{Client, View, FirstReadSchedule(true, 0, {}), [] {}};
  DaemonRecord Self{"d1", "h", {"10.0.0.1", 80}, {"10.0.0.1", 81}};
};

} // namespace canvaswick::platform

#endif // CANVASWICK_UNITTESTS_PLATFORMADAPTER_STOREWATCHERFIXTURE_H
