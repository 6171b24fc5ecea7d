//===- RetryBorrower.h - Retry loans between daemons ------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Each daemon holds a part of the fleet's retry budget. Failures do not spread
/// evenly: with forty daemons, each holds two or three retries per window, and
/// some run out while others have retries left. A daemon that needs one more
/// asks two peers, at first of its own hall, then one of another hall too, and
/// waits some tens of milliseconds.
///
/// Loans move retries and never create them: the lender counts the retry as its
/// own before it answers, and the borrower uses it before the lender's count
/// begins to expire. Lost, late and duplicated messages can only lose a retry.
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

/// Borrows retries for this daemon's requests. Thread-safe; its mutex is locked
/// before that of a service.
class RetryBorrower {
public:
  /// Sends a loan request to some peers, chosen at random each time.
  /// AsksRemoteHall includes one of another hall.
  using Sender =
      std::function<void(const RetryLoan &Loan, bool AsksRemoteHall)>;

  /// FirstNumber must differ from that of earlier processes of this daemon.
  RetryBorrower(uint64_t FirstNumber, CounterTable &Counters,
                Sender SendRequest);

  /// Borrows one retry of a service from a peer and takes it. Returns nothing
  /// if no peer grants one within some tens of milliseconds.
  std::optional<TakenRetry> borrow(ServiceRuntime &Service, TimePoint Now);

  /// Handles a peer's grant. A grant that no request waits for any more is
  /// dropped.
  void handleGrant(const RetryLoan &Loan);

private:
  struct PendingRequest {
    ServiceRuntimeRef Service;
    TimePoint RequestedAt{};
    bool IsGranted = false;
  };

  bool waitForGrant(const RetryLoan &Loan);
  bool canAskPeers(const RetryLoan &Loan, TimePoint Now);

  CounterTable &Counters;
  const Sender SendRequest;
  std::mutex Mutex;
  std::condition_variable GrantReceived;
  uint64_t NextNumber;
  std::map<uint64_t, PendingRequest> Pending;
  /// The time until which no loan is requested for a service.
  std::map<ServerId, TimePoint> BackoffUntil;
};

} // namespace canvaswick

#endif // CANVASWICK_DAEMON_RETRYBORROWER_H
