//===- ResponseRelay.h - Passes an answer on to the caller ------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Decides at the head of an answer whether the caller gets it, streams the
/// body or holds a short one back until it is whole, and makes a cut visible: a
/// cut answer never looks like a shorter whole one.
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

/// The status of a server that says another one has its address now.
inline constexpr int MisdirectedStatus = 421;

/// What the relay did with an answer at its head.
enum class ResponseVerdict : uint8_t {
  /// No head came.
  None,
  /// It goes to the caller.
  Relayed,
  /// The server says the request was not run.
  NotRun,
  /// A failure that another server may make good.
  Failed,
  /// It is the answer to another request.
  RequestIdMismatch,
  /// It does not continue what the caller has got.
  ResumeMismatch,
};

/// What the relay may do with a failed answer.
struct RelayOptions {
  /// Set aside an answer of the server that a repeat could better.
  bool MayDiscardFailure = false;
  /// Hold an answer of at most this many bytes back until it is whole.
  size_t MaxBufferedBytes = 0;
  /// Keep a copy of the answer of at most this many bytes.
  size_t MaxCopiedBytes = 0;
  /// Read the answer to its end although the caller has left: a repeat of a
  /// keyed request will ask for it.
  bool ContinuesWithoutCaller = false;
};

/// A copy of an answer, for the repeat of a keyed request.
struct ResponseCopy {
  int Status = 0;
  std::string ContentType;
  std::string Body;
};

/// Relays the answers of the attempts of one request to one caller.
class ResponseRelay {
public:
  /// Exchange is the caller's side. Names must outlive the relay.
  ResponseRelay(HttpExchange &Exchange, const HeaderNames &Names,
                RelayOptions Rules);

  /// Prepares for an attempt. RequestId is what a server may echo.
  void beginAttempt(const std::string &RequestId);

  /// Changes what may be set aside, before an attempt.
  void setRules(const RelayOptions &Rules) { this->Rules = Rules; }

  /// Takes the head of an answer. Returns false to cancel the exchange.
  bool handleHead(const httplib::Response &Response);

  /// Takes a piece of the body. Returns false if the caller has left.
  bool handleBody(const char *Data, size_t Size);

  /// Ends a relayed answer. IsWhole says whether all of it arrived; if not, the
  /// caller's connection is cut.
  void finish(bool IsWhole);

  ResponseVerdict getVerdict() const { return this->Verdict; }
  int getStatus() const { return this->Status; }

  /// Returns the requests that run or wait at the server, as its answer told,
  /// or -1.
  int getLoad() const { return this->Load; }

  /// Returns whether the caller has got any part of an answer.
  bool hasBegun() const { return this->HeadWritten; }

  /// Returns whether writing to the caller failed.
  bool hasCallerLeft() const { return this->CallerLeft; }

  /// Returns whether the rest of a cut answer can be asked for by bytes: it
  /// was a whole 200 answer to a GET with a strong validator and a length.
  bool canResume() const;

  /// Returns the request headers that ask for the rest.
  void addResumeHeaders(httplib::Headers &Headers) const;

  /// Returns whether the kept copy is the whole body so far.
  bool hasCompleteCopy() const { return !this->IsKeptTooLong; }

  /// Returns the copy that was kept.
  const ResponseCopy &getCopy() const { return this->Kept; }

private:
  ResponseVerdict classifyHead(const httplib::Response &Response) const;
  bool continuesAnswer(const httplib::Response &Response) const;
  bool isProved(const httplib::Response &Response) const;
  void readLoad(const httplib::Response &Response);
  void prepareHead(const httplib::Response &Response);
  bool writeHead();
  bool passBody(const char *Data, size_t Size);
  bool releaseHeld();
  bool writeToCaller(const char *Data, size_t Size);

  HttpExchange &Exchange;
  const HeaderNames &Names;
  RelayOptions Rules;
  std::string RequestId;
  ResponseVerdict Verdict = ResponseVerdict::None;
  int Status = 0;
  bool HeadWritten = false;
  /// The head, without its length and end, and the body so far of an answer
  /// that is held back.
  std::string Head;
  std::string HeldBody;
  bool IsHolding = false;
  bool IsBodyless = false;
  int Load = -1;
  bool IsChunked = false;
  bool CallerLeft = false;
  bool HasLength = false;
  uint64_t Length = 0;
  uint64_t Passed = 0;
  std::string Validator;
  ResponseCopy Kept;
  bool IsKeptTooLong = false;
};

/// Returns whether a header belongs to one connection and is not passed on.
bool isHopByHopHeader(const std::string &Name, const httplib::Headers &All);

} // namespace canvaswick

#endif // CANVASWICK_PROXY_RESPONSERELAY_H
