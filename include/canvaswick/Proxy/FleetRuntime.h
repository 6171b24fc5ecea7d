//===- FleetRuntime.h - Runtime of one settings version ---------*- C++ -*-===//
//-*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Holds the routes and services of one accepted version of the settings. A new
/// version replaces the whole object; services whose configuration has not
/// changed are reused.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_PROXY_FLEETRUNTIME_H
#define CANVASWICK_PROXY_FLEETRUNTIME_H

#include "canvaswick/Http/HttpClient.h"
#include "canvaswick/Proxy/ServiceRuntime.h"
#include "canvaswick/Routing/RouteTable.h"

#include <mutex>

namespace canvaswick {

/// The routes and services of one version of the settings.
class FleetRuntime : public boost::intrusive_ref_counter<FleetRuntime> {
public:
  FleetRuntime(FleetConfigRef Config, const DaemonIdentity &Identity,
               const FleetRuntime *Previous, TimePoint Now);

  const FleetConfig &getConfig() const { return *this->Config; }
  const RouteTable &getRoutes() const { return this->Routes; }
  const std::vector<ServiceRuntimeRef> &getServices() const {
    return this->Services;
  }

  /// Returns the service with this name, or null.
  ServiceRuntimeRef findService(const std::string &Name) const;

  /// Returns whether a server may be sent requests: it is listed and does not
  /// leave. All that sends asks the version in force, at the last moment.
  bool mayReceive(const std::string &Service, const std::string &Server,
                  TimePoint Now) const;

  /// Sets for each server how many connections Pool may open to it. Servers of
  /// services that Previous has too are left out; it may be null.
  void limitConnections(ConnectionPool &Pool,
                        const FleetRuntime *Previous) const;

private:
  const FleetConfigRef Config;
  const RouteTable Routes;
  std::vector<ServiceRuntimeRef> Services;
};

/// A counted reference to a FleetRuntime.
using FleetRuntimeRef = boost::intrusive_ptr<const FleetRuntime>;

/// Holds the version in force. Thread-safe.
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
