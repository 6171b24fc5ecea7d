//===- RepeatLoansTest.cpp - Tests of lent repeats ------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// One daemon that has used up its part, and a peer that has some left or none.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Daemon/RepeatLoans.h"

#include <doctest/doctest.h>

#include <thread>

using namespace canvaswick;

namespace {

/// A daemon's view of one service, with the part of a fleet's repeats.
ServiceRuntimeRef makeService(int64_t Reserve, size_t Daemons) {
  ServiceConfig Config;
  Config.Name = "s";
  DaemonIdentity Identity;
  Identity.Name = "d";
  Identity.Hall = "h";
  Identity.Source = SettingsSource::Platform;
  Identity.Repeats = {0.2, fromSeconds(10), Reserve};
  // Long enough ago for the reserve to be free.
  Identity.Started = readSteadyClock() - fromSeconds(60);
  ServiceRuntimeRef Service(
      new ServiceRuntime(Config, Identity, nullptr, readSteadyClock()));
  Service->setRetryLimit(Identity.Repeats, Daemons, 0);
  return Service;
}

/// A borrower and its one lender, which answers on threads of its own as a link
/// does. They end before what they reach goes.
struct Lender {
  explicit Lender(ServiceRuntimeRef Service) : Service(std::move(Service)) {}

  ~Lender() {
    for (std::thread &Each : this->Threads)
      Each.join();
  }

  void hear(const RepeatLoan &Loan) {
    ++this->Heard;
    if (this->Service->tryLendRetry(readSteadyClock()))
      this->Threads.emplace_back([this, Loan] {
        std::this_thread::sleep_for(this->Delay);
        this->Loans.takeLent(Loan);
      });
  }

  CounterTable Counters;
  const ServiceRuntimeRef Service;
  RepeatLoans Loans{1, Counters,
                    [this](const RepeatLoan &Loan, bool) { this->hear(Loan); }};
  std::chrono::milliseconds Delay{2};
  int Heard = 0;
  std::vector<std::thread> Threads;
};

} // namespace

TEST_CASE("a daemon without repeats uses one that a peer has left") {
  Lender Peer(makeService(20, 4));
  // A hundred daemons share two: nobody has a whole one.
  const ServiceRuntimeRef Short = makeService(2, 100);
  CHECK_FALSE(Short->tryTakeRetry(readSteadyClock()));
  // 20 * 0.8 / 4 = 4.
  for (int I = 0; I < 4; ++I)
    CHECK(Peer.Loans.borrow(*Short, readSteadyClock()));
  CHECK_FALSE(Peer.Loans.borrow(*Short, readSteadyClock()));
  CHECK(Peer.Counters.get(Counter::RepeatsBorrowed) == 4);
  CHECK(Peer.Counters.get(Counter::RepeatsAskedInVain) == 1);
  CHECK_FALSE(Peer.Service->tryTakeRetry(readSteadyClock()));
}

TEST_CASE("peers that have none are not asked again at once") {
  Lender Peer(makeService(2, 100));
  const ServiceRuntimeRef Short = makeService(2, 100);
  const TimePoint Now = readSteadyClock();
  CHECK_FALSE(Peer.Loans.borrow(*Short, Now));
  const int Before = Peer.Heard;
  CHECK(Before > 0);
  CHECK_FALSE(Peer.Loans.borrow(*Short, Now + fromMillis(100)));
  CHECK(Peer.Heard == Before);
  CHECK_FALSE(Peer.Loans.borrow(*Short, Now + fromSeconds(1)));
  CHECK(Peer.Heard > Before);
}

TEST_CASE("an answer that nobody waits for, or for another, gives nothing") {
  CounterTable Counters;
  RepeatLoans Loans(1, Counters, [](const RepeatLoan &, bool) {});
  const ServiceRuntimeRef Short = makeService(2, 100);
  CHECK_FALSE(Loans.borrow(*Short, readSteadyClock()));
  Loans.takeLent({Short->getId(), 1});
  CHECK_FALSE(Short->tryTakeRetry(readSteadyClock()));
  RepeatLoans Mixed(1, Counters, [&](const RepeatLoan &Loan, bool) {
    Mixed.takeLent({Loan.Service + 1, Loan.Number});
  });
  CHECK_FALSE(Mixed.borrow(*Short, readSteadyClock()));
}
