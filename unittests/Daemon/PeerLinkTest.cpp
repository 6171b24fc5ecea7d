//===- PeerLinkTest.cpp - Tests of who hears which message ----------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Who hears what in two halls.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Daemon/PeerLink.h"
#include "canvaswick/Http/HttpServer.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <mutex>
#include <thread>

using namespace canvaswick;

namespace {

/// One daemon's link and what it has heard.
struct Listener {
  Listener(const std::string &Name, const std::string &Hall, int Number,
           uint16_t Port)
      : Self{Name, Hall, {}, {fmt::format("127.0.7.{}", Number), Port}},
        Link(Self, 1, Counters, [this](const PeerMessage &Message) {
          std::lock_guard<std::mutex> Lock(this->Mutex);
          this->Heard.push_back(Message);
        }) {}

  size_t countHeard() {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    return this->Heard.size();
  }

  const DaemonRecord Self;
  CounterTable Counters;
  std::mutex Mutex;
  std::vector<PeerMessage> Heard;
  PeerLink Link;
};

} // namespace

/// Starts six daemons in two halls that know each other.
static std::vector<std::unique_ptr<Listener>> startTwoHalls() {
  HttpServer Probe({}, [](HttpExchange &) {});
  REQUIRE(Probe.start({"127.0.0.1", 0}));
  const uint16_t Port = Probe.getPort();
  std::vector<std::unique_ptr<Listener>> All;
  std::vector<DaemonRecord> Records;
  for (int I = 0; I < 6; ++I) {
    All.push_back(std::make_unique<Listener>(fmt::format("d{}", I),
                                             I < 3 ? "h1" : "h2", I + 1, Port));
    Records.push_back(All.back()->Self);
  }
  for (const std::unique_ptr<Listener> &Each : All) {
    REQUIRE(Each->Link.start());
    Each->Link.setPeers(Records);
  }
  return All;
}

TEST_CASE("observations stay in the hall, estimates reach every daemon") {
  const std::vector<std::unique_ptr<Listener>> All = startTwoHalls();
  const auto WaitFor = [&](size_t First, size_t Last, size_t Count) {
    for (int Round = 0; Round < 300; ++Round) {
      bool IsDone = true;
      for (size_t I = First; I <= Last; ++I)
        IsDone = IsDone && All[I]->countHeard() >= Count;
      if (IsDone)
        return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return false;
  };
  All[0]->Link.sendObservations({{5, RequestOutcome::Failed, 2}},
                                {{7, 120, 200}}, {{0xffffffffffff, 1, 2}},
                                {{6, 1.5, fromMillis(20)}});
  CHECK(WaitFor(1, 2, 1));
  for (size_t I = 1; I < 3; ++I) {
    REQUIRE(All[I]->Heard[0].InFlight.has_value());
    CHECK(All[I]->Heard[0].InFlight->size() == 1);
    CHECK(All[I]->Heard[0].Usages.size() == 1);
    CHECK(All[I]->Heard[0].Limits.size() == 1);
  }
  All[0]->Link.sendEstimates({{9, 345}}, {}, {{6, 1.5, fromMillis(20)}});
  CHECK(WaitFor(3, 5, 1));
  for (size_t I = 3; I < 6; ++I) {
    CHECK(All[I]->Heard.size() == 1);
    CHECK(All[I]->Heard[0].Estimates.size() == 1);
    CHECK(All[I]->Heard[0].Limits.size() == 1);
  }
  CHECK(All[0]->countHeard() == 0);
}

TEST_CASE("a watcher tells its hall how long ago the store answered it") {
  const std::vector<std::unique_ptr<Listener>> All = startTwoHalls();
  const TimePoint Now = readSteadyClock();
  std::optional<Duration> Expected;
  StoreState State{{0, 7}, false, Now - fromMillis(430)};
  SUBCASE("it watches") {
    State.IsWatching = true;
    Expected = fromMillis(430);
  }
  SUBCASE("it follows others") {}
  All[0]->Link.setStoreState(State);
  All[0]->Link.sendStoreState(Now);
  for (int Round = 0; Round < 300 && All[1]->countHeard() == 0; ++Round)
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  REQUIRE(All[1]->countHeard() == 1);
  CHECK(All[1]->Heard[0].AsOf == StorePosition(0, 7));
  CHECK(All[1]->Heard[0].SinceStoreAnswer == Expected);
}

/// Sends a datagram from a socket of its own.
static void sendRaw(const Endpoint &To, const std::string &Text) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(To.Port);
  REQUIRE(::inet_pton(AF_INET, To.Host.c_str(), &Address.sin_addr) == 1);
  const int Socket = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  REQUIRE(Socket >= 0);
  const auto *Generic = reinterpret_cast<const sockaddr *>(&Address);
  CHECK(::sendto(Socket, Text.data(), Text.size(), 0, Generic,
                 sizeof(Address)) == static_cast<ssize_t>(Text.size()));
  ::close(Socket);
}

// The failure. One datagram of 1,400 opening brackets ended the daemon.
// The cause. The library that reads JSON throws where values lie too deep in
// each other, and nothing caught that on the link's thread.
TEST_CASE("a datagram that holds anything does not end the daemon") {
  const std::vector<std::unique_ptr<Listener>> All = startTwoHalls();
  sendRaw(All[0]->Self.Peer, std::string(1400, '['));
  sendRaw(All[0]->Self.Peer, std::string(1400, '{'));
  sendRaw(All[0]->Self.Peer, std::string(1400, '\0'));
  // It still hears its hall.
  All[1]->Link.setStoreState({{0, 9}, true, readSteadyClock()});
  All[1]->Link.sendStoreState(readSteadyClock());
  for (int Round = 0; Round < 300 && All[0]->countHeard() == 0; ++Round)
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  CHECK(All[0]->countHeard() > 0);
}

TEST_CASE("a link that has been stopped sends nothing") {
  const std::vector<std::unique_ptr<Listener>> All = startTwoHalls();
  All[0]->Link.stop();
  All[0]->Link.sendStoreState(readSteadyClock());
  CHECK(All[0]->Counters.get(Counter::PeerDatagramsSent) == 0);
  CHECK(All[0]->Counters.get(Counter::PeerSendFailures) == 0);
}

TEST_CASE("a right to a repeat is asked of few and given to who asked") {
  const std::vector<std::unique_ptr<Listener>> All = startTwoHalls();
  bool IsFar = false;
  SUBCASE("of the own hall") {}
  SUBCASE("of another hall too") { IsFar = true; }
  All[0]->Link.sendLoanRequest({7, 1}, IsFar);
  All[IsFar ? 4 : 1]->Link.sendLoanGrant("d0", {7, 1});
  for (int Round = 0; Round < 300 && All[0]->countHeard() == 0; ++Round)
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  // What else was sent has come by then, or will not.
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  REQUIRE(All[0]->countHeard() == 1);
  CHECK(All[0]->Heard[0].LoanGrants == std::vector<RetryLoan>{{7, 1}});
  size_t Near = 0;
  size_t Far = 0;
  for (size_t I = 1; I < 6; ++I)
    (I < 3 ? Near : Far) += All[I]->countHeard();
  CHECK(Near == (IsFar ? 1 : 2));
  CHECK(Far == (IsFar ? 1 : 0));
}
