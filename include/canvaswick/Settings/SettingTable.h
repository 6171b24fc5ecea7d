//===- SettingTable.h - Table of all settings -------------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Describes each setting in one row: name, levels, type, bounds, default, unit
/// and meaning. Validation, the reference in docs/SETTINGS.md and the
/// operators' tool all use this table, so they cannot disagree.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_SETTINGS_SETTINGTABLE_H
#define CANVASWICK_SETTINGS_SETTINGTABLE_H

#include "canvaswick/Support/Error.h"

#include <cstdint>
#include <span>
#include <string>
#include <variant>

namespace canvaswick {

/// The level of the settings tree at which a value is set. A value of a server
/// overrides that of its service, and that one overrides the value of the
/// region.
enum class SettingLevel : uint8_t {
  Default,
  Region,
  Service,
  Server,
  Route,
  Organisation,
  Daemon,
};

/// Returns the name of a level as it appears in reports.
const char *getName(SettingLevel Level);

/// A set of levels with one bit per level.
using SettingLevels = uint8_t;

/// Returns the bit that represents a level in SettingLevels.
constexpr SettingLevels levelBit(SettingLevel Level) {
  return static_cast<SettingLevels>(1u << static_cast<unsigned>(Level));
}

/// The type of the value of a setting. A decimal has up to three decimal places
/// and is stored as an integer number of thousandths.
enum class SettingType : uint8_t { Integer, Choice, Text, Address, Decimal };

/// Identifies a setting. The order is the order of the table.
enum class SettingKey : uint8_t {
  FloorPercent,
  EjectionPreference,
  Slots,
  Connections,
  DeadlineMs,
  StallMs,
  SlowAfterMs,
  ColdStartMs,
  MaxInFlight,
  RetryPercent,
  ObjectivePercent,
  ObjectiveMs,
  ProbePath,
  MaxBodyBytes,
  DrainedHalls,
  RegionOfService,
  Hall,
  State,
  ServerAddress,
  RouteHost,
  RoutePrefix,
  RouteService,
  RouteClass,
  RoutePublic,
  OrganisationRate,
  OrganisationBurst,
  OrganisationKeys,
  DaemonName,
  DaemonRegion,
  DaemonHall,
  CallerAddress,
  ControlAddress,
  PlatformAddress,
  KeyFile,
  Workers,
  KeptWorkers,
  WorkerIdleSeconds,
  MaxConnections,
  IdleSeconds,
  StopSeconds,
  SettingsFile,
  ExpectedDaemons,
  Seeds,
  ClaimMemorySeconds,
  Source,
  ReadyAddress,
  MetricsAddress,
  PeerPort,
  GraceSeconds,
  FloorShare,
  RepeatShare,
  RepeatWindowSeconds,
  RepeatReserve,
  AllowanceWindowSeconds,
  AllowanceExcess,
  AllowanceSlack,
  LeaseSeconds,
  AloneWaitSeconds,
  DrainSeconds,
};

/// Number of stored units of a decimal setting that make up the value 1.
inline constexpr int64_t DecimalParts = 1000;

/// Returns the value of a decimal setting that is stored as Parts.
inline double toDecimal(int64_t Parts) {
  return static_cast<double>(Parts) / static_cast<double>(DecimalParts);
}

/// A validated value: an integer, which for a choice is the index of the
/// choice, or a text.
using SettingValue = std::variant<int64_t, std::string>;

/// One row of the table.
struct SettingSpec {
  SettingKey Key;
  const char *Name;
  SettingLevels Levels;
  SettingType Type;
  /// Bounds of the value in the stored unit; for a text, of its length in
  /// bytes.
  int64_t Min;
  int64_t Max;
  /// The default as written in a settings file. Empty means that there is none,
  /// so the value must be given where it is required.
  const char *Default;
  const char *Unit;
  /// For a choice, the names separated by "|"; otherwise null.
  const char *Choices;
  /// The description of the setting in the reference.
  const char *Meaning;
};

/// Returns the table.
std::span<const SettingSpec> getSettingTable();

/// Returns the row of Key.
const SettingSpec &getSettingSpec(SettingKey Key);

/// Returns the row of the setting that is called Name and allowed at Level, or
/// null.
const SettingSpec *findSettingSpec(const std::string &Name, SettingLevel Level);

/// Returns the name of the setting allowed at Level that has the smallest edit
/// distance to Name.
std::string suggestSettingName(const std::string &Name, SettingLevel Level);

/// Parses and validates a value. Fails with InvalidArgument and a message that
/// states what was expected.
Result<SettingValue> parseSettingValue(const SettingSpec &Spec,
                                       const std::string &Text);

/// Formats a value as it is written in a settings file.
std::string formatSettingValue(const SettingSpec &Spec,
                               const SettingValue &Value);

/// Returns the settings reference in Markdown. docs/SETTINGS.md holds this
/// text.
std::string formatSettingsReference();

} // namespace canvaswick

#endif // CANVASWICK_SETTINGS_SETTINGTABLE_H
