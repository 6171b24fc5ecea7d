//===- RequestOutcomes.cpp - What an exchange says ------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Derives from the end of an exchange the outcome for the server's health, and
/// what the caller may be told.
///
//===----------------------------------------------------------------------===//

#include "RequestContext.h"

namespace canvaswick {

/// Classifies a complete response.
RequestOutcome RequestProxy::classifyResponse(RequestContext &Request,
                                              const ResponseRelay &Relay) {
  switch (Relay.getVerdict()) {
  case ResponseVerdict::NotRun:
    this->Counters.add(Counter::UpstreamSheds);
    return Relay.getStatus() == MisdirectedStatus ? RequestOutcome::Misdirected
                                                  : RequestOutcome::Shed;
  case ResponseVerdict::Relayed:
    if (!Relay.hasWholeBody()) {
      this->Counters.add(Counter::UpstreamFailures);
      Request.Outcome = RunOutcome::NotKnown;
      return RequestOutcome::Failed;
    }
    Request.IsAnswered = true;
    Request.WasFailed = Relay.getStatus() >= 500;
    break;
  case ResponseVerdict::None:
  case ResponseVerdict::Failed:
  case ResponseVerdict::RequestIdMismatch:
  case ResponseVerdict::ResumeMismatch:
    Request.Outcome = RunOutcome::NotKnown;
    break;
  }
  if (Relay.getStatus() >= 500 ||
      Relay.getVerdict() == ResponseVerdict::Failed) {
    this->Counters.add(Counter::UpstreamFailures);
    return RequestOutcome::Failed;
  }
  return RequestOutcome::Good;
}

/// Classifies the end of an exchange: returns the outcome for the server's
/// health, and sets what the caller may be told.
RequestOutcome RequestProxy::classifyExchange(RequestContext &Request,
                                              const ResponseRelay &Relay,
                                              const ExchangeResult &Result) {
  Request.WasFailed = true;
  Request.AnswerFault = Result.Fault ? Result.Fault : Relay.getFault();
  if (Result.Fault)
    this->Counters.add(Counter::MalformedAnswers);
  Request.WasTimeout = Result.End == ExchangeEnd::Timeout;
  Request.WasPeerLost = Result.WasTunnelLost || Result.HasUnmarkedEnd;
  switch (Result.End) {
  case ExchangeEnd::NoConnection:
    return RequestOutcome::Canceled;
  case ExchangeEnd::NotSent:
    if (Request.WasWithdrawn)
      return RequestOutcome::Canceled;
    this->Counters.add(Counter::UpstreamFailures);
    return RequestOutcome::Unreachable;
  case ExchangeEnd::Complete:
    break;
  case ExchangeEnd::Timeout:
  case ExchangeEnd::Broken:
  case ExchangeEnd::Canceled:
    Request.Outcome = RunOutcome::NotKnown;
    break;
  }
  if (Result.End == ExchangeEnd::Canceled &&
      Relay.getVerdict() == ResponseVerdict::RequestIdMismatch) {
    this->Counters.add(Counter::MismatchedAnswers);
    return RequestOutcome::Failed;
  }
  if (Result.End == ExchangeEnd::Canceled &&
      Relay.getVerdict() == ResponseVerdict::ResumeMismatch)
    return RequestOutcome::Canceled;
  if (Result.End == ExchangeEnd::Canceled || Request.HasBodyFailed) {
    Request.WasCanceled = true;
    this->Counters.add(Counter::CallerHangUps);
    return RequestOutcome::Canceled;
  }
  if (Request.WasPeerLost) {
    this->Counters.add(Counter::TunnelsLost);
    return RequestOutcome::Canceled;
  }
  if (Result.End != ExchangeEnd::Complete) {
    this->Counters.add(Counter::UpstreamFailures);
    return RequestOutcome::Failed;
  }
  return this->classifyResponse(Request, Relay);
}

} // namespace canvaswick
