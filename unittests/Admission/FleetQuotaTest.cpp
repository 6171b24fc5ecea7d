//===- FleetQuotaTest.cpp - Tests of organisations' rates -----------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//

#include "canvaswick/Admission/FleetQuota.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace canvaswick;

static const TimePoint Begin = TimePoint{} + fromSeconds(1000);

/// A daemon of a fleet that states no slack, or the users' one.
static const QuotaBounds NoSlack;
static const QuotaBounds UsersBounds{fromSeconds(5), 0.1, 20};

static OrganisationDirectoryRef makeOne(double Rate, double Burst,
                                        const std::string &Name = "o") {
  return makeOrganisationDirectory({{Name, Rate, Burst, {}, {}}}, true);
}

static FleetQuota makeAlone(double Rate, double Burst,
                            const std::string &Name = "o") {
  FleetQuota Allowance(NoSlack, Begin, 0);
  Allowance.configure(makeOne(Rate, Burst, Name), Begin);
  return Allowance;
}

TEST_CASE("a daemon alone never admits more than the burst and the rate") {
  CHECK(rc::check([] {
    const int Rate = *rc::gen::inRange(1, 50);
    const int Burst = *rc::gen::inRange(1, 50);
    FleetQuota Allowance = makeAlone(Rate, Burst);
    TimePoint Now = Begin;
    int Admitted = 0;
    const int Steps = *rc::gen::inRange(1, 200);
    for (int I = 0; I < Steps; ++I) {
      Now += fromMillis(*rc::gen::inRange(0, 100));
      const QuotaAnswer Answer = Allowance.admit("o", Now);
      Admitted += Answer.IsAdmitted ? 1 : 0;
      RC_ASSERT(Answer.Wait >= Duration::zero());
      if (*rc::gen::inRange(0, 10) == 0)
        Allowance.forgetIdle(Now);
    }
    RC_ASSERT(Admitted <= Burst + Rate * toSeconds(Now - Begin) + 1e-6);
  }));
}

TEST_CASE("the wait that a daemon alone tells is long enough, and no longer") {
  FleetQuota Allowance = makeAlone(2, 1);
  CHECK(Allowance.admit("o", Begin).IsAdmitted);
  const QuotaAnswer Refused = Allowance.admit("o", Begin);
  CHECK_FALSE(Refused.IsAdmitted);
  CHECK(Refused.Wait == fromMillis(500));
  CHECK(Allowance.admit("o", Begin + Refused.Wait).IsAdmitted);
}

TEST_CASE("idle organisations take no memory") {
  std::vector<OrganisationConfig> All;
  All.reserve(1000);
  for (int I = 0; I < 1000; ++I)
    All.push_back({fmt::format("o{}", I), 10, 10, {}, {}});
  FleetQuota Allowance(NoSlack, Begin, 0);
  Allowance.configure(makeOrganisationDirectory(All, true), Begin);
  for (const OrganisationConfig &Each : All)
    CHECK(Allowance.admit(Each.Name, Begin).IsAdmitted);
  CHECK(Allowance.countAccounts() == 1000);
  Allowance.forgetIdle(Begin + fromSeconds(60));
  CHECK(Allowance.countAccounts() == 0);
}

TEST_CASE("callers of no organisation have the limits called default") {
  FleetQuota Allowance = makeAlone(1, 1, DefaultOrganisation);
  CHECK(Allowance.admit("", Begin).IsAdmitted);
  CHECK_FALSE(Allowance.admit("", Begin).IsAdmitted);
  FleetQuota Free = makeAlone(1, 1);
  for (int I = 0; I < 100; ++I)
    CHECK(Free.admit("", Begin).IsAdmitted);
}

TEST_CASE("no rate is no limit, and a rate that is taken away binds no more") {
  FleetQuota Allowance = makeAlone(0, 0);
  CHECK_FALSE(Allowance.hasLimits());
  for (int I = 0; I < 100; ++I)
    CHECK(Allowance.admit("o", Begin).IsAdmitted);
  Allowance.configure(makeOne(1, 1), Begin);
  CHECK(Allowance.hasLimits());
  CHECK(Allowance.admit("o", Begin).IsAdmitted);
  CHECK_FALSE(Allowance.admit("o", Begin).IsAdmitted);
  Allowance.configure(makeOne(0, 0), Begin);
  CHECK(Allowance.admit("o", Begin).IsAdmitted);
}

TEST_CASE("what was not run is taken off again") {
  FleetQuota Allowance = makeAlone(1, 1);
  for (int I = 0; I < 10; ++I) {
    CHECK(Allowance.admit("o", Begin).IsAdmitted);
    Allowance.giveBack("o", Begin);
  }
}

TEST_CASE("a change of other organisations leaves a bucket as it is") {
  FleetQuota Allowance = makeAlone(1, 3);
  CHECK(Allowance.admit("o", Begin).IsAdmitted);
  Allowance.configure(makeOrganisationDirectory(
                          {{"o", 1, 3, {}, {}}, {"p", 1, 1, {}, {}}}, true),
                      Begin);
  CHECK(Allowance.admit("o", Begin).IsAdmitted);
  CHECK(Allowance.admit("o", Begin).IsAdmitted);
  CHECK_FALSE(Allowance.admit("o", Begin).IsAdmitted);
  // An organisation that goes and comes back has what it would have saved at
  // most.
  Allowance.configure(makeOne(1, 1, "p"), Begin);
  Allowance.configure(makeOne(1, 3), Begin + fromSeconds(1));
  int Admitted = 0;
  for (int I = 0; I < 10; ++I)
    Admitted += Allowance.admit("o", Begin + fromSeconds(1)).IsAdmitted;
  CHECK(Admitted <= 3);
}

//===-- A daemon and those that it hears ----------------------------------===//

namespace {

/// A daemon among two others of its hall and one other hall of three, which
/// tell it every 100 ms that they are there.
class OneDaemon {
public:
  OneDaemon(double Rate, double Burst)
      : Allowance(UsersBounds, Begin - fromSeconds(100), 0.5) {
    this->Allowance.getLiveness().setFleet({"d2", "d3"}, {{"h2", 3}}, Begin);
    this->Allowance.configure(makeOne(Rate, Burst), Begin);
  }

  /// Lets time pass in which others admit so many requests a second each.
  void pass(Duration Span, double NearRate, double FarRate) {
    const TimePoint End = this->Now + Span;
    while (this->Now < End) {
      this->Now += fromMillis(100);
      this->NearCount += NearRate / 10;
      this->FarCount += FarRate / 10;
      const OrganisationId Id = getOrganisationId("o");
      for (const char *Peer : {"d2", "d3"})
        this->Allowance.applyPeerUsage(
            Peer, {{Id, NearRate, static_cast<int64_t>(this->NearCount)}},
            this->Now);
      this->Allowance.applyHallUsage(
          "h2", "t", {{Id, FarRate, static_cast<int64_t>(this->FarCount)}},
          this->Now);
    }
  }

  int askMany(int Count) {
    int Admitted = 0;
    for (int I = 0; I < Count; ++I)
      Admitted += this->Allowance.admit("o", this->Now).IsAdmitted ? 1 : 0;
    return Admitted;
  }

  FleetQuota Allowance;
  TimePoint Now = Begin;
  double NearCount = 0;
  double FarCount = 0;
};

} // namespace

TEST_CASE("while others ask little, a daemon may use what they leave") {
  OneDaemon Fleet(100, 100);
  Fleet.pass(fromSeconds(10), 5, 5);
  // 85 a second are left, asked evenly.
  int Admitted = 0;
  for (int I = 0; I < 50; ++I) {
    Fleet.pass(fromMillis(100), 5, 5);
    Admitted += Fleet.askMany(8);
  }
  CHECK(Admitted == 400);
}

TEST_CASE("what others use is not there for this daemon") {
  OneDaemon Fleet(100, 100);
  // All of it and more, for long.
  Fleet.pass(fromSeconds(10), 30, 60);
  int Admitted = 0;
  for (int I = 0; I < 50; ++I) {
    Fleet.pass(fromMillis(100), 30, 60);
    Admitted += Fleet.askMany(10);
  }
  // 20 of 100 too many are used without this daemon.
  CHECK(Admitted < 50);
}

TEST_CASE("a message that comes twice or not at all changes little") {
  OneDaemon Once(100, 100);
  OneDaemon Twice(100, 100);
  const OrganisationId Id = getOrganisationId("o");
  for (int I = 1; I <= 100; ++I) {
    Once.Now = Twice.Now = Begin + fromMillis(100 * I);
    const std::vector<QuotaUsage> Told = {{Id, 100, 10 * I}};
    Once.Allowance.applyPeerUsage("d2", Told, Once.Now);
    Twice.Allowance.applyPeerUsage("d2", Told, Twice.Now);
    Twice.Allowance.applyPeerUsage("d2", Told, Twice.Now);
    // Every third is lost.
    if (I % 3 != 0)
      Twice.Allowance.applyPeerUsage("d3", {{Id, 0, 0}}, Twice.Now);
    Once.Allowance.applyPeerUsage("d3", {{Id, 0, 0}}, Once.Now);
  }
  const double Tokens = Once.Allowance.describe(1, Once.Now)[0].Tokens;
  CHECK(Twice.Allowance.describe(1, Twice.Now)[0].Tokens ==
        doctest::Approx(Tokens).epsilon(0.01));
}

TEST_CASE("a peer that starts anew is not charged what it counts from") {
  OneDaemon Fleet(100, 100);
  Fleet.pass(fromSeconds(10), 10, 10);
  const double Before = Fleet.Allowance.describe(1, Fleet.Now)[0].Tokens;
  Fleet.NearCount = 0;
  Fleet.pass(fromMillis(100), 10, 10);
  CHECK(Fleet.Allowance.describe(1, Fleet.Now)[0].Tokens >= Before - 10);
}

TEST_CASE("a peer that starts anew gives nothing back") {
  OneDaemon Fleet(100, 100);
  // The bucket is empty, and this peer has admitted 60 of what was in it.
  Fleet.pass(fromSeconds(3), 20, 200);
  const double Before = Fleet.Allowance.describe(1, Fleet.Now)[0].Tokens;
  CHECK(Before < 0);
  Fleet.NearCount = 0;
  Fleet.pass(fromMillis(100), 20, 200);
  // A tenth of a second brings ten.
  CHECK(Fleet.Allowance.describe(1, Fleet.Now)[0].Tokens <= Before + 10);
}

TEST_CASE("who is cut off goes on with what is usual for it and no more") {
  OneDaemon Fleet(60, 60);
  for (int I = 0; I < 200; ++I) {
    Fleet.pass(fromMillis(100), 10, 10);
    CHECK(Fleet.askMany(1) == 1);
  }
  // Nobody is heard any more, and ten times as much is asked here.
  int Admitted = 0;
  const int Seconds = 20;
  for (int I = 0; I < Seconds * 10; ++I) {
    Fleet.Now += fromMillis(100);
    Admitted += Fleet.askMany(10);
  }
  // 10 a second are usual, 20 are left by all and a sixth of these is its own.
  // Once come a bucket of 60 and the quarter of a second in which the silence
  // has not shown.
  CHECK(Admitted >= 10 * Seconds);
  CHECK(Admitted <= (10 + 20.0 / 6) * Seconds + 60 + 25);
}

TEST_CASE("who is cut off for a moment has lost nothing when that is over") {
  OneDaemon Fleet(60, 60);
  Fleet.pass(fromSeconds(20), 5, 5);
  const double Before = Fleet.Allowance.describe(1, Fleet.Now)[0].Tokens;
  Fleet.Now += fromMillis(600);
  CHECK(Fleet.askMany(1) == 1);
  Fleet.pass(fromMillis(100), 5, 5);
  CHECK(Fleet.Allowance.describe(1, Fleet.Now)[0].Tokens >= Before - 10);
}

TEST_CASE("those that wait are told times that spread over serving them") {
  OneDaemon Fleet(10, 10);
  Fleet.pass(fromSeconds(10), 10, 10);
  std::vector<Duration> Waits;
  for (int I = 0; I < 50; ++I) {
    Fleet.pass(fromMillis(100), 10, 10);
    for (int K = 0; K < 5; ++K) {
      const QuotaAnswer Answer = Fleet.Allowance.admit("o", Fleet.Now);
      if (!Answer.IsAdmitted)
        Waits.push_back(Answer.Wait);
    }
  }
  REQUIRE(Waits.size() > 100);
  const auto [Least, Most] = std::minmax_element(Waits.begin(), Waits.end());
  CHECK(*Least >= fromMillis(100));
  CHECK(*Most <= UsersBounds.Window);
  CHECK(*Most - *Least > fromSeconds(1));
}

TEST_CASE("a daemon tells what was asked until that has faded") {
  OneDaemon Fleet(100, 100);
  CHECK(Fleet.askMany(3) == 3);
  std::vector<QuotaUsage> News =
      Fleet.Allowance.drainUsageChanges(10, Fleet.Now);
  REQUIRE(News.size() == 1);
  CHECK(News[0].Admitted == 3);
  CHECK(News[0].Demand > 0);
  for (int I = 0; I < 100 && !News.empty(); ++I) {
    Fleet.Now += fromMillis(100);
    News = Fleet.Allowance.drainUsageChanges(10, Fleet.Now);
  }
  CHECK(News.empty());
}

TEST_CASE("the first daemon that is heard tells of its hall") {
  OneDaemon Fleet(100, 100);
  Fleet.pass(fromSeconds(1), 0, 0);
  CHECK(Fleet.Allowance.getLiveness().isHallReporter("d1", Fleet.Now));
  CHECK_FALSE(Fleet.Allowance.getLiveness().isHallReporter("d9", Fleet.Now));
  Fleet.Now += fromSeconds(5);
  CHECK(Fleet.Allowance.getLiveness().isHallReporter("d9", Fleet.Now));
}

TEST_CASE("what a daemon asked that has left is not asked any more") {
  OneDaemon Fleet(100, 100);
  Fleet.pass(fromSeconds(5), 40, 5);
  // One of the two that asked much is gone from the list for good.
  Fleet.Allowance.getLiveness().setFleet({"d3"}, {{"h2", 3}}, Fleet.Now);
  for (int I = 0; I < 50; ++I) {
    Fleet.Now += fromMillis(100);
    Fleet.Allowance.applyPeerUsage("d3", {}, Fleet.Now);
    Fleet.Allowance.applyHallUsage("h2", "t", {}, Fleet.Now);
  }
  CHECK(Fleet.askMany(1) == 1);
  // 40 of the one that is there, 5 of the other hall, 4 that one request looks
  // like.
  CHECK(Fleet.Allowance.describe(1, Fleet.Now)[0].FleetDemand < 40 + 5 + 5);
  Fleet.Allowance.forgetIdle(Fleet.Now);
  CHECK(Fleet.Allowance.describe(1, Fleet.Now)[0].FleetDemand < 40 + 5 + 5);
}

TEST_CASE("what others admitted before they were first heard is charged") {
  // All started together a moment ago. The bucket holds 7 at most then; the
  // others tell of 20 requests that they have admitted.
  FleetQuota Allowance(UsersBounds, Begin, 0);
  Allowance.configure(makeOne(8, 8), Begin);
  std::vector<std::string> Others;
  Others.reserve(20);
  for (int I = 0; I < 20; ++I)
    Others.push_back(fmt::format("d{}", I));
  Allowance.getLiveness().setFleet(Others, {}, Begin);
  const TimePoint Now = Begin + fromMillis(250);
  for (const std::string &Each : Others)
    Allowance.applyPeerUsage(Each, {{getOrganisationId("o"), 4, 1}}, Now);
  CHECK_FALSE(Allowance.admit("o", Now).IsAdmitted);
  // Of a busy daemon that has long run only what it was asked of late counts.
  FleetQuota Late(UsersBounds, Begin, 0);
  Late.configure(makeOne(100, 100), Begin);
  Late.getLiveness().setFleet({"d0"}, {}, Begin);
  Late.applyPeerUsage("d0", {{getOrganisationId("o"), 4, 100000}}, Now);
  CHECK(Late.admit("o", Now).IsAdmitted);
}
