//===- CallFailureTest.cpp - Tests for errors of failed calls -------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The error kind tells a caller whether it may safely repeat the call.
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

TEST_CASE("the error kind tells whether a failed call may have been executed") {
  const Error Unsent = describe(ExchangeEnd::NotSent, 0);
  CHECK(Unsent.Kind == ErrorKind::Unavailable);
  CHECK(Unsent.Message == "read k: cannot reach the store");
  CHECK(describe(ExchangeEnd::NoConnection, 0).Kind == ErrorKind::Unavailable);
  for (const ExchangeEnd End :
       {ExchangeEnd::Timeout, ExchangeEnd::Broken, ExchangeEnd::Canceled}) {
    // The status of an incomplete answer does not count.
    const Error Incomplete = describe(End, 404);
    CHECK(Incomplete.Kind == ErrorKind::OutcomeUnknown);
    CHECK(Incomplete.Message == "read k: no answer from the store");
  }
  ExchangeResult Partial;
  Partial.End = ExchangeEnd::Timeout;
  Partial.BytesReceived = 1200;
  CHECK(describeCallFailure(Partial, "read k", "the store", Meanings).Message ==
        "read k: answer from the store incomplete after 1200 bytes");
  const Error Missing = describe(ExchangeEnd::Complete, 404);
  CHECK(Missing.Kind == ErrorKind::NotFound);
  CHECK(Missing.Message == "read k: the store answered 404");
  CHECK(describe(ExchangeEnd::Complete, 503).Kind == ErrorKind::Unavailable);
  CHECK(describe(ExchangeEnd::Complete, 500).Kind == ErrorKind::OutcomeUnknown);
}
