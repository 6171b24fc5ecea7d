//===- CallerServer.h - The server that callers reach --------- -*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// What the two kinds of daemon have in common about it.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_LIB_DAEMON_CALLERSERVER_H
#define CANVASWICK_LIB_DAEMON_CALLERSERVER_H

#include "canvaswick/Http/HttpServer.h"
#include "canvaswick/Settings/DaemonConfig.h"

namespace canvaswick {

/// Returns the bounds that a daemon's file sets for the server that callers
/// reach.
HttpServerLimits makeCallerServerLimits(const DaemonConfig &Config);

} // namespace canvaswick

#endif // CANVASWICK_LIB_DAEMON_CALLERSERVER_H
