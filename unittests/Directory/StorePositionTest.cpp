//===- StorePositionTest.cpp - Tests of store positions -------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//

#include "canvaswick/Directory/StorePosition.h"

#include <doctest/doctest.h>

using namespace canvaswick;

TEST_CASE("a later epoch comes after every revision of an earlier one") {
  CHECK(StorePosition(1, 900) < StorePosition(2, 1));
  CHECK(StorePosition(2, 1) < StorePosition(2, 2));
  CHECK(StorePosition(0, 900) < StorePosition(1, 1));
  CHECK(StorePosition().isNone());
  CHECK(fmt::format("{}", StorePosition(3, 17)) == "3:17");
}

TEST_CASE("an answer follows the replica, is outdated or shows a loss") {
  const StorePosition Replica(2, 50);
  CHECK(compareAnswer(Replica, {2, 50}) == AnswerConsistency::Follows);
  CHECK(compareAnswer(Replica, {2, 51}) == AnswerConsistency::Follows);
  CHECK(compareAnswer(Replica, {2, 49}) == AnswerConsistency::HasLost);
  CHECK(compareAnswer(Replica, {3, 51}) == AnswerConsistency::HasLost);
  CHECK(compareAnswer(Replica, {9, 1}) == AnswerConsistency::HasLost);
  CHECK(compareAnswer(Replica, {1, 900}) == AnswerConsistency::Outdated);
  CHECK(compareAnswer({}, {4, 10}) == AnswerConsistency::Follows);
}
