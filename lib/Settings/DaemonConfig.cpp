//===- DaemonConfig.cpp - Settings of one daemon --------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Validates section [daemon] against the table of settings and fills the
/// record.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Settings/DaemonConfig.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <span>
#include <sstream>

namespace canvaswick {

/// The keys that are required with SettingsSource::OperatorTree.
static const SettingKey RequiredKeys[] = {
    SettingKey::DaemonName,     SettingKey::DaemonRegion,
    SettingKey::DaemonHall,     SettingKey::CallerAddress,
    SettingKey::ControlAddress, SettingKey::PlatformAddress,
    SettingKey::KeyFile};

/// The keys that are required with SettingsSource::Platform.
static const SettingKey RequiredKeysOnPlatform[] = {
    SettingKey::DaemonName,   SettingKey::DaemonRegion,
    SettingKey::DaemonHall,   SettingKey::CallerAddress,
    SettingKey::ReadyAddress, SettingKey::PlatformAddress};

static Result<void> checkRequired(const SettingNode &Node,
                                  std::span<const SettingKey> Keys,
                                  const std::string &Path) {
  for (const SettingKey Key : Keys)
    if (!Node.find(Key))
      return makeError(ErrorKind::InvalidArgument,
                       fmt::format("{}:{}: [daemon]: {} is missing", Path,
                                   Node.Line, getSettingSpec(Key).Name));
  return outcome::success();
}

/// Reads the limits on the threads that serve callers.
static Result<void> readWorkers(const SettingsTree &Tree,
                                const SettingNode &Node,
                                const std::string &Path, DaemonConfig &Config) {
  Config.Workers =
      static_cast<int>(Tree.lookupInteger(Node, SettingKey::Workers));
  Config.KeptWorkers =
      static_cast<int>(Tree.lookupInteger(Node, SettingKey::KeptWorkers));
  Config.WorkerIdle = fromSeconds(
      toDecimal(Tree.lookupInteger(Node, SettingKey::WorkerIdleSeconds)));
  if (Config.KeptWorkers <= Config.Workers)
    return outcome::success();
  const SettingKey Given = Node.find(SettingKey::KeptWorkers)
                               ? SettingKey::KeptWorkers
                               : SettingKey::Workers;
  return makeError(ErrorKind::InvalidArgument,
                   fmt::format("{}:{}: [daemon] {}: kept-workers is {}, more "
                               "than workers, {}",
                               Path, Node.find(Given)->Line,
                               getSettingSpec(Given).Name, Config.KeptWorkers,
                               Config.Workers));
}

/// Reads the keys that apply only to SettingsSource::Platform.
static void readPlatformKeys(const SettingsTree &Tree, const SettingNode &Node,
                             DaemonConfig &Config) {
  const auto Decimal = [&](SettingKey Key) {
    return toDecimal(Tree.lookupInteger(Node, Key));
  };
  Config.PeerPort =
      static_cast<uint16_t>(Tree.lookupInteger(Node, SettingKey::PeerPort));
  Config.Grace = fromSeconds(Decimal(SettingKey::GraceSeconds));
  Config.FloorPercent =
      static_cast<int>(std::lround(Decimal(SettingKey::FloorShare) * 100));
  Config.RetryLimit.Share = Decimal(SettingKey::RepeatShare);
  Config.RetryLimit.Window =
      fromSeconds(Decimal(SettingKey::RepeatWindowSeconds));
  Config.RetryLimit.Reserve =
      Tree.lookupInteger(Node, SettingKey::RepeatReserve);
  Config.QuotaLimits.Window =
      fromSeconds(Decimal(SettingKey::AllowanceWindowSeconds));
  Config.QuotaLimits.Excess = Decimal(SettingKey::AllowanceExcess);
  Config.QuotaLimits.Slack =
      static_cast<double>(Tree.lookupInteger(Node, SettingKey::AllowanceSlack));
  Config.Lease = fromSeconds(Decimal(SettingKey::LeaseSeconds));
  Config.AloneWait = fromSeconds(Decimal(SettingKey::AloneWaitSeconds));
  Config.Drain = fromSeconds(Decimal(SettingKey::DrainSeconds));
}

Result<DaemonConfig> loadDaemonConfig(const std::string &Path) {
  BOOST_OUTCOME_TRY(IniDocument Document, loadIni(Path));
  const bool HasPolicy =
      Document.Sections.size() == 2 && Document.Sections[1].Name == "policy";
  if (Document.Sections.empty() || Document.Sections[0].Name != "daemon" ||
      (Document.Sections.size() > 1 && !HasPolicy))
    return makeError(
        ErrorKind::InvalidArgument,
        Path + ":1: expected section [daemon], then at most [policy]");
  BOOST_OUTCOME_TRY(
      SettingNode Node,
      buildNode(Document.Sections[0], SettingLevel::Daemon, "daemon", Path));
  // In an empty tree the node has no parent, so a look-up returns the values of
  // the node or the defaults.
  const SettingsTree Tree;
  const auto Source =
      static_cast<SettingsSource>(Tree.lookupInteger(Node, SettingKey::Source));
  std::span<const SettingKey> Required = RequiredKeys;
  if (Source == SettingsSource::Platform)
    Required = RequiredKeysOnPlatform;
  BOOST_OUTCOME_TRY(checkRequired(Node, Required, Path));
  const auto Integer = [&](SettingKey Key) {
    return Tree.lookupInteger(Node, Key);
  };
  const auto Text = [&](SettingKey Key) { return Tree.lookupText(Node, Key); };
  // An address that is not given stays empty. Those that are given have been
  // validated by buildNode.
  const auto Address = [&](SettingKey Key) {
    return Node.find(Key) ? parseEndpoint(Text(Key)).value() : Endpoint();
  };
  DaemonConfig Config;
  if (HasPolicy) {
    BOOST_OUTCOME_TRY(Config.Policy,
                      readPolicySwitches(Document.Sections[1], Path));
  }
  Config.Name = Text(SettingKey::DaemonName);
  Config.Region = Text(SettingKey::DaemonRegion);
  Config.Hall = Text(SettingKey::DaemonHall);
  Config.Callers = parseEndpoint(Text(SettingKey::CallerAddress)).value();
  Config.Source = Source;
  Config.Control = Address(SettingKey::ControlAddress);
  Config.Ready = Address(SettingKey::ReadyAddress);
  Config.Metrics = Address(SettingKey::MetricsAddress);
  Config.Platform = parseEndpoint(Text(SettingKey::PlatformAddress)).value();
  Config.KeyFile = Text(SettingKey::KeyFile);
  BOOST_OUTCOME_TRY(readWorkers(Tree, Node, Path, Config));
  Config.MaxConnections = static_cast<int>(Integer(SettingKey::MaxConnections));
  Config.IdleSeconds = Integer(SettingKey::IdleSeconds);
  Config.StopSeconds = Integer(SettingKey::StopSeconds);
  Config.SettingsFile = Text(SettingKey::SettingsFile);
  Config.ExpectedDaemons =
      static_cast<int>(Integer(SettingKey::ExpectedDaemons));
  Config.ClaimMemorySeconds = Integer(SettingKey::ClaimMemorySeconds);
  readPlatformKeys(Tree, Node, Config);
  std::string SeedText = Text(SettingKey::Seeds);
  std::replace(SeedText.begin(), SeedText.end(), ',', ' ');
  std::istringstream Seeds(SeedText);
  std::string Seed;
  while (Seeds >> Seed) {
    Result<Endpoint> Address = parseEndpoint(Seed);
    if (!Address)
      return makeError(ErrorKind::InvalidArgument,
                       fmt::format("{}:{}: [daemon] seeds = {}: {}", Path,
                                   Node.find(SettingKey::Seeds)->Line, Seed,
                                   Address.error().Message));
    Config.Seeds.push_back(Address.value());
  }
  return Config;
}

} // namespace canvaswick
