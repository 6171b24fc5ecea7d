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

namespace canvaswick {

/// Bodies of at most this many bytes are buffered, so that the request can be
/// retried.
static constexpr size_t MaxBufferedBodyLength = 64 * 1024;

/// Bodies of keyed requests are buffered up to this size, to compute a
/// fingerprint of the content.
static constexpr size_t MaxKeyedBodyLength = 1 << 20;

static bool hasBody(const httplib::Request &Request) {
  return Request.has_header("Transfer-Encoding") ||
         (Request.has_header("Content-Length") &&
          Request.get_header_value("Content-Length") != "0");
}

void RequestProxy::refuseBody(RequestContext &Request, int Status,
                              const char *Reason) {
  this->refuse(Request.Exchange, Status, RunOutcome::NotRun, Reason, NoWait);
  Request.Exchange.MustClose = true;
  Request.IsAnswered = true;
  Request.Reason = Reason;
}

/// Reads the body into memory, so that it can be sent again. Returns false if
/// the request was refused because the body is longer than Limit or was
/// truncated.
bool RequestProxy::collectBody(RequestContext &Request, uint64_t Limit) {
  bool IsTooLong = false;
  Request.Exchange.Stream.setDeadline(Request.Deadline);
  const bool IsRead =
      (*Request.Exchange.Body)([&](const char *Data, size_t Size) {
        IsTooLong = Request.Body.size() + Size > Limit;
        if (!IsTooLong)
          Request.Body.append(Data, Size);
        return !IsTooLong;
      });
  Request.Exchange.Stream.setDeadline(TimePoint::max());
  if (IsRead)
    return true;
  this->refuseBody(Request, IsTooLong ? 413 : 408,
                   IsTooLong ? "body-too-long" : "body-cut");
  return false;
}

/// Computes the request's fingerprint after the body has been read as far as it
/// is buffered. A streamed body is represented by its declared length, because
/// none of it has been read when the first server gets it.
void RequestProxy::computeFingerprint(RequestContext &Request) const {
  const httplib::Request &Caller = Request.Exchange.Request;
  const std::string Unseen = Caller.get_header_value("Content-Length");
  Request.Fingerprint = computeRequestFingerprint(
      {Request.Organisation, Caller.method, Request.Route->Host, Caller.target,
       Request.IsBodyBuffered ? Request.Body : Unseen});
}

/// Buffers a short body and leaves a long one to be streamed. Returns false if
/// the request was refused.
bool RequestProxy::readBody(RequestContext &Request) {
  const httplib::Request &Caller = Request.Exchange.Request;
  if (!isRetryable(*Request.Route))
    Request.Key = Caller.get_header_value(IdempotencyHeader);
  if (!hasBody(Caller) || !Request.Exchange.Body)
    return true;
  const auto Limit =
      static_cast<uint64_t>(Request.Service->getConfig().MaxBodyBytes);
  const bool IsChunked = Caller.has_header("Transfer-Encoding");
  if (!IsChunked && getBodyLength(Caller) > Limit) {
    this->refuseBody(Request, 413, "body-too-long");
    return false;
  }
  if (IsChunked && this->Options.MaxBufferedBodyBytes > 0)
    return this->collectBody(
        Request, std::min<uint64_t>(Limit, this->Options.MaxBufferedBodyBytes));
  const size_t Keep =
      Request.Key.empty() ? MaxBufferedBodyLength : MaxKeyedBodyLength;
  if (IsChunked || getBodyLength(Caller) > Keep) {
    Request.IsBodyBuffered = false;
    return true;
  }
  // The declared length has already been checked against the limits.
  return this->collectBody(Request, std::numeric_limits<uint64_t>::max());
}

/// Streams the caller's body to the server while it arrives.
void RequestProxy::streamBody(RequestContext &Request,
                              OutgoingRequest &Outgoing) const {
  const httplib::Request &Caller = Request.Exchange.Request;
  const uint64_t Limit =
      static_cast<uint64_t>(Request.Service->getConfig().MaxBodyBytes);
  Outgoing.BodyIsChunked = Caller.has_header("Transfer-Encoding");
  Outgoing.BodyLength = getBodyLength(Caller);
  Outgoing.BodyProvider = [&Request, Limit](size_t, size_t,
                                            httplib::DataSink &Sink) {
    Request.WasBodySent = true;
    uint64_t Sent = 0;
    const bool IsRead =
        (*Request.Exchange.Body)([&](const char *Data, size_t Size) {
          Sent += Size;
          return Sent <= Limit && Sink.write(Data, Size);
        });
    Request.HasBodyFailed = !IsRead;
    if (IsRead && Sink.done)
      Sink.done();
    return IsRead;
  };
}

} // namespace canvaswick
