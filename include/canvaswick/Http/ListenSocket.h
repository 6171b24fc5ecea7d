//===- ListenSocket.h - Sockets that accept connections ------- -*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Opens the sockets of servers.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_HTTP_LISTENSOCKET_H
#define CANVASWICK_HTTP_LISTENSOCKET_H

#include "canvaswick/Settings/FleetConfig.h"

#include <cstdint>

namespace canvaswick {

/// Opens a socket that listens at an IPv4 address or the name of one, with at
/// most Backlog connections in its queue. Returns the descriptor, or -1 on
/// failure.
int listenTcp(const Endpoint &Address, int Backlog);

/// Returns the port to which a socket is bound.
uint16_t readBoundPort(int Descriptor);

} // namespace canvaswick

#endif // CANVASWICK_HTTP_LISTENSOCKET_H
