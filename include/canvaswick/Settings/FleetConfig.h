//===- FleetConfig.h - Settings compiled for the decisions ------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The data path and the decisions read these plain typed records. One
/// FleetConfig is one accepted version; it never changes and is shared by
/// counted references.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_SETTINGS_FLEETCONFIG_H
#define CANVASWICK_SETTINGS_FLEETCONFIG_H

#include "canvaswick/Settings/SettingsTree.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace canvaswick {

/// Which error an operator would rather have. One setting, three presets.
enum class Weighing : uint8_t { Detection, Balanced, FalseEjections };

/// Whether a request of a route may be run more than once.
enum class RouteClass : uint8_t { Repeatable, Once };

/// What the operators want of a backend server.
enum class ServerState : uint8_t { Active, Draining };

/// An IP address and port. The host is always a number, never a name.
struct Endpoint {
  std::string Host;
  uint16_t Port = 0;

  /// Returns "host:port".
  std::string format() const;
  bool operator==(const Endpoint &) const = default;
};

/// Parses "host:port".
Result<Endpoint> parseEndpoint(const std::string &Text);

/// One backend server of a service.
struct ServerConfig {
  std::string Name;
  Endpoint Address;
  std::string Hall;
  int Slots = 1;
  int Connections = 1;
  ServerState State = ServerState::Active;

  bool operator==(const ServerConfig &) const = default;
};

/// One service and its backend servers.
struct ServiceConfig {
  std::string Name;
  std::string Region;
  int FloorPercent = 0;
  Weighing Preference = Weighing::Balanced;
  int64_t DeadlineMs = 0;
  int64_t StallMs = 0;
  int64_t SlowAfterMs = 0;
  int64_t ColdStartMs = 0;
  int64_t MaxInFlight = 0;
  int64_t RetryPercent = 0;
  int64_t ObjectivePercent = 0;
  int64_t ObjectiveMs = 0;
  int64_t MaxBodyBytes = 0;
  std::string ProbePath;
  std::vector<ServerConfig> Servers;

  bool operator==(const ServiceConfig &) const = default;
};

/// One route: requests of a host below a path prefix go to a service.
struct RouteConfig {
  std::string Name;
  std::string Host;
  std::string Prefix;
  uint32_t Service = 0;
  RouteClass Class = RouteClass::Repeatable;
};

/// The limits of one organisation.
struct OrganisationConfig {
  std::string Name;
  int64_t RequestsPerSecond = 0;
  int64_t Burst = 0;
};

/// One accepted version of the whole tree, compiled.
struct FleetConfig : boost::intrusive_ref_counter<FleetConfig> {
  uint64_t Version = 0;
  std::vector<ServiceConfig> Services;
  std::vector<RouteConfig> Routes;
  /// Ordered by name. The one called "default" holds for every other.
  std::vector<OrganisationConfig> Organisations;

  /// Returns the index of a service, or -1.
  int findService(const std::string &Name) const;
};

/// A counted reference to a FleetConfig.
using FleetConfigRef = boost::intrusive_ptr<const FleetConfig>;

/// Compiles a checked tree.
FleetConfigRef compileFleetConfig(const SettingsTree &Tree, uint64_t Version);

} // namespace canvaswick

#endif // CANVASWICK_SETTINGS_FLEETCONFIG_H
