//===- PeerCaller.h - Signed JSON-RPC calls over HTTP -----------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Makes and serves the calls between daemons and from operators: JSON-RPC over
/// HTTP, signed, with a deadline, and with its bytes counted. A call may arrive
/// more than once, so every method must be idempotent.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_RPC_PEERCALLER_H
#define CANVASWICK_RPC_PEERCALLER_H

#include "canvaswick/Http/CancelSignal.h"
#include "canvaswick/Http/HttpClient.h"
#include "canvaswick/Http/HttpServer.h"
#include "canvaswick/Metrics/Counters.h"
#include "canvaswick/Rpc/JsonRpc.h"
#include "canvaswick/Support/CallSignature.h"

#include <atomic>
#include <optional>
#include <string>

namespace canvaswick {

/// The HTTP header that holds the signature of a call.
inline constexpr const char *CallSignatureHeader = "Canvaswick-Signature";

/// The HTTP path of all calls.
inline constexpr const char *CallPath = "/rpc";

/// The time limits of a call whose answer may be long. An answer that keeps
/// arriving is not given up as early as one that does not come.
struct CallLimits {
  /// For a new connection.
  Duration Connect;
  /// Until the head of the answer has arrived.
  Duration Head;
  /// For each wait for more of the body.
  Duration Stall;
  /// From the start of the call until the body is complete.
  Duration Whole;
};

/// What a call put on the network, for logs.
struct CallTraffic {
  size_t BytesReceived = 0;
  /// The HTTP status, or 0 if no head of an answer arrived.
  int Status = 0;
};

/// Makes calls over pooled connections. Thread-safe.
class PeerCaller {
public:
  /// Signs calls with Key. Counters may be null.
  PeerCaller(CallKey Key, CounterTable *Counters);

  /// Leaves calls unsigned. Counters may be null.
  explicit PeerCaller(CounterTable *Counters);

  /// Calls a method and returns its answer, a JSON object. Errors: Unavailable
  /// if the call was not sent, OutcomeUnknown if no valid answer arrived,
  /// Unauthorized if the peer rejected the signature, and otherwise the kind
  /// that the method returned.
  Result<Json::Value> call(const Endpoint &Peer, const std::string &Method,
                           const Json::Value &Params, Duration Timeout);

  /// Does the same with separate limits. Fills in Traffic unless it is null.
  Result<Json::Value> call(const Endpoint &Peer, const std::string &Method,
                           const Json::Value &Params, const CallLimits &Limits,
                           CallTraffic *Traffic = nullptr);

  /// Returns the headers by which peers recognise a request of this daemon that
  /// is no call, and that Text describes. Empty if calls are not signed.
  httplib::Headers sign(const std::string &Text);

  /// Cancels the calls that wait, and all later calls.
  void cancel() { this->Cancellation.trigger(); }

  /// Closes connections that have been idle for a minute.
  void closeIdle(TimePoint Now);

  /// Closes all idle connections, so that the next calls open new ones.
  void closeIdleConnections();

private:
  void count(Counter Which, uint64_t Amount);

  std::optional<CallKey> Key;
  CounterTable *Counters;
  std::atomic<uint64_t> NextNonce;
  ConnectionPool Pool;
  CancelSignal Cancellation;
};

/// Builds the answer of a method that failed, from which PeerCaller::call()
/// restores the kind and message of the error.
Json::Value makeCallError(const Error &Failure);

/// Returns whether a request carries the headers of PeerCaller::sign for Text.
/// Locks VerifierMutex while it uses Verifier.
bool isSignedRequest(const HttpExchange &Exchange, const std::string &Text,
                     CallVerifier &Verifier, std::mutex &VerifierMutex);

/// Verifies the signature of a received call, dispatches it and fills in the
/// HTTP response: 401 for a rejected signature, 413 for a body that is too long
/// or incomplete. Locks VerifierMutex while it uses Verifier.
void serveCall(HttpExchange &Exchange, CallVerifier &Verifier,
               std::mutex &VerifierMutex, const JsonRpcDispatcher &Dispatcher,
               CounterTable &Counters);

/// Dispatches a received call without checking for a signature.
void serveUnsignedCall(HttpExchange &Exchange,
                       const JsonRpcDispatcher &Dispatcher);

/// Reads the whole body of a request, at most Limit bytes. Returns false if the
/// body is longer or incomplete.
bool readWholeBody(HttpExchange &Exchange, size_t Limit, std::string &Body);

} // namespace canvaswick

#endif // CANVASWICK_RPC_PEERCALLER_H
