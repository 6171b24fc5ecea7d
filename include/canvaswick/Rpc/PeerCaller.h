//===- PeerCaller.h - Signed calls to another process of the system -*- C++
//-*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Every call between daemons and from operators goes through here: JSON-RPC
/// over HTTP, signed, with a deadline, its bytes counted. A call may arrive
/// twice, so each method must bear that.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_RPC_PEERCALLER_H
#define CANVASWICK_RPC_PEERCALLER_H

#include "canvaswick/Http/HttpClient.h"
#include "canvaswick/Http/HttpServer.h"
#include "canvaswick/Metrics/Counters.h"
#include "canvaswick/Rpc/JsonRpc.h"
#include "canvaswick/Support/CallSignature.h"

#include <atomic>
#include <optional>
#include <string>

namespace canvaswick {

/// The header that carries the signature of a call.
inline constexpr const char *CallSignatureHeader = "Canvaswick-Signature";

/// The path that calls are sent to.
inline constexpr const char *CallPath = "/rpc";

/// Makes calls. Thread-safe.
class PeerCaller {
public:
  /// Signs with Key. Counters may be null.
  PeerCaller(CallKey Key, CounterTable *Counters);

  /// Signs nothing.
  explicit PeerCaller(CounterTable *Counters);

  /// Calls a method and returns its answer. Errors: Unavailable when the call
  /// was not sent, OutcomeUnknown when no answer came, Unauthorized, and
  /// whatever kind the method itself answered.
  Result<Json::Value> call(const Endpoint &Peer, const std::string &Method,
                           const Json::Value &Params, Duration Timeout);

  /// Closes connections that are no longer used.
  void closeIdle(TimePoint Now);

  /// Makes the next calls on new connections.
  void closeIdleConnections();

private:
  void count(Counter Which, uint64_t Amount);

  std::optional<CallKey> Key;
  CounterTable *Counters;
  std::atomic<uint64_t> NextNonce;
  ConnectionPool Pool;
};

/// Builds the answer of a method that failed.
Json::Value makeCallError(const Error &Failure);

/// Checks the signature of an arrived call, runs it and fills the HTTP answer.
void serveCall(HttpExchange &Exchange, CallVerifier &Verifier,
               std::mutex &VerifierMutex, const JsonRpcDispatcher &Dispatcher,
               CounterTable &Counters);

/// Runs an arrived call that carries no signature.
void serveUnsignedCall(HttpExchange &Exchange,
                       const JsonRpcDispatcher &Dispatcher);

/// Reads the whole body of a request, at most Limit bytes. Returns false if it
/// is longer or was cut.
bool readWholeBody(HttpExchange &Exchange, size_t Limit, std::string &Body);

} // namespace canvaswick

#endif // CANVASWICK_RPC_PEERCALLER_H
