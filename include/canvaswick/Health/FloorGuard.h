//===- FloorGuard.h - Keeps removals above the operators' floor -*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The last step of every decision about shares. Whatever the evidence says,
/// the slots that stay in use never fall below the floor because of it.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_HEALTH_FLOORGUARD_H
#define CANVASWICK_HEALTH_FLOORGUARD_H

#include <cstddef>
#include <cstdint>
#include <vector>

namespace canvaswick {

/// Whose evidence it is, widest first.
enum class EvidenceScope : uint8_t { Fleet, Hall, Local };

/// What the evidence wants for one server.
struct DesiredShare {
  /// Wanted part of the fair share, from 0 to 1.
  double Share = 1;
  /// How strong the evidence is; the worst go first.
  double Score = 0;
  int Slots = 1;
  /// Leaving or drained: no new work, whatever the floor says.
  bool IsLeaving = false;
  /// Who shares the evidence. What more daemons agree on goes first, so that
  /// they do not spend the floor on different servers.
  EvidenceScope Scope = EvidenceScope::Local;
  /// Whether the last decision reduced it, so that ties do not flip.
  bool WasReduced = false;
};

/// What one server is given.
struct GrantedShare {
  double Share = 1;
  /// The evidence wanted less, and the floor kept it.
  bool IsKeptByFloor = false;
};

/// Returns the shares to use. Reduces the worst first while the slots in use,
/// weighed by share, stay at or above FloorPercent of all configured slots.
std::vector<GrantedShare>
applyFloor(const std::vector<DesiredShare> &DesiredShares, int FloorPercent);

/// Returns the slots in use, weighed by share, of servers that do not leave.
double countUsableSlots(const std::vector<DesiredShare> &DesiredShares,
                        const std::vector<GrantedShare> &GrantedShares);

} // namespace canvaswick

#endif // CANVASWICK_HEALTH_FLOORGUARD_H
