//===- AheadPeersTest.cpp - Tests of choosing a peer that is ahead --------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Which peers count as ahead, and that daemons that are behind together do not
/// all choose the same peer.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Directory/AheadPeers.h"

#include <doctest/doctest.h>

using namespace canvaswick;

static constexpr TimePoint Start{fromSeconds(100)};

TEST_CASE("daemons that are behind together ask different peers") {
  static constexpr int Daemons = 36;
  static constexpr int Sources = 6;
  std::map<std::string, int> Asked;
  for (uint64_t Seed = 0; Seed < Daemons; ++Seed) {
    AheadPeers Peers(Seed);
    for (int I = 0; I < Sources; ++I)
      CHECK(Peers.recordPeer("p" + std::to_string(I), true, {0, 427}, {0, 421},
                             Start));
    // One peer is a little further ahead than all others.
    Peers.recordPeer("p0", true, {0, 428}, {0, 421}, Start);
    ++Asked[*Peers.choosePeer({0, 421}, Start)];
  }
  CHECK(Asked.size() == Sources);
  for (const auto &[Name, Count] : Asked)
    CHECK(Count <= Daemons / 3);
}

TEST_CASE("peers of the same hall come first, and only peers ahead count") {
  AheadPeers Peers(1);
  CHECK_FALSE(Peers.recordPeer("near", true, {0, 5}, {0, 5}, Start));
  CHECK_FALSE(Peers.choosePeer({0, 5}, Start));
  CHECK(Peers.recordPeer("far", false, {0, 6}, {0, 5}, Start));
  CHECK(Peers.choosePeer({0, 5}, Start) == "far");
  CHECK(Peers.recordPeer("near", true, {0, 6}, {0, 5}, Start));
  for (int I = 0; I < 20; ++I)
    CHECK(Peers.choosePeer({0, 5}, Start) == "near");
  CHECK_FALSE(Peers.choosePeer({0, 6}, Start));
}

TEST_CASE("a peer that did not answer or fell silent is not chosen") {
  AheadPeers Peers(1);
  Peers.recordPeer("a", true, {0, 6}, {0, 5}, Start);
  Peers.recordPeer("b", true, {0, 6}, {0, 5}, Start + fromSeconds(2));
  Peers.forget("b");
  CHECK(Peers.choosePeer({0, 5}, Start + fromSeconds(2)) == "a");
  CHECK_FALSE(Peers.choosePeer({0, 5}, Start + fromSeconds(4)));
}

TEST_CASE("getBehindSince returns when the daemon fell behind") {
  AheadPeers Peers(1);
  CHECK_FALSE(Peers.getBehindSince({0, 5}));
  Peers.recordPeer("a", true, {0, 6}, {0, 5}, Start);
  Peers.recordPeer("b", true, {0, 7}, {0, 5}, Start + fromSeconds(1));
  CHECK(Peers.getBehindSince({0, 5}) == Start);
  CHECK_FALSE(Peers.getBehindSince({0, 7}));
}

TEST_CASE(
    "getLag counts the revisions to the farthest peer of the same epoch") {
  AheadPeers Peers(1);
  CHECK(Peers.getLag({1, 5}) == 0);
  Peers.recordPeer("a", true, {1, 6}, {1, 5}, Start);
  Peers.recordPeer("b", true, {1, 905}, {1, 5}, Start);
  Peers.recordPeer("c", true, {2, 9000}, {1, 5}, Start);
  CHECK(Peers.getLag({1, 5}) == 900);
  CHECK(Peers.getLag({1, 905}) == 0);
}
