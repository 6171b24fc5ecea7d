//===- TunnelTest.cpp - Tests of tunnels through a peer -------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// What a peer connects to and for whom, and that both ends of a tunnel see
/// what the other one does.
///
//===----------------------------------------------------------------------===//

#include "TunnelFixture.h"

using namespace canvaswick;

TEST_CASE_FIXTURE(TunnelFixture, "a peer connects to the server it is asked "
                                 "for") {
  const ExchangeResult Result = this->sendThroughPeer("b1");
  CHECK(Result.End == ExchangeEnd::Complete);
  CHECK(Result.Status == 200);
  CHECK(this->VerifiedServer == "s/b1");
  CHECK(this->Backends[1]->countRuns() == 1);
  CHECK(this->Backends[0]->countRuns() == 0);
  CHECK(this->waitForEnd());
}

TEST_CASE_FIXTURE(TunnelFixture, "a peer connects for daemons only") {
  this->IsKnown = false;
  const ExchangeResult Result = this->sendThroughPeer("b1");
  CHECK(Result.End == ExchangeEnd::NotSent);
  CHECK(Result.Tunnel == TunnelAnswer::Declined);
  CHECK(this->countRuns() == 0);
}

TEST_CASE_FIXTURE(TunnelFixture, "a peer connects to listed servers only") {
  CHECK(this->sendThroughPeer("b9").Tunnel == TunnelAnswer::Declined);
  CHECK(this->sendThroughPeer("").Tunnel == TunnelAnswer::Declined);
}

TEST_CASE_FIXTURE(TunnelFixture,
                  "a peer that is cut off or stopping declines") {
  const FleetRuntimeRef Current = this->Fleet.get();
  const ServiceRuntimeRef Service = Current->findService("s");
  this->Paths.applyProbe(*Service, {2, 0, true}, readSteadyClock());
  CHECK(this->sendThroughPeer("b1").Tunnel == TunnelAnswer::Declined);
  this->Paths.applyProbe(*Service, {2, 2, false}, readSteadyClock());
  CHECK(this->sendThroughPeer("b1").Tunnel == TunnelAnswer::Opened);
  this->Answers.beginStop();
  CHECK(this->sendThroughPeer("b1").Tunnel == TunnelAnswer::Declined);
}

TEST_CASE_FIXTURE(TunnelFixture, "a server that is gone is told apart from a "
                                 "peer that declines") {
  this->Backends[1].reset();
  const ExchangeResult Result = this->sendThroughPeer("b1");
  CHECK(Result.End == ExchangeEnd::NotSent);
  CHECK(Result.Tunnel == TunnelAnswer::NoServer);
}

TEST_CASE_FIXTURE(TunnelFixture, "a daemon that gives up ends the request at "
                                 "the server") {
  BackendFaults Faults;
  Faults.Hang = true;
  this->setFaults(Faults);
  const ExchangeResult Result = this->sendThroughPeer("b1", fromMillis(300));
  CHECK(Result.End == ExchangeEnd::Timeout);
  CHECK(this->waitForEnd());
}

TEST_CASE_FIXTURE(TunnelFixture,
                  "an answer that is reset at its server is not complete") {
  // A server that answers without a length and then resets the connection.
  HttpServer Resetting(HttpServerLimits{}, [](HttpExchange &Each) {
    static_cast<httplib::Stream &>(Each.Stream)
        .write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf an answer");
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    Each.Stream.muteWrites(true);
    Each.Stream.resetOnClose();
    Each.MustClose = true;
  });
  REQUIRE(Resetting.start({"127.0.0.1", 0}));
  Result<SettingsTree> Tree = SettingsTree::parse(
      fmt::format("[region r]\n[service s]\nregion = r\nfloor-percent = 0\n"
                  "[server s/b1]\naddress = 127.0.0.1:{}\nhall = a\n"
                  "[route read]\nprefix = /read\nservice = s\n",
                  Resetting.getPort()),
      "test.ini");
  REQUIRE(Tree);
  DaemonIdentity Identity;
  Identity.Name = "d1";
  Identity.Daemons = {"d1"};
  this->Fleet.set(
      FleetRuntimeRef(new FleetRuntime(compileFleetConfig(Tree.value(), 9),
                                       Identity, nullptr, readSteadyClock())));
  OutgoingRequest Request = this->makeRequest("b1");
  Request.MayEndWithConnection = true;
  const ExchangeResult Result =
      this->Client.exchange({"127.0.0.1", 9}, Request,
                            readSteadyClock() + fromSeconds(5), -1, nullptr);
  CHECK(Result.End == ExchangeEnd::Broken);
}

TEST_CASE_FIXTURE(TunnelFixture, "a large answer passes whole") {
  const ExchangeResult Result = this->Client.exchange(
      {"127.0.0.1", 9}, this->makeRequest("b1", "/read?bytes=3000000"),
      readSteadyClock() + fromSeconds(10), -1, nullptr);
  CHECK(Result.End == ExchangeEnd::Complete);
  CHECK(Result.Body.size() == 3000000);
}

TEST_CASE_FIXTURE(TunnelFixture, "a peer carries a bounded number of tunnels") {
  BackendFaults Faults;
  Faults.Hang = true;
  this->setFaults(Faults);
  std::vector<std::unique_ptr<SocketStream>> Open;
  const TunnelTarget Target = *this->makeRequest("b1").Through;
  TunnelAnswer Last = TunnelAnswer::Opened;
  for (size_t I = 0; I <= TunnelResponder::MaxTunnels; ++I) {
    Open.push_back(std::make_unique<SocketStream>(
        connectTcp("127.0.0.1", this->Peer.getPort(),
                   readSteadyClock() + fromSeconds(5))));
    Last = openTunnel(*Open.back(), Target, readSteadyClock() + fromSeconds(5));
    if (I < TunnelResponder::MaxTunnels)
      CHECK(Last == TunnelAnswer::Opened);
  }
  CHECK(Last != TunnelAnswer::Opened);
  Open.clear();
  CHECK(this->waitForEnd());
}
