//===- RequestExchange.cpp - One request and its response -----------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Adds to a request only what delimits it, and reads no more out of a response
/// than where it ends.
///
//===----------------------------------------------------------------------===//

#include "RequestExchange.h"
#include "canvaswick/Http/HeadGrammar.h"
#include "canvaswick/Http/MessageHead.h"

#include <fmt/format.h>

namespace canvaswick {

/// The most bytes of the head of a response and of the interim responses before
/// it.
static constexpr size_t MaxResponseHeadBytes = 65536;

/// Maximum size of a response body that is collected without a sink.
static constexpr size_t MaxCollectedBytes = 4 << 20;

static constexpr int SwitchingProtocols = 101;
static constexpr int FirstFinalStatus = 200;

static bool isBodyless(int Status) { return Status == 204 || Status == 304; }

void RequestExchange::run(ExchangeResult &Result) {
  Result.End = this->exchange(Result);
  this->IsWhole = Result.End == ExchangeEnd::Complete;
  Result.BytesSent = this->Stream.countBytesWritten();
  Result.BytesReceived = this->Stream.countBytesRead();
}

ExchangeEnd RequestExchange::exchange(ExchangeResult &Result) {
  if (!this->sendRequest() || !this->receiveHead(Result))
    return this->classifyFailure();
  return this->receive(Result);
}

/// Returns whether a request of this method states the length of its body even
/// if it is empty.
static bool statesEmptyBody(const std::string &Method) {
  return Method == "POST" || Method == "PUT" || Method == "PATCH";
}

/// Sends the head, and with it a body that is in memory.
bool RequestExchange::sendHead() {
  const OutgoingRequest &Sent = this->Outgoing;
  std::string Bytes =
      fmt::format("{} {} HTTP/1.1\r\n", Sent.Method, Sent.Target);
  if (Sent.Headers.find("Host") == Sent.Headers.end())
    Bytes += fmt::format("Host: {}\r\n", this->Server.format());
  for (const auto &[Name, Value] : Sent.Headers)
    Bytes += Name + ": " + Value + "\r\n";
  if (Sent.BodyIsChunked)
    Bytes += "Transfer-Encoding: chunked\r\n";
  else if (Sent.BodyProvider)
    Bytes += fmt::format("Content-Length: {}\r\n", Sent.BodyLength);
  else if (!Sent.Body.empty() || statesEmptyBody(Sent.Method))
    Bytes += fmt::format("Content-Length: {}\r\n", Sent.Body.size());
  Bytes += "\r\n";
  if (!Sent.BodyProvider)
    Bytes += Sent.Body;
  return this->Stream.write(Bytes.data(), Bytes.size()) >= 0;
}

/// Sends a body while its provider gives it. Returns false if it is not whole.
bool RequestExchange::sendStreamedBody() {
  const bool IsChunked = this->Outgoing.BodyIsChunked;
  uint64_t Sent = 0;
  const bool IsProvided =
      this->Outgoing.BodyProvider([&](const char *Data, size_t Size) {
        Sent += Size;
        if (!IsChunked)
          return Sent <= this->Outgoing.BodyLength &&
                 this->Stream.write(Data, Size) >= 0;
        const std::string Chunk = makeChunk(Data, Size);
        return this->Stream.write(Chunk.data(), Chunk.size()) >= 0;
      });
  if (!IsProvided)
    return false;
  if (!IsChunked)
    return Sent == this->Outgoing.BodyLength;
  return this->Stream.write(LastChunk.data(), LastChunk.size()) >= 0;
}

bool RequestExchange::sendRequest() {
  return this->sendHead() &&
         (!this->Outgoing.BodyProvider || this->sendStreamedBody());
}

/// Receives the head of the final response. Interim ones are dropped.
bool RequestExchange::receiveHead(ExchangeResult &Result) {
  LineReader Lines(this->Stream, MaxResponseHeadBytes);
  while (true) {
    MessageHead Head;
    HeadEnd End = readMessageHead(Lines, Head);
    if (End == HeadEnd::Whole &&
        (!parseResponseHead(std::move(Head), this->Response) ||
         this->Response.status == SwitchingProtocols))
      End = HeadEnd::Malformed;
    if (End == HeadEnd::Whole)
      Result.Fault = findResponseFault(this->Response);
    else if (End != HeadEnd::Cut)
      Result.Fault = getName(End);
    if (End != HeadEnd::Whole || Result.Fault)
      return false;
    if (this->Response.status >= FirstFinalStatus)
      return true;
  }
}

/// Returns what delimits the body of the response.
BodyFraming RequestExchange::findFraming() const {
  if (isBodyless(this->Response.status) || this->Outgoing.Method == "HEAD")
    return BodyFraming::None;
  const BodyFraming Found = findBodyFraming(this->Response.headers);
  if (Found != BodyFraming::UntilClose)
    return Found;
  return this->Outgoing.MayEndWithConnection && this->Stream.showsServerEnd()
             ? Found
             : BodyFraming::Ambiguous;
}

/// Receives the response whose head has arrived.
ExchangeEnd RequestExchange::receive(ExchangeResult &Result) {
  Result.Status = this->Response.status;
  this->Framing = this->findFraming();
  if (this->Framing == BodyFraming::Ambiguous) {
    Result.HasUnmarkedEnd = !this->Stream.showsServerEnd();
    Result.Fault = "no-length";
    return ExchangeEnd::Broken;
  }
  Result.HeadTaken = true;
  this->Stream.setStallLimit(this->Outgoing.StallLimit);
  if (this->Sink || this->Outgoing.BodyDeadline != TimePoint::max())
    this->Stream.setDeadline(this->Outgoing.BodyDeadline);
  if (!this->Sink)
    Result.Headers = this->Response.headers;
  else if (!this->Sink->OnHead(this->Response))
    return ExchangeEnd::Canceled;
  return this->receiveBody(Result);
}

/// Passes a piece of the body on. Returns false if no more is wanted.
bool RequestExchange::takeBody(const char *Data, size_t Size,
                               ExchangeResult &Result) {
  if (this->Sink)
    return this->Sink->OnBody(Data, Size);
  if (Result.Body.size() + Size > MaxCollectedBytes)
    return false;
  Result.Body.append(Data, Size);
  if (this->Outgoing.OnBodyPart)
    this->Outgoing.OnBodyPart();
  return true;
}

ExchangeEnd RequestExchange::receiveBody(ExchangeResult &Result) {
  BodyReader Body(this->Stream, this->Framing, this->Response.headers);
  Body.setMaxUnsizedBytes(this->Outgoing.MaxUnsizedBytes);
  Result.Body.clear();
  const BodyEnd End = Body.read([&](const char *Data, size_t Size) {
    return this->takeBody(Data, Size, Result);
  });
  if (End == BodyEnd::Whole)
    return ExchangeEnd::Complete;
  if (End == BodyEnd::Refused)
    return this->Sink ? ExchangeEnd::Canceled : ExchangeEnd::Broken;
  if (End != BodyEnd::Cut)
    Result.Fault = getName(End);
  return this->classifyFailure();
}

ExchangeEnd RequestExchange::classifyFailure() const {
  switch (this->Stream.getFailure()) {
  case StreamFailure::WatchedPeerGone:
    return ExchangeEnd::Canceled;
  case StreamFailure::Timeout:
    return ExchangeEnd::Timeout;
  case StreamFailure::None:
  case StreamFailure::Closed:
  case StreamFailure::TunnelLost:
  case StreamFailure::Io:
    break;
  }
  return ExchangeEnd::Broken;
}

bool RequestExchange::allowsReuse() const {
  return this->IsWhole && this->Framing != BodyFraming::UntilClose &&
         this->Response.version == "HTTP/1.1" &&
         !hasConnectionOption(this->Response.headers, "close");
}

} // namespace canvaswick
