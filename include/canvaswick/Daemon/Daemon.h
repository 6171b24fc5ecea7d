//===- Daemon.h - One daemon of the fleet -----------------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Wires the decision objects to sockets and threads, starts them in order and
/// stops them without cutting a request.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_DAEMON_DAEMON_H
#define CANVASWICK_DAEMON_DAEMON_H

#include "canvaswick/Settings/DaemonConfig.h"
#include "canvaswick/Support/Time.h"

#include <memory>

namespace canvaswick {

/// A whole daemon.
class Daemon {
public:
  explicit Daemon(DaemonConfig Config);
  ~Daemon();

  /// Starts to serve. Fails if an address is taken or a file is wrong.
  Result<void> start();

  /// Turns readiness red and tells the peers, so that new work goes elsewhere.
  void beginStop();

  /// Waits for requests in flight and stops. Returns whether all ended before
  /// Deadline.
  bool finishStop(TimePoint Deadline);

  uint16_t getCallerPort() const;
  uint16_t getControlPort() const;

private:
  class Impl;
  std::unique_ptr<Impl> Implementation;
};

} // namespace canvaswick

#endif // CANVASWICK_DAEMON_DAEMON_H
