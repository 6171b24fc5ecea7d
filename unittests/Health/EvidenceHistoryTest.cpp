//===- EvidenceHistoryTest.cpp - Tests of recent evidence -----------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests the filter over evidence that arrives out of order.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Health/EvidenceHistory.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <random>

using namespace canvaswick;

static constexpr TimePoint Start{fromSeconds(100)};
static constexpr Likelihood Good{0.25, 0.96};
static constexpr Likelihood Reset{0.6, 0.0015};

struct Piece {
  Likelihood Seen;
  TimePoint At;
};

static double filter(const std::vector<Piece> &All) {
  TransitionRates Rates;
  EvidenceHistory History;
  History.restart({Rates.getStationaryProbability(), TimePoint{}});
  double Newest = 0;
  for (const Piece &Each : All)
    Newest = History.add(Each.Seen, Each.At, Rates, RateLearning::Off)
                 .Newest.Probability;
  return Newest;
}

TEST_CASE("the order in which evidence arrives does not matter") {
  CHECK(rc::check("permuted evidence", [] {
    std::vector<Piece> All;
    All.reserve(7);
    for (int I = 0; I < 7; ++I)
      All.push_back({*rc::gen::inRange(0, 2) ? Good : Reset,
                     Start + fromMillis(I * 100)});
    const double InOrder = filter(All);
    std::shuffle(All.begin(), All.end(),
                 std::mt19937(*rc::gen::arbitrary<uint32_t>()));
    RC_ASSERT(std::abs(filter(All) - InOrder) < 1e-9);
  }));
}

TEST_CASE("evidence before the oldest that is kept has little weight") {
  TransitionRates Rates;
  EvidenceHistory History;
  History.restart({0.9, Start});
  const auto Late =
      History.add(Good, Start - fromSeconds(4), Rates, RateLearning::Off);
  CHECK(Late.Newest.At == Start);
  CHECK(Late.Newest.Probability < 0.9);
  CHECK(Late.Newest.Probability > 0.8);
}
