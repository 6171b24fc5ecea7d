//===- RequestClaims.cpp - Keyed requests that run once -------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A keyed request of the class once runs under a claim. Who comes second hears
/// what became of the first.
///
//===----------------------------------------------------------------------===//

#include "RequestContext.h"
#include "canvaswick/Support/Hash.h"

namespace canvaswick {

/// Who meets a running first request, or no claims, comes back after this time.
static constexpr Duration RunningWait = fromSeconds(2);

/// Hexadecimal digits of a digest that are kept: 128 bits tell keys and
/// requests apart.
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

/// Returns how a request is refused whose claim was not granted.
static ClaimRefusal getRefusal(ClaimKind Kind) {
  switch (Kind) {
  case ClaimKind::FirstAnswer:
    return {409, RunOutcome::Ran, "answer-not-kept", NoWait};
  case ClaimKind::StillRunning:
    return {409, RunOutcome::NotKnown, "still-running", RunningWait};
  case ClaimKind::NotKnown:
    return {409, RunOutcome::NotKnown, "outcome-not-known", NoWait};
  case ClaimKind::DifferentRequest:
    return {422, RunOutcome::NotRun, "key-used-differently", NoWait};
  case ClaimKind::Granted:
  case ClaimKind::Unavailable:
    break;
  }
  return {503, RunOutcome::NotRun, "claims-unavailable", RunningWait};
}

static std::string makeFingerprint(const httplib::Request &Request,
                                   const std::string &Body) {
  const std::string Length = Request.get_header_value("Content-Length");
  return digestText(Request.method + "\n" + Request.target + "\n" + Length +
                    "\n" + Body)
      .substr(0, DigestDigits);
}

/// Asks the claims about a keyed request. Without claims none is granted.
ClaimVerdict RequestProxy::beginClaim(RequestContext &Request) {
  if (!this->Claims)
    return {};
  // The stored key says nothing about the caller to who reads the store.
  Request.ClaimKey = digestText(Request.Service->getConfig().Name + "\n" +
                                Request.Organisation + "\n" + Request.Key)
                         .substr(0, DigestDigits);
  return this->Claims->begin(
      Request.ClaimKey, makeFingerprint(Request.Exchange.Request, Request.Body),
      Request.Deadline);
}

/// Asks for the right to run a keyed request of the class once. Returns false
/// if the request has been answered instead.
bool RequestProxy::claim(RequestContext &Request) {
  if (Request.Key.empty())
    return true;
  if (!Request.IsBodyWhole &&
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
  if (!Request.IsBodyWhole)
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
    const ClaimRefusal Given = getRefusal(Verdict.Kind);
    this->refuse(Request.Exchange, Given.Status, Given.Outcome, Given.Reason,
                 Given.Wait);
    return;
  }
  Response.status = Verdict.Answer.Status;
  Response.set_header(OutcomeHeader, getName(RunOutcome::Ran));
  Response.set_header(ReasonHeader, "first-answer");
  Response.set_content(Verdict.Answer.Body, Verdict.Answer.ContentType);
}

/// Tells the claims how a request ended that held one.
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
