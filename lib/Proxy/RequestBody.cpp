//===- RequestBody.cpp - Buffers or streams request bodies ----------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A request body is buffered, streamed to the server while it arrives, or
/// refused. A chunked body may be collected, which gives it a known length.
///
//===----------------------------------------------------------------------===//

#include "RequestContext.h"

#include <algorithm>
#include <limits>
#include <string_view>

namespace canvaswick {

/// Bodies of at most this many bytes are buffered, so that the request can be
/// retried.
static constexpr size_t MaxBufferedBodyLength = 64 * 1024;

/// Bodies of keyed requests are buffered up to this size, to compute a
/// fingerprint of the content.
static constexpr size_t MaxKeyedBodyLength = 1 << 20;

namespace {

/// How a request is refused whose body cannot be read.
struct BodyRefusal {
  int Status;
  const char *Reason;
};

} // namespace

static BodyRefusal getBodyRefusal(BodyEnd End) {
  switch (End) {
  case BodyEnd::Refused:
  case BodyEnd::TooMuch:
    return {413, "body-too-long"};
  case BodyEnd::Malformed:
  case BodyEnd::TooLong:
    return {400, getName(End)};
  case BodyEnd::Whole:
  case BodyEnd::Unread:
  case BodyEnd::Cut:
    break;
  }
  return {408, getName(BodyEnd::Cut)};
}

void RequestProxy::refuseBody(RequestContext &Request, int Status,
                              const char *Reason) {
  this->Counters.add(Counter::RefusedBody);
  this->refuse(Request.Exchange, Status, RunOutcome::NotRun, Reason, NoWait);
  Request.Exchange.MustClose = true;
  Request.IsAnswered = true;
  Request.Reason = Reason;
}

/// Reads the body into memory, so that it can be sent again, up to Limit bytes
/// or a little more.
BodyEnd RequestProxy::collectBody(RequestContext &Request, uint64_t Limit) {
  Request.Exchange.Stream.setDeadline(Request.Deadline);
  const BodyEnd End =
      Request.Exchange.Body->read([&](const char *Data, size_t Size) {
        Request.Body.append(Data, Size);
        return Request.Body.size() <= Limit;
      });
  Request.Exchange.Stream.setDeadline(TimePoint::max());
  return End;
}

/// Buffers a body. Returns false if the request was refused because the body
/// was truncated or malformed.
bool RequestProxy::bufferBody(RequestContext &Request) {
  // The declared length has already been checked against the limits.
  const BodyEnd End =
      this->collectBody(Request, std::numeric_limits<uint64_t>::max());
  if (End == BodyEnd::Whole)
    return true;
  const BodyRefusal Given = getBodyRefusal(End);
  this->refuseBody(Request, Given.Status, Given.Reason);
  return false;
}

/// Buffers a chunked body if it is short enough, and otherwise keeps its
/// beginning, so that it is streamed. Returns false if the request was refused.
bool RequestProxy::bufferChunks(RequestContext &Request, uint64_t Limit) {
  const BodyEnd End =
      this->collectBody(Request, this->Options.MaxBufferedBodyBytes);
  Request.IsBodyBuffered = End == BodyEnd::Whole;
  const bool IsReadable = Request.IsBodyBuffered || End == BodyEnd::Refused;
  if (IsReadable && Request.Body.size() <= Limit)
    return true;
  const BodyRefusal Given = getBodyRefusal(IsReadable ? BodyEnd::Refused : End);
  this->refuseBody(Request, Given.Status, Given.Reason);
  return false;
}

/// Computes the request's fingerprint after the body has been read as far as it
/// is buffered. A body of which nothing has been read is represented by its
/// declared length.
void RequestProxy::computeFingerprint(RequestContext &Request) const {
  const httplib::Request &Caller = Request.Exchange.Request;
  const std::string Declared = Caller.get_header_value("Content-Length");
  const bool IsUnread = !Request.IsBodyBuffered && Request.Body.empty();
  Request.Fingerprint = computeRequestFingerprint(
      {Request.Organisation, Caller.method, Request.Route->Host, Caller.target,
       IsUnread ? std::string_view(Declared) : Request.Body});
}

/// Buffers a short body and leaves a long one to be streamed. Returns false if
/// the request was refused.
bool RequestProxy::readBody(RequestContext &Request) {
  const httplib::Request &Caller = Request.Exchange.Request;
  if (!isRetryable(*Request.Route))
    Request.Key = Caller.get_header_value(IdempotencyHeader);
  if (!Request.Exchange.Body)
    return true;
  const auto Limit =
      static_cast<uint64_t>(Request.Service->getConfig().MaxBodyBytes);
  const bool IsChunked = Caller.has_header("Transfer-Encoding");
  if (!IsChunked && getBodyLength(Caller) > Limit) {
    this->refuseBody(Request, 413, "body-too-long");
    return false;
  }
  if (IsChunked && this->Options.MaxBufferedBodyBytes > 0)
    return this->bufferChunks(Request, Limit);
  const size_t Keep =
      Request.Key.empty() ? MaxBufferedBodyLength : MaxKeyedBodyLength;
  if (IsChunked || getBodyLength(Caller) > Keep) {
    Request.IsBodyBuffered = false;
    return true;
  }
  return this->bufferBody(Request);
}

/// Streams the caller's body to the server while it arrives, at most until the
/// request's deadline. What has been read of it goes first.
void RequestProxy::streamBody(RequestContext &Request,
                              OutgoingRequest &Outgoing) const {
  const httplib::Request &Caller = Request.Exchange.Request;
  const uint64_t Limit =
      static_cast<uint64_t>(Request.Service->getConfig().MaxBodyBytes);
  Outgoing.BodyIsChunked = Caller.has_header("Transfer-Encoding");
  Outgoing.BodyLength = getBodyLength(Caller);
  Outgoing.BodyProvider = [&Request, Limit](const BodyReceiver &Send) {
    Request.WasBodySent = true;
    uint64_t Taken = Request.Body.size();
    bool HasServerFailed = Taken > 0 && !Send(Request.Body.data(), Taken);
    if (HasServerFailed)
      return false;
    Request.Exchange.Stream.setDeadline(Request.Deadline);
    const BodyEnd End =
        Request.Exchange.Body->read([&](const char *Data, size_t Size) {
          Taken += Size;
          HasServerFailed = Taken <= Limit && !Send(Data, Size);
          return Taken <= Limit && !HasServerFailed;
        });
    Request.Exchange.Stream.setDeadline(TimePoint::max());
    Request.StreamedEnd = End;
    Request.HasBodyFailed = End != BodyEnd::Whole && !HasServerFailed;
    return End == BodyEnd::Whole;
  };
}

/// Gives the final response to a request whose streamed body the caller did not
/// send as it should have. The server has got a part of it.
void RequestProxy::refuseStreamedBody(RequestContext &Request) {
  BodyRefusal Given = getBodyRefusal(Request.StreamedEnd);
  if (Request.StreamedEnd == BodyEnd::Cut)
    Given.Status = 400;
  if (Request.Exchange.Stream.getFailure() == StreamFailure::Timeout)
    Given = {504, "deadline"};
  this->Counters.add(Counter::RefusedBody);
  Request.Reason = Given.Reason;
  this->refuse(Request.Exchange, Given.Status, Request.Outcome, Given.Reason,
               NoWait);
}

} // namespace canvaswick
