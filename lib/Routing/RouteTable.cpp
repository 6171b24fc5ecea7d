//===- RouteTable.cpp - Maps requests to routes ---------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Uses one hash table keyed by host and prefix. A lookup removes the path's
/// last segment until it finds a prefix.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Routing/RouteTable.h"
#include "canvaswick/Support/Text.h"

#include <algorithm>
#include <cctype>

namespace canvaswick {

static std::string makeKey(const std::string &Host, std::string Prefix) {
  while (Prefix.size() > 1 && Prefix.back() == '/')
    Prefix.pop_back();
  return toLowerCase(Host) + '\n' + Prefix;
}

RouteTable::RouteTable(const std::vector<RouteConfig> &Routes) {
  this->Routes.reserve(Routes.size());
  for (const RouteConfig &Route : Routes)
    this->Routes.emplace(makeKey(Route.Host, Route.Prefix), &Route);
}

std::string getTargetPath(const std::string &Target) {
  return Target.substr(0, Target.find_first_of("?#"));
}

static std::string stripPort(const std::string &Host) {
  return Host.substr(0, Host.find(':'));
}

/// Returns whether a route matches a path. A prefix that ends with a slash
/// matches the paths below it, but not the path without the slash.
static bool takesPath(const RouteConfig &Route, const std::string &Path) {
  return !Route.Prefix.ends_with('/') || Path.starts_with(Route.Prefix);
}

const RouteConfig *RouteTable::findForHost(const std::string &Host,
                                           const std::string &Path) const {
  std::string Prefix = Path;
  while (true) {
    const auto Found = this->Routes.find(makeKey(Host, Prefix));
    if (Found != this->Routes.end() && takesPath(*Found->second, Path))
      return Found->second;
    if (Prefix.size() <= 1)
      return nullptr;
    const size_t Slash = Prefix.rfind('/');
    Prefix.resize(std::max<size_t>(1, Slash));
  }
}

const RouteConfig *RouteTable::find(const std::string &Host,
                                    const std::string &Target) const {
  const std::string Path = getTargetPath(Target);
  if (Path.empty() || Path[0] != '/')
    return nullptr;
  if (const RouteConfig *Route = this->findForHost(stripPort(Host), Path))
    return Route;
  return this->findForHost("", Path);
}

/// Decodes "%2e", "%2f" and "%5c".
static std::string decodeSeparators(const std::string &Path) {
  std::string Plain;
  for (size_t I = 0; I < Path.size(); ++I) {
    const std::string Code = toLowerCase(Path.substr(I, 3));
    if (Code == "%2e")
      Plain += '.';
    else if (Code == "%2f")
      Plain += '/';
    else if (Code == "%5c")
      Plain += '\\';
    else {
      Plain += Path[I];
      continue;
    }
    I += 2;
  }
  return Plain;
}

bool isAmbiguousPath(const std::string &Path) {
  const std::string Plain = decodeSeparators(Path) + "/";
  if (Plain.find('\\') != std::string::npos)
    return true;
  // Only the last segment of a path may be empty.
  if (Plain.find("//") != std::string::npos &&
      Plain.find("//") != Plain.size() - 2)
    return true;
  return Plain.find("/./") != std::string::npos ||
         Plain.find("/../") != std::string::npos;
}

} // namespace canvaswick
