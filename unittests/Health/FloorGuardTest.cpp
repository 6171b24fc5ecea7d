//===- FloorGuardTest.cpp - Tests of the floor ----------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The property that must always hold, for every wish there can be.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Health/FloorGuard.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace canvaswick;

static std::vector<ShareWish> drawWishes() {
  const int Count = *rc::gen::inRange(0, 12);
  std::vector<ShareWish> Wishes;
  for (int I = 0; I < Count; ++I) {
    ShareWish Wish;
    Wish.Share = *rc::gen::element(0.0, 0.04, 0.15, 0.4, 1.0);
    Wish.Score = *rc::gen::inRange(0, 30);
    Wish.Slots = *rc::gen::inRange(1, 6);
    Wish.IsLeaving = *rc::gen::inRange(0, 4) == 0;
    Wish.Scope = *rc::gen::element(EvidenceScope::Fleet, EvidenceScope::Hall,
                                   EvidenceScope::Own);
    Wish.WasReduced = *rc::gen::arbitrary<bool>();
    Wishes.push_back(Wish);
  }
  return Wishes;
}

TEST_CASE("reducing shares never takes usable slots below the floor") {
  CHECK(rc::check([] {
    const std::vector<ShareWish> Wishes = drawWishes();
    const int Floor = *rc::gen::inRange(0, 101);
    const std::vector<ShareGrant> Grants = applyFloor(Wishes, Floor);
    double All = 0;
    double NotLeaving = 0;
    for (const ShareWish &Wish : Wishes) {
      All += Wish.Slots;
      NotLeaving += Wish.IsLeaving ? 0 : Wish.Slots;
    }
    // What leaves is not ours to keep: then nothing may be reduced at all.
    const double Bound = std::min(NotLeaving, All * Floor / 100);
    RC_ASSERT(countUsableSlots(Wishes, Grants) >= Bound - 1e-9);
    for (size_t I = 0; I < Wishes.size(); ++I) {
      RC_ASSERT(!Wishes[I].IsLeaving || Grants[I].Share == 0);
      RC_ASSERT(Grants[I].Share >= Wishes[I].Share || Wishes[I].IsLeaving);
    }
  }));
}

TEST_CASE("the worst go first and the rest are kept, and it says so") {
  std::vector<ShareWish> Wishes(4);
  Wishes[0].Share = Wishes[1].Share = Wishes[2].Share = 0;
  Wishes[0].Score = 10;
  Wishes[1].Score = 30;
  Wishes[2].Score = 20;
  const std::vector<ShareGrant> Grants = applyFloor(Wishes, 50);
  CHECK(Grants[1].Share == 0);
  CHECK(Grants[2].Share == 0);
  CHECK(Grants[0].Share == 1);
  CHECK(Grants[0].IsKeptByFloor);
  CHECK(!Grants[3].IsKeptByFloor);
}
