//===- RouteTable.h - Which service a request goes to -----------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Finds the route of a host and path: the longest prefix that ends at a path
/// segment wins, and a route with a host goes before one without.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_ROUTING_ROUTETABLE_H
#define CANVASWICK_ROUTING_ROUTETABLE_H

#include "canvaswick/Settings/FleetConfig.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace canvaswick {

/// All routes of one version of the settings, ready for lookups.
class RouteTable {
public:
  /// Routes must outlive the table.
  explicit RouteTable(const std::vector<RouteConfig> &Routes);

  /// Returns the route, or null if none takes the request. Target may carry a
  /// query. The time is proportional to the segments of the path.
  const RouteConfig *find(const std::string &Host,
                          const std::string &Target) const;

private:
  const RouteConfig *findForHost(const std::string &Host,
                                 const std::string &Path) const;

  std::unordered_map<std::string, const RouteConfig *> Routes;
};

/// Returns the path of a target without its query.
std::string getTargetPath(const std::string &Target);

/// Returns whether a path could mean another one to a backend server: it holds
/// dot segments, plain or percent-encoded, empty segments or a backslash.
bool isAmbiguousPath(const std::string &Path);

} // namespace canvaswick

#endif // CANVASWICK_ROUTING_ROUTETABLE_H
