//===- OutcomeRatesTest.cpp - Tests of learned likelihoods ----------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests what is learned of services whose unhealthy servers fail in different
/// ways.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Health/OutcomeRates.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace canvaswick;

static double getRatio(const Likelihood &Seen) {
  return Seen.Unhealthy / Seen.Healthy;
}

/// Learns from 100 requests at unhealthy servers, which fail in one way, and
/// from 1,000 at healthy ones, of which 25 fail after the usual time.
static OutcomeRates learn(RequestOutcome Failure) {
  OutcomeRates Rates;
  for (int I = 0; I < 100; ++I)
    Rates.learn(I % 7 == 0 ? RequestOutcome::Good : Failure, 0.97);
  for (int I = 0; I < 1000; ++I)
    Rates.learn(I % 40 == 0 ? RequestOutcome::FailedAfterWork
                            : RequestOutcome::Good,
                0.02);
  return Rates;
}

TEST_CASE("silence speaks for a server where unhealthy ones reset requests") {
  const OutcomeRates Resets = learn(RequestOutcome::FailedEarly);
  const OutcomeRates Hangs = learn(RequestOutcome::Overdue);
  CHECK(getRatio(Resets.getNoAnswerLikelihood(1, 0.5)) < 0.5);
  CHECK(getRatio(Hangs.getNoAnswerLikelihood(1, 0.5)) > 1);
  CHECK(getRatio(Hangs.getNoAnswerLikelihood(3, 0.01)) >
        4 * getRatio(Resets.getNoAnswerLikelihood(3, 0.01)));
  // No reset could have arrived yet.
  CHECK(getRatio(Resets.getNoAnswerLikelihood(0, 1)) ==
        doctest::Approx(1).epsilon(0.01));
}

TEST_CASE("an error that healthy servers give too says little") {
  const OutcomeRates General;
  const OutcomeRates Learned = learn(RequestOutcome::FailedEarly);
  const RequestOutcome Error = RequestOutcome::FailedAfterWork;
  CHECK(getRatio(General.getLikelihood(Error)) > 4);
  CHECK(getRatio(Learned.getLikelihood(Error)) < 2);
  CHECK(getRatio(Learned.getLikelihood(RequestOutcome::FailedEarly)) > 100);
}

TEST_CASE("a good answer never speaks against a server") {
  CHECK(rc::check("any outcomes", [] {
    OutcomeRates Rates;
    const auto Outcome =
        static_cast<RequestOutcome>(*rc::gen::inRange(0, OutcomeCount));
    const double Unhealthy = *rc::gen::inRange(0, 101) / 100.0;
    for (int I = 0; I < 3000; ++I)
      Rates.learn(I % 3 == 0 ? RequestOutcome::Good : Outcome, Unhealthy);
    RC_ASSERT(getRatio(Rates.getLikelihood(RequestOutcome::Good)) < 1.01);
    RC_ASSERT(getRatio(Rates.getLikelihood(RequestOutcome::FailedEarly)) > 10);
  }));
}

TEST_CASE("good answers alone never speak against a server, however unhealthy "
          "it seems") {
  for (int Percent = 0; Percent <= 100; ++Percent) {
    OutcomeRates Rates;
    for (int I = 0; I < 3000; ++I)
      Rates.learn(RequestOutcome::Good, Percent / 100.0);
    CHECK(getRatio(Rates.getLikelihood(RequestOutcome::Good)) <= 1);
  }
}
