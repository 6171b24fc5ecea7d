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

/// Asks the peer for frames, and says that it sends them (TunnelFrames.h). A
/// peer that does not know them leaves the header out.
inline constexpr const char *TunnelFramesHeader = "Canvaswick-Tunnel-Frames";
inline constexpr const char *TunnelFramesVersion = "1";

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
bool acceptTunnel(SocketStream &Caller, bool HasFrames);

/// Passes bytes on between two connections until one of them ends, the server's
/// in frames if HasFrames. Returns whether the caller has all that the server
/// sent and can tell how its connection ended: if not, the caller's connection
/// must be reset.
bool relayTunnel(SocketStream &Caller, SocketStream &Server, bool HasFrames);

} // namespace canvaswick

#endif // CANVASWICK_HTTP_TUNNEL_H
