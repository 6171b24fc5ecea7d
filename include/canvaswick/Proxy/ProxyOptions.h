//===- ProxyOptions.h - How a proxy speaks and holds back -------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The names of the headers between callers, the proxy and backend servers, and
/// the bounds of what the proxy keeps in memory. The defaults are the product's
/// own interface; an adapter gives others.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_PROXY_PROXYOPTIONS_H
#define CANVASWICK_PROXY_PROXYOPTIONS_H

#include "canvaswick/Settings/DaemonConfig.h"

#include <cstddef>
#include <string>

namespace canvaswick {

/// Says on every failure answer what became of the request.
inline constexpr const char *OutcomeHeader = "Canvaswick-Outcome";
inline constexpr const char *ReasonHeader = "Canvaswick-Reason";

/// What a server that leaves puts in HeaderNames::ServerLeaving.
inline constexpr const char *LeavingValue = "1";

/// Names of headers. An empty name means that there is no such header.
struct HeaderNames {
  /// Names a request; a server may echo it to prove whose answer it is.
  std::string RequestId = "Canvaswick-Request";
  /// Whether the caller's own id is passed on and echoed, instead of one that
  /// the proxy makes for each attempt.
  bool PassesCallerId = false;
  /// Carries the caller's key behind a word for its scheme. Never passed on.
  std::string Key = "Authorization";
  std::string KeyScheme = "Bearer";
  /// Tells servers the caller's organisation. What a caller says in it is
  /// dropped.
  std::string Organisation = "X-Organisation";
  /// Carries the time left, in milliseconds, from callers and to servers.
  std::string Deadline = "X-Deadline-Ms";
  /// Names the one start of a server that may run the request.
  std::string ExpectedInstance;
  /// Proof that a successful answer is a server's own.
  std::string AnswerProof;
  /// The server's load: requests running, requests waiting, slots.
  std::string ServerLoad;
  /// Names the requests a second that the server takes from all daemons
  /// together, for as long as it does so.
  std::string ServerLimit = "Canvaswick-Request-Limit";
  /// Says, with LeavingValue, that the server leaves.
  std::string ServerLeaving = "Canvaswick-Leaving";
  /// Says that the server did not run the request. An empty value: any does.
  std::string NotRun = OutcomeHeader;
  std::string NotRunValue = "not-run";
  /// Whether Retry-After may carry fractions of a second.
  bool HasFractionalRetryAfter = false;
};

/// What a proxy is set up with.
struct ProxyOptions {
  HeaderNames Headers;
  /// Answers up to this length are kept until they are whole, so that a cut
  /// one can be made good. 0: every answer is streamed.
  size_t MaxBufferedResponseBytes = 0;
  /// Chunked request bodies up to this length are collected, so that they can
  /// be sent again. A longer one is refused. 0: they are streamed.
  size_t MaxBufferedBodyBytes = 0;
  /// Requests that may run once get a connection of their own, which proves
  /// that the server is reached before anything is sent.
  bool UsesFreshConnections = false;
  /// Longest wait for a connection to a server, in milliseconds.
  int ConnectMs = 1000;
  /// Status of a request that no server has run after all.
  int NotRunStatus = 502;
  /// When a refused request may come back, in milliseconds, if nothing better
  /// is known.
  int DefaultRetryAfterMs = 1000;
  /// What is borne above organisations' allowances.
  QuotaBounds Allowances;
};

} // namespace canvaswick

#endif // CANVASWICK_PROXY_PROXYOPTIONS_H
