//===- QuotaAgentTest.cpp - What daemons tell of organisations ------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Messages, their order, and what is passed on. Whole daemons that keep one
/// allowance together are in session `allowances`.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Daemon/QuotaAgent.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace canvaswick;

static const TimePoint Begin = TimePoint{} + fromSeconds(1000);

namespace {

/// An agent that reaches nobody, with an organisation that has a limit.
struct AgentBench {
  AgentBench() {
    this->Config.Name = "self";
    this->Config.Hall = "a";
    this->Gate.configure(
        makeOrganisationDirectory({{"o", 1, 20, {}, {}}}, true), Begin);
    this->Gate.with([](FleetQuota &All) {
      All.getLiveness().setFleet({"near"}, {{"b", 1}}, Begin);
    });
  }

  /// Returns the tokens that are left as the agent's daemon sees it.
  double getTokens(TimePoint Now) {
    return this->Gate.with([Now](FleetQuota &All) {
      const std::vector<QuotaStatus> Known = All.describe(1, Now);
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
  OrganisationQuotas Gate{QuotaBounds(), Begin, 0};
  QuotaAgent Agent{this->Context, this->Members, this->Gate};
};

} // namespace

static QuotaMessage makeNear(uint64_t Sequence, int64_t Admitted) {
  QuotaMessage Message;
  Message.Source = "near";
  Message.Hall = "a";
  Message.Sequence = Sequence;
  Message.Usages = {{getOrganisationId("o"), 4, Admitted}};
  return Message;
}

static HallUsage drawWord() {
  HallUsage Word;
  Word.Hall = *rc::gen::arbitrary<std::string>();
  Word.Reporter = *rc::gen::arbitrary<std::string>();
  Word.Sequence = *rc::gen::arbitrary<uint64_t>();
  Word.Usages.push_back(
      {static_cast<OrganisationId>(*rc::gen::inRange<int64_t>(0, 1 << 30)),
       *rc::gen::inRange(0, 100000) / 100.0,
       *rc::gen::inRange<int64_t>(-3, 1000000)});
  return Word;
}

TEST_CASE("a message on organisations is read as it was written") {
  CHECK(rc::check([] {
    QuotaMessage Message;
    const HallUsage Word = drawWord();
    Message.Source = Word.Reporter;
    Message.Hall = Word.Hall;
    Message.Sequence = Word.Sequence;
    Message.Usages = drawWord().Usages;
    Message.HallUsages = Word.Usages;
    Message.RelayedHalls = {Word};
    QuotaMessage Read;
    RC_ASSERT(decodeQuotaMessage(encodeQuotaMessage(Message), Read));
    RC_ASSERT(Read == Message);
  }));
}

TEST_CASE("a message on organisations of another shape is refused") {
  const Json::Value Whole = encodeQuotaMessage(makeNear(1, 1));
  for (const char *Field : {"f", "h", "n", "o", "a", "p"})
    for (const Json::Value &Wrong :
         {Json::Value(), Json::Value(-1), Json::Value("x"),
          Json::Value(Json::objectValue)}) {
      Json::Value Value = Whole;
      Value[Field] = Wrong;
      // A name may be any text.
      const bool IsName = *Field == 'f' || *Field == 'h';
      QuotaMessage Read;
      CHECK(decodeQuotaMessage(Value, Read) == (IsName && Wrong.isString()));
    }
}

TEST_CASE("what a daemon told before counts no more, whenever it arrives") {
  AgentBench Bench;
  Bench.Agent.applyMessage(makeNear(5, 0), Begin);
  Bench.Agent.applyMessage(makeNear(7, 10), Begin);
  const double Left = Bench.getTokens(Begin);
  CHECK(Left == 10);
  Bench.Agent.applyMessage(makeNear(6, 4), Begin);
  Bench.Agent.applyMessage(makeNear(7, 10), Begin);
  CHECK(Bench.getTokens(Begin) == Left);
}

TEST_CASE("what another hall told is passed on to this one, once") {
  AgentBench Bench;
  QuotaMessage Far;
  Far.Source = "far";
  Far.Hall = "b";
  Far.Sequence = 3;
  Far.HallUsages = {{getOrganisationId("o"), 4, 2}};
  Bench.Agent.applyMessage(Far, Begin);
  const QuotaMessage Next = Bench.Agent.makeMessage(Begin);
  REQUIRE(Next.RelayedHalls.size() == 1);
  CHECK(Next.RelayedHalls[0] == HallUsage{"b", "far", 3, Far.HallUsages});
  CHECK(Bench.Agent.makeMessage(Begin).RelayedHalls.empty());

  // Who hears of it twice, directly and passed on, counts it once.
  const double Left = Bench.getTokens(Begin);
  QuotaMessage RelayedHalls = makeNear(1, 0);
  RelayedHalls.RelayedHalls = Next.RelayedHalls;
  Bench.Agent.applyMessage(RelayedHalls, Begin);
  CHECK(Bench.getTokens(Begin) == Left);
}

TEST_CASE("a daemon that started anew is heard at once") {
  AgentBench Bench;
  const QuotaMessage First = Bench.Agent.makeMessage(Begin);
  CHECK(First.Sequence == 7001);
  CHECK(Bench.Agent.makeMessage(Begin).Sequence == 7002);
}
