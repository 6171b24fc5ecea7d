//===- FleetConfig.h - Compiled settings of the fleet -----------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Typed records of the settings, which the data path and the policies read. A
/// FleetConfig holds one accepted version. It is immutable and shared through
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
#include <set>
#include <string>
#include <vector>

namespace canvaswick {

/// The trade-off between the two errors of ejection, as a preset that operators
/// choose: Detection avoids keeping an unhealthy server in use, FalseEjections
/// avoids ejecting a healthy one.
enum class EjectionPreference : uint8_t { Detection, Balanced, FalseEjections };

/// Whether a request of a route may run more than once. A Download may, and has
/// a large response.
enum class RouteClass : uint8_t { Repeatable, Once, Download };

/// The state of a backend server that operators have set. A draining server
/// receives no new requests.
enum class ServerState : uint8_t { Active, Draining };

/// An IPv4 address and port. Host is a numeric address, never a host name.
struct Endpoint {
  std::string Host;
  uint16_t Port = 0;

  /// Returns "host:port".
  std::string format() const;
  bool operator==(const Endpoint &) const = default;
};

/// Parses "host:port". Fails with InvalidArgument if it is malformed.
Result<Endpoint> parseEndpoint(const std::string &Text);

/// One backend server of a service.
struct ServerConfig {
  std::string Name;
  Endpoint Address;
  std::string Hall;
  /// Number of requests that the server works on at once.
  int Slots = 1;
  /// Number of connections that the server accepts from the whole fleet.
  int Connections = 1;
  ServerState State = ServerState::Active;
  /// Identifies one instance of the server, from its start to its stop. Other
  /// instances decline a request that names it. Empty if unknown.
  std::string Instance;
  /// The time until which the server is expected to be slow after its start.
  /// The epoch of the clock means that it is unknown.
  TimePoint WarmAt{};

  bool operator==(const ServerConfig &) const = default;
};

/// One service and its backend servers.
struct ServiceConfig {
  std::string Name;
  std::string Region;
  int FloorPercent = 0;
  /// The setting "weighing".
  EjectionPreference Preference = EjectionPreference::Balanced;
  int64_t DeadlineMs = 0;
  /// Time without a byte after which a body counts as stalled.
  int64_t StallMs = 0;
  /// A response later than this counts as slow. 0 selects three times the
  /// typical time of the service.
  int64_t SlowAfterMs = 0;
  /// Time over which a new server is given its full share.
  int64_t ColdStartMs = 0;
  /// Requests per second that a cold server bears from all daemons together; 0
  /// if there is no such bound.
  double WarmupPerSecond = 0;
  /// How long a server is cold after its start.
  int64_t WarmupMs = 0;
  int64_t MaxInFlight = 0;
  int64_t RetryPercent = 0;
  int64_t ObjectivePercent = 0;
  int64_t ObjectiveMs = 0;
  int64_t MaxBodyBytes = 0;
  std::string ProbePath;
  std::vector<ServerConfig> Servers;

  bool operator==(const ServiceConfig &) const = default;
};

/// One destination of a route that divides its requests among services.
struct WeightedService {
  /// Index into the services of the same FleetConfig.
  uint32_t Service = 0;
  /// The fraction of the requests of the route that this service receives is
  /// Weight divided by the sum of all weights.
  int64_t Weight = 0;
};

/// One route: assigns the requests for a host and a path prefix to a service.
struct RouteConfig {
  std::string Name;
  std::string Host;
  std::string Prefix;
  uint32_t Service = 0;
  RouteClass Class = RouteClass::Repeatable;
  /// The destinations of the requests. If empty, all requests go to Service.
  std::vector<WeightedService> Split;
  /// Maximum time that a request is held, in milliseconds. 0 selects the
  /// deadline of the service.
  int64_t TimeoutMs = 0;
  /// Time within which a response has its full utility, in milliseconds. 0
  /// selects the value of the service.
  int64_t ObjectiveMs = 0;
  /// Maximum number of servers that one request is sent to. 0 selects the
  /// built-in limit.
  int64_t MaxAttempts = 0;
  /// Priority when capacity is short. 0 is the highest.
  int64_t Priority = 0;
  /// Whether callers may send requests without a key.
  bool IsPublic = false;
};

/// Limits on the size and duration of the requests of callers. 0 selects the
/// limit of the daemon.
struct CallerLimits {
  int64_t MaxHeadBytes = 0;
  int64_t MaxBodyBytes = 0;
  int64_t HeadMs = 0;
  int64_t IdleMs = 0;

  bool operator==(const CallerLimits &) const = default;
};

/// One accepted version of the settings tree in compiled form.
struct FleetConfig : boost::intrusive_ref_counter<FleetConfig> {
  uint64_t Version = 0;
  std::vector<ServiceConfig> Services;
  std::vector<RouteConfig> Routes;
  /// The organisations that callers may belong to.
  OrganisationDirectoryRef Organisations = makeOrganisationDirectory({}, false);
  CallerLimits Limits;
  /// Halls whose servers must get no requests.
  std::set<std::string> DrainedHalls;
  /// The position of the store as of which the servers are listed, for logs;
  /// empty if they are listed in the settings.
  std::string ListedAsOf;

  /// Returns the index of the service with the given name, or -1.
  int findService(const std::string &Name) const;
};

/// A counted reference to a FleetConfig.
using FleetConfigRef = boost::intrusive_ptr<const FleetConfig>;

/// Compiles a validated tree.
FleetConfigRef compileFleetConfig(const SettingsTree &Tree, uint64_t Version);

/// Returns the halls that a region names as drained.
std::set<std::string> listDrainedHalls(const SettingsTree &Tree,
                                       const SettingNode &Region);

/// Returns the halls that any region of a tree names as drained.
std::set<std::string> listDrainedHalls(const SettingsTree &Tree);

} // namespace canvaswick

#endif // CANVASWICK_SETTINGS_FLEETCONFIG_H
