//===- RouteTable.h - Maps requests to routes -------------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Finds the route of a host and path. The longest prefix that ends at a path
/// segment wins, and routes with a host take precedence over those without.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_ROUTING_ROUTETABLE_H
#define CANVASWICK_ROUTING_ROUTETABLE_H

#include "canvaswick/Settings/FleetConfig.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace canvaswick {

/// All routes of one version of the settings, indexed for lookups. Immutable.
class RouteTable {
public:
  /// Routes must outlive the table.
  explicit RouteTable(const std::vector<RouteConfig> &Routes);

  /// Returns the route of a request, or null. Target may include a query. Takes
  /// time proportional to the number of path segments.
  const RouteConfig *find(const std::string &Host,
                          const std::string &Target) const;

private:
  const RouteConfig *findForHost(const std::string &Host,
                                 const std::string &Path) const;

  std::unordered_map<std::string, const RouteConfig *> Routes;
};

/// Returns the path of a request target, without query and fragment.
std::string getTargetPath(const std::string &Target);

/// Returns whether a backend server could read a path as another one: it
/// contains dot segments, plain or percent-encoded, empty segments or a
/// backslash.
bool isAmbiguousPath(const std::string &Path);

} // namespace canvaswick

#endif // CANVASWICK_ROUTING_ROUTETABLE_H
