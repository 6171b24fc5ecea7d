//===- FleetRetryBudgetTest.cpp - Tests of the fleet-wide retry budget ----===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Whatever the daemons do, together they stay within the fleet's retry limit.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Admission/FleetRetryBudget.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <memory>
#include <vector>

using namespace canvaswick;

static constexpr FleetRetryLimit Limit{0.2, fromSeconds(10), 58};
static constexpr TimePoint Start{fromSeconds(1000)};

TEST_CASE("retries follow the daemon's requests and its part of the reserve") {
  FleetRetryBudget Budget(Limit, Start);
  Budget.configure(Limit, 40, 0);
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
  // One window later, nothing is remembered.
  CHECK(Budget.tryTake(Later + fromSeconds(11)));
}

TEST_CASE("a process that has just started does not use the reserve") {
  FleetRetryBudget Budget(Limit, Start);
  CHECK_FALSE(Budget.tryTake(Start + fromSeconds(9)));
  CHECK(Budget.tryTake(Start + fromSeconds(11)));
}

TEST_CASE("a smaller view of the fleet does not raise a daemon's part") {
  FleetRetryBudget Budget(Limit, Start);
  Budget.configure(Limit, 40, 0);
  Budget.configure(Limit, 3, 0);
  CHECK(Budget.getAllowed(Start + fromSeconds(20)) < 2);
}

TEST_CASE("a lent retry is spent at the lender and expires at the borrower") {
  const TimePoint Later = Start + fromSeconds(20);
  FleetRetryBudget Lender(Limit, Start);
  Lender.configure(Limit, 20, 0);
  // 58 * 0.8 / 20 = 2.32.
  CHECK(Lender.tryLend(Later));
  CHECK(Lender.tryTake(Later));
  CHECK_FALSE(Lender.tryLend(Later));
  CHECK_FALSE(Lender.tryTake(Later));
  FleetRetryBudget Short(Limit, Start);
  Short.configure(Limit, 100, 0);
  CHECK_FALSE(Short.tryTake(Later));
  Short.borrow(Later + LoanTimeout);
  CHECK(Short.hasRoom(Later));
  CHECK(Short.tryTake(Later));
  CHECK_FALSE(Short.tryTake(Later));
  Short.borrow(Later + LoanTimeout);
  CHECK_FALSE(Short.tryTake(Later + LoanTimeout + fromMillis(1)));
}

namespace {

/// A lent retry that has not reached its borrower yet.
struct PendingLoan {
  size_t Borrower = 0;
  TimePoint Until{};
};

/// A fleet with an oracle that sees every request and retry.
struct Fleet {
  std::vector<std::unique_ptr<FleetRetryBudget>> Daemons;
  std::vector<TimePoint> Requests;
  std::vector<TimePoint> Retries;

  static size_t countWithin(const std::vector<TimePoint> &Instants,
                            TimePoint From, TimePoint Until) {
    return static_cast<size_t>(
        std::count_if(Instants.begin(), Instants.end(),
                      [&](TimePoint At) { return At > From && At <= Until; }));
  }

  /// The limit counts the requests of the window or, if these are more, those
  /// of a window that begins up to one window earlier.
  bool isWithinLimit(TimePoint Until) const {
    const TimePoint From = Until - Limit.Window;
    const size_t Sent = countWithin(this->Retries, From, Until);
    size_t MaxRequests = 0;
    for (int Half = 0; Half <= 2; ++Half) {
      const Duration Shift = Limit.Window * Half / 2;
      MaxRequests =
          std::max(MaxRequests,
                   countWithin(this->Requests, From - Shift, Until - Shift));
    }
    return static_cast<double>(Sent) <=
           Limit.Share * static_cast<double>(MaxRequests) +
               static_cast<double>(Limit.Reserve);
  }
};

} // namespace

TEST_CASE("a fleet stays within its limit under restarts and partial views") {
  CHECK(rc::check([] {
    Fleet Under;
    static constexpr size_t Count = 12;
    for (size_t I = 0; I < Count; ++I) {
      Under.Daemons.push_back(std::make_unique<FleetRetryBudget>(Limit, Start));
      Under.Daemons[I]->configure(Limit, Count, I);
    }
    std::vector<PendingLoan> Loans;
    TimePoint Now = Start + fromSeconds(30);
    const auto Steps =
        *rc::gen::container<std::vector<int>>(400, rc::gen::inRange(0, 4000));
    for (const int Step : Steps) {
      const size_t Which = static_cast<size_t>(Step) % Count;
      const int Kind = Step / static_cast<int>(Count) % 20;
      Now += fromMillis(Step % 90);
      if (Kind == 0) {
        // A restart forgets what was sent.
        Under.Daemons[Which] = std::make_unique<FleetRetryBudget>(Limit, Now);
        Under.Daemons[Which]->configure(Limit, Count, Which);
      } else if (Kind == 1) {
        Under.Daemons[Which]->configure(Limit, 1 + Which, Which);
      } else if (Kind < 4) {
        // A peer lends; its answer may be delayed or lost.
        const size_t Lender = (Which + 1 + static_cast<size_t>(Kind)) % Count;
        if (Under.Daemons[Lender]->tryLend(Now) && Step % 7 != 0)
          Loans.push_back({Which, Now + LoanTimeout});
      } else if (Kind < 6) {
        for (const PendingLoan &Loan : Loans)
          Under.Daemons[Loan.Borrower]->borrow(Loan.Until);
        Loans.clear();
      } else if (Kind < 12) {
        Under.Daemons[Which]->recordRequest(Now);
        Under.Requests.push_back(Now);
      } else {
        while (Under.Daemons[Which]->tryTake(Now))
          Under.Retries.push_back(Now);
      }
      RC_ASSERT(Under.isWithinLimit(Now));
    }
  }));
}

TEST_CASE("rounded parts of all daemons add up to nearly the limit") {
  static constexpr size_t Count = 36;
  const TimePoint Later = Start + fromSeconds(20);
  size_t Taken = 0;
  for (size_t I = 0; I < Count; ++I) {
    FleetRetryBudget Budget(Limit, Start);
    Budget.configure(Limit, Count, I);
    for (int J = 0; J < 7; ++J)
      Budget.recordRequest(Later);
    while (Budget.tryTake(Later))
      ++Taken;
  }
  // 36 * (0.2 * 7 + 58 / 36) * 0.8 = 86.7; if each part were rounded down, 72.
  CHECK(Taken >= 84);
  CHECK(Taken <= 88);
}

namespace {

/// A retry that was taken, and is sent or given back later.
struct HeldRetry {
  size_t Daemon = 0;
  TakenRetry Taken;
  TimePoint SentAt{};
  bool IsGivenBack = false;
};

/// A fleet whose retries are sent a while after they were taken: connections to
/// servers fail meanwhile.
struct SlowFleet : Fleet {
  std::vector<HeldRetry> Held;

  /// Lets the retries that are due by Now arrive.
  void sendDue(TimePoint Now) {
    std::erase_if(this->Held, [&](const HeldRetry &Each) {
      if (Each.SentAt > Now)
        return false;
      if (Each.IsGivenBack) {
        this->Daemons[Each.Daemon]->giveBack(Each.Taken);
      } else {
        this->Daemons[Each.Daemon]->recordSent(Each.Taken, Each.SentAt);
        this->Retries.push_back(Each.SentAt);
      }
      return true;
    });
  }

  /// Ends a daemon's process, with what it holds.
  void restart(size_t Daemon, TimePoint Now) {
    std::erase_if(this->Held, [Daemon](const HeldRetry &Each) {
      return Each.Daemon == Daemon;
    });
    const size_t Count = this->Daemons.size();
    this->Daemons[Daemon] = std::make_unique<FleetRetryBudget>(Limit, Now);
    this->Daemons[Daemon]->configure(Limit, Count, Daemon);
  }
};

} // namespace

TEST_CASE("a fleet stays within its limit while retries are sent late or given "
          "back, and demand falls") {
  CHECK(rc::check([] {
    SlowFleet Under;
    static constexpr size_t Count = 12;
    for (size_t I = 0; I < Count; ++I) {
      Under.Daemons.push_back(std::make_unique<FleetRetryBudget>(Limit, Start));
      Under.Daemons[I]->configure(Limit, Count, I);
    }
    TimePoint Now = Start + fromSeconds(30);
    const auto Steps =
        *rc::gen::container<std::vector<int>>(600, rc::gen::inRange(0, 100000));
    for (size_t I = 0; I < Steps.size(); ++I) {
      const auto Step = static_cast<size_t>(Steps[I]);
      const size_t Which = Step % Count;
      const size_t Kind = Step / Count % 40;
      // Demand falls to a quarter in the second half.
      const size_t LastRequestKind = I < Steps.size() / 2 ? 16 : 4;
      Now += fromMillis(static_cast<int64_t>(Step % 70));
      Under.sendDue(Now);
      if (Kind == 0) {
        Under.restart(Which, Now);
      } else if (Kind == 39) {
        const size_t Lender = (Which + 1) % Count;
        if (Under.Daemons[Lender]->tryLend(Now))
          Under.Daemons[Which]->borrow(Now + LoanTimeout);
      } else if (Kind <= LastRequestKind) {
        Under.Daemons[Which]->recordRequest(Now);
        Under.Requests.push_back(Now);
      } else {
        const Duration Wait = fromMillis(static_cast<int64_t>(Step / 7 % 1400));
        while (const auto Taken = Under.Daemons[Which]->tryTake(Now))
          Under.Held.push_back({Which, *Taken, Now + Wait, Step % 5 == 0});
      }
      RC_ASSERT(Under.isWithinLimit(Now));
    }
  }));
}

TEST_CASE("a retry that was given back may be taken again") {
  FleetRetryBudget Budget(Limit, Start);
  Budget.configure(Limit, 40, 0);
  const TimePoint Later = Start + fromSeconds(20);
  const std::optional<TakenRetry> Taken = Budget.tryTake(Later);
  REQUIRE(Taken);
  CHECK_FALSE(Budget.hasRoom(Later));
  Budget.giveBack(*Taken);
  CHECK(Budget.tryTake(Later));
}

TEST_CASE("a retry counts from when it was sent") {
  FleetRetryBudget Budget(Limit, Start);
  Budget.configure(Limit, 40, 0);
  const TimePoint Later = Start + fromSeconds(20);
  const std::optional<TakenRetry> Taken = Budget.tryTake(Later);
  REQUIRE(Taken);
  Budget.recordSent(*Taken, Later + fromSeconds(1));
  CHECK_FALSE(Budget.tryTake(Later + fromMillis(10500)));
  CHECK(Budget.tryTake(Later + fromMillis(11500)));
}

TEST_CASE("a lent retry that is sent after its loan has expired counts here") {
  FleetRetryBudget Budget(Limit, Start);
  Budget.configure(Limit, 40, 0);
  const TimePoint Later = Start + fromSeconds(20);
  REQUIRE(Budget.tryTake(Later));
  Budget.borrow(Later + LoanTimeout);
  const std::optional<TakenRetry> Lent = Budget.tryTake(Later);
  REQUIRE(Lent);
  CHECK(Lent->LentUntil);
  const TimePoint SentAt = Later + fromSeconds(1);
  Budget.recordSent(*Lent, SentAt);
  CHECK(Budget.getUse(SentAt).Used == 2);
}
