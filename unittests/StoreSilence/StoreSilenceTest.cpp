//===- StoreSilenceTest.cpp - A store that stops answering watches --------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Guards against daemons that keep old settings while the store leaves watches
/// unanswered. Operators changed a route, and the store acknowledged it.
/// Daemons of two halls still served by the previous version two seconds later
/// and for another second, although the store answered other calls.
///
/// The two watchers of each hall had a watch in flight. The store stopped
/// answering it, but the connections stayed open and no call failed. A watch
/// could wait up to 25 seconds and counted as idle all that time, and whether a
/// watcher was reliable followed from its last call, however old. The watchers
/// therefore kept reporting several times a second that they watch and reach
/// the store, so that no other daemon of their halls called it. They made no
/// calls and logged no error until the watches ended after exactly 25 seconds.
///
//===----------------------------------------------------------------------===//

#include "PlatformAdapter/HallFixture.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace canvaswick;
using namespace canvaswick::platform;

TEST_CASE(
    "a change reaches daemons whose watchers get no answer from the store") {
  Hall Fixture(4);
  Fixture.startServing();
  const std::vector<Member *> Watchers = Fixture.listWatchers();
  for (Member *Each : Watchers) {
    Each->StoreRelay.getFaults().CutForward = true;
    Each->StoreRelay.getFaults().CutBackward = true;
  }
  Fixture.writeConfig(3, "/y/");
  for (const std::unique_ptr<Member> &Each : Fixture.Members)
    if (std::find(Watchers.begin(), Watchers.end(), Each.get()) ==
        Watchers.end())
      Fixture.waitFor([&] { return Fixture.serves(*Each, "/y/1"); });
}

TEST_CASE("a change is learned although the watch's connection went silent") {
  Hall Fixture(1);
  Fixture.startServing();
  Fixture.Members[0]->StoreRelay.silenceOpenConnections();
  Fixture.writeConfig(3, "/y/");
  Fixture.waitFor([&] { return Fixture.serves(*Fixture.Members[0], "/y/1"); });
}
