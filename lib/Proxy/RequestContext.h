//===- RequestContext.h - One request on its way through the ----*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// What the steps of a request hand on to each other. Private to this library.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_LIB_PROXY_REQUESTCONTEXT_H
#define CANVASWICK_LIB_PROXY_REQUESTCONTEXT_H

#include "canvaswick/Admission/RequestDigest.h"
#include "canvaswick/Proxy/RequestProxy.h"

#include <cstdlib>
#include <optional>

namespace canvaswick {

/// A refusal that does not say when to come back.
inline constexpr Duration NoWait = Duration::zero();

/// One request on its way.
struct RequestProxy::RequestContext {
  explicit RequestContext(HttpExchange &Exchange) : Exchange(Exchange) {}

  HttpExchange &Exchange;
  TimePoint Began{};
  TimePoint Deadline{};
  bool HasOwnDeadline = false;
  FleetRuntimeRef Fleet;
  const RouteConfig *Route = nullptr;
  ServiceRuntimeRef Service;
  /// What its caller shows. Nothing: no key, or none that can be read.
  std::optional<KeyDigest> ShownKey;
  /// Whose key that is, in Fleet's settings, or null.
  const OrganisationConfig *Member = nullptr;
  /// The name of that organisation, or empty.
  std::string Organisation;
  /// Whether it is counted on the organisation's allowance.
  bool IsCounted = false;
  std::string Key;
  std::string ClaimKey;
  uint64_t Claim = 0;
  bool HasClaim = false;
  std::string Body;
  bool IsBodyWhole = true;
  bool IsBodyBroken = false;
  bool WasBodySent = false;
  size_t Tries = 0;
  /// What the next attempt needs.
  AttemptNeeds Needs;
  RunOutcome Outcome = RunOutcome::NotRun;
  bool WasFailed = false;
  bool WasTimeout = false;
  bool WasCanceled = false;
  bool HasNoServer = false;
  bool IsAnswered = false;
  /// Whether the right to the next try has been taken already.
  bool HasRepeatRight = false;
  /// The caller's own id, for the log. May be empty.
  std::string CallerId;
  /// The same for all requests that ask for the same thing. 0 until the body is
  /// there.
  RequestDigest Digest = 0;
  /// Whether servers ended under it too often for another, and until when.
  bool IsHeldBack = false;
  Duration HeldWait{};
  /// Whether it is held back but for one try, which it has and has not used.
  bool HasTry = false;
  /// What came of each attempt, for the log.
  std::string Trail;
  const char *Reason = "";
  /// Whether any server was sent it, in whole or in part.
  bool WasSent = false;
};

/// Returns whether a request of a route may be run more than once.
inline bool isRetryable(const RouteConfig &Route) {
  return Route.Class != RouteClass::Once;
}

/// Returns the length that a request states for its body, 0 for none.
inline uint64_t getBodyLength(const httplib::Request &Request) {
  return std::strtoull(Request.get_header_value("Content-Length").c_str(),
                       nullptr, 10);
}

} // namespace canvaswick

#endif // CANVASWICK_LIB_PROXY_REQUESTCONTEXT_H
