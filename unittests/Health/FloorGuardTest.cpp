//===- FloorGuardTest.cpp - Tests of the floor ----------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Checks that the floor holds for arbitrary desired shares.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Health/FloorGuard.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace canvaswick;

static std::vector<DesiredShare> drawDesiredShares() {
  const int Count = *rc::gen::inRange(0, 12);
  std::vector<DesiredShare> DesiredShares;
  for (int I = 0; I < Count; ++I) {
    DesiredShare Desired;
    Desired.Share = *rc::gen::element(0.0, 0.04, 0.15, 0.4, 1.0);
    Desired.Score = *rc::gen::inRange(0, 30);
    Desired.Slots = *rc::gen::inRange(1, 6);
    Desired.IsLeaving = *rc::gen::inRange(0, 4) == 0;
    Desired.Scope = *rc::gen::element(EvidenceScope::Fleet, EvidenceScope::Hall,
                                      EvidenceScope::Local);
    Desired.WasReduced = *rc::gen::arbitrary<bool>();
    DesiredShares.push_back(Desired);
  }
  return DesiredShares;
}

TEST_CASE("reducing shares never takes usable slots below the floor") {
  CHECK(rc::check([] {
    const std::vector<DesiredShare> DesiredShares = drawDesiredShares();
    const int Floor = *rc::gen::inRange(0, 101);
    const std::vector<GrantedShare> GrantedShares =
        applyFloor(DesiredShares, Floor);
    double All = 0;
    double NotLeaving = 0;
    for (const DesiredShare &Desired : DesiredShares) {
      All += Desired.Slots;
      NotLeaving += Desired.IsLeaving ? 0 : Desired.Slots;
    }
    // Leaving servers are not subject to the floor. If they reduce the capacity
    // below it, no other server may be reduced.
    const double Bound = std::min(NotLeaving, All * Floor / 100);
    RC_ASSERT(countUsableSlots(DesiredShares, GrantedShares) >= Bound - 1e-9);
    for (size_t I = 0; I < DesiredShares.size(); ++I) {
      RC_ASSERT(!DesiredShares[I].IsLeaving || GrantedShares[I].Share == 0);
      RC_ASSERT(GrantedShares[I].Share >= DesiredShares[I].Share ||
                DesiredShares[I].IsLeaving);
    }
  }));
}

TEST_CASE("the floor reduces the worst servers and marks those that it keeps") {
  std::vector<DesiredShare> DesiredShares(4);
  DesiredShares[0].Share = DesiredShares[1].Share = DesiredShares[2].Share = 0;
  DesiredShares[0].Score = 10;
  DesiredShares[1].Score = 30;
  DesiredShares[2].Score = 20;
  const std::vector<GrantedShare> GrantedShares = applyFloor(DesiredShares, 50);
  CHECK(GrantedShares[1].Share == 0);
  CHECK(GrantedShares[2].Share == 0);
  CHECK(GrantedShares[0].Share == 1);
  CHECK(GrantedShares[0].IsKeptByFloor);
  CHECK(!GrantedShares[3].IsKeptByFloor);
}
