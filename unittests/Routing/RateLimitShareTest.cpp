//===- RateLimitShareTest.cpp - Tests of shared request limits ------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests how many requests all daemons of a fleet together send to a server
/// that states a limit, whenever they have requests to send.
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

/// Returns the shares of all daemons of a hall in a limit that was just stated.
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

/// Lets all daemons send whenever they may. Returns the maximum number of
/// requests sent in any window. ReceivesUpdates: daemons receive the limit all
/// the time.
static size_t sendAll(std::vector<RateLimitShare> &Shares, TimePoint From,
                      Duration Length, bool ReceivesUpdates) {
  std::vector<TimePoint> Sent;
  size_t MaxSent = 0;
  for (TimePoint Now = From; Now < From + Length; Now += Step)
    for (RateLimitShare &Each : Shares) {
      if (ReceivesUpdates)
        Each.updateLimit(Each.getPerSecond(), Now, FleetDaemons(), Now);
      while (Each.maySend(Now)) {
        Each.recordRequestSent(Now);
        Sent.push_back(Now);
      }
      const auto First =
          std::upper_bound(Sent.begin(), Sent.end(), Now - Window);
      MaxSent = std::max(MaxSent, static_cast<size_t>(Sent.end() - First));
    }
  return MaxSent;
}

static double getBound(double PerSecond) {
  return 1.5 * PerSecond * toSeconds(Window) + 5;
}

TEST_CASE("all daemons together respect a limit whenever they send") {
  CHECK(rc::check([] {
    const auto Daemons = *rc::gen::inRange<size_t>(1, 60);
    const double Limit = *rc::gen::inRange(1, 300) / 10.0;
    const double Idle = *rc::gen::inRange(0, 400);
    std::vector<RateLimitShare> Shares = makeShares(Daemons, Limit);
    const size_t MaxSent =
        sendAll(Shares, Begin + fromSeconds(Idle), fromSeconds(8), true);
    RC_ASSERT(static_cast<double>(MaxSent) <= getBound(Limit));
  }));
}

TEST_CASE("a daemon that receives the limit but is no sender sends nothing") {
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

TEST_CASE("daemons without reports probe in turn and accumulate no probes") {
  std::vector<RateLimitShare> Shares = makeShares(40, 2);
  std::erase_if(Shares,
                [](const RateLimitShare &Each) { return Each.isSender(); });
  CHECK(sendAll(Shares, Begin, fromSeconds(2.9), false) == 0);
  // All probes together use a quarter of the limit: two in four seconds.
  CHECK(sendAll(Shares, Begin + fromSeconds(500), fromSeconds(8), false) <= 12);
  CHECK(sendAll(Shares, Begin + fromSeconds(600), fromSeconds(100), false) >=
        1);
}

TEST_CASE("a daemon that becomes a sender starts without tokens") {
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

TEST_CASE("a change of the fleet leaves a sender its tokens and adds none") {
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
