//===- SendBudget.cpp - Budget of messages within a hall ------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Implements the token bucket.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Daemon/SendBudget.h"

#include <algorithm>

namespace canvaswick {

/// The average time between two messages within a hall. All daemons of a hall
/// together send one message per interval to each other, so that a daemon
/// receives at most 250 a second, however many daemons the hall has.
static constexpr Duration MessageInterval = fromMillis(4);

/// Urgent messages that may be sent without a token. When all servers of a
/// service fail at once, a daemon's news of them need no more.
static constexpr double MaxDebt = 5;

bool SendBudget::tryTake(MessageUrgency Urgency, size_t HallDaemons,
                         TimePoint Now) {
  const double SecondsPerToken =
      toSeconds(MessageInterval) * static_cast<double>(HallDaemons);
  const double Earned = toSeconds(Now - this->UpdatedAt) / SecondsPerToken;
  this->Tokens = std::min(MaxTokens, this->Tokens + std::max(0.0, Earned));
  this->UpdatedAt = std::max(this->UpdatedAt, Now);
  const double Debt = Urgency == MessageUrgency::Urgent ? MaxDebt : 0;
  if (this->Tokens + Debt < 1)
    return false;
  this->Tokens -= 1;
  return true;
}

} // namespace canvaswick
