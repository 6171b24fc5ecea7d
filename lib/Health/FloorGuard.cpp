//===- FloorGuard.cpp - Keeps removals above the operators' floor ---------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Plain arithmetic over the slots; no state.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Health/FloorGuard.h"

#include <algorithm>
#include <cassert>
#include <numeric>

namespace canvaswick {

double countUsableSlots(const std::vector<ShareWish> &Wishes,
                        const std::vector<ShareGrant> &Grants) {
  assert(Wishes.size() == Grants.size() && "one grant a wish");
  double Usable = 0;
  for (size_t I = 0; I < Wishes.size(); ++I)
    if (!Wishes[I].IsLeaving)
      Usable += Wishes[I].Slots * Grants[I].Share;
  return Usable;
}

/// Returns whether Left is to be reduced before Right.
static bool isWorse(const ShareWish &Left, const ShareWish &Right) {
  if (Left.Scope != Right.Scope)
    return Left.Scope < Right.Scope;
  if (Left.WasReduced != Right.WasReduced)
    return Left.WasReduced;
  if (Left.Share != Right.Share)
    return Left.Share < Right.Share;
  return Left.Score > Right.Score;
}

std::vector<ShareGrant> applyFloor(const std::vector<ShareWish> &Wishes,
                                   int FloorPercent) {
  std::vector<ShareGrant> Grants(Wishes.size());
  double AllSlots = 0;
  for (size_t I = 0; I < Wishes.size(); ++I) {
    AllSlots += Wishes[I].Slots;
    if (Wishes[I].IsLeaving)
      Grants[I].Share = 0;
  }
  double Usable = countUsableSlots(Wishes, Grants);
  const double Floor = AllSlots * FloorPercent / 100;
  std::vector<size_t> Order(Wishes.size());
  std::iota(Order.begin(), Order.end(), 0);
  std::stable_sort(Order.begin(), Order.end(), [&](size_t Left, size_t Right) {
    return isWorse(Wishes[Left], Wishes[Right]);
  });
  for (const size_t I : Order) {
    const ShareWish &Wish = Wishes[I];
    if (Wish.IsLeaving || Wish.Share >= 1)
      continue;
    const double Loss = Wish.Slots * (1 - Wish.Share);
    if (Usable - Loss < Floor) {
      Grants[I].IsKeptByFloor = true;
      continue;
    }
    Usable -= Loss;
    Grants[I].Share = Wish.Share;
  }
  return Grants;
}

} // namespace canvaswick
