//===- FleetRecords.h - Records that describe a fleet -----------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The operators' routing rules, the backend servers and the other daemons in
/// this project's own types, and how a FleetConfig is built from them.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_DIRECTORY_FLEETRECORDS_H
#define CANVASWICK_DIRECTORY_FLEETRECORDS_H

#include "canvaswick/Directory/StorePosition.h"
#include "canvaswick/Settings/FleetConfig.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace canvaswick {

/// One target of a route and its part of the route's requests.
struct RouteTarget {
  std::string Service;
  int64_t Weight = 1;
};

/// One route as configured by the operators.
struct RouteRule {
  std::string Name;
  std::string Host;
  std::string Prefix;
  RouteClass Class = RouteClass::Once;
  /// Must not be empty.
  std::vector<RouteTarget> Parts;
  int64_t TimeoutMs = 0;
  int64_t ObjectiveMs = 0;
  int64_t MaxAttempts = 1;
  int64_t Priority = 0;
  /// Whether callers need no key.
  bool IsPublic = false;
};

/// One service as configured by the operators.
struct ServiceRule {
  std::string Name;
  std::string ProbePath;
  /// Number of connections that each of its servers accepts from the whole
  /// fleet.
  int64_t MaxConnections = 0;
  /// Requests per second that a cold server bears from the whole fleet, and how
  /// long it is cold after its start. 0 if the operators set none.
  double WarmupPerSecond = 0;
  int64_t WarmupMs = 0;
};

/// One version of the operators' settings.
struct RoutingRules {
  uint64_t Version = 0;
  std::vector<RouteRule> Routes;
  std::vector<ServiceRule> Services;
  CallerLimits Limits;
  OrganisationDirectoryRef Organisations = makeOrganisationDirectory({}, false);
};

/// One instance (start) of a backend server, as registered by the server.
struct ServerRecord {
  std::string Id;
  /// Calendar time of its start in milliseconds, which identifies the instance
  /// together with Id. 0 if the server does not report it.
  uint64_t Born = 0;
  /// Increases with each record of one instance.
  uint64_t Sequence = 0;
  std::string Service;
  Endpoint Address;
  std::string Hall;
  std::string SoftwareVersion;
  int Slots = 1;
  bool IsDraining = false;
  /// How much longer the server warms up, counted from when the record was
  /// written.
  Duration WarmupLeft{};

  bool operator==(const ServerRecord &) const = default;
};

/// One daemon of the fleet, as registered by the daemon.
struct DaemonRecord {
  std::string Name;
  std::string Hall;
  Endpoint Control;
  Endpoint Peer;

  bool operator==(const DaemonRecord &) const = default;
};

/// Properties of a service that the operators' rules do not contain.
struct ServiceDefaults {
  int FloorPercent = 0;
};

/// Returns the name of an instance of a server. Evidence, load, requests in
/// flight, connections and messages between daemons are keyed by it, so that
/// nothing known of one instance counts for the next.
std::string getInstanceName(const ServerRecord &Record);

/// A record and when this daemon first read it.
struct KnownServer {
  ServerRecord Record;
  TimePoint LearnedAt{};
};

/// Servers in the order of their IDs, owned by others.
using KnownServers = std::vector<const KnownServer *>;

/// Builds the configuration of a daemon. Servers of unknown services, and
/// routes to unknown services, are left out. DrainedHalls names the halls whose
/// servers must get no requests. AsOf is the position of the servers' entries.
FleetConfigRef compileFleetConfig(const RoutingRules &Rules,
                                  const KnownServers &Servers,
                                  const ServiceDefaults &Defaults,
                                  std::set<std::string> DrainedHalls = {},
                                  const StorePosition &AsOf = {});

} // namespace canvaswick

#endif // CANVASWICK_DIRECTORY_FLEETRECORDS_H
