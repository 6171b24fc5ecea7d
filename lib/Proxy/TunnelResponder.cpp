//===- TunnelResponder.cpp - Connects to servers for peers ----------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Implements TunnelResponder. It connects to listed servers only, and never
/// through another peer, so that a request takes at most one detour.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Proxy/TunnelResponder.h"
#include "canvaswick/Http/TcpConnect.h"
#include "canvaswick/Http/Tunnel.h"

namespace canvaswick {

/// Time limit for the connection to the server. A cut-off daemon that waits for
/// it could ask another peer meanwhile.
static constexpr Duration ServerConnectLimit = fromMillis(200);

static constexpr int Opened = 101;

TunnelResponder::TunnelResponder(const FleetRuntimeSlot &Fleet,
                                 ServerPaths &Paths, CounterTable &Counters,
                                 Verifier Verify)
    : Fleet(Fleet), Paths(Paths), Counters(Counters),
      Verify(std::move(Verify)) {}

/// Returns the server that a request names, or null.
const ServerConfig *
TunnelResponder::findServer(const FleetRuntime &Current,
                            const HttpExchange &Exchange) const {
  const std::string Service =
      Exchange.Request.get_header_value(TunnelServiceHeader);
  const std::string Name =
      Exchange.Request.get_header_value(TunnelServerHeader);
  const ServiceRuntimeRef Found = Current.findService(Service);
  if (!Found)
    return nullptr;
  for (const ServerConfig &Each : Found->getConfig().Servers)
    if (Each.Name == Name)
      return &Each;
  return nullptr;
}

/// Connects to the server that a request names. Returns the status of the
/// answer, and sets Connection if it is Opened.
int TunnelResponder::open(HttpExchange &Exchange, int &Connection) {
  const std::string Service =
      Exchange.Request.get_header_value(TunnelServiceHeader);
  if (!this->Verify(Exchange,
                    Service + "/" +
                        Exchange.Request.get_header_value(TunnelServerHeader)))
    return 403;
  const FleetRuntimeRef Current = this->Fleet.get();
  if (!Current || this->IsStopping)
    return 503;
  const ServerConfig *Server = this->findServer(*Current, Exchange);
  if (!Server)
    return 404;
  const ServiceRuntimeRef Found = Current->findService(Service);
  if (!Found->mayReceive(Server->Name, readSteadyClock()))
    return 502;
  const ServerId Id = Found->getId();
  if (this->Paths.getState(Id).IsCutOff)
    return 503;
  const TimePoint Began = readSteadyClock();
  Connection = connectTcp(Server->Address.Host, Server->Address.Port,
                          Began + ServerConnectLimit);
  if (Connection < 0) {
    this->Paths.recordFailure(Id, Began);
    return 502;
  }
  this->Paths.recordConnected(*Found, readSteadyClock());
  return Opened;
}

/// Carries an open tunnel until it ends.
void TunnelResponder::carry(HttpExchange &Exchange, int Connection) {
  SocketStream Server(Connection);
  const bool HasFrames = Exchange.Request.get_header_value(
                             TunnelFramesHeader) == TunnelFramesVersion;
  Exchange.Stream.detectDeadPeer();
  if (!acceptTunnel(Exchange.Stream, HasFrames) ||
      !relayTunnel(Exchange.Stream, Server, HasFrames))
    Exchange.Stream.resetOnClose();
}

void TunnelResponder::handle(HttpExchange &Exchange) {
  Exchange.MustClose = true;
  int Connection = -1;
  int Status = 503;
  if (++this->Open <= MaxTunnels)
    Status = this->open(Exchange, Connection);
  if (Status == Opened) {
    this->Counters.add(Counter::TunnelsCarried);
    this->carry(Exchange, Connection);
    // cpp-httplib must not write anything after the tunnel.
    Exchange.Stream.muteWrites(true);
  } else {
    this->Counters.add(Counter::TunnelsRefused);
    Exchange.Response.status = Status;
  }
  --this->Open;
}

} // namespace canvaswick
