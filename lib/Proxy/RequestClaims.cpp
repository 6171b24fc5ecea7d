//===- RequestClaims.cpp - Keyed requests that run once -------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A keyed request on a route of the class "once" runs under a claim. A request
/// with the same key that arrives later gets the outcome of the first.
///
//===----------------------------------------------------------------------===//

#include "RequestContext.h"
#include "canvaswick/Support/Hash.h"

namespace canvaswick {

/// The Retry-After if the first request is still running or the claims are
/// unavailable.
static constexpr Duration ClaimRetryAfter = fromSeconds(2);

/// Hexadecimal digits of a digest that are stored: 128 bits suffice to make
/// collisions of keys or requests negligible.
static constexpr size_t DigestDigits = 32;

namespace {

/// How a keyed request is refused.
struct ClaimRefusal {
  int Status;
  RunOutcome Outcome;
  const char *Reason;
  Duration Wait;
};

} // namespace

/// Returns the refusal for a claim that was not granted.
static ClaimRefusal getClaimRefusal(ClaimKind Kind) {
  switch (Kind) {
  case ClaimKind::FirstAnswer:
    return {409, RunOutcome::Ran, "answer-not-kept", NoWait};
  case ClaimKind::StillRunning:
    return {409, RunOutcome::NotKnown, "still-running", ClaimRetryAfter};
  case ClaimKind::NotKnown:
    return {409, RunOutcome::NotKnown, "outcome-not-known", NoWait};
  case ClaimKind::DifferentRequest:
    return {422, RunOutcome::NotRun, "key-used-differently", NoWait};
  case ClaimKind::Granted:
  case ClaimKind::Unavailable:
    break;
  }
  return {503, RunOutcome::NotRun, "claims-unavailable", ClaimRetryAfter};
}

static std::string computeClaimFingerprint(const httplib::Request &Request,
                                           const std::string &Body) {
  const std::string Length = Request.get_header_value("Content-Length");
  return digestText(Request.method + "\n" + Request.target + "\n" + Length +
                    "\n" + Body)
      .substr(0, DigestDigits);
}

/// Requests a claim for a keyed request. Without a ClaimGate none is granted.
ClaimVerdict RequestProxy::beginClaim(RequestContext &Request) {
  if (!this->Claims)
    return {};
  // The stored key is hashed, so that it reveals nothing about the caller.
  Request.ClaimKey = digestText(Request.Service->getConfig().Name + "\n" +
                                Request.Organisation + "\n" + Request.Key)
                         .substr(0, DigestDigits);
  return this->Claims->begin(
      Request.ClaimKey,
      computeClaimFingerprint(Request.Exchange.Request, Request.Body),
      Request.Deadline);
}

/// Claims the right to run a keyed request. Returns false if the request has
/// been answered instead.
bool RequestProxy::claim(RequestContext &Request) {
  if (Request.Key.empty())
    return true;
  if (!Request.IsBodyBuffered &&
      Request.Exchange.Request.has_header("Transfer-Encoding")) {
    this->refuse(Request.Exchange, 411, RunOutcome::NotRun,
                 "keyed-body-needs-length", NoWait);
    Request.Exchange.MustClose = true;
    Request.IsAnswered = true;
    return false;
  }
  const ClaimVerdict Verdict = this->beginClaim(Request);
  if (Verdict.Kind == ClaimKind::Granted) {
    this->Counters.add(Counter::ClaimsGranted);
    Request.Claim = Verdict.Claim;
    Request.HasClaim = true;
    return true;
  }
  Request.IsAnswered = true;
  if (!Request.IsBodyBuffered)
    Request.Exchange.MustClose = true;
  this->answerFromClaim(Request, Verdict);
  return false;
}

/// Answers a request whose claim was not granted.
void RequestProxy::answerFromClaim(RequestContext &Request,
                                   const ClaimVerdict &Verdict) {
  httplib::Response &Response = Request.Exchange.Response;
  const bool IsRefused = Verdict.Kind == ClaimKind::Unavailable ||
                         Verdict.Kind == ClaimKind::DifferentRequest;
  this->Counters.add(IsRefused ? Counter::ClaimsRefused
                               : Counter::ClaimsRepeated);
  if (Verdict.Kind != ClaimKind::FirstAnswer || !Verdict.Answer.HasBody) {
    const ClaimRefusal Given = getClaimRefusal(Verdict.Kind);
    this->refuse(Request.Exchange, Given.Status, Given.Outcome, Given.Reason,
                 Given.Wait);
    return;
  }
  Response.status = Verdict.Answer.Status;
  Response.set_header(OutcomeHeader, getName(RunOutcome::Ran));
  Response.set_header(ReasonHeader, "first-answer");
  Response.set_content(Verdict.Answer.Body, Verdict.Answer.ContentType);
}

/// Records the outcome of a request that holds a claim.
void RequestProxy::resolveClaim(RequestContext &Request,
                                const ResponseRelay &Relay) {
  if (!Request.HasClaim)
    return;
  FirstAnswer Answer;
  ClaimEnd End = ClaimEnd::NotKnown;
  const ResponseCopy &Kept = Relay.getCopy();
  if (Request.IsAnswered) {
    End = ClaimEnd::Ran;
    Answer.Status = Kept.Status;
    Answer.ContentType = Kept.ContentType;
    Answer.Body = Kept.Body;
    Answer.HasBody = Relay.hasCompleteCopy();
  } else if (Request.Outcome == RunOutcome::NotRun) {
    End = ClaimEnd::NotRun;
  }
  this->Claims->finish(Request.ClaimKey, Request.Claim, End, Answer);
}

} // namespace canvaswick
