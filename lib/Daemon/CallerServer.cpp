//===- CallerServer.cpp - Limits of the server for callers ----------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Translates settings into the server's limits.
///
//===----------------------------------------------------------------------===//

#include "CallerServer.h"

namespace canvaswick {

/// The number of callers' requests that may wait for a worker.
static constexpr size_t CallerQueue = 256;

HttpServerLimits makeCallerServerLimits(const DaemonConfig &Config) {
  HttpServerLimits Limits;
  Limits.Workers.MaxThreads = static_cast<size_t>(Config.Workers);
  Limits.Workers.MinThreads = static_cast<size_t>(Config.KeptWorkers);
  Limits.Workers.IdleLimit = Config.WorkerIdle;
  Limits.Workers.Queue = CallerQueue;
  Limits.MaxConnections = static_cast<size_t>(Config.MaxConnections);
  Limits.IdleLimit = fromSeconds(static_cast<double>(Config.IdleSeconds));
  return Limits;
}

} // namespace canvaswick
