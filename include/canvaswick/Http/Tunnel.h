//===- Tunnel.h - Connections through a peer ------------------- *- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A tunnel is a connection to a server that a peer establishes and whose bytes
/// it passes on unread. It begins with an HTTP request to switch protocols.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_HTTP_TUNNEL_H
#define CANVASWICK_HTTP_TUNNEL_H

#include "canvaswick/Http/SocketStream.h"
#include "canvaswick/Settings/FleetConfig.h"

#include <httplib.h>

namespace canvaswick {

/// The target of the request that opens a tunnel.
inline constexpr const char *TunnelPath = "/tunnel";

/// The protocol to which that request switches.
inline constexpr const char *TunnelProtocol = "canvaswick-tunnel";

/// Name the server to connect to.
inline constexpr const char *TunnelServiceHeader = "Canvaswick-Service";
inline constexpr const char *TunnelServerHeader = "Canvaswick-Server";

/// How the attempt to open a tunnel ended.
enum class TunnelAnswer : uint8_t {
  Opened,
  /// The peer could not be reached, or its answer was not understood.
  NoPeer,
  /// The peer does not connect for others now.
  Declined,
  /// The peer could not connect to the server.
  NoServer,
};

/// The peer that connects to the server, and what the request to it carries.
struct TunnelTarget {
  Endpoint Peer;
  httplib::Headers Headers;
};

/// Sends the request to open a tunnel on a connection to a peer and reads its
/// answer, at most until Deadline. Nothing was sent to the server before the
/// tunnel is open.
TunnelAnswer openTunnel(SocketStream &Stream, const TunnelTarget &Target,
                        TimePoint Deadline);

/// Writes the answer that opens a tunnel. Returns false if the peer is gone.
bool acceptTunnel(SocketStream &Caller);

/// Passes bytes on between two connections until one of them ends. Returns
/// whether all that the server sent was passed on and the server closed its
/// connection properly: if not, the caller's connection must be reset.
bool relayTunnel(SocketStream &Caller, SocketStream &Server);

} // namespace canvaswick

#endif // CANVASWICK_HTTP_TUNNEL_H
