//===- SendBudgetTest.cpp - Tests of the budget of messages ---------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests when messages of a large hall are sent and how many.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Daemon/SendBudget.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <optional>

using namespace canvaswick;

static constexpr TimePoint Start{fromSeconds(100)};
static constexpr size_t HallDaemons = 42;

namespace {
/// What became of the messages of a minute in which a request begins or ends
/// every 10 ms and a server first fails every 500 ms.
struct Minute {
  int Sent = 0;
  Duration LongestUrgentWait{};
};
} // namespace

static Minute play(MessageUrgency OfFailures) {
  SendBudget Budget;
  Minute Result;
  std::optional<TimePoint> FailedAt;
  for (int Tick = 0; Tick < 6000; ++Tick) {
    const TimePoint Now = Start + fromMillis(Tick * 10);
    if (Tick % 50 == 0 && !FailedAt)
      FailedAt = Now;
    const MessageUrgency Urgency =
        FailedAt ? OfFailures : MessageUrgency::Ordinary;
    if (!Budget.tryTake(Urgency, HallDaemons, Now))
      continue;
    ++Result.Sent;
    if (FailedAt)
      Result.LongestUrgentWait =
          std::max(Result.LongestUrgentWait, Now - *FailedAt);
    FailedAt.reset();
  }
  return Result;
}

TEST_CASE("news of failures do not wait and add no messages") {
  const Minute Before = play(MessageUrgency::Ordinary);
  const Minute Urgent = play(MessageUrgency::Urgent);
  CHECK(Before.LongestUrgentWait > fromMillis(100));
  CHECK(Urgent.LongestUrgentWait == Duration::zero());
  CHECK(Urgent.Sent < 1.1 * Before.Sent);
}

TEST_CASE("urgent messages are limited too") {
  SendBudget Budget;
  int Sent = 0;
  for (int I = 0; I < 100; ++I)
    Sent += Budget.tryTake(MessageUrgency::Urgent, HallDaemons, Start) ? 1 : 0;
  CHECK(Sent == 10);
  CHECK_FALSE(Budget.tryTake(MessageUrgency::Ordinary, HallDaemons,
                             Start + fromMillis(800)));
  CHECK(Budget.tryTake(MessageUrgency::Ordinary, HallDaemons,
                       Start + fromMillis(1100)));
}
