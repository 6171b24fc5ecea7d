//===- TunnelResponder.h - Connects to servers for peers ------- *- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Answers peers that are cut off from servers and ask this daemon for a
/// connection to one.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_PROXY_TUNNELRESPONDER_H
#define CANVASWICK_PROXY_TUNNELRESPONDER_H

#include "canvaswick/Http/HttpServer.h"
#include "canvaswick/Metrics/Counters.h"
#include "canvaswick/Proxy/FleetRuntime.h"
#include "canvaswick/Proxy/ServerPaths.h"

#include <atomic>
#include <functional>

namespace canvaswick {

/// Opens tunnels. Thread-safe.
class TunnelResponder {
public:
  /// The number of tunnels that one daemon carries at once. Each occupies a
  /// thread.
  static constexpr size_t MaxTunnels = 32;

  /// Decides whether a request for a tunnel to Server, which is
  /// "service/server", comes from a daemon of the fleet.
  using Verifier =
      std::function<bool(const HttpExchange &, const std::string &Server)>;

  /// All references must outlive the responder.
  TunnelResponder(const FleetRuntimeSlot &Fleet, ServerPaths &Paths,
                  CounterTable &Counters, Verifier Verify);

  /// Answers a request for TunnelPath, and carries the tunnel until it ends.
  /// Declines with 403 a caller that is no daemon of the fleet, with 404 a
  /// server that is not listed, with 503 if it is busy, stopping or cut off
  /// itself, and with 502 if the server leaves or can't be reached.
  void handle(HttpExchange &Exchange);

  /// Declines all tunnels from now on. Those that are open go on.
  void beginStop() { this->IsStopping = true; }

  /// Returns the number of open tunnels.
  size_t countOpen() const { return this->Open; }

private:
  const ServerConfig *findServer(const FleetRuntime &Current,
                                 const HttpExchange &Exchange) const;
  int open(HttpExchange &Exchange, int &Connection);
  void carry(HttpExchange &Exchange, int Connection);

  const FleetRuntimeSlot &Fleet;
  ServerPaths &Paths;
  CounterTable &Counters;
  const Verifier Verify;
  std::atomic<size_t> Open{0};
  std::atomic<bool> IsStopping{false};
};

} // namespace canvaswick

#endif // CANVASWICK_PROXY_TUNNELRESPONDER_H
