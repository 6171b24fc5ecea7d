//===- StoreBackoffTest.cpp - Tests of the backoff after failures ---------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// How often a hall sends requests to a store that does not answer, and how
/// long each of its daemons waits.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Directory/StoreBackoff.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace canvaswick;

TEST_CASE("in a small hall, waits double from 100 to 800 ms") {
  for (const size_t HallSize : {1, 12, 18}) {
    CHECK(computeStoreBackoff(1, HallSize, 0) == fromMillis(50));
    CHECK(computeStoreBackoff(1, HallSize, 0.999) <= fromMillis(100));
    CHECK(computeStoreBackoff(4, HallSize, 0) == fromMillis(400));
    CHECK(computeStoreBackoff(100, HallSize, 0.999) <= fromMillis(800));
  }
}

TEST_CASE("larger halls send 30 requests a second from the first failure") {
  const auto GetRate = [](int Failures, size_t HallSize) {
    return static_cast<double>(HallSize) /
           toSeconds(computeStoreBackoff(Failures, HallSize, 0.5));
  };
  CHECK(GetRate(9, 18) == doctest::Approx(30));
  for (const int Failures : {1, 2, 9}) {
    CHECK(GetRate(Failures, 35) == doctest::Approx(30));
    CHECK(GetRate(Failures, 88) == doctest::Approx(30));
  }
}

TEST_CASE("every wait is between 50 ms and 4 s") {
  CHECK(rc::check([](int Failures, size_t HallSize) {
    const double Draw = *rc::gen::map(rc::gen::inRange(0, 1000),
                                      [](int Part) { return Part / 1000.0; });
    const Duration Wait = computeStoreBackoff(Failures, HallSize, Draw);
    RC_ASSERT(Wait >= fromMillis(50));
    RC_ASSERT(Wait <= fromSeconds(4));
  }));
}
