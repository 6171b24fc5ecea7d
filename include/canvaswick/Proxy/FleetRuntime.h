//===- FleetRuntime.h - One version of the settings as a daemon runs it -*- C++
//-*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Routes and services of one accepted version. A new version replaces the
/// whole; services that did not change are carried over as they are.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_PROXY_FLEETRUNTIME_H
#define CANVASWICK_PROXY_FLEETRUNTIME_H

#include "canvaswick/Http/HttpClient.h"
#include "canvaswick/Proxy/ServiceRuntime.h"
#include "canvaswick/Routing/RouteTable.h"

#include <mutex>

namespace canvaswick {

/// Everything a request needs of one version.
class FleetRuntime : public boost::intrusive_ref_counter<FleetRuntime> {
public:
  FleetRuntime(FleetConfigRef Config, const DaemonIdentity &Identity,
               const FleetRuntime *Previous, TimePoint Now);

  const FleetConfig &getConfig() const { return *this->Config; }
  const RouteTable &getRoutes() const { return this->Routes; }
  const std::vector<ServiceRuntimeRef> &getServices() const {
    return this->Services;
  }

  /// Returns a service by name, or null.
  ServiceRuntimeRef findService(const std::string &Name) const;

  /// Sets how many connections Pool may open to each server.
  void limitConnections(ConnectionPool &Pool) const;

private:
  const FleetConfigRef Config;
  const RouteTable Routes;
  std::vector<ServiceRuntimeRef> Services;
};

/// A counted reference to a FleetRuntime.
using FleetRuntimeRef = boost::intrusive_ptr<const FleetRuntime>;

/// The version in force. Thread-safe.
class FleetRuntimeSlot {
public:
  FleetRuntimeRef get() const;
  void set(FleetRuntimeRef Runtime);

private:
  mutable std::mutex Mutex;
  FleetRuntimeRef Current;
};

} // namespace canvaswick

#endif // CANVASWICK_PROXY_FLEETRUNTIME_H
