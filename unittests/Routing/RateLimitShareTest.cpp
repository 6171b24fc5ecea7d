//===- RateLimitShareTest.cpp - A fleet's daemons and one limit -----------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// What all daemons of a fleet together may send to a server that names a
/// limit, whenever they want to.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Routing/RateLimitShare.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace canvaswick;

static constexpr TimePoint Begin{fromSeconds(1000)};
static constexpr Duration Step = fromMillis(20);
static constexpr Duration Window = fromSeconds(4);

/// Returns the shares of all daemons of a hall at a limit that was just named.
static std::vector<RateLimitShare> makeShares(size_t Daemons,
                                              double PerSecond) {
  FleetDaemons Fleet;
  for (size_t I = 0; I < Daemons; ++I)
    Fleet.All.push_back(fmt::format("d{}", I));
  Fleet.Halls["a"] = Fleet.All;
  std::vector<RateLimitShare> Shares;
  for (const std::string &Name : Fleet.All) {
    Fleet.Self = Name;
    Shares.emplace_back("s/b", "a", PerSecond, Begin, Fleet, Begin);
  }
  return Shares;
}

/// Has all daemons send whenever they may for a while. Returns the most that
/// were sent in any window. IsHeard: word of the limit comes all the time.
static size_t sendAll(std::vector<RateLimitShare> &Shares, TimePoint From,
                      Duration Length, bool IsHeard) {
  std::vector<TimePoint> Sent;
  size_t Most = 0;
  for (TimePoint Now = From; Now < From + Length; Now += Step)
    for (RateLimitShare &Each : Shares) {
      if (IsHeard)
        Each.updateLimit(Each.getPerSecond(), Now, FleetDaemons(), Now);
      while (Each.maySend(Now)) {
        Each.recordRequestSent(Now);
        Sent.push_back(Now);
      }
      const auto First =
          std::upper_bound(Sent.begin(), Sent.end(), Now - Window);
      Most = std::max(Most, static_cast<size_t>(Sent.end() - First));
    }
  return Most;
}

static double getBound(double PerSecond) {
  return 1.5 * PerSecond * toSeconds(Window) + 5;
}

TEST_CASE("whoever wants to send when, all of a fleet keep to a limit") {
  CHECK(rc::check([] {
    const auto Daemons = *rc::gen::inRange<size_t>(1, 60);
    const double Limit = *rc::gen::inRange(1, 300) / 10.0;
    const double Idle = *rc::gen::inRange(0, 400);
    std::vector<RateLimitShare> Shares = makeShares(Daemons, Limit);
    const size_t Most =
        sendAll(Shares, Begin + fromSeconds(Idle), fromSeconds(8), true);
    RC_ASSERT(static_cast<double>(Most) <= getBound(Limit));
  }));
}

TEST_CASE("whom word of a limit reaches and who does not share it is silent") {
  std::vector<RateLimitShare> Shares = makeShares(20, 2);
  size_t Senders = 0;
  for (RateLimitShare &Each : Shares) {
    Senders += Each.isSender() ? 1 : 0;
    for (int Ms = 0; Ms < 60000; Ms += 50) {
      const TimePoint Now = Begin + fromMillis(Ms);
      Each.updateLimit(2, Now, FleetDaemons(), Now);
      CHECK((Each.isSender() || !Each.maySend(Now)));
    }
  }
  CHECK(Senders == 3);
}

TEST_CASE("who hears nothing more tests by turns, and saves no turn up") {
  std::vector<RateLimitShare> Shares = makeShares(40, 2);
  std::erase_if(Shares,
                [](const RateLimitShare &Each) { return Each.isSender(); });
  CHECK(sendAll(Shares, Begin, fromSeconds(2.9), false) == 0);
  // All tests together are a quarter of the limit: two in four seconds.
  CHECK(sendAll(Shares, Begin + fromSeconds(500), fromSeconds(8), false) <= 12);
  CHECK(sendAll(Shares, Begin + fromSeconds(600), fromSeconds(100), false) >=
        1);
}

TEST_CASE("a daemon that comes to share a limit has saved up nothing") {
  FleetDaemons Without;
  Without.Self = "d";
  RateLimitShare Share("s/b", "a", 2, Begin, Without, Begin);
  CHECK(!Share.isSender());
  FleetDaemons Alone = Without;
  Alone.All = {"d"};
  const TimePoint Later = Begin + fromSeconds(60);
  Share.updateLimit(2, Later, Without, Later);
  Share.setFleet(Alone, Later);
  CHECK(Share.isSender());
  CHECK(!Share.maySend(Later));
  CHECK(Share.getWait(Later) > Duration::zero());
  CHECK(Share.maySend(Later + Share.getWait(Later) + fromMillis(1)));
}

TEST_CASE("a change of who there is leaves a sender its tokens, not more") {
  std::vector<RateLimitShare> Shares = makeShares(1, 1);
  const TimePoint Later = Begin + fromSeconds(60);
  FleetDaemons Alone;
  Alone.Self = "d0";
  Alone.All = {"d0"};
  for (int I = 0; I < 100; ++I)
    Shares[0].setFleet(Alone, Later);
  int Sent = 0;
  for (; Shares[0].maySend(Later); ++Sent)
    Shares[0].recordRequestSent(Later);
  CHECK(Sent == 2);
}
