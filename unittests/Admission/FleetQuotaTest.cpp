//===- FleetQuotaTest.cpp - Tests of fleet-wide rate limits ---------------===//
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

/// Bounds without slack, and the users' bounds.
static const QuotaBounds NoSlack;
static const QuotaBounds UsersBounds{fromSeconds(5), 0.1, 20};

static OrganisationDirectoryRef makeOne(double Rate, double Burst,
                                        const std::string &Name = "o") {
  return makeOrganisationDirectory({{Name, Rate, Burst, {}, {}}}, true);
}

static FleetQuota makeAlone(double Rate, double Burst,
                            const std::string &Name = "o") {
  FleetQuota Quota(NoSlack, Begin, 0);
  Quota.configure(makeOne(Rate, Burst, Name), Begin);
  return Quota;
}

TEST_CASE("a lone daemon never admits more than the burst and the rate") {
  CHECK(rc::check([] {
    const int Rate = *rc::gen::inRange(1, 50);
    const int Burst = *rc::gen::inRange(1, 50);
    FleetQuota Quota = makeAlone(Rate, Burst);
    TimePoint Now = Begin;
    int Admitted = 0;
    const int Steps = *rc::gen::inRange(1, 200);
    for (int I = 0; I < Steps; ++I) {
      Now += fromMillis(*rc::gen::inRange(0, 100));
      const QuotaAnswer Answer = Quota.admit("o", Now);
      Admitted += Answer.IsAdmitted ? 1 : 0;
      RC_ASSERT(Answer.Wait >= Duration::zero());
      if (*rc::gen::inRange(0, 10) == 0)
        Quota.forgetIdle(Now);
    }
    RC_ASSERT(Admitted <= Burst + Rate * toSeconds(Now - Begin) + 1e-6);
  }));
}

TEST_CASE("the wait in a refusal of a lone daemon is exactly long enough") {
  FleetQuota Quota = makeAlone(2, 1);
  CHECK(Quota.admit("o", Begin).IsAdmitted);
  const QuotaAnswer Refused = Quota.admit("o", Begin);
  CHECK_FALSE(Refused.IsAdmitted);
  CHECK(Refused.Wait == fromMillis(500));
  CHECK(Quota.admit("o", Begin + Refused.Wait).IsAdmitted);
}

TEST_CASE("idle organisations take no memory") {
  std::vector<OrganisationConfig> All;
  All.reserve(1000);
  for (int I = 0; I < 1000; ++I)
    All.push_back({fmt::format("o{}", I), 10, 10, {}, {}});
  FleetQuota Quota(NoSlack, Begin, 0);
  Quota.configure(makeOrganisationDirectory(All, true), Begin);
  for (const OrganisationConfig &Each : All)
    CHECK(Quota.admit(Each.Name, Begin).IsAdmitted);
  CHECK(Quota.countAccounts() == 1000);
  Quota.forgetIdle(Begin + fromSeconds(60));
  CHECK(Quota.countAccounts() == 0);
}

TEST_CASE("requests without an organisation have the limits of default") {
  FleetQuota Quota = makeAlone(1, 1, DefaultOrganisation);
  CHECK(Quota.admit("", Begin).IsAdmitted);
  CHECK_FALSE(Quota.admit("", Begin).IsAdmitted);
  FleetQuota Free = makeAlone(1, 1);
  for (int I = 0; I < 100; ++I)
    CHECK(Free.admit("", Begin).IsAdmitted);
}

TEST_CASE("without a rate there is no limit, also after a rate was removed") {
  FleetQuota Quota = makeAlone(0, 0);
  CHECK_FALSE(Quota.hasLimits());
  for (int I = 0; I < 100; ++I)
    CHECK(Quota.admit("o", Begin).IsAdmitted);
  Quota.configure(makeOne(1, 1), Begin);
  CHECK(Quota.hasLimits());
  CHECK(Quota.admit("o", Begin).IsAdmitted);
  CHECK_FALSE(Quota.admit("o", Begin).IsAdmitted);
  Quota.configure(makeOne(0, 0), Begin);
  CHECK(Quota.admit("o", Begin).IsAdmitted);
}

TEST_CASE("requests that were not executed are refunded") {
  FleetQuota Quota = makeAlone(1, 1);
  for (int I = 0; I < 10; ++I) {
    CHECK(Quota.admit("o", Begin).IsAdmitted);
    Quota.giveBack("o", Begin);
  }
}

TEST_CASE("a change of other organisations does not affect a bucket") {
  FleetQuota Quota = makeAlone(1, 3);
  CHECK(Quota.admit("o", Begin).IsAdmitted);
  Quota.configure(makeOrganisationDirectory(
                      {{"o", 1, 3, {}, {}}, {"p", 1, 1, {}, {}}}, true),
                  Begin);
  CHECK(Quota.admit("o", Begin).IsAdmitted);
  CHECK(Quota.admit("o", Begin).IsAdmitted);
  CHECK_FALSE(Quota.admit("o", Begin).IsAdmitted);
  // An organisation that is removed and added again has at most the tokens that
  // it would have accumulated.
  Quota.configure(makeOne(1, 1, "p"), Begin);
  Quota.configure(makeOne(1, 3), Begin + fromSeconds(1));
  int Admitted = 0;
  for (int I = 0; I < 10; ++I)
    Admitted += Quota.admit("o", Begin + fromSeconds(1)).IsAdmitted;
  CHECK(Admitted <= 3);
}

//===-- A daemon and its peers --------------------------------------------===//

namespace {

/// A daemon with two peers in its hall and one other hall of three daemons,
/// which report every 100 ms.
class OneDaemon {
public:
  OneDaemon(double Rate, double Burst)
      : Quota(UsersBounds, Begin - fromSeconds(100), 0.5) {
    this->Quota.getLiveness().setFleet({"d2", "d3"}, {{"h2", 3}}, Begin);
    this->Quota.configure(makeOne(Rate, Burst), Begin);
  }

  /// Advances the time while each peer and the other hall admit the given
  /// requests a second.
  void pass(Duration Span, double PeerRate, double OtherHallRate) {
    const TimePoint End = this->Now + Span;
    while (this->Now < End) {
      this->Now += fromMillis(100);
      this->PeerAdmitted += PeerRate / 10;
      this->OtherHallAdmitted += OtherHallRate / 10;
      const OrganisationId Id = getOrganisationId("o");
      for (const char *Peer : {"d2", "d3"})
        this->Quota.applyPeerUsage(
            Peer, {{Id, PeerRate, static_cast<int64_t>(this->PeerAdmitted)}},
            this->Now);
      this->Quota.applyHallUsage(
          "h2", "t",
          {{Id, OtherHallRate, static_cast<int64_t>(this->OtherHallAdmitted)}},
          this->Now);
    }
  }

  int sendMany(int Count) {
    int Admitted = 0;
    for (int I = 0; I < Count; ++I)
      Admitted += this->Quota.admit("o", this->Now).IsAdmitted ? 1 : 0;
    return Admitted;
  }

  FleetQuota Quota;
  TimePoint Now = Begin;
  double PeerAdmitted = 0;
  double OtherHallAdmitted = 0;
};

} // namespace

TEST_CASE("a daemon may use the rate that the others leave") {
  OneDaemon Fleet(100, 100);
  Fleet.pass(fromSeconds(10), 5, 5);
  // 85 requests a second are left, sent evenly.
  int Admitted = 0;
  for (int I = 0; I < 50; ++I) {
    Fleet.pass(fromMillis(100), 5, 5);
    Admitted += Fleet.sendMany(8);
  }
  CHECK(Admitted == 400);
}

TEST_CASE("a daemon may not use the rate that the others use") {
  OneDaemon Fleet(100, 100);
  // For a long time, the others use more than the rate.
  Fleet.pass(fromSeconds(10), 30, 60);
  int Admitted = 0;
  for (int I = 0; I < 50; ++I) {
    Fleet.pass(fromMillis(100), 30, 60);
    Admitted += Fleet.sendMany(10);
  }
  // The others use 20 of 100 requests more than the rate.
  CHECK(Admitted < 50);
}

TEST_CASE("duplicate and lost messages change little") {
  OneDaemon Once(100, 100);
  OneDaemon Twice(100, 100);
  const OrganisationId Id = getOrganisationId("o");
  for (int I = 1; I <= 100; ++I) {
    Once.Now = Twice.Now = Begin + fromMillis(100 * I);
    const std::vector<QuotaUsage> Reported = {{Id, 100, 10 * I}};
    Once.Quota.applyPeerUsage("d2", Reported, Once.Now);
    Twice.Quota.applyPeerUsage("d2", Reported, Twice.Now);
    Twice.Quota.applyPeerUsage("d2", Reported, Twice.Now);
    // Every third message is lost.
    if (I % 3 != 0)
      Twice.Quota.applyPeerUsage("d3", {{Id, 0, 0}}, Twice.Now);
    Once.Quota.applyPeerUsage("d3", {{Id, 0, 0}}, Once.Now);
  }
  const double Tokens = Once.Quota.describe(1, Once.Now)[0].Tokens;
  CHECK(Twice.Quota.describe(1, Twice.Now)[0].Tokens ==
        doctest::Approx(Tokens).epsilon(0.01));
}

TEST_CASE("a restarted peer is not charged its first count") {
  OneDaemon Fleet(100, 100);
  Fleet.pass(fromSeconds(10), 10, 10);
  const double Before = Fleet.Quota.describe(1, Fleet.Now)[0].Tokens;
  Fleet.PeerAdmitted = 0;
  Fleet.pass(fromMillis(100), 10, 10);
  CHECK(Fleet.Quota.describe(1, Fleet.Now)[0].Tokens >= Before - 10);
}

TEST_CASE("a restarted peer refunds nothing") {
  OneDaemon Fleet(100, 100);
  // The bucket is empty, and this peer has admitted 60 of the requests that
  // emptied it.
  Fleet.pass(fromSeconds(3), 20, 200);
  const double Before = Fleet.Quota.describe(1, Fleet.Now)[0].Tokens;
  CHECK(Before < 0);
  Fleet.PeerAdmitted = 0;
  Fleet.pass(fromMillis(100), 20, 200);
  // A tenth of a second refills ten tokens.
  CHECK(Fleet.Quota.describe(1, Fleet.Now)[0].Tokens <= Before + 10);
}

TEST_CASE("an isolated daemon continues at its typical rate and no higher") {
  OneDaemon Fleet(60, 60);
  for (int I = 0; I < 200; ++I) {
    Fleet.pass(fromMillis(100), 10, 10);
    CHECK(Fleet.sendMany(1) == 1);
  }
  // No daemon is heard from any more, and the demand here is ten times the
  // typical one.
  int Admitted = 0;
  const int Seconds = 20;
  for (int I = 0; I < Seconds * 10; ++I) {
    Fleet.Now += fromMillis(100);
    Admitted += Fleet.sendMany(10);
  }
  // 10 a second are typical; 20 are typically unused, of which a sixth is this
  // daemon's. To this come, once, a bucket of 60 and the quarter of a second
  // until the silence is detected.
  CHECK(Admitted >= 10 * Seconds);
  CHECK(Admitted <= (10 + 20.0 / 6) * Seconds + 60 + 25);
}

TEST_CASE("a daemon that was isolated for a moment loses no tokens") {
  OneDaemon Fleet(60, 60);
  Fleet.pass(fromSeconds(20), 5, 5);
  const double Before = Fleet.Quota.describe(1, Fleet.Now)[0].Tokens;
  Fleet.Now += fromMillis(600);
  CHECK(Fleet.sendMany(1) == 1);
  Fleet.pass(fromMillis(100), 5, 5);
  CHECK(Fleet.Quota.describe(1, Fleet.Now)[0].Tokens >= Before - 10);
}

TEST_CASE(
    "the waits of refused requests are spread over the time to serve them") {
  OneDaemon Fleet(10, 10);
  Fleet.pass(fromSeconds(10), 10, 10);
  std::vector<Duration> Waits;
  for (int I = 0; I < 50; ++I) {
    Fleet.pass(fromMillis(100), 10, 10);
    for (int K = 0; K < 5; ++K) {
      const QuotaAnswer Answer = Fleet.Quota.admit("o", Fleet.Now);
      if (!Answer.IsAdmitted)
        Waits.push_back(Answer.Wait);
    }
  }
  REQUIRE(Waits.size() > 100);
  const auto [Shortest, Longest] =
      std::minmax_element(Waits.begin(), Waits.end());
  CHECK(*Shortest >= fromMillis(100));
  CHECK(*Longest <= UsersBounds.Window);
  CHECK(*Longest - *Shortest > fromSeconds(1));
}

TEST_CASE("a daemon reports its demand until it has decayed") {
  OneDaemon Fleet(100, 100);
  CHECK(Fleet.sendMany(3) == 3);
  std::vector<QuotaUsage> Usages = Fleet.Quota.drainUsageChanges(10, Fleet.Now);
  REQUIRE(Usages.size() == 1);
  CHECK(Usages[0].Admitted == 3);
  CHECK(Usages[0].Demand > 0);
  for (int I = 0; I < 100 && !Usages.empty(); ++I) {
    Fleet.Now += fromMillis(100);
    Usages = Fleet.Quota.drainUsageChanges(10, Fleet.Now);
  }
  CHECK(Usages.empty());
}

TEST_CASE("the first daemon that is heard from reports for its hall") {
  OneDaemon Fleet(100, 100);
  Fleet.pass(fromSeconds(1), 0, 0);
  CHECK(Fleet.Quota.getLiveness().isHallReporter("d1", Fleet.Now));
  CHECK_FALSE(Fleet.Quota.getLiveness().isHallReporter("d9", Fleet.Now));
  Fleet.Now += fromSeconds(5);
  CHECK(Fleet.Quota.getLiveness().isHallReporter("d9", Fleet.Now));
}

TEST_CASE("the demand of a daemon that has left no longer counts") {
  OneDaemon Fleet(100, 100);
  Fleet.pass(fromSeconds(5), 40, 5);
  // One of the two peers with high demand is no longer listed.
  Fleet.Quota.getLiveness().setFleet({"d3"}, {{"h2", 3}}, Fleet.Now);
  for (int I = 0; I < 50; ++I) {
    Fleet.Now += fromMillis(100);
    Fleet.Quota.applyPeerUsage("d3", {}, Fleet.Now);
    Fleet.Quota.applyHallUsage("h2", "t", {}, Fleet.Now);
  }
  CHECK(Fleet.sendMany(1) == 1);
  // 40 from the remaining peer, 5 from the other hall, 4 for the one request
  // here.
  CHECK(Fleet.Quota.describe(1, Fleet.Now)[0].FleetDemand < 40 + 5 + 5);
  Fleet.Quota.forgetIdle(Fleet.Now);
  CHECK(Fleet.Quota.describe(1, Fleet.Now)[0].FleetDemand < 40 + 5 + 5);
}

TEST_CASE(
    "requests that others admitted before their first report are charged") {
  // All daemons started together a moment ago. The bucket holds at most 7
  // tokens then; the others report 20 requests that they admitted.
  FleetQuota Quota(UsersBounds, Begin, 0);
  Quota.configure(makeOne(8, 8), Begin);
  std::vector<std::string> Others;
  Others.reserve(20);
  for (int I = 0; I < 20; ++I)
    Others.push_back(fmt::format("d{}", I));
  Quota.getLiveness().setFleet(Others, {}, Begin);
  const TimePoint Now = Begin + fromMillis(250);
  for (const std::string &Each : Others)
    Quota.applyPeerUsage(Each, {{getOrganisationId("o"), 4, 1}}, Now);
  CHECK_FALSE(Quota.admit("o", Now).IsAdmitted);
  // For a busy daemon that has run for long, only its recent demand counts.
  FleetQuota Late(UsersBounds, Begin, 0);
  Late.configure(makeOne(100, 100), Begin);
  Late.getLiveness().setFleet({"d0"}, {}, Begin);
  Late.applyPeerUsage("d0", {{getOrganisationId("o"), 4, 100000}}, Now);
  CHECK(Late.admit("o", Now).IsAdmitted);
}
