//===- FloorGuard.cpp - Enforces the operators' floor ---------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Implements the floor as arithmetic over slots. There is no state.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Health/FloorGuard.h"

#include <algorithm>
#include <cassert>
#include <numeric>

namespace canvaswick {

double countUsableSlots(const std::vector<DesiredShare> &DesiredShares,
                        const std::vector<GrantedShare> &GrantedShares) {
  assert(DesiredShares.size() == GrantedShares.size() &&
         "one granted share per desired share");
  double Usable = 0;
  for (size_t I = 0; I < DesiredShares.size(); ++I)
    if (!DesiredShares[I].IsLeaving)
      Usable += DesiredShares[I].Slots * GrantedShares[I].Share;
  return Usable;
}

/// Returns whether Left is reduced before Right.
static bool isWorse(const DesiredShare &Left, const DesiredShare &Right) {
  if (Left.Scope != Right.Scope)
    return Left.Scope < Right.Scope;
  if (Left.WasReduced != Right.WasReduced)
    return Left.WasReduced;
  if (Left.Share != Right.Share)
    return Left.Share < Right.Share;
  return Left.Score > Right.Score;
}

std::vector<GrantedShare>
applyFloor(const std::vector<DesiredShare> &DesiredShares, int FloorPercent) {
  std::vector<GrantedShare> GrantedShares(DesiredShares.size());
  double AllSlots = 0;
  for (size_t I = 0; I < DesiredShares.size(); ++I) {
    AllSlots += DesiredShares[I].Slots;
    if (DesiredShares[I].IsLeaving)
      GrantedShares[I].Share = 0;
  }
  double Usable = countUsableSlots(DesiredShares, GrantedShares);
  const double Floor = AllSlots * FloorPercent / 100;
  std::vector<size_t> Order(DesiredShares.size());
  std::iota(Order.begin(), Order.end(), 0);
  std::stable_sort(Order.begin(), Order.end(), [&](size_t Left, size_t Right) {
    return isWorse(DesiredShares[Left], DesiredShares[Right]);
  });
  for (const size_t I : Order) {
    const DesiredShare &Desired = DesiredShares[I];
    if (Desired.IsLeaving || Desired.Share >= 1)
      continue;
    const double Loss = Desired.Slots * (1 - Desired.Share);
    if (Usable - Loss < Floor) {
      GrantedShares[I].IsKeptByFloor = true;
      continue;
    }
    Usable -= Loss;
    GrantedShares[I].Share = Desired.Share;
  }
  return GrantedShares;
}

} // namespace canvaswick
