//===- ControlContext.h - What the agents of a daemon share -----*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The agents are the parts of a daemon that talk: to peers, to the platform
/// and to operators. Each holds decision objects behind a mutex of its own and
/// makes no call while it holds it.
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

/// References that outlive all agents.
struct ControlContext {
  const DaemonConfig &Config;
  CounterTable &Counters;
  PeerCaller &Caller;
  PlatformClient &Platform;
  /// Runs calls that nobody waits for.
  WorkerPool &Calls;
  FleetRuntimeSlot &Fleet;
  /// What servers say of themselves.
  ServerNoticeTable &Notices;
  /// Calendar time of the process's start, in milliseconds.
  uint64_t StartMillis = 0;
};

} // namespace canvaswick

#endif // CANVASWICK_DAEMON_CONTROLCONTEXT_H
