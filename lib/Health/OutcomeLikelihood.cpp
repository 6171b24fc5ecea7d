//===- OutcomeLikelihood.cpp - What an outcome says of a server -----------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Fitted to logged outcomes; see docs/design/decisions.md.
///
//===----------------------------------------------------------------------===//

#include "OutcomeLikelihood.h"

#include <cassert>

namespace canvaswick {

/// An early failure says most: at the usual time it is mostly an ordinary
/// error. A refusal has other causes too; a connection that does not come about
/// may be this daemon's own fault.
Likelihood getLikelihood(RequestOutcome Outcome) {
  switch (Outcome) {
  case RequestOutcome::Good:
    return {0.25, 0.96};
  case RequestOutcome::Slow:
    return {0.06, 0.02};
  case RequestOutcome::Overdue:
    return {0.08, 0.02};
  case RequestOutcome::Failed:
    return {0.60, 0.012};
  case RequestOutcome::FailedEarly:
    return {0.60, 0.0015};
  case RequestOutcome::FailedAfterWork:
    return {0.06, 0.014};
  case RequestOutcome::Shed:
    return {0.20, 0.04};
  case RequestOutcome::Unreachable:
    return {0.10, 0.05};
  case RequestOutcome::Canceled:
    return {1, 1};
  }
  assert(false && "outcome without a likelihood");
  return {1, 1};
}

/// Part of a sick server's requests that get no answer at all. Between the
/// kinds of sickness: some answer nothing, others fail at once.
static constexpr double NoAnswerFraction = 0.4;

double getNoAnswerFraction() { return NoAnswerFraction; }

double getFailureFraction() {
  return 1 - getLikelihood(RequestOutcome::Good).Unhealthy;
}

Likelihood getNoAnswerLikelihood(double Survival) {
  return {NoAnswerFraction + (1 - NoAnswerFraction) * Survival, Survival};
}

} // namespace canvaswick
