//===- ResponseRelay.cpp - Relays responses to callers --------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Writes the head and body directly to the caller's stream, so that a slow
/// caller slows down the server (backpressure). Only what the options allow is
/// buffered or copied.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Proxy/ResponseRelay.h"
#include "canvaswick/Http/HeadGrammar.h"
#include "canvaswick/Proxy/RequestProxy.h"
#include "canvaswick/Support/Text.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <iterator>

namespace canvaswick {

static constexpr int NoContentStatus = 204;
static constexpr int NotModifiedStatus = 304;

static const char *const ConnectionHeaders[] = {
    "Connection", "Keep-Alive",        "Proxy-Connection", "TE",
    "Trailer",    "Transfer-Encoding", "Upgrade",          "Content-Length"};

bool isHopByHopHeader(const std::string &Name, const httplib::Headers &All) {
  for (const char *Known : ConnectionHeaders)
    if (equalsIgnoringCase(Name, Known))
      return true;
  return hasConnectionOption(All, Name);
}

bool isAnswerTo(const httplib::Response &Response, const std::string &IdHeader,
                const std::string &RequestId) {
  const auto Range = Response.headers.equal_range(IdHeader);
  return std::all_of(Range.first, Range.second, [&](const auto &Field) {
    return Field.second == RequestId;
  });
}

/// Returns whether a header stands once in a response and is meant for the
/// caller, not only for this connection.
static bool hasSingleHeader(const httplib::Response &Response,
                            const std::string &Name) {
  return Response.get_header_value_count(Name) == 1 &&
         !isHopByHopHeader(Name, Response.headers);
}

/// Returns whether such a header has a value.
static bool hasSingleValue(const httplib::Response &Response,
                           const std::string &Name) {
  return hasSingleHeader(Response, Name) &&
         !Response.get_header_value(Name).empty();
}

ResponseRelay::ResponseRelay(HttpExchange &Exchange, const HeaderNames &Names,
                             RelayOptions Options)
    : Exchange(Exchange), Names(Names), Options(Options) {}

void ResponseRelay::beginAttempt(const std::string &RequestId) {
  this->RequestId = RequestId;
  this->Verdict = ResponseVerdict::None;
  this->Fault = nullptr;
  this->IsBuffering = false;
  this->BufferedBody.clear();
  this->Load = -1;
  if (this->HeadWritten)
    return;
  this->BytesRelayed = 0;
  this->Copy.Body.clear();
  this->IsCopyTruncated = false;
}

/// Returns whether a response provably comes from the server itself and is not
/// encoded.
bool ResponseRelay::isAuthentic(const httplib::Response &Response) const {
  if (this->Names.AnswerProof.empty())
    return true;
  // Requests never ask for a content encoding.
  if (Response.has_header("Content-Encoding"))
    return false;
  // Only a server that marks its response may report that.
  if (isRejection(Response.status))
    return false;
  const bool IsSuccess = Response.status >= 200 && Response.status < 300;
  return !IsSuccess || (hasSingleValue(Response, this->Names.AnswerProof) &&
                        hasSingleValue(Response, this->Names.RequestId));
}

namespace {

/// A status that answers a question which requests ask by a header.
struct AskedStatus {
  int Status;
  std::array<const char *, 2> Headers;
};

} // namespace

static constexpr AskedStatus AskedStatuses[] = {
    {206, {"Range", "Range"}},
    {304, {"If-None-Match", "If-Modified-Since"}},
    {416, {"Range", "Range"}},
};

/// Returns whether a status answers a question that the request did not ask.
static bool isUnasked(int Status, const httplib::Request &Request) {
  return std::any_of(std::begin(AskedStatuses), std::end(AskedStatuses),
                     [&](const AskedStatus &Each) {
                       return Each.Status == Status &&
                              std::none_of(Each.Headers.begin(),
                                           Each.Headers.end(),
                                           [&](const char *Name) {
                                             return Request.has_header(Name);
                                           });
                     });
}

/// Upper bound of a reported load; larger values are clamped.
static constexpr int MaxLoad = 10000;

void ResponseRelay::parseLoad(const httplib::Response &Response) {
  if (this->Names.ServerLoad.empty())
    return;
  const std::string Text = Response.get_header_value(this->Names.ServerLoad);
  int Running = 0;
  int Waiting = 0;
  if (std::sscanf(Text.c_str(), "%d,%d", &Running, &Waiting) == 2)
    this->Load =
        std::clamp(Running, 0, MaxLoad) + std::clamp(Waiting, 0, MaxLoad);
}

bool ResponseRelay::continuesResponse(const httplib::Response &Response) const {
  const std::string Expected = fmt::format("bytes {}-{}/{}", this->BytesRelayed,
                                           this->Length - 1, this->Length);
  return Response.status == 206 &&
         Response.get_header_value("ETag") == this->Validator &&
         Response.get_header_value("Content-Range") == Expected;
}

ResponseVerdict ResponseRelay::classifyHead(const httplib::Response &Response) {
  if (!isAnswerTo(Response, this->Names.RequestId, this->RequestId)) {
    this->Fault = "other-request";
    return ResponseVerdict::RequestIdMismatch;
  }
  if (this->HeadWritten)
    return this->continuesResponse(Response) ? ResponseVerdict::Relayed
                                             : ResponseVerdict::ResumeMismatch;
  const bool IsMarked = hasSingleHeader(Response, this->Names.NotRun) &&
                        (this->Names.NotRunValue.empty() ||
                         Response.get_header_value(this->Names.NotRun) ==
                             this->Names.NotRunValue);
  if (IsMarked)
    return ResponseVerdict::NotRun;
  if (!this->Names.ExpectedInstance.empty() &&
      Response.status == MisdirectedStatus)
    return ResponseVerdict::NotRun;
  if (isUnasked(Response.status, this->Exchange.Request)) {
    this->Fault = "unasked-status";
    return ResponseVerdict::Failed;
  }
  if (!this->isAuthentic(Response)) {
    this->Fault = "no-proof";
    return ResponseVerdict::Failed;
  }
  if (Response.status >= 500 && this->Options.MayDiscardFailure)
    return ResponseVerdict::Failed;
  return ResponseVerdict::Relayed;
}

bool ResponseRelay::handleHead(const httplib::Response &Response) {
  const bool IsContinuing = this->HeadWritten;
  this->Verdict = this->classifyHead(Response);
  this->Status = Response.status;
  this->parseLoad(Response);
  switch (this->Verdict) {
  case ResponseVerdict::Relayed:
    if (IsContinuing)
      return true;
    this->prepareHead(Response);
    return this->IsBuffering || this->writeHead();
  case ResponseVerdict::NotRun:
  case ResponseVerdict::Failed:
    // The body is read to its end, so that the connection can be reused.
    return true;
  case ResponseVerdict::None:
  case ResponseVerdict::RequestIdMismatch:
  case ResponseVerdict::ResumeMismatch:
    return false;
  }
  return false;
}

/// Returns whether a validator guarantees identical bytes (a strong ETag).
static bool isStrongValidator(const std::string &Validator) {
  return Validator.size() > 2 && Validator[0] == '"' && Validator.back() == '"';
}

/// Prepares the head of the response to the caller.
void ResponseRelay::prepareHead(const httplib::Response &Response) {
  const std::string Length = Response.get_header_value("Content-Length");
  this->HasLength = !Length.empty() && Response.status != NoContentStatus;
  this->Length = std::strtoull(Length.c_str(), nullptr, 10);
  this->Validator = Response.get_header_value("ETag");
  this->IsBodyless = Response.status == NoContentStatus ||
                     Response.status == NotModifiedStatus ||
                     this->Exchange.Request.method == "HEAD";
  this->IsChunked = !this->IsBodyless && !this->HasLength;
  this->IsBuffering = this->Options.MaxBufferedBytes > 0 && !this->IsBodyless &&
                      this->Length <= this->Options.MaxBufferedBytes;
  this->Head =
      fmt::format("HTTP/1.1 {} {}\r\n", Response.status,
                  Response.reason.empty() ? "Unnamed" : Response.reason);
  for (const auto &[Name, Value] : Response.headers)
    if (!isHopByHopHeader(Name, Response.headers) &&
        (this->Names.PassesCallerId ||
         !equalsIgnoringCase(Name, this->Names.RequestId)))
      this->Head += Name + ": " + Value + "\r\n";
  this->Copy.Status = Response.status;
  this->Copy.ContentType = Response.get_header_value("Content-Type");
}

bool ResponseRelay::writeHead() {
  if (this->HasLength)
    this->Head += fmt::format("Content-Length: {}\r\n", this->Length);
  if (this->IsChunked)
    this->Head += "Transfer-Encoding: chunked\r\n";
  if (this->Exchange.decideClose())
    this->Head += "Connection: close\r\n";
  this->Head += "\r\n";
  this->HeadWritten = true;
  return this->writeToCaller(this->Head.data(), this->Head.size());
}

/// Stops buffering, and writes the head and what has arrived of the body.
bool ResponseRelay::flushBuffer() {
  this->IsBuffering = false;
  if (!this->writeHead())
    return false;
  const std::string Body = std::move(this->BufferedBody);
  this->BufferedBody.clear();
  return Body.empty() || this->writeBody(Body.data(), Body.size());
}

bool ResponseRelay::writeToCaller(const char *Data, size_t Size) {
  if (!this->CallerLeft && this->Exchange.Stream.write(Data, Size) >= 0)
    return true;
  this->CallerLeft = true;
  return this->Options.ContinuesWithoutCaller;
}

bool ResponseRelay::handleBody(const char *Data, size_t Size) {
  if (this->Verdict != ResponseVerdict::Relayed)
    return true;
  if (this->Copy.Body.size() + Size <= this->Options.MaxCopiedBytes)
    this->Copy.Body.append(Data, Size);
  else
    this->IsCopyTruncated = true;
  // The rest of a response that another server began is as long as was
  // promised.
  if (this->HeadWritten && this->HasLength &&
      this->BytesRelayed + Size > this->Length) {
    this->Verdict = ResponseVerdict::ResumeMismatch;
    return false;
  }
  this->BytesRelayed += Size;
  if (!this->IsBuffering)
    return this->writeBody(Data, Size);
  this->BufferedBody.append(Data, Size);
  return this->BufferedBody.size() <= this->Options.MaxBufferedBytes ||
         this->flushBuffer();
}

bool ResponseRelay::writeBody(const char *Data, size_t Size) {
  if (!this->IsChunked)
    return this->writeToCaller(Data, Size);
  const std::string Chunk = makeChunk(Data, Size);
  return this->writeToCaller(Chunk.data(), Chunk.size());
}

bool ResponseRelay::hasWholeBody() const {
  return !this->HeadWritten || !this->HasLength || this->IsBodyless ||
         this->BytesRelayed == this->Length;
}

void ResponseRelay::finish(bool IsWhole) {
  if (this->IsBuffering && IsWhole) {
    // The body is complete, so that its length is known even if the server did
    // not declare it.
    this->HasLength = true;
    this->IsChunked = false;
    this->Length = this->BufferedBody.size();
    IsWhole = this->flushBuffer();
  }
  if (!this->HeadWritten)
    return;
  if (IsWhole && this->IsChunked)
    IsWhole = this->writeToCaller(LastChunk.data(), LastChunk.size());
  // cpp-httplib must not write anything after the response.
  this->Exchange.Stream.muteWrites(true);
  if (!IsWhole || this->CallerLeft)
    this->Exchange.MustClose = true;
}

bool ResponseRelay::canResume() const {
  return this->HeadWritten && !this->CallerLeft && this->HasLength &&
         this->Copy.Status == 200 && this->BytesRelayed < this->Length &&
         this->Exchange.Request.method == "GET" &&
         !this->Exchange.Request.has_header("Range") &&
         isStrongValidator(this->Validator);
}

void ResponseRelay::addResumeHeaders(httplib::Headers &Headers) const {
  if (!this->HeadWritten)
    return;
  Headers.emplace("Range", fmt::format("bytes={}-", this->BytesRelayed));
  Headers.emplace("If-Match", this->Validator);
}

} // namespace canvaswick
