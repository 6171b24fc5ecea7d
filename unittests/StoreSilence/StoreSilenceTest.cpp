//===- StoreSilenceTest.cpp - A store that says nothing, without an error -===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The failure. Operators changed a route, and the store acknowledged it. Two
/// seconds later daemons of two halls still served by the version before, and
/// went on to for another second, though the store answered other calls.
///
/// The order of events. Each hall's two watchers had a watch out. The store
/// stopped to answer them: their connections stayed open, no call failed. The
/// change was acknowledged. The watchers said several times a second that they
/// watch and reach the store, so nobody else of their halls asked it.
///
/// The cause. A watch waited up to 25 seconds and was taken for quiet all that
/// time; that a watcher was to be relied on followed from its last call,
/// however long ago that was. Evidence: between the fault and the end of their
/// wait the watchers' counts of calls to the store stood still, no daemon
/// logged an error or a later version, and the watches ended after 25 seconds
/// exactly.
///
//===----------------------------------------------------------------------===//

#include "PlatformAdapter/HallFixture.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace canvaswick;
using namespace canvaswick::platform;

TEST_CASE("a change reaches daemons whose watchers the store leaves waiting") {
  Hall Under(4);
  Under.startServing();
  const std::vector<Member *> Watchers = Under.listWatchers();
  for (Member *Each : Watchers) {
    Each->StoreRelay.getFaults().CutForward = true;
    Each->StoreRelay.getFaults().CutBackward = true;
  }
  Under.writeConfig(3, "/y/");
  for (const std::unique_ptr<Member> &Each : Under.Members)
    if (std::find(Watchers.begin(), Watchers.end(), Each.get()) ==
        Watchers.end())
      Under.waitFor([&] { return Under.serves(*Each, "/y/1"); });
}

TEST_CASE("a change is learned though the watch's connection went silent") {
  Hall Under(1);
  Under.startServing();
  Under.Members[0]->StoreRelay.silenceOpenConnections();
  Under.writeConfig(3, "/y/");
  Under.waitFor([&] { return Under.serves(*Under.Members[0], "/y/1"); });
}
