//===- TunnelPeersTest.cpp - Tests of TunnelPeers -------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Which peer a cut-off daemon asks.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Routing/TunnelPeers.h"

#include <doctest/doctest.h>

#include <set>

using namespace canvaswick;

namespace {

TimePoint at(int64_t Millis) { return TimePoint(fromMillis(Millis)); }

struct PeersFixture {
  PeersFixture() {
    this->Peers.setPeers("a", {{"a1", "a", {"10.0.0.1", 1}},
                               {"a2", "a", {"10.0.0.2", 1}},
                               {"b1", "b", {"10.0.1.1", 1}}});
  }

  /// Returns the names that are chosen in many draws.
  std::set<std::string> drawAll(TimePoint Since, TimePoint Now,
                                const std::vector<std::string> &Excluded = {}) {
    std::set<std::string> Names;
    for (int I = 0; I < 100; ++I)
      if (const auto Peer =
              this->Peers.choose(Excluded, Since, Now, this->Random))
        Names.insert(Peer->Name);
    return Names;
  }

  TunnelPeers Peers;
  RandomSource Random{1};
};

using Names = std::set<std::string>;

} // namespace

TEST_CASE_FIXTURE(PeersFixture, "peers of the hall come first, all alike") {
  CHECK(this->drawAll(at(1000), at(2000)) == Names{"a1", "a2"});
}

TEST_CASE_FIXTURE(PeersFixture,
                  "a peer that servers answered meanwhile comes before the "
                  "others") {
  this->Peers.recordMessage("a2", false, true, at(1500));
  CHECK(this->drawAll(at(1000), at(2000)) == Names{"a2"});
  CHECK(this->drawAll(at(1600), at(2000)) == Names{"a1", "a2"});
}

TEST_CASE_FIXTURE(PeersFixture, "peers that are cut off are not asked") {
  this->Peers.recordMessage("a1", true, true, at(1500));
  CHECK(this->drawAll(at(1000), at(1600)) == Names{"a2"});
  this->Peers.recordMessage("a1", false, false, at(1700));
  CHECK(this->drawAll(at(1000), at(1800)) == Names{"a1", "a2"});
}

TEST_CASE_FIXTURE(PeersFixture,
                  "another hall is asked if all of the own hall decline") {
  this->Peers.recordDeclined("a1", at(1500));
  CHECK(this->drawAll(at(1000), at(1600), {"a2"}) == Names{"b1"});
  CHECK(this->drawAll(at(1000), at(2100), {"a2"}) == Names{"a1"});
}

TEST_CASE_FIXTURE(PeersFixture, "nobody is chosen if all decline") {
  for (const char *Name : {"a1", "a2", "b1"})
    this->Peers.recordDeclined(Name, at(1500));
  CHECK(this->drawAll(at(1000), at(1600)).empty());
}

TEST_CASE_FIXTURE(PeersFixture, "what is known of a peer outlasts a new list") {
  this->Peers.recordDeclined("a1", at(1500));
  this->Peers.setPeers(
      "a", {{"a1", "a", {"10.0.0.1", 1}}, {"a3", "a", {"10.0.0.3", 1}}});
  CHECK(this->drawAll(at(1000), at(1600)) == Names{"a3"});
  CHECK(this->Peers.hasHost("10.0.0.3"));
  CHECK(!this->Peers.hasHost("10.0.0.2"));
}
