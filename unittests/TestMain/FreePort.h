//===- FreePort.h - Ports for servers in tests ------------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Finds ports for servers whose address must be known before they start.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_UNITTESTS_TESTMAIN_FREEPORT_H
#define CANVASWICK_UNITTESTS_TESTMAIN_FREEPORT_H

#include <doctest/doctest.h>

#include <cstdint>
#include <random>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace canvaswick {

/// Below the ports that the system gives to outgoing connections and to servers
/// that ask for any port.
static constexpr uint16_t FirstFreePort = 10000;
static constexpr uint16_t LastFreePort = 32000;

/// Binds a new socket to a port. Returns -1 if that fails. A socket that shares
/// its port lets a server of this process listen there.
inline int bindPort(uint16_t Port, bool IsShared) {
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  REQUIRE(Socket >= 0);
  const int On = IsShared ? 1 : 0;
  ::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (::bind(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) ==
      0)
    return Socket;
  ::close(Socket);
  return -1;
}

/// Returns a port that stays free for a server of this process until the
/// process ends, since a bound socket that does not listen holds it. A server
/// of another process that asks for any port may get one that is held so, and
/// an outgoing connection one that is not; neither gets those below theirs.
inline uint16_t findFreePort() {
  static std::mt19937 Random(std::random_device{}());
  std::uniform_int_distribution<int> Ports(FirstFreePort, LastFreePort);
  while (true) {
    const auto Port = static_cast<uint16_t>(Ports(Random));
    // Only a socket that does not share shows that no other process holds it.
    const int Probe = bindPort(Port, false);
    if (Probe < 0)
      continue;
    ::close(Probe);
    if (bindPort(Port, true) >= 0)
      return Port;
  }
}

} // namespace canvaswick

#endif // CANVASWICK_UNITTESTS_TESTMAIN_FREEPORT_H
