//===- RequestBody.cpp - What becomes of a caller's body ------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A body is kept whole, collected from its chunks, streamed to the server
/// while it arrives, or refused.
///
//===----------------------------------------------------------------------===//

#include "RequestContext.h"

#include <algorithm>
#include <limits>

namespace canvaswick {

/// Bodies up to this length are kept, so that the request can be tried again.
static constexpr size_t KeptBodyBytes = 64 * 1024;

/// A keyed request's body is kept up to this length, to tell it from another.
static constexpr size_t KeyedBodyBytes = 1 << 20;

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

/// Takes a body off the wire, so that it can be sent again. Returns false if
/// the request was refused: it is longer than Limit, or was cut.
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

/// Takes the digest of a request whose body has been read as far as it is kept.
/// A body that is passed on as it comes counts by its stated length: it has not
/// been seen when the first server gets it.
void RequestProxy::digest(RequestContext &Request) const {
  const httplib::Request &Caller = Request.Exchange.Request;
  const std::string Unseen = Caller.get_header_value("Content-Length");
  Request.Digest = digestRequest({Request.Organisation, Caller.method,
                                  Request.Route->Host, Caller.target,
                                  Request.IsBodyWhole ? Request.Body : Unseen});
}

/// Keeps a short body; a long one stays on the wire and is streamed. Returns
/// false if the request was refused.
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
  const size_t Keep = Request.Key.empty() ? KeptBodyBytes : KeyedBodyBytes;
  if (IsChunked || getBodyLength(Caller) > Keep) {
    Request.IsBodyWhole = false;
    return true;
  }
  // Its stated length has been held against the limits.
  return this->collectBody(Request, std::numeric_limits<uint64_t>::max());
}

/// Passes the caller's body on while it arrives.
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
    Request.IsBodyBroken = !IsRead;
    if (IsRead && Sink.done)
      Sink.done();
    return IsRead;
  };
}

} // namespace canvaswick
