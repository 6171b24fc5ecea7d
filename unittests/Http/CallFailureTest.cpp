//===- CallFailureTest.cpp - Tests of what a failed call means ------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Whether a call may have been done decides whether it may be made again.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Http/CallFailure.h"

#include <doctest/doctest.h>

using namespace canvaswick;

static constexpr StatusMeaning Meanings[] = {{404, ErrorKind::NotFound},
                                             {503, ErrorKind::Unavailable}};

static Error describe(ExchangeEnd End, int Status) {
  ExchangeResult Answer;
  Answer.End = End;
  Answer.Status = Status;
  return describeCallFailure(Answer, "read k", "the store", Meanings);
}

TEST_CASE("a failed call is named with what may have become of it") {
  const Error Unsent = describe(ExchangeEnd::NotSent, 0);
  CHECK(Unsent.Kind == ErrorKind::Unavailable);
  CHECK(Unsent.Message == "read k: the store is not reached");
  CHECK(describe(ExchangeEnd::NoConnection, 0).Kind == ErrorKind::Unavailable);
  for (const ExchangeEnd End :
       {ExchangeEnd::Timeout, ExchangeEnd::Broken, ExchangeEnd::Canceled}) {
    // Whatever was read of an answer that did not end.
    const Error Open = describe(End, 404);
    CHECK(Open.Kind == ErrorKind::OutcomeUnknown);
    CHECK(Open.Message == "read k: no answer of the store");
  }
  const Error Missing = describe(ExchangeEnd::Complete, 404);
  CHECK(Missing.Kind == ErrorKind::NotFound);
  CHECK(Missing.Message == "read k: the store answered 404");
  CHECK(describe(ExchangeEnd::Complete, 503).Kind == ErrorKind::Unavailable);
  CHECK(describe(ExchangeEnd::Complete, 500).Kind == ErrorKind::OutcomeUnknown);
}
