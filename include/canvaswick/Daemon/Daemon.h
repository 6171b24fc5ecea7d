//===- Daemon.h - One daemon of the fleet -----------------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Connects the decision objects to sockets and threads, starts them in order
/// and stops them without dropping requests in flight.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_DAEMON_DAEMON_H
#define CANVASWICK_DAEMON_DAEMON_H

#include "canvaswick/Settings/DaemonConfig.h"
#include "canvaswick/Support/Time.h"

#include <memory>

namespace canvaswick {

/// A daemon that finds its peers by the membership protocol.
class Daemon {
public:
  explicit Daemon(DaemonConfig Config);
  ~Daemon();

  /// Starts to serve. Fails if an address cannot be bound or a file is invalid.
  Result<void> start();

  /// Fails readiness checks and announces to peers that this daemon leaves, so
  /// that new work goes elsewhere.
  void beginStop();

  /// Waits for requests in flight, then stops. Returns whether all of them
  /// ended before Deadline.
  bool finishStop(TimePoint Deadline);

  uint16_t getCallerPort() const;
  uint16_t getControlPort() const;

private:
  class Impl;
  std::unique_ptr<Impl> Implementation;
};

} // namespace canvaswick

#endif // CANVASWICK_DAEMON_DAEMON_H
