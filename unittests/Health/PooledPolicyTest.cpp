//===- PooledPolicyTest.cpp - Stateful fuzzing of the pooled policy -------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Whatever evidence and digests arrive in whatever order, at every instant the
/// slots in use stay above the floor; and what one source can do is bounded.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Health/EvidencePool.h"
#include "canvaswick/Health/HealthPolicy.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidcheck.h>

using namespace canvaswick;

static std::vector<PolicyServer> makeServers(const std::vector<int> &Slots) {
  std::vector<PolicyServer> Servers;
  for (size_t I = 0; I < Slots.size(); ++I)
    Servers.push_back({getServerId("s", fmt::format("{}", I)), Slots[I]});
  return Servers;
}

static PolicySetup makeSetup(const std::vector<int> &Slots, int Floor) {
  PolicySetup Setup;
  Setup.Service = "s";
  Setup.Source = "d";
  Setup.Hall = "a";
  Setup.Preference = EjectionPreference::Detection;
  Setup.FloorPercent = Floor;
  Setup.Servers = makeServers(Slots);
  return Setup;
}

namespace {

/// The oracle: what is configured and what leaves, nothing else.
struct Capacity {
  std::vector<int> Slots;
  std::vector<bool> IsLeaving;
  int Floor = 0;

  double getBound() const {
    double All = 0;
    double NotLeaving = 0;
    for (size_t I = 0; I < this->Slots.size(); ++I) {
      All += this->Slots[I];
      NotLeaving += this->IsLeaving[I] ? 0 : this->Slots[I];
    }
    return std::min(NotLeaving, All * this->Floor / 100);
  }
};

} // namespace

static void checkFloor(const PooledPolicy &Policy, const Capacity &Known) {
  double Usable = 0;
  for (size_t I = 0; I < Known.Slots.size(); ++I) {
    if (Known.IsLeaving[I])
      RC_ASSERT(Policy.getShare(I) == 0);
    Usable += Known.Slots[I] * Policy.getShare(I);
  }
  RC_ASSERT(Usable >= Known.getBound() - 1e-9);
}

static EvidenceSummary drawDigest(const PolicySetup &Setup, uint64_t Sequence) {
  EvidenceSummary Digest;
  Digest.Service = "s";
  Digest.Owner = *rc::gen::element<std::string>("o1", "o2");
  Digest.Rank = Digest.Owner == "o1" ? 0 : 1;
  Digest.Sequence = Sequence;
  for (const PolicyServer &Server : Setup.Servers) {
    if (*rc::gen::arbitrary<bool>())
      continue;
    ServerSummary Entry;
    Entry.Server = Server.Id;
    Entry.Share = *rc::gen::element(0.0, 0.04, 0.4, 1.0);
    Entry.Score = *rc::gen::inRange(0, 40);
    Entry.IsHallOnly = *rc::gen::arbitrary<bool>();
    Digest.Servers.push_back(Entry);
  }
  return Digest;
}

static RequestOutcome drawOutcome() {
  return *rc::gen::element(RequestOutcome::Good, RequestOutcome::Slow,
                           RequestOutcome::Failed, RequestOutcome::Failed,
                           RequestOutcome::Shed, RequestOutcome::Canceled);
}

TEST_CASE("the floor holds at every instant, whatever arrives") {
  CHECK(rc::check([] {
    Capacity Known;
    const int Count = *rc::gen::inRange(1, 8);
    for (int I = 0; I < Count; ++I)
      Known.Slots.push_back(*rc::gen::inRange(1, 5));
    Known.IsLeaving.assign(Known.Slots.size(), false);
    Known.Floor = *rc::gen::inRange(0, 101);
    const PolicySetup Setup = makeSetup(Known.Slots, Known.Floor);
    PooledPolicy Policy(Setup);
    TimePoint Now = TimePoint{} + fromSeconds(100);
    const int Steps = *rc::gen::inRange(1, 120);
    for (int I = 0; I < Steps; ++I) {
      const size_t Server = *rc::gen::inRange<size_t>(0, Known.Slots.size());
      Now += fromMillis(*rc::gen::inRange(0, 2000));
      switch (*rc::gen::inRange(0, 6)) {
      case 0:
        Known.IsLeaving[Server] = !Known.IsLeaving[Server];
        Policy.setLeaving(Server, Known.IsLeaving[Server], Now);
        break;
      case 1:
        Policy.applySummary(
            drawDigest(Setup, *rc::gen::inRange<uint64_t>(1, 50)), Now);
        break;
      case 2:
        Policy.advance(Now);
        break;
      case 3:
        Policy.makeReport(Now);
        break;
      default:
        Policy.recordOutcome(Server, drawOutcome(), Now);
        break;
      }
      checkFloor(Policy, Known);
    }
  }));
}

static EvidenceReport makeReport(const std::string &Source,
                                 const std::string &Hall, uint64_t Sequence,
                                 std::vector<ServerEvidence> Servers) {
  EvidenceReport Report;
  Report.Service = "s";
  Report.Source = Source;
  Report.Hall = Hall;
  Report.Sequence = Sequence;
  Report.UsedServers = 10;
  Report.Servers = std::move(Servers);
  return Report;
}

static EvidencePool makePool(int Floor) {
  std::vector<PooledServer> Servers;
  Servers.reserve(10);
  for (int I = 0; I < 10; ++I)
    Servers.push_back({getServerId("s", fmt::format("{}", I)), 3});
  return EvidencePool("s", "o", getTuning(EjectionPreference::Detection),
                      Servers, Floor, 0);
}

static double getShareOf(EvidencePool &Pool, int Server,
                         const std::string &Hall) {
  const ServerId Id = getServerId("s", fmt::format("{}", Server));
  for (const ServerSummary &Digest : Pool.buildSummary(Hall).Servers)
    if (Digest.Server == Id)
      return Digest.Share;
  return 1;
}

TEST_CASE("one source alone cannot remove a server for others") {
  CHECK(rc::check([] {
    EvidencePool Pool = makePool(0);
    TimePoint Now = TimePoint{} + fromSeconds(10);
    const int Steps = *rc::gen::inRange(1, 60);
    for (int I = 1; I <= Steps; ++I) {
      Now += fromMillis(*rc::gen::inRange(0, 1000));
      std::vector<ServerEvidence> Seen;
      for (int S = 0; S < 10; ++S)
        if (*rc::gen::inRange(0, 3) == 0)
          Seen.push_back({getServerId("s", fmt::format("{}", S)),
                          {0, 0, *rc::gen::inRange<uint32_t>(1, 100)}});
      Pool.mergeReport(
          makeReport("one", "a", static_cast<uint64_t>(I), std::move(Seen)),
          Now);
      Pool.advance(Now);
      for (int S = 0; S < 10; ++S)
        RC_ASSERT(getShareOf(Pool, S, "a") == 1);
    }
  }));
}

TEST_CASE("several sources remove a sick server for all") {
  EvidencePool Pool = makePool(50);
  const TimePoint Now = TimePoint{} + fromSeconds(10);
  const ServerId Sick = getServerId("s", "4");
  for (int I = 0; I < 6; ++I)
    Pool.mergeReport(makeReport(fmt::format("d{}", I), I % 2 ? "a" : "b", 1,
                                {{Sick, {0, 0, 3}}}),
                     Now);
  Pool.advance(Now);
  CHECK(getShareOf(Pool, 4, "a") == 0);
  CHECK(getShareOf(Pool, 4, "c") == 0);
  CHECK(getShareOf(Pool, 5, "a") == 1);
}

TEST_CASE("what one hall sees removes a server for that hall only") {
  EvidencePool Pool = makePool(50);
  const TimePoint Now = TimePoint{} + fromSeconds(10);
  const ServerId Cut = getServerId("s", "4");
  for (int I = 0; I < 6; ++I)
    Pool.mergeReport(
        makeReport(fmt::format("b{}", I), "b", 1, {{Cut, {8, 0, 0}}}), Now);
  for (int I = 0; I < 6; ++I)
    Pool.mergeReport(
        makeReport(fmt::format("a{}", I), "a", 1, {{Cut, {0, 0, 3}}}), Now);
  Pool.advance(Now);
  CHECK(getShareOf(Pool, 4, "a") == 0);
  CHECK(getShareOf(Pool, 4, "b") == 1);
}

TEST_CASE("with three of four sick, two go and the floor keeps the third") {
  std::vector<PooledServer> Servers;
  Servers.reserve(4);
  for (int I = 0; I < 4; ++I)
    Servers.push_back({getServerId("s", fmt::format("{}", I)), 3});
  EvidencePool Pool("s", "o", getTuning(EjectionPreference::Detection), Servers,
                    50, 0);
  TimePoint Now = TimePoint{} + fromSeconds(10);
  for (uint64_t Round = 1; Round <= 20; ++Round) {
    Now += fromMillis(500);
    for (int I = 0; I < 6; ++I) {
      EvidenceReport Report = makeReport(fmt::format("d{}", I), "a", Round,
                                         {{Servers[0].Id, {0, 0, 2}},
                                          {Servers[1].Id, {0, 0, 2}},
                                          {Servers[2].Id, {0, 0, 2}},
                                          {Servers[3].Id, {2, 0, 0}}});
      Report.UsedServers = 4;
      Pool.mergeReport(Report, Now);
    }
    Pool.advance(Now);
  }
  int Removed = 0;
  for (int S = 0; S < 4; ++S)
    Removed += getShareOf(Pool, S, "a") < 0.05;
  CHECK(Removed == 2);
  CHECK(getShareOf(Pool, 3, "a") == 1);
}

TEST_CASE("one stray answer at the sound server does not keep sick ones") {
  // A single slow answer among many good ones, before or after the others fall
  // sick, once or every few seconds, must not make a daemon look as if all it
  // uses failed.
  for (const uint64_t EveryRounds : {1000, 8}) {
    for (const uint64_t FirstRound : {1, 5}) {
      std::vector<PooledServer> Servers;
      Servers.reserve(4);
      for (int I = 0; I < 4; ++I)
        Servers.push_back({getServerId("s", fmt::format("{}", I)), 3});
      EvidencePool Pool("s", "o", getTuning(EjectionPreference::Detection),
                        Servers, 50, 0);
      TimePoint Now = TimePoint{} + fromSeconds(10);
      for (uint64_t Round = 1; Round <= 20; ++Round) {
        Now += fromMillis(500);
        const bool IsStray =
            Round >= FirstRound && (Round - FirstRound) % EveryRounds == 0;
        for (int I = 0; I < 3; ++I) {
          EvidenceReport Report =
              makeReport(fmt::format("d{}", I), "a", Round, {});
          Report.UsedServers = 4;
          Report.OtherGood = IsStray ? 0 : 8;
          if (IsStray)
            Report.Servers.push_back({Servers[3].Id, {7, 1, 0}});
          if (Round > 3)
            for (size_t S = 0; S < 3; ++S)
              Report.Servers.push_back({Servers[S].Id, {0, 0, 2}});
          Pool.mergeReport(Report, Now);
        }
        Pool.advance(Now);
      }
      int Removed = 0;
      for (int S = 0; S < 3; ++S)
        Removed += getShareOf(Pool, S, "a") < 0.05;
      CHECK(Removed == 2);
      CHECK(getShareOf(Pool, 3, "a") == 1);
    }
  }
}

TEST_CASE("a report that arrives twice counts once") {
  EvidencePool Pool = makePool(50);
  const TimePoint Now = TimePoint{} + fromSeconds(10);
  const ServerId Some = getServerId("s", "4");
  for (int Times = 0; Times < 20; ++Times)
    for (int I = 0; I < 3; ++I)
      Pool.mergeReport(
          makeReport(fmt::format("d{}", I), "a", 1, {{Some, {0, 0, 1}}}), Now);
  Pool.advance(Now);
  Pool.advance(Now + fromSeconds(1));
  // Three failures are not enough by themselves for this to be certain.
  const double Once = 3 * 4.0;
  CHECK(Once > getTuning(EjectionPreference::Detection).Threshold);
  CHECK(Pool.buildSummary("a").Servers.size() <= 1);
}

TEST_CASE("a source that sees most servers fail is not believed") {
  EvidencePool Pool = makePool(0);
  const TimePoint Now = TimePoint{} + fromSeconds(10);
  for (int I = 0; I < 5; ++I) {
    std::vector<ServerEvidence> All;
    All.reserve(10);
    for (int S = 0; S < 10; ++S)
      All.push_back({getServerId("s", fmt::format("{}", S)), {0, 0, 2}});
    Pool.mergeReport(makeReport(fmt::format("d{}", I), "a", 1, All), Now);
    CHECK(!Pool.isCredible(fmt::format("d{}", I), Now));
  }
  Pool.advance(Now);
  for (int S = 0; S < 10; ++S)
    CHECK(getShareOf(Pool, S, "a") == 1);
}

TEST_CASE("a removed server comes back by steps, and a flapping one slower") {
  ScopeTracker Tracker(getTuning(EjectionPreference::Detection), 10);
  TimePoint Now = TimePoint{} + fromSeconds(10);
  RemovalRules Rules;
  Rules.Slots.assign(10, 3);
  const auto Fail = [&] {
    while (Tracker.getPhase(0) != HealthPhase::Removed) {
      Tracker.addCounts(0, {0, 0, 1}, 100, Now);
      Tracker.advance(Now, Rules);
    }
  };
  const auto MeasureAway = [&] {
    const TimePoint Since = Now;
    while (Tracker.getShare(0) == 0) {
      Now += fromMillis(100);
      Tracker.advance(Now, Rules);
    }
    return Now - Since;
  };
  Fail();
  const Duration First = MeasureAway();
  Fail();
  const Duration Second = MeasureAway();
  CHECK(Second > First * 1.5);
  double Last = 0;
  for (int I = 0; I < 100 && Tracker.getShare(0) < 1; ++I) {
    CHECK(Tracker.getShare(0) >= Last);
    Last = Tracker.getShare(0);
    Tracker.addCounts(0, {1, 0, 0}, 100, Now);
    Tracker.advance(Now, Rules);
  }
  CHECK(Tracker.getShare(0) == 1);
}

TEST_CASE("everything slow at once removes nothing") {
  ScopeTracker Tracker(getTuning(EjectionPreference::Detection), 8);
  TimePoint Now = TimePoint{} + fromSeconds(10);
  RemovalRules Rules;
  Rules.Slots.assign(8, 3);
  for (int I = 0; I < 600; ++I) {
    Now += fromMillis(100);
    for (size_t S = 0; S < 8; ++S)
      Tracker.addCounts(S, {1, 1, 0}, 100, Now);
    Tracker.advance(Now, Rules);
    for (size_t S = 0; S < 8; ++S)
      REQUIRE(Tracker.getShare(S) == 1);
  }
}
