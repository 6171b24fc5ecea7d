//===- PolicySwitches.h - Mechanisms that can be off ------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The section [policy] of a daemon's INI file: one switch for each mechanism
/// that decides over requests, so that what it is worth can be measured by a
/// run without it. All are on by default.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_SETTINGS_POLICYSWITCHES_H
#define CANVASWICK_SETTINGS_POLICYSWITCHES_H

#include "canvaswick/Settings/IniDocument.h"

#include <bitset>
#include <cstdint>

namespace canvaswick {

/// What can be switched off.
enum class Mechanism : uint8_t {
  /// Peers of a hall tell each other what they saw of servers.
  PooledObservations,
  /// Halls tell each other what they think of their servers.
  HallEstimates,
  /// Peers of a hall tell each other what they have in flight.
  SharedInFlight,
  /// A loaded server gets fewer requests.
  LoadFactor,
  /// A request that is still out counts against its server.
  ElapsedEvidence,
  /// The spread of answer times is learned.
  LearnedTimes,
  /// How often spells begin and end is learned.
  LearnedRates,
  /// When to try elsewhere follows from the chances of both tries.
  WeighedRetries,
  /// Daemons lend each other rights to repeats.
  RetryLoans,
  /// Servers that the floor keeps are used while many requests fail.
  Floor,
  /// Servers that nobody uses are tested.
  Tests,
  /// Servers of the own hall go first.
  SameHallFirst,
  /// What may run once gets a connection of its own.
  FreshConnections,
  /// A daemon that has just started hears what its hall knows.
  StartupEstimates,
};

inline constexpr size_t MechanismCount =
    static_cast<size_t>(Mechanism::StartupEstimates) + 1;

/// Returns the name of a mechanism as the settings have it.
const char *getName(Mechanism Which);

/// Which mechanisms are on.
class PolicySwitches {
public:
  bool isOn(Mechanism Which) const {
    return !this->Off.test(static_cast<size_t>(Which));
  }

  /// Switches one on or off.
  void set(Mechanism Which, bool IsOn) {
    this->Off.set(static_cast<size_t>(Which), !IsOn);
  }

private:
  std::bitset<MechanismCount> Off;
};

/// Reads the section [policy]. Fails with InvalidArgument, naming file, line
/// and key, if a mechanism is not known or its value is neither on nor off.
Result<PolicySwitches> readPolicySwitches(const IniSection &Section,
                                          const std::string &FileName);

} // namespace canvaswick

#endif // CANVASWICK_SETTINGS_POLICYSWITCHES_H
