//===- TunnelFixture.h - A peer that opens tunnels, for tests ---*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A peer on loopback that opens tunnels to the servers of a ProxyFixture.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_UNITTESTS_PROXY_TUNNELFIXTURE_H
#define CANVASWICK_UNITTESTS_PROXY_TUNNELFIXTURE_H

#include "ProxyFixture.h"
#include "canvaswick/Http/Tunnel.h"
#include "canvaswick/Proxy/TunnelResponder.h"

#include <atomic>
#include <string>
#include <thread>

namespace canvaswick {

/// Leaves it to the responder to bound the tunnels.
inline HttpServerLimits makeTunnelLimits() {
  HttpServerLimits Limits;
  Limits.Workers.MaxThreads = 2 * TunnelResponder::MaxTunnels;
  return Limits;
}

/// A peer that opens tunnels to the servers of a ProxyFixture.
struct TunnelFixture : ProxyFixture {
  explicit TunnelFixture(size_t Servers = 2)
      : ProxyFixture("", 3, "", {}, {}, Servers),
        Answers(this->Fleet, this->Paths, this->Counters,
                [this](const HttpExchange &, const std::string &Server) {
                  this->VerifiedServer = Server;
                  return this->IsKnown.load();
                }),
        Peer(makeTunnelLimits(),
             [this](HttpExchange &Each) { this->Answers.handle(Each); }) {
    REQUIRE(this->Peer.start({"127.0.0.1", 0}));
  }

  ~TunnelFixture() {
    this->Peer.stopGracefully(readSteadyClock() + fromSeconds(5));
  }

  OutgoingRequest makeRequest(const std::string &Server,
                              const std::string &Target = "/read") const {
    OutgoingRequest Request;
    Request.Target = Target;
    Request.TunnelLimit = fromSeconds(5);
    Request.Through = TunnelTarget{
        {"127.0.0.1", this->Peer.getPort()},
        {{TunnelServiceHeader, "s"}, {TunnelServerHeader, Server}}};
    return Request;
  }

  ExchangeResult sendThroughPeer(const std::string &Server,
                                 Duration Limit = fromSeconds(5)) {
    return this->Client.exchange({"127.0.0.1", 9}, this->makeRequest(Server),
                                 readSteadyClock() + Limit, -1, nullptr);
  }

  /// Waits until no tunnel is open.
  bool waitForEnd() {
    for (int I = 0; I < 300 && this->Answers.countOpen() > 0; ++I)
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    return this->Answers.countOpen() == 0;
  }

  ServerPaths Paths;
  std::atomic<bool> IsKnown{true};
  std::string VerifiedServer;
  TunnelResponder Answers;
  HttpServer Peer;
};

} // namespace canvaswick

#endif // CANVASWICK_UNITTESTS_PROXY_TUNNELFIXTURE_H
