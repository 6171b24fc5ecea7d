//===- OutcomeLikelihood.h - What an outcome says of a server ---*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The figures by which MarkovPolicy takes an outcome as evidence. Private to
/// this library.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_LIB_HEALTH_OUTCOMELIKELIHOOD_H
#define CANVASWICK_LIB_HEALTH_OUTCOMELIKELIHOOD_H

#include "canvaswick/Health/Outcome.h"
#include "canvaswick/Health/TransitionRates.h"

namespace canvaswick {

/// Returns how likely an outcome is.
Likelihood getLikelihood(RequestOutcome Outcome);

/// Returns how likely a request has no answer yet. Survival is the part of good
/// answers that take longer still.
Likelihood getNoAnswerLikelihood(double Survival);

/// Returns the part of a sick server's requests that get no answer at all.
double getNoAnswerFraction();

/// Returns the part of a sick server's requests that get no good answer.
double getFailureFraction();

} // namespace canvaswick

#endif // CANVASWICK_LIB_HEALTH_OUTCOMELIKELIHOOD_H
