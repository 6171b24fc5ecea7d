//===- FloorGuard.h - Enforces the operators' floor -------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Declares the last step of every decision about shares: it limits reductions
/// so that the slots that remain in use do not fall below the operators' floor.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_HEALTH_FLOORGUARD_H
#define CANVASWICK_HEALTH_FLOORGUARD_H

#include <cstddef>
#include <cstdint>
#include <vector>

namespace canvaswick {

/// The daemons whose evidence applies, widest scope first.
enum class EvidenceScope : uint8_t { Fleet, Hall, Local };

/// The share that the evidence suggests for one server.
struct DesiredShare {
  /// Desired fraction of the fair share, from 0 to 1.
  double Share = 1;
  /// Strength of the evidence in nats. Within a scope, and with equal shares,
  /// the server with the highest score is reduced first.
  double Score = 0;
  int Slots = 1;
  /// Whether the server is leaving or drained. It gets no new requests,
  /// whatever the floor is.
  bool IsLeaving = false;
  /// The daemons that share the evidence. Servers with evidence of a wider
  /// scope are reduced first, so that daemons do not use up the floor on
  /// different servers.
  EvidenceScope Scope = EvidenceScope::Local;
  /// Whether the previous decision reduced the server. Such servers go first,
  /// so that decisions do not alternate between equal servers.
  bool WasReduced = false;
};

/// The share that one server gets.
struct GrantedShare {
  double Share = 1;
  /// Whether the evidence suggests a lower share that the floor does not allow.
  bool IsKeptByFloor = false;
};

/// Returns the shares to use. Reduces the servers with the strongest evidence
/// first, as long as the slots in use, weighted by share, stay at or above
/// FloorPercent of all configured slots.
std::vector<GrantedShare>
applyFloor(const std::vector<DesiredShare> &DesiredShares, int FloorPercent);

/// Returns the slots in use, weighted by share, of servers that are not
/// leaving.
double countUsableSlots(const std::vector<DesiredShare> &DesiredShares,
                        const std::vector<GrantedShare> &GrantedShares);

} // namespace canvaswick

#endif // CANVASWICK_HEALTH_FLOORGUARD_H
