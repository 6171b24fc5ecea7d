//===- OutcomeLikelihood.cpp - Likelihoods of outcomes --------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Defines the likelihoods, which are fitted to logged outcomes; see
/// docs/design/decisions.md.
///
//===----------------------------------------------------------------------===//

#include "OutcomeLikelihood.h"

#include <cassert>

namespace canvaswick {

/// An early failure is the strongest evidence; a failure at the typical time is
/// mostly an ordinary error. A refusal has other causes as well, and a failure
/// to connect may be due to this daemon.
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
  case RequestOutcome::Misdirected:
    return {0.10, 0.05};
  case RequestOutcome::Canceled:
    return {1, 1};
  }
  assert(false && "outcome without a likelihood");
  return {1, 1};
}

/// Fraction of requests that an unhealthy server never answers. It lies between
/// those of the kinds of failure: some unhealthy servers answer nothing, others
/// fail immediately.
static constexpr double NoAnswerFraction = 0.4;

double getNoAnswerFraction() { return NoAnswerFraction; }

double getFailureFraction() {
  return 1 - getLikelihood(RequestOutcome::Good).Unhealthy;
}

Likelihood getNoAnswerLikelihood(double Survival) {
  return {NoAnswerFraction + (1 - NoAnswerFraction) * Survival, Survival};
}

} // namespace canvaswick
