//===- QuotaAgentTest.cpp - Tests of the quota exchange -------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests the encoding and the order of messages, and what is relayed. The
/// session `allowances` tests whole daemons that enforce one quota together.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Daemon/QuotaAgent.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace canvaswick;

static const TimePoint Begin = TimePoint{} + fromSeconds(1000);

namespace {

/// An agent without reachable peers, and an organisation that has a limit.
struct AgentFixture {
  AgentFixture() {
    this->Config.Name = "self";
    this->Config.Hall = "a";
    this->Organisations.configure(
        makeOrganisationDirectory({{"o", 1, 20, {}, {}}}, true), Begin);
    this->Organisations.with([](FleetQuota &Quota) {
      Quota.getLiveness().setFleet({"near"}, {{"b", 1}}, Begin);
    });
  }

  /// Returns the organisation's remaining tokens as the agent's daemon knows
  /// them.
  double getTokens(TimePoint Now) {
    return this->Organisations.with([Now](FleetQuota &Quota) {
      const std::vector<QuotaStatus> Known = Quota.describe(1, Now);
      return Known.empty() ? 20 : Known[0].Tokens;
    });
  }

  DaemonConfig Config;
  CounterTable Counters;
  PeerCaller Caller{&this->Counters};
  PlatformClient Platform{Endpoint{"127.0.0.1", 1}, &this->Counters};
  WorkerPool Calls{WorkerPoolLimits{}};
  FleetRuntimeSlot Fleet;
  ServerNoticeTable Notices;
  ControlContext Context{
      this->Config, this->Counters, this->Caller,  this->Platform,
      this->Calls,  this->Fleet,    this->Notices, 7000};
  MembershipAgent Members{this->Context};
  OrganisationQuotas Organisations{QuotaBounds(), Begin, 0};
  QuotaAgent Agent{this->Context, this->Members, this->Organisations};
};

} // namespace

static QuotaMessage makeLocalMessage(uint64_t Sequence, int64_t Admitted) {
  QuotaMessage Message;
  Message.Source = "near";
  Message.Hall = "a";
  Message.Sequence = Sequence;
  Message.Usages = {{getOrganisationId("o"), 4, Admitted}};
  return Message;
}

static HallUsage drawHallUsage() {
  HallUsage Report;
  Report.Hall = *rc::gen::arbitrary<std::string>();
  Report.Reporter = *rc::gen::arbitrary<std::string>();
  Report.Sequence = *rc::gen::arbitrary<uint64_t>();
  Report.Usages.push_back(
      {static_cast<OrganisationId>(*rc::gen::inRange<int64_t>(0, 1 << 30)),
       *rc::gen::inRange(0, 100000) / 100.0,
       *rc::gen::inRange<int64_t>(-3, 1000000)});
  return Report;
}

TEST_CASE("a quota message survives encoding") {
  CHECK(rc::check([] {
    QuotaMessage Message;
    const HallUsage Report = drawHallUsage();
    Message.Source = Report.Reporter;
    Message.Hall = Report.Hall;
    Message.Sequence = Report.Sequence;
    Message.Usages = drawHallUsage().Usages;
    Message.HallUsages = Report.Usages;
    Message.RelayedHalls = {Report};
    QuotaMessage Read;
    RC_ASSERT(decodeQuotaMessage(encodeQuotaMessage(Message), Read));
    RC_ASSERT(Read == Message);
  }));
}

TEST_CASE("malformed quota messages are rejected") {
  const Json::Value Valid = encodeQuotaMessage(makeLocalMessage(1, 1));
  for (const char *Field : {"f", "h", "n", "o", "a", "p"})
    for (const Json::Value &Wrong :
         {Json::Value(), Json::Value(-1), Json::Value("x"),
          Json::Value(Json::objectValue)}) {
      Json::Value Value = Valid;
      Value[Field] = Wrong;
      // A name may be any text.
      const bool IsName = *Field == 'f' || *Field == 'h';
      QuotaMessage Read;
      CHECK(decodeQuotaMessage(Value, Read) == (IsName && Wrong.isString()));
    }
}

TEST_CASE("a message that arrives after a newer one is ignored") {
  AgentFixture Fixture;
  Fixture.Agent.applyMessage(makeLocalMessage(5, 0), Begin);
  Fixture.Agent.applyMessage(makeLocalMessage(7, 10), Begin);
  const double Left = Fixture.getTokens(Begin);
  CHECK(Left == 10);
  Fixture.Agent.applyMessage(makeLocalMessage(6, 4), Begin);
  Fixture.Agent.applyMessage(makeLocalMessage(7, 10), Begin);
  CHECK(Fixture.getTokens(Begin) == Left);
}

TEST_CASE("a report of another hall is relayed to this hall once") {
  AgentFixture Fixture;
  QuotaMessage Remote;
  Remote.Source = "far";
  Remote.Hall = "b";
  Remote.Sequence = 3;
  Remote.HallUsages = {{getOrganisationId("o"), 4, 2}};
  Fixture.Agent.applyMessage(Remote, Begin);
  const QuotaMessage Next = Fixture.Agent.makeMessage(Begin);
  REQUIRE(Next.RelayedHalls.size() == 1);
  CHECK(Next.RelayedHalls[0] == HallUsage{"b", "far", 3, Remote.HallUsages});
  CHECK(Fixture.Agent.makeMessage(Begin).RelayedHalls.empty());

  // A report that arrives twice, directly and relayed, counts once.
  const double Left = Fixture.getTokens(Begin);
  QuotaMessage Relayed = makeLocalMessage(1, 0);
  Relayed.RelayedHalls = Next.RelayedHalls;
  Fixture.Agent.applyMessage(Relayed, Begin);
  CHECK(Fixture.getTokens(Begin) == Left);
}

TEST_CASE("sequence numbers continue from the start time of the process") {
  AgentFixture Fixture;
  const QuotaMessage First = Fixture.Agent.makeMessage(Begin);
  CHECK(First.Sequence == 7001);
  CHECK(Fixture.Agent.makeMessage(Begin).Sequence == 7002);
}
