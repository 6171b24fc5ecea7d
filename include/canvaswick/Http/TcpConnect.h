//===- TcpConnect.h - Outgoing TCP connections ------------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Establishes TCP connections, and finds out whether they could be.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_HTTP_TCPCONNECT_H
#define CANVASWICK_HTTP_TCPCONNECT_H

#include "canvaswick/Settings/FleetConfig.h"
#include "canvaswick/Support/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace canvaswick {

/// Connects to an IPv4 address and port before Deadline. Returns the
/// descriptor, or -1 if no connection was established.
int connectTcp(const std::string &Host, uint16_t Port, TimePoint Deadline);

/// Connects like connectTcp. If there is no connection at SecondAt, a second
/// attempt begins beside the first, so that one lost packet costs no more than
/// that time. Returns the first connection that is established; the other
/// attempt is given up.
int connectTcpTwice(const std::string &Host, uint16_t Port, TimePoint SecondAt,
                    TimePoint Deadline);

/// The outcome of a connection attempt whose connection is not used.
enum class ConnectionProbe : uint8_t { Connected, Refused, TimedOut };

/// Tries to connect to all addresses at once before Deadline, and closes the
/// connections.
std::vector<ConnectionProbe> probeConnections(const std::vector<Endpoint> &All,
                                              TimePoint Deadline);

/// Makes a connection fail about three seconds after its peer disappeared
/// without closing it, both while data is unacknowledged and while it is idle.
/// connectTcp does that for its connections.
void setDeadPeerDetection(int Descriptor);

} // namespace canvaswick

#endif // CANVASWICK_HTTP_TCPCONNECT_H
