//===- ServiceWaitingRoom.h - Waits of requests for a retry -----*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The threads of requests wait here while WaitingRoom decides about their
/// turns. All versions of a service share one object, so that a change of the
/// settings neither empties the room nor opens a second one.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_PROXY_SERVICEWAITINGROOM_H
#define CANVASWICK_PROXY_SERVICEWAITINGROOM_H

#include "canvaswick/Admission/WaitingRoom.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>

namespace canvaswick {

class ServiceRuntime;

/// What the wait of a request depends on besides the budget. The functions are
/// called on the request's own thread.
struct WaitWatch {
  /// Asks peers for a retry, and waits for a short time; no lock is held. Null
  /// if no peer lends.
  std::function<std::optional<TakenRetry>()> BorrowRetry;
  /// Returns how the wait ends for a reason outside the room, if it does. Must
  /// not wait.
  std::function<std::optional<WaitEnd>()> CheckEnd;
  /// Called at most once, before the thread first sleeps; must not wait.
  std::function<void()> OnWait;
};

/// The state of a room, for operators.
struct RoomStatus {
  size_t Length = 0;
  Duration LongestWait{};
};

/// The requests of one service that wait for a retry. Thread-safe. While its
/// mutex is held, the mutex of the ServiceRuntime may be taken, but not the
/// other way round.
class ServiceWaitingRoom
    : public boost::intrusive_ref_counter<ServiceWaitingRoom> {
public:
  /// Waits until a retry was taken for Request or its wait ended otherwise.
  /// Request must not be in any room.
  WaitEnd wait(WaitingRequest &Request, ServiceRuntime &Service,
               const WaitWatch &Watch);

  /// Ends all waits because the daemon stops, and refuses further ones.
  void close(TimePoint Now);

  RoomStatus describe() const;

  /// Guards the service's FleetRetryBudget, which all versions of the service
  /// share like this object. Innermost.
  std::mutex &getBudgetMutex() { return this->BudgetMutex; }

private:
  using LockT = std::unique_lock<std::mutex>;

  void borrow(const WaitingRequest &Request, ServiceRuntime &Service,
              const WaitWatch &Watch, LockT &Lock);
  void advance(ServiceRuntime &Service);

  std::mutex BudgetMutex;
  mutable std::mutex Mutex;
  /// Signaled when waits have ended, which makes another request the first.
  std::condition_variable Changed;
  WaitingRoom Room;
  /// Whether a request asks peers for a retry.
  bool IsBorrowing = false;
};

using ServiceWaitingRoomRef = boost::intrusive_ptr<ServiceWaitingRoom>;

} // namespace canvaswick

#endif // CANVASWICK_PROXY_SERVICEWAITINGROOM_H
