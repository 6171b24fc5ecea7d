//===- ProxyOptions.h - Headers and limits of the proxy ---------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Defines the names of the headers between callers, the proxy and backend
/// servers, and the limits of what the proxy buffers. The defaults are the
/// product's own interface; an adapter to another platform sets others.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_PROXY_PROXYOPTIONS_H
#define CANVASWICK_PROXY_PROXYOPTIONS_H

#include "canvaswick/Settings/DaemonConfig.h"

#include <cstddef>
#include <string>

namespace canvaswick {

/// OutcomeHeader tells on every failure response whether the request was run;
/// ReasonHeader tells why it failed.
inline constexpr const char *OutcomeHeader = "Canvaswick-Outcome";
inline constexpr const char *ReasonHeader = "Canvaswick-Reason";

/// The value of HeaderNames::ServerLeaving from a server that shuts down.
inline constexpr const char *LeavingValue = "1";

/// Names of headers. An empty name means that the header is not used.
struct HeaderNames {
  /// Identifies a request. A server may echo it to prove which request its
  /// response belongs to.
  std::string RequestId = "Canvaswick-Request";
  /// Whether the caller's id is forwarded and echoed. If not, the proxy
  /// generates an id for each attempt.
  bool PassesCallerId = false;
  /// Carries the caller's API key after the name of the authentication scheme.
  /// It is never forwarded.
  std::string Key = "Authorization";
  std::string KeyScheme = "Bearer";
  /// Tells servers the caller's organisation. A value that a caller sends is
  /// dropped.
  std::string Organisation = "X-Organisation";
  /// Carries the time left in milliseconds, both from callers and to servers.
  std::string Deadline = "X-Deadline-Ms";
  /// Names the instance of the server that is to run the request: one start of
  /// its process.
  std::string ExpectedInstance;
  /// Proves that a successful response comes from the server itself.
  std::string AnswerProof;
  /// The server's load: the numbers of running requests, waiting requests and
  /// slots.
  std::string ServerLoad;
  /// The request rate, per second, that the server accepts from all daemons
  /// together. The limit holds as long as the server sends the header.
  std::string ServerLimit = "Canvaswick-Request-Limit";
  /// Announces, with LeavingValue, that the server shuts down.
  std::string ServerLeaving = "Canvaswick-Leaving";
  /// Reports that the server did not run the request. If NotRunValue is empty,
  /// any value of the header does.
  std::string NotRun = OutcomeHeader;
  std::string NotRunValue = "not-run";
  /// Whether Retry-After may carry fractions of a second.
  bool HasFractionalRetryAfter = false;
};

/// Configuration of a RequestProxy.
struct ProxyOptions {
  HeaderNames Headers;
  /// Responses of at most this many bytes are buffered until they are complete,
  /// so that a truncated one can be retried. 0: every response is streamed.
  size_t MaxBufferedResponseBytes = 0;
  /// Chunked request bodies of at most this many bytes are buffered, so that
  /// they can be sent again; longer ones are streamed.
  size_t MaxBufferedBodyBytes = 0;
  /// The longest body of a response that states no length. One that is longer
  /// has no end, and is cut.
  uint64_t MaxUnsizedAnswerBytes = uint64_t(1) << 30;
  /// Whether requests that must not run twice use a new connection. It proves
  /// that the server is reachable before anything is sent, and no late response
  /// to another request arrives on it.
  bool UsesFreshConnections = true;
  /// The idle time in milliseconds up to which such a request may use a kept
  /// connection nevertheless, in services with many servers and after a
  /// success. Responses must then carry the id of their request. 0: never.
  int MaxRecentIdleMs = 0;
  /// Timeout for a connection to a server, in milliseconds.
  int ConnectMs = 1000;
  /// Whether the timeout is shortened to what connections usually need.
  bool LearnsConnectTimes = false;
  /// Status of the response if no server has run the request.
  int NotRunStatus = 502;
  /// The Retry-After of a refused request, in milliseconds, if no better value
  /// is known.
  int DefaultRetryAfterMs = 1000;
  /// Bounds of the excess over organisations' quotas that is tolerated.
  QuotaBounds QuotaLimits;
};

} // namespace canvaswick

#endif // CANVASWICK_PROXY_PROXYOPTIONS_H
