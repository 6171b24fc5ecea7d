//===- RetryBorrowerTest.cpp - Tests of retry loans -----------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests a daemon that has used up its retries, with a peer that has some left
/// or none.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Daemon/RetryBorrower.h"

#include <doctest/doctest.h>

#include <thread>

using namespace canvaswick;

namespace {

/// Returns a daemon's runtime of one service with its part of the fleet's
/// retries.
ServiceRuntimeRef makeService(int64_t Reserve, size_t Daemons) {
  ServiceConfig Config;
  Config.Name = "s";
  DaemonIdentity Identity;
  Identity.Name = "d";
  Identity.Hall = "h";
  Identity.Source = SettingsSource::Platform;
  Identity.RetryLimit = {0.2, fromSeconds(10), Reserve};
  // Long enough ago for the reserve to be available.
  Identity.Started = readSteadyClock() - fromSeconds(60);
  ServiceRuntimeRef Service(
      new ServiceRuntime(Config, Identity, nullptr, readSteadyClock()));
  Service->setRetryLimit(Identity.RetryLimit, Daemons, 0);
  return Service;
}

/// A borrower and its only lender, which answers on separate threads as a link
/// does. The threads are joined before the objects that they use are destroyed.
struct Lender {
  explicit Lender(ServiceRuntimeRef Service) : Service(std::move(Service)) {}

  ~Lender() {
    for (std::thread &Each : this->Threads)
      Each.join();
  }

  void handleRequest(const RetryLoan &Loan) {
    ++this->Received;
    if (this->Service->tryLendRetry(readSteadyClock()))
      this->Threads.emplace_back([this, Loan] {
        std::this_thread::sleep_for(this->Delay);
        this->Borrower.handleGrant(Loan);
      });
  }

  CounterTable Counters;
  const ServiceRuntimeRef Service;
  RetryBorrower Borrower{1, Counters, [this](const RetryLoan &Loan, bool) {
                           this->handleRequest(Loan);
                         }};
  std::chrono::milliseconds Delay{2};
  int Received = 0;
  std::vector<std::thread> Threads;
};

} // namespace

TEST_CASE("a daemon without retries uses one that a peer has left") {
  Lender Peer(makeService(20, 4));
  // A hundred daemons share two retries, so none has a whole one.
  const ServiceRuntimeRef Short = makeService(2, 100);
  CHECK_FALSE(Short->tryTakeRetry(readSteadyClock()));
  // 20 * 0.8 / 4 = 4.
  for (int I = 0; I < 4; ++I)
    CHECK(Peer.Borrower.borrow(*Short, readSteadyClock()));
  CHECK_FALSE(Peer.Borrower.borrow(*Short, readSteadyClock()));
  CHECK(Peer.Counters.get(Counter::RetriesBorrowed) == 4);
  CHECK(Peer.Counters.get(Counter::RetryLoansFailed) == 1);
  CHECK_FALSE(Peer.Service->tryTakeRetry(readSteadyClock()));
}

TEST_CASE("peers without retries are not asked again at once") {
  Lender Peer(makeService(2, 100));
  const ServiceRuntimeRef Short = makeService(2, 100);
  const TimePoint Now = readSteadyClock();
  CHECK_FALSE(Peer.Borrower.borrow(*Short, Now));
  const int Before = Peer.Received;
  CHECK(Before > 0);
  CHECK_FALSE(Peer.Borrower.borrow(*Short, Now + fromMillis(100)));
  CHECK(Peer.Received == Before);
  CHECK_FALSE(Peer.Borrower.borrow(*Short, Now + fromSeconds(1)));
  CHECK(Peer.Received > Before);
}

TEST_CASE("a late grant and a grant for another service have no effect") {
  CounterTable Counters;
  RetryBorrower Borrower(1, Counters, [](const RetryLoan &, bool) {});
  const ServiceRuntimeRef Short = makeService(2, 100);
  CHECK_FALSE(Borrower.borrow(*Short, readSteadyClock()));
  Borrower.handleGrant({Short->getId(), 1});
  CHECK_FALSE(Short->tryTakeRetry(readSteadyClock()));
  RetryBorrower Mixed(1, Counters, [&](const RetryLoan &Loan, bool) {
    Mixed.handleGrant({Loan.Service + 1, Loan.Number});
  });
  CHECK_FALSE(Mixed.borrow(*Short, readSteadyClock()));
}
