//===- LeavingMeanwhileTest.cpp - Servers that leave during a request -----===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Servers leave or are removed between the arrival of a request and the moment
/// at which it is sent to a server.
///
//===----------------------------------------------------------------------===//

#include "TunnelFixture.h"

#include <algorithm>
#include <functional>
#include <thread>

using namespace canvaswick;

namespace {

/// Three servers, of which the first is slow to fail and the second leaves.
class LeavingFixture : public TunnelFixture {
public:
  /// How long the slow server takes, and when the other one leaves.
  static constexpr Duration SlowTime = fromMillis(300);
  static constexpr Duration LeaveAfter = fromMillis(100);

  LeavingFixture() : TunnelFixture(3) {}

  /// Makes the settings that are in force the ones that Change returns.
  void change(const std::function<void(std::vector<ServerConfig> &)> &Change) {
    auto *Config = new FleetConfig(this->Fleet.get()->getConfig());
    Config->Version = ++this->Version;
    Change(Config->Services[0].Servers);
    this->setConfig(FleetConfigRef(Config));
  }

  void drain(size_t Server) {
    this->change([Server](std::vector<ServerConfig> &Servers) {
      Servers[Server].State = ServerState::Draining;
    });
  }

  void remove(size_t Server) {
    this->change([Server](std::vector<ServerConfig> &Servers) {
      Servers.erase(Servers.begin() + static_cast<ptrdiff_t>(Server));
    });
  }

  /// Leaves only the first server in use, so that a request begins there.
  void useFirstOnly() {
    this->drain(1);
    this->drain(2);
    BackendFaults Slow;
    Slow.SlowMs = toMillis(SlowTime);
    Slow.LoseAnswer = true;
    this->Backends[0]->setFaults(Slow);
  }

  /// Sends a repeatable request that begins at the first server, and calls
  /// Meanwhile while that works on it.
  ExchangeResult sendMeanwhile(const std::function<void()> &Meanwhile) {
    this->useFirstOnly();
    ExchangeResult Result;
    std::thread Caller([&] { Result = this->send("GET", "/read"); });
    std::this_thread::sleep_for(LeaveAfter);
    Meanwhile();
    Caller.join();
    return Result;
  }

  void activate(size_t Server) {
    this->change([Server](std::vector<ServerConfig> &Servers) {
      Servers[Server].State = ServerState::Active;
    });
  }
};

} // namespace

TEST_CASE_FIXTURE(LeavingFixture, "a retry goes to the servers that are listed "
                                  "when it is sent") {
  const ExchangeResult Result = this->sendMeanwhile([this] {
    this->activate(2);
    this->remove(1);
  });
  CHECK(Result.Status == 200);
  CHECK(this->Backends[1]->countArrivals() == 0);
  CHECK(this->Backends[2]->countArrivals() == 1);
}

TEST_CASE("a late retry never reaches a server that leaves meanwhile") {
  // Which of the other two servers a retry chooses is drawn.
  for (int Draw = 0; Draw < 6; ++Draw) {
    LeavingFixture Fixture;
    Fixture.activate(1);
    BackendFaults Slow;
    Slow.SlowMs = toMillis(LeavingFixture::SlowTime);
    Slow.LoseAnswer = true;
    Fixture.setFaults(Slow);
    ExchangeResult Result;
    std::thread Caller([&] { Result = Fixture.send("GET", "/read"); });
    std::this_thread::sleep_for(LeavingFixture::LeaveAfter);
    std::vector<uint64_t> Arrivals;
    for (size_t I = 0; I < 3; ++I)
      Arrivals.push_back(Fixture.Backends[I]->countArrivals());
    const auto First = static_cast<size_t>(
        std::max_element(Arrivals.begin(), Arrivals.end()) - Arrivals.begin());
    const size_t Leaving = (First + 1) % 3;
    Fixture.drain(Leaving);
    Caller.join();
    CHECK(Fixture.Backends[Leaving]->countArrivals() == 0);
    CHECK(Fixture.Backends[(First + 2) % 3]->countArrivals() == 1);
  }
}

TEST_CASE_FIXTURE(LeavingFixture,
                  "a request whose servers have all left is not called not run "
                  "once one has had it") {
  const ExchangeResult Result = this->sendMeanwhile([this] {
    this->change([](std::vector<ServerConfig> &Servers) { Servers.clear(); });
  });
  CHECK(Result.Status == 502);
  CHECK(getHeader(Result, OutcomeHeader) == "not-known");
}

TEST_CASE_FIXTURE(LeavingFixture, "a request whose body comes in slowly goes "
                                  "to the servers listed at its end") {
  this->drain(0);
  this->drain(2);
  const int Descriptor = connectTcp("127.0.0.1", this->Server->getPort(),
                                    readSteadyClock() + fromSeconds(5));
  SocketStream Caller(Descriptor);
  Caller.setDeadline(readSteadyClock() + fromSeconds(5));
  httplib::Stream &Plain = Caller;
  Plain.write("POST /read HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nab");
  std::this_thread::sleep_for(LeaveAfter);
  this->drain(1);
  this->activate(2);
  Plain.write("cd");
  char Piece[4096];
  const ssize_t Count = Caller.read(Piece, sizeof(Piece));
  REQUIRE(Count > 0);
  CHECK(std::string(Piece, static_cast<size_t>(Count)).find(" 200 ") !=
        std::string::npos);
  CHECK(this->Backends[1]->countArrivals() == 0);
  CHECK(this->Backends[2]->countArrivals() == 1);
}

TEST_CASE_FIXTURE(LeavingFixture,
                  "a server that leaves while a connection to it is made gets "
                  "nothing") {
  this->drain(0);
  this->drain(2);
  // The only way to the server leads through a peer that is slow to connect.
  std::atomic<bool> IsAsked{false};
  HttpServer SlowPeer(makeTunnelLimits(), [&](HttpExchange &Each) {
    IsAsked = true;
    std::this_thread::sleep_for(LeaveAfter);
    this->Answers.handle(Each);
  });
  REQUIRE(SlowPeer.start({"127.0.0.1", 0}));
  OutgoingRequest Request = this->makeRequest("b1");
  Request.Through->Peer.Port = SlowPeer.getPort();
  ExchangeResult Result;
  std::thread Asker([&] {
    Result =
        this->Client.exchange({"127.0.0.1", 9}, Request,
                              readSteadyClock() + fromSeconds(5), -1, nullptr);
  });
  while (!IsAsked)
    std::this_thread::yield();
  this->drain(1);
  Asker.join();
  SlowPeer.stopGracefully(readSteadyClock() + fromSeconds(5));
  CHECK(Result.End == ExchangeEnd::NotSent);
  CHECK(Result.Tunnel == TunnelAnswer::NoServer);
  CHECK(this->Backends[1]->countArrivals() == 0);
}
