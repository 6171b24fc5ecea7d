//===- ServiceWaitingRoom.cpp - Waits of requests for a retry -------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// No thread of its own: each waiting thread advances the decisions about all
/// requests whenever it wakes.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Proxy/ServiceWaitingRoom.h"
#include "canvaswick/Proxy/ServiceRuntime.h"

#include <utility>

namespace canvaswick {

/// The interval at which a waiting request looks for a retry that has become
/// possible and for whether its caller has left.
static constexpr Duration CheckInterval = fromMillis(50);

/// A request may wait only if the timeout of its route is at least this many
/// times the objective. Otherwise the wait would leave too little time for the
/// work.
static constexpr double MinTimeoutFactor = 1.5;

bool ServiceRuntime::mayWait(const RouteConfig &Route) const {
  const int64_t Objective =
      Route.ObjectiveMs > 0 ? Route.ObjectiveMs : this->Config.ObjectiveMs;
  return this->FleetRetries && this->isOn(Mechanism::WaitingRoom) &&
         this->hasManyServers() && Objective > 0 &&
         static_cast<double>(Route.TimeoutMs) >=
             MinTimeoutFactor * static_cast<double>(Objective);
}

/// Asks peers for a retry if it is the turn of Request, and gives the retry to
/// the request that is first when it arrives.
void ServiceWaitingRoom::borrow(const WaitingRequest &Request,
                                ServiceRuntime &Service, const WaitWatch &Watch,
                                LockT &Lock) {
  const TimePoint Asked = readSteadyClock();
  if (this->IsBorrowing || !this->Room.mayBorrow(Request, Asked))
    return;
  std::optional<TakenRetry> Lent;
  if (Watch.BorrowRetry) {
    this->IsBorrowing = true;
    Lock.unlock();
    Lent = Watch.BorrowRetry();
    Lock.lock();
    this->IsBorrowing = false;
  }
  if (!Lent)
    this->Room.recordLoanRefused(Asked);
  else if (this->Room.serveLent(*Lent, readSteadyClock()))
    this->Changed.notify_all();
  else
    Service.giveBackRetry(*Lent);
}

/// Ends the waits of all requests whose time has come.
void ServiceWaitingRoom::advance(ServiceRuntime &Service) {
  const size_t Before = this->Room.getLength();
  Service.withFleetRetries([&](FleetRetryBudget &Budget) {
    const TimePoint Now = readSteadyClock();
    this->Room.serve(Budget, Now);
    this->Room.refuseHopeless(Budget, Now);
  });
  if (this->Room.getLength() != Before)
    this->Changed.notify_all();
}

WaitEnd ServiceWaitingRoom::wait(WaitingRequest &Request,
                                 ServiceRuntime &Service,
                                 const WaitWatch &Watch) {
  bool HasSlept = false;
  LockT Lock(this->Mutex);
  const size_t Before = this->Room.getLength();
  Service.withFleetRetries([&](FleetRetryBudget &Budget) {
    this->Room.enter(Request, Budget, readSteadyClock());
  });
  // The waits of others may have ended, in a full room or with a retry.
  if (this->Room.getLength() < Before + (Request.End ? 0 : 1))
    this->Changed.notify_all();
  while (!Request.End) {
    if (const std::optional<WaitEnd> End = Watch.CheckEnd()) {
      this->Room.leave(Request, readSteadyClock(), *End);
      this->Changed.notify_all();
      break;
    }
    this->borrow(Request, Service, Watch, Lock);
    this->advance(Service);
    if (Request.End)
      break;
    if (!std::exchange(HasSlept, true))
      Watch.OnWait();
    this->Changed.wait_for(Lock, CheckInterval);
  }
  return *Request.End;
}

void ServiceWaitingRoom::close(TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Room.close(Now);
  this->Changed.notify_all();
}

RoomStatus ServiceWaitingRoom::describe() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return {this->Room.getLength(), this->Room.getLongestWait()};
}

} // namespace canvaswick
