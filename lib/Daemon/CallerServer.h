//===- CallerServer.h - Limits of the server for callers --------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Shared by Daemon and Gateway.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_LIB_DAEMON_CALLERSERVER_H
#define CANVASWICK_LIB_DAEMON_CALLERSERVER_H

#include "canvaswick/Http/HttpServer.h"
#include "canvaswick/Settings/DaemonConfig.h"

namespace canvaswick {

/// Returns the limits that a daemon's settings file sets for the server that
/// callers connect to.
HttpServerLimits makeCallerServerLimits(const DaemonConfig &Config);

} // namespace canvaswick

#endif // CANVASWICK_LIB_DAEMON_CALLERSERVER_H
