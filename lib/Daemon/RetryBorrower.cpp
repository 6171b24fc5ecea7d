//===- RetryBorrower.cpp - Retry loans between daemons --------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The thread of a request sends a loan request and waits. The link's thread
/// delivers grants.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Daemon/RetryBorrower.h"

namespace canvaswick {

/// The maximum number of rounds of requests for one loan, and the time to wait
/// in each. Within a hall an answer takes about a millisecond, more on a VM
/// with little processor time. All rounds together are far shorter than the
/// timeout of a loan.
static constexpr int MaxRounds = 3;
static constexpr Duration RoundWait = fromMillis(15);

/// After a request that no peer granted, none is sent for this time: when the
/// whole hall has run out of retries, further requests only delay answers to
/// callers.
static constexpr Duration BackoffTime = fromMillis(250);

RetryBorrower::RetryBorrower(uint64_t FirstNumber, CounterTable &Counters,
                             Sender SendRequest)
    : Counters(Counters), SendRequest(std::move(SendRequest)),
      NextNumber(FirstNumber) {}

bool RetryBorrower::canAskPeers(const RetryLoan &Loan, TimePoint Now) {
  std::erase_if(this->BackoffUntil,
                [Now](const auto &Entry) { return Now >= Entry.second; });
  return this->BackoffUntil.count(Loan.Service) == 0;
}

/// Sends requests in rounds until a grant arrives. The caller does not hold the
/// mutex.
bool RetryBorrower::waitForGrant(const RetryLoan &Loan) {
  for (int Round = 0; Round < MaxRounds; ++Round) {
    this->SendRequest(Loan, Round > 0);
    std::unique_lock<std::mutex> Lock(this->Mutex);
    const bool IsGranted =
        this->GrantReceived.wait_for(Lock, RoundWait, [this, &Loan] {
          return this->Pending[Loan.Number].IsGranted;
        });
    if (IsGranted)
      return true;
  }
  return false;
}

std::optional<TakenRetry> RetryBorrower::borrow(ServiceRuntime &Service,
                                                TimePoint Now) {
  RetryLoan Loan;
  Loan.Service = Service.getId();
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    if (!this->canAskPeers(Loan, Now))
      return std::nullopt;
    Loan.Number = this->NextNumber++;
    this->Pending[Loan.Number] = {ServiceRuntimeRef(&Service), Now};
  }
  const bool IsGranted = this->waitForGrant(Loan);
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Pending.erase(Loan.Number);
    if (!IsGranted)
      this->BackoffUntil[Loan.Service] = Now + BackoffTime;
  }
  std::optional<TakenRetry> Taken;
  if (IsGranted)
    Taken = Service.tryTakeNotRunRetry(readSteadyClock());
  this->Counters.add(Taken ? Counter::RetriesBorrowed
                           : Counter::RetryLoansFailed);
  return Taken;
}

void RetryBorrower::handleGrant(const RetryLoan &Loan) {
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    const auto Found = this->Pending.find(Loan.Number);
    if (Found == this->Pending.end() ||
        Found->second.Service->getId() != Loan.Service)
      return;
    Found->second.Service->borrowRetry(Found->second.RequestedAt + LoanTimeout);
    Found->second.IsGranted = true;
  }
  this->GrantReceived.notify_all();
}

} // namespace canvaswick
