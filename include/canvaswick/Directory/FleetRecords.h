//===- FleetRecords.h - What a daemon learns of its fleet -------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The operators' routing rules, the backend servers and the other daemons, in
/// the product's own words, and how they make up one FleetConfig.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_DIRECTORY_FLEETRECORDS_H
#define CANVASWICK_DIRECTORY_FLEETRECORDS_H

#include "canvaswick/Settings/FleetConfig.h"

#include <map>
#include <string>
#include <vector>

namespace canvaswick {

/// One part of a route's requests.
struct RouteTarget {
  std::string Service;
  int64_t Weight = 1;
};

/// One route as the operators wrote it.
struct RouteRule {
  std::string Name;
  std::string Host;
  std::string Prefix;
  RouteClass Class = RouteClass::Once;
  /// At least one part.
  std::vector<RouteTarget> Parts;
  int64_t TimeoutMs = 0;
  int64_t ObjectiveMs = 0;
  int64_t MaxAttempts = 1;
  int64_t Priority = 0;
  /// Whether callers need no key.
  bool IsPublic = false;
};

/// One service as the operators wrote it.
struct ServiceRule {
  std::string Name;
  std::string ProbePath;
  /// Connections that each of its servers accepts from the whole fleet.
  int64_t MaxConnections = 0;
};

/// One version of what the operators decided.
struct RoutingRules {
  uint64_t Version = 0;
  std::vector<RouteRule> Routes;
  std::vector<ServiceRule> Services;
  CallerLimits Limits;
  OrganisationDirectoryRef Organisations = makeOrganisationDirectory({}, false);
};

/// One start of a backend server, as it keeps itself listed.
struct ServerRecord {
  std::string Id;
  /// Calendar time of its start in milliseconds, which with the id names this
  /// life of it; 0: it does not tell.
  uint64_t Born = 0;
  /// Grows with each entry of one life.
  uint64_t Sequence = 0;
  std::string Service;
  Endpoint Address;
  std::string Hall;
  std::string SoftwareVersion;
  int Slots = 1;
  bool IsDraining = false;
  /// How much longer it is slow, counted from when the record was written.
  Duration WarmupLeft{};

  bool operator==(const ServerRecord &) const = default;
};

/// One daemon of the fleet, as it keeps itself listed.
struct DaemonRecord {
  std::string Name;
  std::string Hall;
  Endpoint Control;
  Endpoint Peer;

  bool operator==(const DaemonRecord &) const = default;
};

/// What a service has that the operators' rules do not say.
struct ServiceDefaults {
  int FloorPercent = 0;
};

/// Returns the name of a life of a server. All that is known of a server goes
/// by it: evidence, load, requests in flight, connections, what daemons tell
/// each other. So nothing of one life can count for the next.
std::string getInstanceName(const ServerRecord &Record);

/// A record and when this daemon learned of it.
struct KnownServer {
  ServerRecord Record;
  TimePoint LearnedAt{};
};

/// Builds what a daemon runs. Servers of unknown services are left out.
FleetConfigRef
compileFleetConfig(const RoutingRules &Rules,
                   const std::map<std::string, KnownServer> &Servers,
                   const ServiceDefaults &Defaults);

} // namespace canvaswick

#endif // CANVASWICK_DIRECTORY_FLEETRECORDS_H
