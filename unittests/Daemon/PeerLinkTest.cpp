//===- PeerLinkTest.cpp - Tests of the datagrams' recipients --------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests which daemons of two halls receive which message.
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

/// One daemon's link and the messages that it has received.
struct Listener {
  Listener(const std::string &Name, const std::string &Hall, int Number,
           uint16_t Port)
      : Self{Name, Hall, {}, {fmt::format("127.0.7.{}", Number), Port}},
        Link(Self, 1, Counters, [this](const PeerMessage &Message) {
          std::lock_guard<std::mutex> Lock(this->Mutex);
          this->Received.push_back(Message);
        }) {}

  size_t countReceived() {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    return this->Received.size();
  }

  const DaemonRecord Self;
  CounterTable Counters;
  std::mutex Mutex;
  std::vector<PeerMessage> Received;
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
        IsDone = IsDone && All[I]->countReceived() >= Count;
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
    REQUIRE(All[I]->Received[0].InFlight.has_value());
    CHECK(All[I]->Received[0].InFlight->size() == 1);
    CHECK(All[I]->Received[0].Usages.size() == 1);
    CHECK(All[I]->Received[0].Limits.size() == 1);
  }
  All[0]->Link.sendEstimates({{9, 345}}, {}, {{6, 1.5, fromMillis(20)}});
  CHECK(WaitFor(3, 5, 1));
  for (size_t I = 3; I < 6; ++I) {
    CHECK(All[I]->Received.size() == 1);
    CHECK(All[I]->Received[0].Estimates.size() == 1);
    CHECK(All[I]->Received[0].Limits.size() == 1);
  }
  CHECK(All[0]->countReceived() == 0);
}

TEST_CASE(
    "a watcher reports the time since the store's last answer to its hall") {
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
  for (int Round = 0; Round < 300 && All[1]->countReceived() == 0; ++Round)
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  REQUIRE(All[1]->countReceived() == 1);
  CHECK(All[1]->Received[0].AsOf == StorePosition(0, 7));
  CHECK(All[1]->Received[0].SinceStoreAnswer == Expected);
}

/// Sends a datagram from a separate socket.
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

// Guards against a datagram that terminates the daemon. The JSON library throws
// an exception when values are nested too deeply, as in 1,400 opening brackets,
// and the link's thread did not catch it.
TEST_CASE("a malformed datagram does not terminate the daemon") {
  const std::vector<std::unique_ptr<Listener>> All = startTwoHalls();
  sendRaw(All[0]->Self.Peer, std::string(1400, '['));
  sendRaw(All[0]->Self.Peer, std::string(1400, '{'));
  sendRaw(All[0]->Self.Peer, std::string(1400, '\0'));
  // The daemon still receives messages of its hall.
  All[1]->Link.setStoreState({{0, 9}, true, readSteadyClock()});
  All[1]->Link.sendStoreState(readSteadyClock());
  for (int Round = 0; Round < 300 && All[0]->countReceived() == 0; ++Round)
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  CHECK(All[0]->countReceived() > 0);
}

TEST_CASE("a stopped link sends nothing") {
  const std::vector<std::unique_ptr<Listener>> All = startTwoHalls();
  All[0]->Link.stop();
  All[0]->Link.sendStoreState(readSteadyClock());
  CHECK(All[0]->Counters.get(Counter::PeerDatagramsSent) == 0);
  CHECK(All[0]->Counters.get(Counter::PeerSendFailures) == 0);
}

TEST_CASE("a loan is requested from few peers and granted to the borrower") {
  const std::vector<std::unique_ptr<Listener>> All = startTwoHalls();
  bool AsksRemoteHall = false;
  SUBCASE("of the same hall") {}
  SUBCASE("of another hall, too") { AsksRemoteHall = true; }
  All[0]->Link.sendLoanRequest({7, 1}, AsksRemoteHall);
  All[AsksRemoteHall ? 4 : 1]->Link.sendLoanGrant("d0", {7, 1});
  for (int Round = 0; Round < 300 && All[0]->countReceived() == 0; ++Round)
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  // Waits for any other message that was sent.
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  REQUIRE(All[0]->countReceived() == 1);
  CHECK(All[0]->Received[0].LoanGrants == std::vector<RetryLoan>{{7, 1}});
  size_t LocalCount = 0;
  size_t RemoteCount = 0;
  for (size_t I = 1; I < 6; ++I)
    (I < 3 ? LocalCount : RemoteCount) += All[I]->countReceived();
  CHECK(LocalCount == (AsksRemoteHall ? 1 : 2));
  CHECK(RemoteCount == (AsksRemoteHall ? 1 : 0));
}
