//===- ListenSocket.cpp - Sockets that accept connections -----------------===//
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

#include "canvaswick/Http/ListenSocket.h"

#include <arpa/inet.h>
#include <netdb.h>
#include <sys/socket.h>
#include <unistd.h>

namespace canvaswick {

/// Finds the IPv4 address of a host. Returns false if there is none.
static bool resolveHost(const std::string &Host, in_addr &Found) {
  if (::inet_pton(AF_INET, Host.c_str(), &Found) == 1)
    return true;
  addrinfo Hints{};
  Hints.ai_family = AF_INET;
  Hints.ai_socktype = SOCK_STREAM;
  addrinfo *Results = nullptr;
  if (::getaddrinfo(Host.c_str(), nullptr, &Hints, &Results) != 0 || !Results)
    return false;
  Found = reinterpret_cast<sockaddr_in *>(Results->ai_addr)->sin_addr;
  ::freeaddrinfo(Results);
  return true;
}

int listenTcp(const Endpoint &Address, int Backlog) {
  sockaddr_in Name{};
  Name.sin_family = AF_INET;
  Name.sin_port = htons(Address.Port);
  if (!resolveHost(Address.Host, Name.sin_addr))
    return -1;
  const int Descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (Descriptor < 0)
    return -1;
  const int On = 1;
  ::setsockopt(Descriptor, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  if (::bind(Descriptor, reinterpret_cast<const sockaddr *>(&Name),
             sizeof(Name)) == 0 &&
      ::listen(Descriptor, Backlog) == 0)
    return Descriptor;
  ::close(Descriptor);
  return -1;
}

uint16_t readBoundPort(int Descriptor) {
  sockaddr_in Name{};
  socklen_t Length = sizeof(Name);
  ::getsockname(Descriptor, reinterpret_cast<sockaddr *>(&Name), &Length);
  return ntohs(Name.sin_port);
}

} // namespace canvaswick
