//===- RepeatLoans.cpp - Rights to repeats, lent between daemons ----------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The thread of a request asks and waits; the thread of the link to peers
/// brings answers.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Daemon/RepeatLoans.h"

namespace canvaswick {

/// How often peers are asked for one right, and how long each time is waited:
/// within a hall an answer takes about a millisecond, more where a machine has
/// little processor time. All rounds are far below LoanLife.
static constexpr int MaxRounds = 3;
static constexpr Duration RoundWait = fromMillis(15);

/// After peers were asked in vain, they are left alone for this long: where the
/// whole hall has run out, asking only makes answers late.
static constexpr Duration QuietTime = fromMillis(250);

RepeatLoans::RepeatLoans(uint64_t FirstNumber, CounterTable &Counters,
                         Sender Ask)
    : Counters(Counters), Ask(std::move(Ask)), NextNumber(FirstNumber) {}

bool RepeatLoans::isWorthAsking(const RepeatLoan &Loan, TimePoint Now) {
  std::erase_if(this->QuietUntil,
                [Now](const auto &Entry) { return Now >= Entry.second; });
  return this->QuietUntil.count(Loan.Service) == 0;
}

/// Asks round after round until an answer comes. Called without the mutex.
bool RepeatLoans::waitForAnswer(const RepeatLoan &Loan) {
  for (int Round = 0; Round < MaxRounds; ++Round) {
    this->Ask(Loan, Round > 0);
    std::unique_lock<std::mutex> Lock(this->Mutex);
    const bool IsAnswered =
        this->Answered.wait_for(Lock, RoundWait, [this, &Loan] {
          return this->Open[Loan.Number].IsAnswered;
        });
    if (IsAnswered)
      return true;
  }
  return false;
}

bool RepeatLoans::borrow(ServiceRuntime &Service, TimePoint Now) {
  RepeatLoan Loan;
  Loan.Service = Service.getId();
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    if (!this->isWorthAsking(Loan, Now))
      return false;
    Loan.Number = this->NextNumber++;
    this->Open[Loan.Number] = {ServiceRuntimeRef(&Service), Now};
  }
  const bool IsAnswered = this->waitForAnswer(Loan);
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Open.erase(Loan.Number);
    if (!IsAnswered)
      this->QuietUntil[Loan.Service] = Now + QuietTime;
  }
  const bool IsTaken =
      IsAnswered && Service.tryTakeNotRunRetry(readSteadyClock());
  this->Counters.add(IsTaken ? Counter::RepeatsBorrowed
                             : Counter::RepeatsAskedInVain);
  return IsTaken;
}

void RepeatLoans::takeLent(const RepeatLoan &Loan) {
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    const auto Found = this->Open.find(Loan.Number);
    if (Found == this->Open.end() ||
        Found->second.Service->getId() != Loan.Service)
      return;
    Found->second.Service->borrowRetry(Found->second.AskedAt + LoanLife);
    Found->second.IsAnswered = true;
  }
  this->Answered.notify_all();
}

} // namespace canvaswick
