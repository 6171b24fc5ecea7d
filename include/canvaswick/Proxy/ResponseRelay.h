//===- ResponseRelay.h - Relays responses to callers ------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Decides at the head of a response whether it is relayed, and either streams
/// the body or buffers a short response until it is complete. A truncated
/// response is always visible as truncated: the caller's connection is closed
/// before the declared end of the body.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_PROXY_RESPONSERELAY_H
#define CANVASWICK_PROXY_RESPONSERELAY_H

#include "canvaswick/Http/HttpClient.h"
#include "canvaswick/Http/HttpServer.h"
#include "canvaswick/Proxy/ProxyOptions.h"

#include <cstdint>
#include <string>

namespace canvaswick {

/// Status of a server that answers in place of another one whose address it now
/// has (421 Misdirected Request).
inline constexpr int MisdirectedStatus = 421;

/// What the relay does with a response, decided at its head.
enum class ResponseVerdict : uint8_t {
  /// No head has arrived.
  None,
  /// The response is relayed to the caller.
  Relayed,
  /// The server reports that it did not run the request.
  NotRun,
  /// The request failed; an attempt at another server may succeed.
  Failed,
  /// The response echoes the id of another request.
  RequestIdMismatch,
  /// The response does not continue the part that the caller already has.
  ResumeMismatch,
};

/// Options that control buffering, copying and the handling of failed
/// responses.
struct RelayOptions {
  /// Discards a 5xx response, because a retry may give a better one.
  bool MayDiscardFailure = false;
  /// Buffers a response of at most this many bytes until it is complete. 0:
  /// every response is streamed.
  size_t MaxBufferedBytes = 0;
  /// Keeps a copy of a body of at most this many bytes.
  size_t MaxCopiedBytes = 0;
  /// Reads the response to its end even if the caller has disconnected, because
  /// a retry of a keyed request asks for it.
  bool ContinuesWithoutCaller = false;
};

/// A copy of a response, which answers retries of a keyed request.
struct ResponseCopy {
  int Status = 0;
  std::string ContentType;
  std::string Body;
};

/// Relays the responses to the attempts of one request to its caller. Not
/// thread-safe.
class ResponseRelay {
public:
  /// Exchange is the caller's side of the connection. Exchange and Names must
  /// outlive the relay.
  ResponseRelay(HttpExchange &Exchange, const HeaderNames &Names,
                RelayOptions Options);

  /// Resets the state for a new attempt. RequestId is the id that a server may
  /// echo.
  void beginAttempt(const std::string &RequestId);

  /// Replaces the options. Must be called before an attempt.
  void setOptions(const RelayOptions &Options) { this->Options = Options; }

  /// Handles the head of a response. Returns false if the exchange must be
  /// canceled.
  bool handleHead(const httplib::Response &Response);

  /// Handles a piece of the body. Returns false if the caller has disconnected.
  bool handleBody(const char *Data, size_t Size);

  /// Returns whether the caller got as much of the body as its head states. A
  /// resumed response may be complete by itself and still be too short.
  bool hasWholeBody() const;

  /// Completes a relayed response. IsWhole tells whether all of it arrived; if
  /// not, the caller's connection is closed.
  void finish(bool IsWhole);

  ResponseVerdict getVerdict() const { return this->Verdict; }
  int getStatus() const { return this->Status; }

  /// Returns why the head of the response was not accepted although it is
  /// well-formed, as it appears in logs, or null.
  const char *getFault() const { return this->Fault; }

  /// Returns the number of requests that run or wait at the server, as its
  /// response reported, or -1.
  int getLoad() const { return this->Load; }

  /// Returns whether any part of a response has been written to the caller.
  bool hasBegun() const { return this->HeadWritten; }

  /// Returns whether a write to the caller failed.
  bool hasCallerLeft() const { return this->CallerLeft; }

  /// Returns whether the rest of a truncated response can be requested as a
  /// byte range: it answers a GET request without a Range header, has status
  /// 200, a strong validator and a length.
  bool canResume() const;

  /// Adds the request headers that ask for the rest of the response.
  void addResumeHeaders(httplib::Headers &Headers) const;

  /// Returns whether the copy holds the complete body received so far.
  bool hasCompleteCopy() const { return !this->IsCopyTruncated; }

  /// Returns the copy of the response.
  const ResponseCopy &getCopy() const { return this->Copy; }

private:
  ResponseVerdict classifyHead(const httplib::Response &Response);
  bool continuesResponse(const httplib::Response &Response) const;
  bool isAuthentic(const httplib::Response &Response) const;
  void parseLoad(const httplib::Response &Response);
  void prepareHead(const httplib::Response &Response);
  bool writeHead();
  bool writeBody(const char *Data, size_t Size);
  bool flushBuffer();
  bool writeToCaller(const char *Data, size_t Size);

  HttpExchange &Exchange;
  const HeaderNames &Names;
  RelayOptions Options;
  std::string RequestId;
  ResponseVerdict Verdict = ResponseVerdict::None;
  const char *Fault = nullptr;
  int Status = 0;
  bool HeadWritten = false;
  /// Head holds the response head without the headers that frame the body;
  /// BufferedBody holds the part of the body received so far. Both belong to a
  /// response that is buffered.
  std::string Head;
  std::string BufferedBody;
  bool IsBuffering = false;
  bool IsBodyless = false;
  int Load = -1;
  bool IsChunked = false;
  bool CallerLeft = false;
  bool HasLength = false;
  uint64_t Length = 0;
  uint64_t BytesRelayed = 0;
  std::string Validator;
  ResponseCopy Copy;
  bool IsCopyTruncated = false;
};

/// Returns whether every line of a response that names a request names this
/// one. A response without such a line may be one to it.
bool isAnswerTo(const httplib::Response &Response, const std::string &IdHeader,
                const std::string &RequestId);

/// Returns whether a header applies to a single connection and must not be
/// forwarded (RFC 9110, 7.6.1), or is replaced when the message is forwarded.
bool isHopByHopHeader(const std::string &Name, const httplib::Headers &All);

} // namespace canvaswick

#endif // CANVASWICK_PROXY_RESPONSERELAY_H
