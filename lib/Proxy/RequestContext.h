//===- RequestContext.h - State of one request ------------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Defines the state that the steps of a request share. Private to this
/// library.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_LIB_PROXY_REQUESTCONTEXT_H
#define CANVASWICK_LIB_PROXY_REQUESTCONTEXT_H

#include "RequestOwners.h"
#include "canvaswick/Admission/RequestFingerprint.h"
#include "canvaswick/Proxy/RequestProxy.h"
#include "canvaswick/Proxy/RetryPermit.h"

#include <cstdlib>
#include <optional>
#include <string>
#include <vector>

namespace canvaswick {

/// Marks a refusal without a Retry-After.
inline constexpr Duration NoWait = Duration::zero();

/// Returns the latency objective of a request.
Duration getObjective(const RouteConfig &Route, const ServiceConfig &Service);

/// The state of one request.
struct RequestProxy::RequestContext {
  explicit RequestContext(HttpExchange &Exchange) : Exchange(Exchange) {}

  HttpExchange &Exchange;
  TimePoint Began{};
  TimePoint Deadline{};
  bool HasCallerDeadline = false;
  FleetRuntimeRef Fleet;
  const RouteConfig *Route = nullptr;
  /// The service in the version that was in force when the last attempt began,
  /// and that version. Fleet is the one of the request's arrival.
  ServiceRuntimeRef Service;
  FleetRuntimeRef AttemptFleet;
  /// For how long the list of servers may have been outdated as the last
  /// attempt began, if that is worth a note.
  std::optional<Duration> OldListAge;
  AdmittedRequest Admitted;
  /// The digest of the API key that the caller presented; empty if there is
  /// none or it is malformed.
  std::optional<KeyDigest> PresentedKey;
  /// The organisation with this key in Fleet's settings, or null.
  const OrganisationConfig *KeyOwner = nullptr;
  /// The name of that organisation, or empty.
  std::string Organisation;
  /// Whether the organisation sends more than its quota allows.
  bool IsBeyondQuota = false;
  /// Whether the request counts on the organisation's quota.
  bool IsChargedToQuota = false;
  std::string Key;
  std::string ClaimKey;
  uint64_t Claim = 0;
  bool HasClaim = false;
  std::string Body;
  bool IsBodyBuffered = true;
  /// How reading a streamed body ended, and whether the caller is why it was
  /// not passed on whole.
  BodyEnd StreamedEnd = BodyEnd::Unread;
  bool HasBodyFailed = false;
  bool WasBodySent = false;
  size_t AttemptCount = 0;
  /// Requirements of the next attempt.
  AttemptNeeds Needs;
  /// When the last direct connection to a server broke, or the attempt to
  /// establish it began, if it failed.
  std::optional<TimePoint> LinkFailedAt;
  /// The peers that did not connect to a server for this request.
  std::vector<std::string> AskedPeers;
  /// The retry that the next arrival at a server uses up.
  RetryPermit Permit;
  /// Whether nothing was sent in the last attempt because its server had begun
  /// to leave.
  bool WasWithdrawn = false;
  /// Whether the attempt in flight has used up a retry.
  bool IsRetryPaid = false;
  /// What made the response to the last attempt unreadable, or null.
  const char *AnswerFault = nullptr;
  /// Whether the attempt in flight is compared with a retry elsewhere.
  bool IsWeighed = false;
  /// Whether no peer connects to a server for this request.
  bool HasNoPeer = false;
  RunOutcome Outcome = RunOutcome::NotRun;
  bool WasFailed = false;
  bool WasTimeout = false;
  /// Whether the peer that passed the last answer on ended before it.
  bool WasPeerLost = false;
  bool WasCanceled = false;
  bool HasNoServer = false;
  bool IsAnswered = false;
  /// How its last wait for a retry ended, the time it has waited in all, and
  /// when a retry may be left for a request like this.
  std::optional<WaitEnd> LastWait;
  Duration Waited{};
  Duration RoomRetryAfter{};
  /// The caller's id of the request, for the log; may be empty.
  std::string CallerId;
  /// The fingerprint by which poison requests are recognised; equal for equal
  /// requests, and 0 until the body has been read.
  RequestFingerprint Fingerprint = 0;
  /// Whether the request is quarantined because too many servers ended under
  /// it, and for how long.
  bool IsQuarantined = false;
  Duration QuarantineWait{};
  /// Whether the request is quarantined but may be sent once as a probe, which
  /// is still unused.
  bool HasProbe = false;
  /// The attempts and their outcomes, for the log.
  std::string AttemptTrail;
  const char *Reason = "";
  /// Whether the request was sent to any server, completely or in part.
  bool WasSent = false;
};

/// Returns whether a request of a route may run more than once.
inline bool isRetryable(const RouteConfig &Route) {
  return Route.Class != RouteClass::Once;
}

/// Returns the declared length of the body, or 0 if there is none.
inline uint64_t getBodyLength(const httplib::Request &Request) {
  return std::strtoull(Request.get_header_value("Content-Length").c_str(),
                       nullptr, 10);
}

} // namespace canvaswick

#endif // CANVASWICK_LIB_PROXY_REQUESTCONTEXT_H
