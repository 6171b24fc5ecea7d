//===- FleetRetryBudgetTest.cpp - Tests of the fleet's budget of repeats --===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Whatever the daemons do, together they stay within the fleet's allowance.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Admission/FleetRetryBudget.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <memory>
#include <vector>

using namespace canvaswick;

static constexpr FleetRetryLimit Allowance{0.2, fromSeconds(10), 58};
static constexpr TimePoint Start{fromSeconds(1000)};

TEST_CASE("repeats follow the daemon's own requests and its part of the rest") {
  FleetRetryBudget Budget(Allowance, Start);
  Budget.configure(Allowance, 40, 0);
  const TimePoint Later = Start + fromSeconds(20);
  // 58 * 0.8 / 40 = 1.16 without any request.
  CHECK(Budget.tryTake(Later));
  CHECK_FALSE(Budget.tryTake(Later));
  for (int I = 0; I < 50; ++I)
    Budget.recordRequest(Later);
  int Taken = 0;
  while (Budget.tryTake(Later))
    ++Taken;
  CHECK(Taken == 8);
  // A window later all is forgotten.
  CHECK(Budget.tryTake(Later + fromSeconds(11)));
}

TEST_CASE("a process that has just started takes nothing of the reserve") {
  FleetRetryBudget Budget(Allowance, Start);
  CHECK_FALSE(Budget.tryTake(Start + fromSeconds(9)));
  CHECK(Budget.tryTake(Start + fromSeconds(11)));
}

TEST_CASE("fewer daemons in view do not raise a daemon's part") {
  FleetRetryBudget Budget(Allowance, Start);
  Budget.configure(Allowance, 40, 0);
  Budget.configure(Allowance, 3, 0);
  CHECK(Budget.getAllowed(Start + fromSeconds(20)) < 2);
}

TEST_CASE("a right that is lent is gone here, and used within its life") {
  const TimePoint Later = Start + fromSeconds(20);
  FleetRetryBudget Lender(Allowance, Start);
  Lender.configure(Allowance, 20, 0);
  // 58 * 0.8 / 20 = 2.32.
  CHECK(Lender.tryLend(Later));
  CHECK(Lender.tryTake(Later));
  CHECK_FALSE(Lender.tryLend(Later));
  CHECK_FALSE(Lender.tryTake(Later));
  FleetRetryBudget Short(Allowance, Start);
  Short.configure(Allowance, 100, 0);
  CHECK_FALSE(Short.tryTake(Later));
  Short.borrow(Later + LoanTimeout);
  CHECK(Short.hasRoom(Later));
  CHECK(Short.tryTake(Later));
  CHECK_FALSE(Short.tryTake(Later));
  Short.borrow(Later + LoanTimeout);
  CHECK_FALSE(Short.tryTake(Later + LoanTimeout + fromMillis(1)));
}

namespace {

/// A right on its way to the daemon that asked for it.
struct LoanOnItsWay {
  size_t Borrower = 0;
  TimePoint Until{};
};

/// A fleet with an oracle that has seen every request and repeat.
struct Fleet {
  std::vector<std::unique_ptr<FleetRetryBudget>> Daemons;
  std::vector<TimePoint> Requests;
  std::vector<TimePoint> Repeats;

  static size_t countWithin(const std::vector<TimePoint> &Instants,
                            TimePoint From, TimePoint Until) {
    return static_cast<size_t>(
        std::count_if(Instants.begin(), Instants.end(),
                      [&](TimePoint At) { return At > From && At <= Until; }));
  }

  /// The allowance counts the requests of the window or, where these are more,
  /// those of a window that lies up to one window before.
  bool isWithinAllowance(TimePoint Until) const {
    const TimePoint From = Until - Allowance.Window;
    const size_t Sent = countWithin(this->Repeats, From, Until);
    size_t Most = 0;
    for (int Half = 0; Half <= 2; ++Half) {
      const Duration Shift = Allowance.Window * Half / 2;
      Most = std::max(Most,
                      countWithin(this->Requests, From - Shift, Until - Shift));
    }
    return static_cast<double>(Sent) <=
           Allowance.Share * static_cast<double>(Most) +
               static_cast<double>(Allowance.Reserve);
  }
};

} // namespace

TEST_CASE("a fleet stays within its allowance under restarts and any view") {
  CHECK(rc::check([] {
    Fleet Under;
    static constexpr size_t Count = 12;
    for (size_t I = 0; I < Count; ++I) {
      Under.Daemons.push_back(
          std::make_unique<FleetRetryBudget>(Allowance, Start));
      Under.Daemons[I]->configure(Allowance, Count, I);
    }
    std::vector<LoanOnItsWay> Loans;
    TimePoint Now = Start + fromSeconds(30);
    const auto Steps =
        *rc::gen::container<std::vector<int>>(400, rc::gen::inRange(0, 4000));
    for (const int Step : Steps) {
      const size_t Which = static_cast<size_t>(Step) % Count;
      const int Kind = Step / static_cast<int>(Count) % 20;
      Now += fromMillis(Step % 90);
      if (Kind == 0) {
        // A restart forgets what was sent.
        Under.Daemons[Which] =
            std::make_unique<FleetRetryBudget>(Allowance, Now);
        Under.Daemons[Which]->configure(Allowance, Count, Which);
      } else if (Kind == 1) {
        Under.Daemons[Which]->configure(Allowance, 1 + Which, Which);
      } else if (Kind < 4) {
        // A peer lends; its answer may take its time, or never come.
        const size_t Lender = (Which + 1 + static_cast<size_t>(Kind)) % Count;
        if (Under.Daemons[Lender]->tryLend(Now) && Step % 7 != 0)
          Loans.push_back({Which, Now + LoanTimeout});
      } else if (Kind < 6) {
        for (const LoanOnItsWay &Loan : Loans)
          Under.Daemons[Loan.Borrower]->borrow(Loan.Until);
        Loans.clear();
      } else if (Kind < 12) {
        Under.Daemons[Which]->recordRequest(Now);
        Under.Requests.push_back(Now);
      } else {
        while (Under.Daemons[Which]->tryTake(Now))
          Under.Repeats.push_back(Now);
      }
      RC_ASSERT(Under.isWithinAllowance(Now));
    }
  }));
}

TEST_CASE("parts of daemons in order add up nearly as they are") {
  static constexpr size_t Count = 36;
  const TimePoint Later = Start + fromSeconds(20);
  size_t Taken = 0;
  for (size_t I = 0; I < Count; ++I) {
    FleetRetryBudget Budget(Allowance, Start);
    Budget.configure(Allowance, Count, I);
    for (int J = 0; J < 7; ++J)
      Budget.recordRequest(Later);
    while (Budget.tryTake(Later))
      ++Taken;
  }
  // 36 * (0.2 * 7 + 58 / 36) * 0.8 = 86.7; rounded down each, 72.
  CHECK(Taken >= 84);
  CHECK(Taken <= 88);
}
