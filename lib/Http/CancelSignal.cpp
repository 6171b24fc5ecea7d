//===- CancelSignal.cpp - Ends calls that wait ----------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Implements the signal with a local socket pair.
//===----------------------------------------------------------------------===//

#include "canvaswick/Http/CancelSignal.h"
#include "canvaswick/Support/Log.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

namespace canvaswick {

CancelSignal::CancelSignal() {
  if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, this->Sockets) != 0)
    logWarning("cancel-signal-missing", "errno={}", errno);
}

CancelSignal::~CancelSignal() {
  for (const int End : this->Sockets)
    if (End >= 0)
      ::close(End);
}

void CancelSignal::trigger() {
  if (this->Sockets[1] >= 0)
    ::shutdown(this->Sockets[1], SHUT_RDWR);
}

} // namespace canvaswick
