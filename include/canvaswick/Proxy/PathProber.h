//===- PathProber.h - Probes whether servers can be reached ---- *- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Finds out whether this daemon reaches the servers of its services, when
/// requests give a reason to doubt it and while it does not.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_PROXY_PATHPROBER_H
#define CANVASWICK_PROXY_PATHPROBER_H

#include "canvaswick/Http/TcpConnect.h"
#include "canvaswick/Proxy/FleetRuntime.h"
#include "canvaswick/Proxy/ServerPaths.h"

#include <utility>
#include <vector>

namespace canvaswick {

/// How often PathProber::runRound is to be called if nothing wakes its thread.
inline constexpr Duration PathRoundInterval = fromMillis(100);

/// Probes servers by connections without a request. All rounds run on one
/// thread.
class PathProber {
public:
  /// Both must outlive the prober.
  PathProber(const FleetRuntimeSlot &Fleet, ServerPaths &Paths);

  /// Looks for silent servers and probes those that are due. Blocks until the
  /// probes have ended, at most for their time limit.
  void runRound(TimePoint Now);

private:
  struct Target {
    ServiceRuntimeRef Service;
    Endpoint Address;
  };

  void watchServices(const FleetRuntimeRef &Current);
  void chooseTargets(const ServiceRuntimeRef &Service,
                     std::vector<Target> &Targets);
  void apply(const std::vector<Target> &Targets,
             const std::vector<ConnectionProbe> &Results, TimePoint Now);

  const FleetRuntimeSlot &Fleet;
  ServerPaths &Paths;
  FleetRuntimeRef Watched;
  RandomSource Random;
};

} // namespace canvaswick

#endif // CANVASWICK_PROXY_PATHPROBER_H
