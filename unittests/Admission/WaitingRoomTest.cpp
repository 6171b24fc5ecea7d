//===- WaitingRoomTest.cpp - Tests of the order of waiting requests -------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Plays load at servers that decline half of all requests, in virtual time.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Admission/WaitingRoom.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <list>
#include <map>
#include <random>

using namespace canvaswick;

static constexpr TimePoint Start{fromSeconds(1000)};
static constexpr Duration Step = fromMillis(5);
static constexpr Duration Objective = fromMillis(1500);
static constexpr FleetRetryLimit Limit{0.2, fromSeconds(10), 0};
static constexpr int DaemonCount = 10;

namespace {

/// Requests of one kind and organisation, in requests a second.
struct Flow {
  int64_t Priority = 0;
  std::string Organisation;
  double Rate = 0;
  bool IsBeyondQuota = false;
};

/// What became of the declined requests of one flow.
struct Tally {
  int Declined = 0;
  int Served = 0;
  Duration LongestRefused{};

  double getShare() const {
    return static_cast<double>(this->Served) / std::max(1, this->Declined);
  }
};

struct Play {
  std::vector<Tally> Flows;
  int Served = 0;
};

} // namespace

static WaitingRequest makeRequest(const Flow &From, TimePoint Now) {
  WaitingRequest Request;
  Request.Priority = From.Priority;
  Request.Organisation = From.Organisation;
  Request.IsBeyondQuota = From.IsBeyondQuota;
  Request.ObjectiveDeadline = Now + Objective;
  Request.Deadline = Now + fromSeconds(3);
  Request.WorkTime = fromMillis(300);
  Request.Patience = Objective / 8;
  return Request;
}

/// Sends all flows to one daemon. After a calm time, servers decline half of
/// the requests for 8 s.
static void play(const std::vector<Flow> &Flows, double RateFactor,
                 std::mt19937 &Random, Play &Result) {
  const TimePoint TroubleFrom = Start + fromSeconds(12);
  const TimePoint Until = TroubleFrom + fromSeconds(8);
  FleetRetryBudget Budget(Limit, Start - fromSeconds(60));
  WaitingRoom Room;
  std::list<std::pair<size_t, WaitingRequest>> Waiting;
  for (TimePoint Now = Start; Now < Until + fromSeconds(5); Now += Step) {
    const bool IsTrouble = Now >= TroubleFrom && Now < Until;
    for (size_t I = 0; I < Flows.size() && Now < Until; ++I) {
      const double Mean =
          Flows[I].Rate * (IsTrouble ? RateFactor : 1) * toSeconds(Step);
      for (int Left = std::poisson_distribution<int>(Mean)(Random); Left > 0;
           --Left) {
        Budget.recordRequest(Now);
        if (!IsTrouble || std::bernoulli_distribution(0.46)(Random))
          continue;
        ++Result.Flows[I].Declined;
        Waiting.emplace_back(I, makeRequest(Flows[I], Now));
        Room.enter(Waiting.back().second, Budget, Now);
      }
    }
    Room.recordLoanRefused(Now);
    Room.serve(Budget, Now);
    Room.refuseHopeless(Budget, Now);
    Waiting.remove_if([&](auto &Entry) {
      const WaitingRequest &Each = Entry.second;
      if (!Each.End)
        return false;
      Tally &Mine = Result.Flows[Entry.first];
      Result.Served += *Each.End == WaitEnd::Served ? 1 : 0;
      Mine.Served += *Each.End == WaitEnd::Served ? 1 : 0;
      if (*Each.End == WaitEnd::Refused)
        Mine.LongestRefused = std::max(Mine.LongestRefused, Now - Each.Entered);
      return true;
    });
  }
  CHECK(Waiting.empty());
}

/// Plays ten daemons that lend each other nothing, each with all flows.
static Play play(const std::vector<Flow> &Flows, double RateFactor = 1) {
  Play Result;
  Result.Flows.resize(Flows.size());
  std::mt19937 Random(20261202);
  for (int Daemon = 0; Daemon < DaemonCount; ++Daemon)
    play(Flows, RateFactor, Random, Result);
  return Result;
}

static int countDeclined(const Play &Given) {
  int Sum = 0;
  for (const Tally &Each : Given.Flows)
    Sum += Each.Declined;
  return Sum;
}

TEST_CASE("all retries that are allowed are used while servers decline half") {
  const std::vector<Flow> Flows = {{0, "a", 30}, {0, "b", 20}, {0, "c", 10}};
  for (const double RateFactor : {1.0, 1.7}) {
    CAPTURE(RateFactor);
    const Play Result = play(Flows, RateFactor);
    // The window at the end of the trouble holds 2 s of the time before it. No
    // retry was used earlier.
    const double Allowed = DaemonCount * 0.8 * 0.2 * 60 * (2 + 8 * RateFactor);
    const double Declined = countDeclined(Result);
    const double Share = Result.Served / Declined;
    CHECK(Share >= Allowed / Declined - 0.03);
    for (const Tally &Each : Result.Flows)
      CHECK(Each.LongestRefused <= Objective / 8);
    for (const Tally &Each : Result.Flows)
      CHECK(std::abs(Each.getShare() - Share) < 0.05);
  }
}

TEST_CASE("an organisation at 7.5 times its usual takes nobody's retries") {
  const std::vector<Flow> Usual = {
      {0, "a", 30}, {0, "b", 20}, {0, "c", 10}, {0, "hot", 10}};
  std::vector<Flow> Hot = Usual;
  Hot.back().Rate *= 7.5;
  Hot.back().IsBeyondQuota = true;
  const Play Before = play(Usual);
  const Play Result = play(Hot);
  double Lowest = 1;
  double Highest = 0;
  for (size_t I = 0; I < 3; ++I) {
    CHECK(Result.Flows[I].getShare() >= Before.Flows[I].getShare() - 0.03);
    Lowest = std::min(Lowest, Result.Flows[I].getShare());
    Highest = std::max(Highest, Result.Flows[I].getShare());
  }
  CHECK(Highest - Lowest < 0.05);
  CHECK(Result.Flows[3].getShare() <= Lowest);
}

TEST_CASE("no kind is served less than a less urgent one, and none starves") {
  for (const double UrgentRate : {6.0, 30.0, 54.0}) {
    CAPTURE(UrgentRate);
    const Play Result = play({{0, "a", UrgentRate}, {2, "a", 60 - UrgentRate}});
    CHECK(Result.Flows[0].getShare() >= Result.Flows[1].getShare() - 0.05);
    CHECK(Result.Flows[1].Served > 0);
  }
}

TEST_CASE("a request waits for a retry that comes back in time") {
  FleetRetryBudget Budget({0, fromSeconds(10), 2}, Start - fromSeconds(60));
  // 2 * 0.8 allows one retry in the window.
  WaitingRoom Room;
  WaitingRequest First = makeRequest({}, Start);
  Room.enter(First, Budget, Start);
  CHECK(First.End == WaitEnd::Served);
  const TimePoint Back = Start + fromSeconds(10);
  WaitingRequest Early = makeRequest({}, Back - fromSeconds(4));
  Room.recordLoanRefused(Back - fromSeconds(4));
  Room.enter(Early, Budget, Back - fromSeconds(4));
  Room.refuseHopeless(Budget, Back - fromSeconds(4));
  CHECK(Early.End == WaitEnd::Refused);
  CHECK(Early.RetryAfter == fromSeconds(2));
  const TimePoint Now = Back - fromMillis(500);
  WaitingRequest InTime = makeRequest({}, Now);
  Room.recordLoanRefused(Now);
  Room.enter(InTime, Budget, Now);
  Room.refuseHopeless(Budget, Now);
  CHECK_FALSE(InTime.End);
  WaitingRequest Second = makeRequest({}, Now);
  Room.enter(Second, Budget, Now);
  Room.refuseHopeless(Budget, Now);
  CHECK(Second.End == WaitEnd::Refused);
  Room.serve(Budget, Back);
  CHECK(InTime.End == WaitEnd::Served);
  CHECK(Room.getLongestWait() == fromMillis(500));
}

TEST_CASE("a request that may still borrow waits for an eighth at most") {
  FleetRetryBudget Budget(Limit, Start);
  WaitingRoom Room;
  WaitingRequest First = makeRequest({}, Start);
  WaitingRequest Second = makeRequest({}, Start);
  Room.enter(First, Budget, Start);
  Room.enter(Second, Budget, Start);
  Room.refuseHopeless(Budget, Start + Objective / 8 - Step);
  CHECK(Room.getLength() == 2);
  CHECK(Room.mayBorrow(First, Start));
  CHECK_FALSE(Room.mayBorrow(Second, Start));
  CHECK(Room.serveLent({}, Start + Step));
  CHECK(First.End == WaitEnd::Served);
  Room.recordLoanRefused(Start + Step);
  Room.refuseHopeless(Budget, Start + fromSeconds(1.2));
  CHECK(Second.End == WaitEnd::Refused);
}

TEST_CASE("requests behind a more urgent demand do not borrow") {
  FleetRetryBudget Budget(Limit, Start);
  WaitingRoom Room;
  WaitingRequest Urgent = makeRequest({0, "a", 0}, Start);
  WaitingRequest Beyond = makeRequest({0, "hot", 0, true}, Start);
  Room.enter(Beyond, Budget, Start);
  CHECK(Room.mayBorrow(Beyond, Start));
  Room.enter(Urgent, Budget, Start);
  CHECK(Room.getFirst(Start) == &Urgent);
  Room.leave(Urgent, Start);
  CHECK(Urgent.End == WaitEnd::CallerLeft);
  CHECK_FALSE(Room.mayBorrow(Beyond, Start));
  Room.close(Start);
  CHECK(Beyond.End == WaitEnd::Stopping);
  WaitingRequest Late = makeRequest({}, Start);
  Room.enter(Late, Budget, Start);
  CHECK(Late.End == WaitEnd::Stopping);
}

TEST_CASE("the room stays short, ends each wait once and keeps the order") {
  CHECK(rc::check([] {
    const auto Reserve = *rc::gen::inRange<int64_t>(0, 12);
    const FleetRetryLimit Few{0.1, fromSeconds(2), Reserve};
    FleetRetryBudget Budget(Few, Start - fromSeconds(60));
    std::list<WaitingRequest> All;
    WaitingRoom Room;
    std::map<const WaitingRequest *, WaitEnd> Ends;
    TimePoint Now = Start;
    const int Count = *rc::gen::inRange(1, 120);
    for (int I = 0; I < Count; ++I) {
      Now += fromMillis(*rc::gen::inRange(0, 200));
      const size_t Before = Room.getLength();
      WaitingRequest *First = Room.getFirst(Now);
      switch (*rc::gen::inRange(0, 5)) {
      case 0:
      case 1:
        Budget.recordRequest(Now);
        All.push_back(makeRequest({*rc::gen::inRange<int64_t>(0, 3),
                                   std::string(1, *rc::gen::inRange('a', 'd')),
                                   0, *rc::gen::arbitrary<bool>()},
                                  Now));
        Room.enter(All.back(), Budget, Now);
        break;
      case 2:
        Room.refuseHopeless(Budget, Now);
        break;
      case 3:
        // Nobody goes before the first one.
        if (Room.serveLent({}, Now))
          RC_ASSERT(First->End.value() == WaitEnd::Served);
        else
          RC_ASSERT(First == nullptr);
        break;
      case 4:
        if (First)
          Room.leave(*First, Now);
        break;
      }
      RC_ASSERT(Room.getLength() <= WaitingRoom::MaxLength);
      RC_ASSERT(Room.getLength() <= Before + 1);
      size_t Open = 0;
      for (const WaitingRequest &Each : All) {
        Open += Each.End ? 0 : 1;
        if (!Each.End)
          continue;
        const auto Known = Ends.emplace(&Each, *Each.End);
        RC_ASSERT(Known.first->second == *Each.End);
      }
      RC_ASSERT(Open == Room.getLength());
    }
    Room.close(Now);
    for (const WaitingRequest &Each : All)
      RC_ASSERT(Each.End.has_value());
  }));
}
