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

#include "canvaswick/Settings/OrganisationDirectory.h"
#include "canvaswick/Settings/SettingsTree.h"
#include "canvaswick/Support/Time.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace canvaswick {

/// Which error an operator would rather have. One setting, three presets.
enum class EjectionPreference : uint8_t { Detection, Balanced, FalseEjections };

/// Whether a request of a route may be run more than once.
enum class RouteClass : uint8_t { Repeatable, Once, Download };

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
  /// Identity of one start of the server; a request that names it is declined
  /// by every other. Empty: not known.
  std::string Instance;
  /// Until when the server is expected to be slow from its start. The epoch:
  /// not known.
  TimePoint WarmAt{};

  bool operator==(const ServerConfig &) const = default;
};

/// One service and its backend servers.
struct ServiceConfig {
  std::string Name;
  std::string Region;
  int FloorPercent = 0;
  EjectionPreference Preference = EjectionPreference::Balanced;
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

/// One part of a split route.
struct WeightedService {
  /// Index among the services of the same FleetConfig.
  uint32_t Service = 0;
  /// Its part of the route's requests is Weight over the sum of all weights.
  int64_t Weight = 0;
};

/// One route: requests of a host below a path prefix go to a service.
struct RouteConfig {
  std::string Name;
  std::string Host;
  std::string Prefix;
  uint32_t Service = 0;
  RouteClass Class = RouteClass::Repeatable;
  /// Where the requests go if not all to Service. Empty: all.
  std::vector<WeightedService> Split;
  /// Longest time a request is held, in milliseconds. 0: its service's.
  int64_t TimeoutMs = 0;
  /// Time within which an answer is worth most. 0: its service's.
  int64_t ObjectiveMs = 0;
  /// Servers that one request may be sent to. 0: the product's own bound.
  int64_t MaxAttempts = 0;
  /// Rank when capacity is short; 0 is the highest.
  int64_t Priority = 0;
  /// Whether callers need no key.
  bool IsPublic = false;
};

/// What a caller may send and how long it may take. 0: the daemon's own bound.
struct CallerLimits {
  int64_t MaxHeadBytes = 0;
  int64_t MaxBodyBytes = 0;
  int64_t HeadMs = 0;
  int64_t IdleMs = 0;

  bool operator==(const CallerLimits &) const = default;
};

/// One accepted version of the whole tree, compiled.
struct FleetConfig : boost::intrusive_ref_counter<FleetConfig> {
  uint64_t Version = 0;
  std::vector<ServiceConfig> Services;
  std::vector<RouteConfig> Routes;
  /// Who callers may belong to.
  OrganisationDirectoryRef Organisations = makeOrganisationDirectory({}, false);
  CallerLimits Limits;

  /// Returns the index of a service, or -1.
  int findService(const std::string &Name) const;
};

/// A counted reference to a FleetConfig.
using FleetConfigRef = boost::intrusive_ptr<const FleetConfig>;

/// Compiles a checked tree.
FleetConfigRef compileFleetConfig(const SettingsTree &Tree, uint64_t Version);

} // namespace canvaswick

#endif // CANVASWICK_SETTINGS_FLEETCONFIG_H
