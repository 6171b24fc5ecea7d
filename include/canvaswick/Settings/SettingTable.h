//===- SettingTable.h - The table of every setting --------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// One row a setting: name, levels, type, bounds, default, unit and meaning.
/// The checks, the reference in docs/SETTINGS.md and the operators' tool all
/// read this table, so none of them can disagree with it.
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

/// Where in the tree a value was set. A lower level overrides a higher one.
enum class SettingLevel : uint8_t {
  Default,
  Region,
  Service,
  Server,
  Route,
  Organisation,
  Daemon,
};

/// Returns the name of a level as reports print it.
const char *getName(SettingLevel Level);

/// A set of levels, one bit a level.
using SettingLevels = uint8_t;

/// Returns the bit of a level in SettingLevels.
constexpr SettingLevels levelBit(SettingLevel Level) {
  return static_cast<SettingLevels>(1u << static_cast<unsigned>(Level));
}

/// What kind of value a setting takes.
/// A decimal has up to three places and is kept in thousandths.
enum class SettingType : uint8_t { Integer, Choice, Text, Address, Decimal };

/// Every setting. The order is that of the table.
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

/// A decimal setting is kept as a whole number of these parts of one.
inline constexpr int64_t DecimalParts = 1000;

/// Returns the number that a decimal setting of so many parts stands for.
inline double toDecimal(int64_t Parts) {
  return static_cast<double>(Parts) / static_cast<double>(DecimalParts);
}

/// A checked value: a whole number (also the index of a choice) or a text.
using SettingValue = std::variant<int64_t, std::string>;

/// One row of the table.
struct SettingSpec {
  SettingKey Key;
  const char *Name;
  SettingLevels Levels;
  SettingType Type;
  int64_t Min;
  int64_t Max;
  /// The default as an operator would write it. Empty means none: the value
  /// must be given where a program needs it.
  const char *Default;
  const char *Unit;
  /// For a choice: the names, separated by "|". Null otherwise.
  const char *Choices;
  const char *Meaning;
};

/// Returns the whole table.
std::span<const SettingSpec> getSettingTable();

/// Returns the row of Key.
const SettingSpec &getSettingSpec(SettingKey Key);

/// Returns the row with this name that may stand at Level, or null.
const SettingSpec *findSettingSpec(const std::string &Name, SettingLevel Level);

/// Returns the known name at Level that is nearest to Name by edit distance.
std::string suggestSettingName(const std::string &Name, SettingLevel Level);

/// Checks a written value against its row. The error says what was expected.
Result<SettingValue> parseSettingValue(const SettingSpec &Spec,
                                       const std::string &Text);

/// Writes a value as an operator would.
std::string formatSettingValue(const SettingSpec &Spec,
                               const SettingValue &Value);

/// Returns the settings reference in Markdown, as docs/SETTINGS.md holds it.
std::string formatSettingsReference();

} // namespace canvaswick

#endif // CANVASWICK_SETTINGS_SETTINGTABLE_H
