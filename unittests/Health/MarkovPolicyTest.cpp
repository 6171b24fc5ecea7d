//===- MarkovPolicyTest.cpp - Tests of the failure episode policy ---------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests how outcomes change the unhealthy probability and the shares, and
/// which observations are sent to peers.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Health/MarkovPolicy.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace canvaswick;

static constexpr TimePoint Start{fromSeconds(100)};

static MarkovPolicy makePolicy(size_t Servers) {
  PolicySetup Setup;
  Setup.Service = "s";
  Setup.FloorPercent = 70;
  for (size_t I = 0; I < Servers; ++I)
    Setup.Servers.push_back({static_cast<ServerId>(I + 1), 3});
  return MarkovPolicy(Setup);
}

/// Records good outcomes of every server over five seconds.
static TimePoint makeAllHealthy(MarkovPolicy &Policy, size_t Servers) {
  TimePoint Now = Start;
  for (int Round = 0; Round < 20; ++Round, Now += fromMillis(250))
    for (size_t I = 0; I < Servers; ++I)
      Policy.recordOutcome(I, RequestOutcome::Good, Now);
  return Now;
}

TEST_CASE("one failure takes most requests from a healthy server") {
  MarkovPolicy Policy = makePolicy(4);
  const TimePoint Now = makeAllHealthy(Policy, 4);
  const double Before = Policy.getShare(0, FailureCost::High, Now);
  CHECK(Before > 0.5);
  Policy.recordOutcome(0, RequestOutcome::Failed, Now);
  CHECK(Policy.getShare(0, FailureCost::High, Now) < 0.1 * Before);
  // The failure also raises the learned onset rate slightly.
  CHECK(Policy.getShare(1, FailureCost::High, Now) ==
        doctest::Approx(Before).epsilon(0.002));
  // Repeatable requests continue to test the server, most of all those that are
  // expensive in a remote hall.
  CHECK(Policy.getShare(0, FailureCost::Low, Now) >
        Policy.getShare(0, FailureCost::Medium, Now));
  CHECK(Policy.getShare(0, FailureCost::Medium, Now) >
        Policy.getShare(0, FailureCost::High, Now));
}

TEST_CASE("an observation of a peer has the same effect as a local outcome") {
  MarkovPolicy Local = makePolicy(3);
  MarkovPolicy Peer = makePolicy(3);
  Local.recordOutcome(1, RequestOutcome::Failed, Start);
  Peer.applyObservation(1, RequestOutcome::Failed, Start);
  CHECK(Local.getUnhealthyProbability(1, Start) ==
        doctest::Approx(Peer.getUnhealthyProbability(1, Start)));
  CHECK(Peer.drainObservations(Start).empty());
  CHECK(Local.drainObservations(Start).size() == 1);
  CHECK(Local.drainObservations(Start).empty());
}

// A server that has become unhealthy still answers what it had begun.
TEST_CASE("an answer counts for the time at which its request began") {
  const auto GetProbability = [](bool IsOn) {
    MarkovPolicy Policy = makePolicy(2);
    Policy.recordOutcome(0, RequestOutcome::Good, Start);
    const TimePoint Failed = Start + fromMillis(400);
    Policy.recordOutcome(0, RequestOutcome::FailedEarly, Failed);
    const Duration Age = IsOn ? fromMillis(200) : Duration::zero();
    for (int I = 0; I < 3; ++I)
      Policy.applyObservation(0, RequestOutcome::Good, Failed + fromMillis(50),
                              -1, Age);
    return Policy.getUnhealthyProbability(0, Failed + fromMillis(50));
  };
  CHECK(GetProbability(true) > 0.8);
  CHECK(GetProbability(false) < 0.5);
}

TEST_CASE("observations for peers have the age of their requests") {
  MarkovPolicy Policy = makePolicy(1);
  Policy.recordOutcome(0, RequestOutcome::Good, Start, -1, -1, fromMillis(250));
  const std::vector<Observation> Sent =
      Policy.drainObservations(Start + fromMillis(30));
  REQUIRE(Sent.size() == 1);
  CHECK(Sent[0].AgeMs == 280);
}

TEST_CASE("only the first sign of a failure is urgent") {
  MarkovPolicy Policy = makePolicy(1);
  Policy.recordOutcome(0, RequestOutcome::Good, Start);
  CHECK_FALSE(Policy.hasUrgentObservation());
  Policy.recordOutcome(0, RequestOutcome::FailedEarly, Start);
  CHECK(Policy.hasUrgentObservation());
  Policy.drainObservations(Start);
  Policy.recordOutcome(0, RequestOutcome::FailedEarly, Start);
  CHECK_FALSE(Policy.hasUrgentObservation());
}

TEST_CASE("a server whose later evidence is lost is used again") {
  MarkovPolicy Policy = makePolicy(10);
  const TimePoint Now = makeAllHealthy(Policy, 10);
  for (int I = 0; I < 5; ++I)
    Policy.applyObservation(0, RequestOutcome::FailedEarly, Now);
  CHECK(Policy.getShare(0, FailureCost::High, Now) < 0.01);
  // No message about the server arrives any more. Others stay healthy.
  TimePoint Later = Now;
  for (int I = 0; I < 120; ++I, Later += fromMillis(250))
    for (size_t Server = 1; Server < 10; ++Server)
      Policy.applyObservation(Server, RequestOutcome::Good, Later);
  CHECK(Policy.getShare(0, FailureCost::High, Later) > 0.1);
}

TEST_CASE("the unhealthy probability decays within seconds") {
  MarkovPolicy Policy = makePolicy(3);
  for (int I = 0; I < 5; ++I)
    Policy.recordOutcome(0, RequestOutcome::Failed, Start);
  const double AtOnce = Policy.getUnhealthyProbability(0, Start);
  CHECK(AtOnce > 0.95);
  CHECK(Policy.getUnhealthyProbability(0, Start + fromSeconds(2)) < AtOnce);
  CHECK(Policy.getUnhealthyProbability(0, Start + fromSeconds(30)) ==
        doctest::Approx(
            Policy.getUnhealthyProbability(1, Start + fromSeconds(30)))
            .epsilon(0.001));
}

TEST_CASE("a server that this daemon cannot reach is avoided") {
  MarkovPolicy Policy = makePolicy(3);
  const TimePoint Now = makeAllHealthy(Policy, 3);
  Policy.drainObservations(Now);
  Policy.recordOutcome(0, RequestOutcome::Unreachable, Now);
  CHECK(Policy.getShare(0, FailureCost::High, Now) < 0.01);
  // Other daemons may be able to reach the server.
  CHECK(Policy.drainObservations(Now).empty());
  Policy.recordOutcome(0, RequestOutcome::Good, Now + fromSeconds(2));
  CHECK(Policy.getShare(0, FailureCost::High, Now + fromSeconds(2)) > 0.3);
}

TEST_CASE("a leaving server gets no requests") {
  MarkovPolicy Policy = makePolicy(3);
  Policy.setLeaving(0, true, Start);
  CHECK(Policy.getShare(0, FailureCost::Medium, Start) == 0);
  CHECK(Policy.explain(0, Start).Reason == ShareReason::Leaving);
}

TEST_CASE("while a tenth of the requests fail the floor's servers are used") {
  MarkovPolicy Policy = makePolicy(10);
  TimePoint Now = makeAllHealthy(Policy, 10);
  // All servers fail; none is considered unhealthy before.
  for (size_t I = 0; I < 10; ++I) {
    Policy.recordOutcome(I, RequestOutcome::Failed, Now);
    Policy.recordOutcome(I, RequestOutcome::Failed, Now);
  }
  // Two servers have recovered. The others have not been used for more than a
  // second.
  Now += fromMillis(1100);
  for (int I = 0; I < 6; ++I) {
    Policy.recordOutcome(0, RequestOutcome::Good, Now);
    Policy.recordOutcome(1, RequestOutcome::Good, Now);
  }
  size_t Used = 0;
  for (const double Share : Policy.getShares(FailureCost::High, Now))
    Used += Share > 0.25 ? 1 : 0;
  CHECK(Used >= 7);
}

// Guards against healthy servers without requests while many requests fail: in
// two seconds in which 10 % of the requests went unserved, 5 of 14 healthy
// servers got none. A hall with many servers sends most requests to the few of
// which it has recent good outcomes. The daemons counted only failures at
// servers with a low unhealthy probability, which gave 7.3 to 7.7 %, and missed
// those at servers with little information; over all servers, 9.9 to 11 % of
// the attempts failed.
TEST_CASE("what fails at servers of which little is known counts too") {
  constexpr size_t Count = 40;
  constexpr size_t Busy = 6;
  constexpr size_t Uncertain = 30;
  MarkovPolicy Policy = makePolicy(Count);
  // Servers are unhealthy in turns for 0.75 s out of every 5 s. After 15 s, the
  // information about each of them has decayed.
  TimePoint Now = Start;
  for (size_t Round = 0; Round < 80; ++Round, Now += fromMillis(250))
    for (size_t I = 0; I < Count; ++I)
      Policy.recordOutcome(I,
                           (Round + 7 * I) % 20 < 3 ? RequestOutcome::Failed
                                                    : RequestOutcome::Good,
                           Now);
  Now += fromSeconds(15);
  CHECK(Policy.getUnhealthyProbability(0, Now) > 0.25);
  CHECK(Policy.getUnhealthyProbability(0, Now) < 0.4);
  const auto SendToHot = [&](int Times, RequestOutcome Outcome) {
    for (int I = 0; I < Times; ++I)
      for (size_t Server = 0; Server < Busy; ++Server)
        Policy.recordOutcome(Server, Outcome, Now);
  };
  SendToHot(25, RequestOutcome::Good);
  for (int I = 0; I < 3; ++I) {
    SendToHot(1, RequestOutcome::Failed);
    SendToHot(4, RequestOutcome::Good);
  }
  for (size_t Server = Busy; Server < Uncertain; ++Server)
    Policy.recordOutcome(
        Server, Server % 8 < 5 ? RequestOutcome::Failed : RequestOutcome::Good,
        Now);
  Now += fromMillis(1100);
  SendToHot(2, RequestOutcome::Good);
  // At this point 11 % of the requests fail, and 7 % of those to the first six
  // servers.
  size_t Used = 0;
  for (const double Share : Policy.getShares(FailureCost::High, Now))
    Used += Share > 0.25 ? 1 : 0;
  CHECK(Used >= 28);
}

TEST_CASE("non-repeatable requests do not test servers that have failed") {
  MarkovPolicy Policy = makePolicy(4);
  TimePoint Now = makeAllHealthy(Policy, 4);
  Policy.recordOutcome(0, RequestOutcome::Failed, Now);
  Policy.recordOutcome(0, RequestOutcome::Failed, Now);
  // The server may have recovered by now and has not been used for a while.
  Now += fromSeconds(4);
  for (size_t I = 1; I < 4; ++I)
    Policy.recordOutcome(I, RequestOutcome::Good, Now);
  CHECK(Policy.getShare(0, FailureCost::High, Now) <
        0.2 * Policy.getShare(1, FailureCost::High, Now));
  // Repeatable requests test the server.
  CHECK(Policy.getShare(0, FailureCost::Medium, Now) > 0.5);
}

TEST_CASE("the weight of a failure depends on its time") {
  MarkovPolicy Policy = makePolicy(3);
  const TimePoint Now = makeAllHealthy(Policy, 3);
  Policy.recordOutcome(0, RequestOutcome::FailedEarly, Now);
  CHECK(Policy.getUnhealthyProbability(0, Now) > 0.8);
  // Healthy servers fail one request in a hundred after doing its work.
  Policy.recordOutcome(1, RequestOutcome::FailedAfterWork, Now);
  CHECK(Policy.getUnhealthyProbability(1, Now) < 0.2);
  // One slow answer is weak evidence, several consecutive ones are not.
  Policy.recordOutcome(2, RequestOutcome::Slow, Now);
  CHECK(Policy.getUnhealthyProbability(2, Now) < 0.15);
  for (int I = 0; I < 4; ++I)
    Policy.recordOutcome(2, RequestOutcome::Slow, Now);
  CHECK(Policy.getUnhealthyProbability(2, Now) > 0.5);
}

TEST_CASE("a refusal has little weight if all servers refuse requests") {
  MarkovPolicy One = makePolicy(6);
  const TimePoint Now = makeAllHealthy(One, 6);
  MarkovPolicy All = One;
  for (int I = 0; I < 3; ++I)
    One.recordOutcome(0, RequestOutcome::Shed, Now);
  CHECK(One.getUnhealthyProbability(0, Now) > 0.5);
  // Five of six servers refuse every other request; the sixth has no recent
  // requests.
  for (int Round = 0; Round < 6; ++Round)
    for (size_t I = 0; I < 5; ++I) {
      All.recordOutcome(I, RequestOutcome::Shed, Now);
      All.recordOutcome(I, RequestOutcome::Good, Now);
    }
  All.recordOutcome(0, RequestOutcome::Shed, Now);
  CHECK(All.getShare(0, FailureCost::High, Now) >
        0.5 * All.getShare(5, FailureCost::High, Now));
}

TEST_CASE("a daemon that has just started uses the estimates of its hall") {
  MarkovPolicy New = makePolicy(3);
  New.applySameHallEstimate(0, 0.95, Start);
  New.applySameHallEstimate(1, 0.02, Start);
  // The server needs no first test, since the hall knows that it is unhealthy.
  CHECK(New.getShare(0, FailureCost::High, Start) < 0.01);
  CHECK(New.getShare(1, FailureCost::High, Start) > 0.7);
  // A server that no daemon has used is still tested.
  CHECK(New.getShare(2, FailureCost::High, Start) > 0.5);
  // Another hall has better information about its own servers.
  New.applyRemoteEstimate(2, 0.03, Start);
  New.applySameHallEstimate(2, 0.95, Start);
  CHECK(New.getUnhealthyProbability(2, Start) == doctest::Approx(0.03));
  // Local outcomes take precedence over estimates of peers.
  New.recordOutcome(1, RequestOutcome::FailedEarly, Start);
  New.applySameHallEstimate(1, 0.02, Start);
  CHECK(New.getShare(1, FailureCost::High, Start) < 0.01);
}

TEST_CASE("a server that has never been used gets a request soon") {
  MarkovPolicy Policy = makePolicy(2);
  Policy.recordOutcome(0, RequestOutcome::Good, Start);
  CHECK(Policy.getShare(1, FailureCost::High, Start) > 0.5);
}

TEST_CASE(
    "the estimate of another hall replaces local state and is not tested") {
  MarkovPolicy Policy = makePolicy(3);
  for (int I = 0; I < 4; ++I)
    Policy.applyObservation(2, RequestOutcome::Failed, Start);
  Policy.applyRemoteEstimate(2, 0.02, Start);
  CHECK(Policy.getUnhealthyProbability(2, Start) == doctest::Approx(0.02));
  CHECK(Policy.getShare(2, FailureCost::High, Start) > 0.7);
}

TEST_CASE("state is taken over for servers that are in both versions") {
  MarkovPolicy Old = makePolicy(3);
  Old.recordOutcome(1, RequestOutcome::Failed, Start);
  MarkovPolicy New = makePolicy(5);
  New.adopt(Old, Start);
  CHECK(New.getUnhealthyProbability(1, Start) ==
        doctest::Approx(Old.getUnhealthyProbability(1, Start)));
  CHECK(New.getUnhealthyProbability(4, Start) <
        New.getUnhealthyProbability(1, Start));
}

TEST_CASE("shares stay between 0 and 1 for any outcomes") {
  CHECK(rc::check([] {
    MarkovPolicy Policy = makePolicy(6);
    TimePoint Now = Start;
    const auto Steps = *rc::gen::container<std::vector<int>>(
        rc::gen::inRange(0, 6 * OutcomeCount * 50));
    for (const int Step : Steps) {
      const auto Server = static_cast<size_t>(Step % 6);
      const auto Outcome = static_cast<RequestOutcome>(Step / 6 % OutcomeCount);
      Now += fromMillis(Step / (6 * OutcomeCount) * 20);
      if (Step % 2 == 0)
        Policy.recordOutcome(Server, Outcome, Now);
      else
        Policy.applyObservation(Server, Outcome, Now);
      for (const FailureCost Cost :
           {FailureCost::Low, FailureCost::Medium, FailureCost::High})
        for (const double Share : Policy.getShares(Cost, Now))
          RC_ASSERT(Share >= 0 && Share <= 1);
      RC_ASSERT(Policy.getUnhealthyProbability(Server, Now) > 0);
      RC_ASSERT(Policy.getUnhealthyProbability(Server, Now) < 1);
    }
  }));
}

TEST_CASE(
    "a request without an answer is evidence against its server at once") {
  MarkovPolicy Policy = makePolicy(2);
  const TimePoint Now = makeAllHealthy(Policy, 2);
  const double Before = Policy.getUnhealthyProbability(0, Now);
  const uint64_t Number = Policy.getInFlight().begin({0, Now, fromMillis(200)});
  CHECK(Policy.getUnhealthyProbability(0, Now) == doctest::Approx(Before));
  // A good answer may well take twice the typical time.
  CHECK(Policy.getUnhealthyProbability(0, Now + fromMillis(300)) < 0.2);
  CHECK(Policy.getUnhealthyProbability(0, Now + fromMillis(1000)) > 0.6);
  CHECK(Policy.getUnhealthyProbability(1, Now + fromMillis(1000)) < 0.2);
  Policy.getInFlight().end(Number);
  CHECK(Policy.getUnhealthyProbability(0, Now + fromMillis(1000)) < 0.2);
}

TEST_CASE("a missing answer is weaker evidence at a loaded server") {
  MarkovPolicy Policy = makePolicy(2);
  const TimePoint Now = makeAllHealthy(Policy, 2);
  Policy.getInFlight().begin({0, Now, fromMillis(200)});
  Policy.getInFlight().begin({1, Now, fromMillis(600)});
  const TimePoint Later = Now + fromMillis(700);
  CHECK(Policy.getUnhealthyProbability(0, Later) >
        2 * Policy.getUnhealthyProbability(1, Later));
}

TEST_CASE("several requests without an answer are stronger evidence than one") {
  MarkovPolicy Policy = makePolicy(2);
  const TimePoint Now = makeAllHealthy(Policy, 2);
  Policy.getInFlight().begin({0, Now, fromMillis(200)});
  Policy.getInFlight().replacePeer("p", 1, {{0, Now, fromMillis(200)}},
                                   Now + fromMillis(100));
  Policy.getInFlight().begin({1, Now, fromMillis(200)});
  const TimePoint Later = Now + fromMillis(600);
  CHECK(Policy.getUnhealthyProbability(0, Later) >
        Policy.getUnhealthyProbability(1, Later) + 0.1);
}

TEST_CASE("an overdue request does not count again as evidence when it ends") {
  MarkovPolicy Policy = makePolicy(1);
  TimePoint Now = makeAllHealthy(Policy, 1);
  const uint64_t Number = Policy.getInFlight().begin({0, Now, fromMillis(200)});
  Now += fromMillis(1000);
  const double WhileOut = Policy.getUnhealthyProbability(0, Now);
  Policy.getInFlight().end(Number);
  Policy.recordOutcome(0, RequestOutcome::Overdue, Now, -1, 500);
  CHECK(Policy.getUnhealthyProbability(0, Now) ==
        doctest::Approx(WhileOut).epsilon(0.15));
}

TEST_CASE("a server is tested by one request at a time") {
  MarkovPolicy Policy = makePolicy(2);
  Policy.recordOutcome(0, RequestOutcome::Good, Start);
  CHECK(Policy.getShare(1, FailureCost::High, Start) > 0.5);
  Policy.getInFlight().replacePeer("p", 1, {{1, Start, fromMillis(200)}},
                                   Start);
  CHECK(Policy.getShare(1, FailureCost::High, Start) < 0.1);
}

TEST_CASE("expected utilities determine the shares") {
  MarkovPolicy Policy = makePolicy(3);
  const TimePoint Now = makeAllHealthy(Policy, 3);
  const auto Shares =
      Policy.getSharesByUtility({0.95, 0.85, 0.0}, FailureCost::High, Now);
  CHECK(Shares[0].Share == doctest::Approx(1));
  CHECK(Shares[1].Share < 0.25);
  CHECK(Shares[1].Share > 0.1);
  CHECK(Shares[2].Share == 0);
  // Repeatable requests avoid the server less.
  CHECK(
      Policy.getSharesByUtility({0.95, 0.85, 0.0}, FailureCost::Medium, Now)[1]
          .Share > Shares[1].Share);
}

TEST_CASE("the probability of an answer falls with waiting time and load") {
  MarkovPolicy Policy = makePolicy(2);
  const TimePoint Now = makeAllHealthy(Policy, 2);
  const Duration TypicalTime = fromMillis(200);
  const TimePoint Objective = Now + fromMillis(600);
  const auto GetProbability = [&](size_t Server, Duration Time, TimePoint Until,
                                  TimePoint At) {
    return Policy
        .getNewRequestProbabilities(Server, Time, Until, At + fromSeconds(2),
                                    At)
        .InTime;
  };
  const double New = GetProbability(0, TypicalTime, Objective, Now);
  CHECK(New > 0.9);
  CHECK(GetProbability(0, 3 * TypicalTime, Objective, Now) < New - 0.3);
  CHECK(GetProbability(0, TypicalTime, Now, Now) == 0);
  const InFlightRequest Request{0, Now, TypicalTime};
  Policy.getInFlight().begin(Request);
  const TimePoint Later = Now + fromMillis(450);
  CHECK(Policy.getAnswerProbability(Request, Objective, Later) <
        Policy.getAnswerProbability(Request, Objective, Now + fromMillis(150)));
  CHECK(Policy.getAnswerProbability(Request, Objective, Later) <
        GetProbability(1, TypicalTime, Later + fromMillis(600), Later));
}
