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

#include <netinet/in.h>
#include <sys/socket.h>

namespace canvaswick {

/// Returns a port that stays free for a server of this process until the
/// process ends, since a bound socket that does not listen holds it. Otherwise
/// an outgoing connection may take the port before the server does, which
/// happened to some of 160 ports.
inline uint16_t findFreePort() {
  const int Holder = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  REQUIRE(Holder >= 0);
  const int On = 1;
  ::setsockopt(Holder, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Length = sizeof(Address);
  auto *Generic = reinterpret_cast<sockaddr *>(&Address);
  REQUIRE(::bind(Holder, Generic, Length) == 0);
  REQUIRE(::getsockname(Holder, Generic, &Length) == 0);
  return ntohs(Address.sin_port);
}

} // namespace canvaswick

#endif // CANVASWICK_UNITTESTS_TESTMAIN_FREEPORT_H
