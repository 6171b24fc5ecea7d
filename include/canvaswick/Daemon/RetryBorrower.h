//===- RetryBorrower.h - Rights to repeats, lent between --------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Each daemon has a part of the fleet's repeats. Failures do not come evenly:
/// at forty daemons the parts are of two or three repeats a window, and some
/// run out while others have some left. A daemon that needs one more asks two
/// peers, first of its own hall and then one of another too, and waits some
/// tens of milliseconds.
///
/// Rights are moved, never made: the lender counts the repeat as its own before
/// it answers, and a right is used before the lender's count of it begins to
/// age. Lost, late and doubled messages can only lose a right.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_DAEMON_RETRYBORROWER_H
#define CANVASWICK_DAEMON_RETRYBORROWER_H

#include "canvaswick/Daemon/PeerMessage.h"
#include "canvaswick/Metrics/Counters.h"
#include "canvaswick/Proxy/ServiceRuntime.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>

namespace canvaswick {

/// Borrows for this daemon's requests. Thread-safe; its mutex is taken before
/// that of a service.
class RetryBorrower {
public:
  /// Sends a question to some peers, others each time. AsksRemoteHall: to one
  /// of another hall too.
  using Sender =
      std::function<void(const RetryLoan &Loan, bool AsksRemoteHall)>;

  /// FirstNumber must differ from that of earlier processes of this daemon.
  RetryBorrower(uint64_t FirstNumber, CounterTable &Counters, Sender Ask);

  /// Asks peers for the right to one repeat of a service and takes it. Returns
  /// false if none came within some tens of milliseconds.
  bool borrow(ServiceRuntime &Service, TimePoint Now);

  /// Takes a peer's answer. One that nobody waits for any more is dropped.
  void handleGrant(const RetryLoan &Loan);

private:
  struct Question {
    ServiceRuntimeRef Service;
    TimePoint AskedAt{};
    bool IsAnswered = false;
  };

  bool waitForAnswer(const RetryLoan &Loan);
  bool isWorthAsking(const RetryLoan &Loan, TimePoint Now);

  CounterTable &Counters;
  const Sender Ask;
  std::mutex Mutex;
  std::condition_variable Answered;
  uint64_t NextNumber;
  std::map<uint64_t, Question> Open;
  /// Until when asking for a service again makes no sense.
  std::map<ServerId, TimePoint> QuietUntil;
};

} // namespace canvaswick

#endif // CANVASWICK_DAEMON_RETRYBORROWER_H
