//===- ControlContext.h - Shared context of a daemon's agents ---*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Agents are the components of a daemon that communicate with peers, the
/// platform and operators. Each agent guards its decision objects with a mutex
/// of its own and makes no call while it holds that mutex.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_DAEMON_CONTROLCONTEXT_H
#define CANVASWICK_DAEMON_CONTROLCONTEXT_H

#include "canvaswick/Http/WorkerPool.h"
#include "canvaswick/Metrics/Counters.h"
#include "canvaswick/Platform/PlatformClient.h"
#include "canvaswick/Proxy/FleetRuntime.h"
#include "canvaswick/Rpc/PeerCaller.h"
#include "canvaswick/Settings/DaemonConfig.h"

#include <string>

namespace canvaswick {

/// References to objects that outlive all agents.
struct ControlContext {
  const DaemonConfig &Config;
  CounterTable &Counters;
  PeerCaller &Caller;
  PlatformClient &Platform;
  /// Runs calls whose result nobody waits for.
  WorkerPool &Calls;
  FleetRuntimeSlot &Fleet;
  /// The notices that backend servers send about themselves.
  ServerNoticeTable &Notices;
  /// The calendar time of the process's start, in milliseconds.
  uint64_t StartMillis = 0;
};

} // namespace canvaswick

#endif // CANVASWICK_DAEMON_CONTROLCONTEXT_H
