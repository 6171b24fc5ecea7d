//===- AnswerRelay.cpp - Passes an answer on to the caller ----------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Writes the head and body straight to the caller's stream, so that a slow
/// caller slows the server and nothing is kept in between.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Proxy/AnswerRelay.h"
#include "canvaswick/Proxy/RequestProxy.h"
#include "canvaswick/Support/Text.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <sstream>

namespace canvaswick {

static const char *const ConnectionHeaders[] = {
    "Connection", "Keep-Alive",        "Proxy-Connection", "TE",
    "Trailer",    "Transfer-Encoding", "Upgrade",          "Content-Length"};

bool isConnectionHeader(const std::string &Name, const httplib::Headers &All) {
  for (const char *Known : ConnectionHeaders)
    if (equalsIgnoringCase(Name, Known))
      return true;
  // Whatever a Connection header lists belongs to that connection too.
  const auto Range = All.equal_range("Connection");
  for (auto Each = Range.first; Each != Range.second; ++Each) {
    std::istringstream Stream(Each->second);
    std::string Listed;
    while (std::getline(Stream, Listed, ',')) {
      Listed.erase(std::remove(Listed.begin(), Listed.end(), ' '),
                   Listed.end());
      if (equalsIgnoringCase(Name, Listed))
        return true;
    }
  }
  return false;
}

static constexpr const char *LastChunk = "0\r\n\r\n";

AnswerRelay::AnswerRelay(HttpExchange &Exchange, RelayRules Rules)
    : Exchange(Exchange), Rules(Rules) {}

void AnswerRelay::beginAttempt(const std::string &RequestId) {
  this->RequestId = RequestId;
  this->Verdict = AnswerVerdict::None;
}

bool AnswerRelay::continuesAnswer(const httplib::Response &Response) const {
  const std::string Expected = fmt::format("bytes {}-{}/{}", this->Passed,
                                           this->Length - 1, this->Length);
  return Response.status == 206 &&
         Response.get_header_value("ETag") == this->Validator &&
         Response.get_header_value("Content-Range") == Expected;
}

AnswerVerdict AnswerRelay::judgeHead(const httplib::Response &Response) const {
  const std::string Echo = Response.get_header_value(RequestIdHeader);
  if (!Echo.empty() && Echo != this->RequestId)
    return AnswerVerdict::Foreign;
  if (this->HeadWritten)
    return this->continuesAnswer(Response) ? AnswerVerdict::Relayed
                                           : AnswerVerdict::Mismatch;
  if (Response.get_header_value(OutcomeHeader) == getName(RunOutcome::NotRun))
    return AnswerVerdict::NotRun;
  if (Response.status >= 500 && this->Rules.MaySetAsideFailure)
    return AnswerVerdict::Failed;
  return AnswerVerdict::Relayed;
}

bool AnswerRelay::takeHead(const httplib::Response &Response) {
  const bool IsContinuing = this->HeadWritten;
  this->Verdict = this->judgeHead(Response);
  this->Status = Response.status;
  switch (this->Verdict) {
  case AnswerVerdict::Relayed:
    return IsContinuing || this->writeHead(Response);
  case AnswerVerdict::NotRun:
  case AnswerVerdict::Failed:
    // Read to the end, so that the connection can be kept.
    return true;
  case AnswerVerdict::None:
  case AnswerVerdict::Foreign:
  case AnswerVerdict::Mismatch:
    return false;
  }
  return false;
}

/// Returns whether a validator proves the same bytes, not just the same
/// meaning.
static bool isStrongValidator(const std::string &Validator) {
  return Validator.size() > 2 && Validator[0] == '"' && Validator.back() == '"';
}

bool AnswerRelay::writeHead(const httplib::Response &Response) {
  const std::string Length = Response.get_header_value("Content-Length");
  this->HasLength = !Length.empty();
  this->Length = std::strtoull(Length.c_str(), nullptr, 10);
  this->Validator = Response.get_header_value("ETag");
  const bool IsBodyless = Response.status == 204 || Response.status == 304 ||
                          this->Exchange.Request.method == "HEAD";
  this->IsChunked = !IsBodyless && !this->HasLength;
  std::string Head =
      fmt::format("HTTP/1.1 {} {}\r\n", Response.status,
                  Response.reason.empty() ? "Unnamed" : Response.reason);
  for (const auto &[Name, Value] : Response.headers)
    if (!isConnectionHeader(Name, Response.headers) &&
        !equalsIgnoringCase(Name, RequestIdHeader))
      Head += Name + ": " + Value + "\r\n";
  if (this->HasLength)
    Head += "Content-Length: " + Length + "\r\n";
  if (this->IsChunked)
    Head += "Transfer-Encoding: chunked\r\n";
  if (this->Exchange.IsStopping) {
    Head += "Connection: close\r\n";
    this->Exchange.MustClose = true;
  }
  Head += "\r\n";
  this->HeadWritten = true;
  this->Kept.Status = Response.status;
  this->Kept.ContentType = Response.get_header_value("Content-Type");
  return this->writeToCaller(Head.data(), Head.size());
}

bool AnswerRelay::writeToCaller(const char *Data, size_t Size) {
  if (!this->CallerLeft && this->Exchange.Stream.write(Data, Size) >= 0)
    return true;
  this->CallerLeft = true;
  return this->Rules.GoesOnWithoutCaller;
}

bool AnswerRelay::takeBody(const char *Data, size_t Size) {
  if (this->Verdict != AnswerVerdict::Relayed)
    return true;
  if (this->Kept.Body.size() + Size <= this->Rules.KeepBytes)
    this->Kept.Body.append(Data, Size);
  else
    this->IsKeptTooLong = true;
  this->Passed += Size;
  if (!this->IsChunked)
    return this->writeToCaller(Data, Size);
  std::string Chunk = fmt::format("{:x}\r\n", Size);
  Chunk.append(Data, Size);
  Chunk += "\r\n";
  return this->writeToCaller(Chunk.data(), Chunk.size());
}

void AnswerRelay::finish(bool IsWhole) {
  if (!this->HeadWritten)
    return;
  if (IsWhole && this->IsChunked)
    IsWhole = this->writeToCaller(LastChunk, std::strlen(LastChunk));
  // cpp-httplib must add nothing to what was written.
  this->Exchange.Stream.muteWrites(true);
  if (!IsWhole || this->CallerLeft)
    this->Exchange.MustClose = true;
}

bool AnswerRelay::canResume() const {
  return this->HeadWritten && !this->CallerLeft && this->HasLength &&
         this->Kept.Status == 200 && this->Passed < this->Length &&
         this->Exchange.Request.method == "GET" &&
         !this->Exchange.Request.has_header("Range") &&
         isStrongValidator(this->Validator);
}

void AnswerRelay::addResumeHeaders(httplib::Headers &Headers) const {
  if (!this->HeadWritten)
    return;
  Headers.emplace("Range", fmt::format("bytes={}-", this->Passed));
  Headers.emplace("If-Match", this->Validator);
}

} // namespace canvaswick
