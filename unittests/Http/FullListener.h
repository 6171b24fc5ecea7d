//===- FullListener.h - Listener that drops connections ---------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Stands in for a server whose first packets get lost.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_UNITTESTS_HTTP_FULLLISTENER_H
#define CANVASWICK_UNITTESTS_HTTP_FULLLISTENER_H

#include "canvaswick/Http/TcpConnect.h"

#include <doctest/doctest.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <vector>

namespace canvaswick {

/// A listener whose queue is full, so that it drops the first packet of each
/// connection until the queue is emptied.
class FullListener {
public:
  FullListener() : Descriptor(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Length = sizeof(Address);
    auto *Raw = reinterpret_cast<sockaddr *>(&Address);
    REQUIRE(::bind(this->Descriptor, Raw, Length) == 0);
    REQUIRE(::listen(this->Descriptor, 0) == 0);
    REQUIRE(::getsockname(this->Descriptor, Raw, &Length) == 0);
    this->Port = ntohs(Address.sin_port);
    while (true) {
      const int Waiting = connectTcp("127.0.0.1", this->Port,
                                     readSteadyClock() + fromMillis(50));
      if (Waiting < 0)
        break;
      this->Open.push_back(Waiting);
    }
  }

  ~FullListener() {
    for (const int Each : this->Open)
      ::close(Each);
    ::close(this->Descriptor);
  }

  void emptyQueue() {
    for (size_t I = 0, Count = this->Open.size(); I < Count; ++I)
      this->Open.push_back(::accept(this->Descriptor, nullptr, nullptr));
  }

  const int Descriptor;
  uint16_t Port = 0;
  std::vector<int> Open;
};

} // namespace canvaswick

#endif // CANVASWICK_UNITTESTS_HTTP_FULLLISTENER_H
