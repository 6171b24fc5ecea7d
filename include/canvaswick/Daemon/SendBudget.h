//===- SendBudget.h - Budget of messages within a hall ----------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Declares the budget of messages that a daemon sends to its hall. Each
/// message costs processor time at every daemon of the hall.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_DAEMON_SENDBUDGET_H
#define CANVASWICK_DAEMON_SENDBUDGET_H

#include "canvaswick/Support/Time.h"

#include <cstddef>
#include <cstdint>

namespace canvaswick {

/// How much a message's delay costs. While the first sign of a failure waits,
/// other daemons lose requests at the same server.
enum class MessageUrgency : uint8_t { Ordinary, Urgent };

/// A token bucket in which urgent messages go into debt, so that they go ahead
/// of ordinary ones without adding to them. Not thread-safe.
class SendBudget {
public:
  /// Takes the token for one message of a daemon in a hall of HallDaemons.
  /// Returns false if the message has to wait.
  bool tryTake(MessageUrgency Urgency, size_t HallDaemons, TimePoint Now);

private:
  /// Messages that may be sent at once after an idle time.
  static constexpr double MaxTokens = 5;

  double Tokens = MaxTokens;
  TimePoint UpdatedAt{};
};

} // namespace canvaswick

#endif // CANVASWICK_DAEMON_SENDBUDGET_H
