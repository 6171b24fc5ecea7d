//===- OutcomeLikelihood.h - Likelihoods of outcomes ------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Declares the likelihoods with which MarkovPolicy evaluates outcomes as
/// evidence. Private to this library.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_LIB_HEALTH_OUTCOMELIKELIHOOD_H
#define CANVASWICK_LIB_HEALTH_OUTCOMELIKELIHOOD_H

#include "canvaswick/Health/Outcome.h"
#include "canvaswick/Health/TransitionRates.h"

namespace canvaswick {

/// Returns the likelihood of an outcome.
Likelihood getLikelihood(RequestOutcome Outcome);

/// Returns the likelihood that a request has no answer yet. Survival is the
/// fraction of good answers that take longer.
Likelihood getNoAnswerLikelihood(double Survival);

/// Returns the fraction of requests that an unhealthy server never answers.
double getNoAnswerFraction();

/// Returns the fraction of requests to which an unhealthy server gives no good
/// answer.
double getFailureFraction();

} // namespace canvaswick

#endif // CANVASWICK_LIB_HEALTH_OUTCOMELIKELIHOOD_H
