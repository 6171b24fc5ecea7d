//===- DaemonConfig.cpp - The daemon's own settings -----------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Checks section [daemon] against the table and fills the record.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Settings/DaemonConfig.h"

#include <fmt/format.h>

#include <sstream>

namespace canvaswick {

static const SettingKey RequiredKeys[] = {
    SettingKey::DaemonName,     SettingKey::DaemonRegion,
    SettingKey::DaemonHall,     SettingKey::CallerAddress,
    SettingKey::ControlAddress, SettingKey::PlatformAddress,
    SettingKey::KeyFile};

static Result<void> checkRequired(const SettingNode &Node,
                                  const std::string &Path) {
  for (const SettingKey Key : RequiredKeys)
    if (!Node.find(Key))
      return makeError(ErrorKind::InvalidArgument,
                       fmt::format("{}:{}: [daemon]: {} is missing", Path,
                                   Node.Line, getSettingSpec(Key).Name));
  return outcome::success();
}

Result<DaemonConfig> loadDaemonConfig(const std::string &Path) {
  BOOST_OUTCOME_TRY(IniDocument Document, loadIni(Path));
  if (Document.Sections.size() != 1 || Document.Sections[0].Name != "daemon")
    return makeError(ErrorKind::InvalidArgument,
                     Path + ":1: expected one section, [daemon]");
  BOOST_OUTCOME_TRY(
      SettingNode Node,
      buildNode(Document.Sections[0], SettingLevel::Daemon, "daemon", Path));
  BOOST_OUTCOME_TRY(checkRequired(Node, Path));
  // A node with no parent resolves to its own values and the defaults.
  const SettingsTree Tree;
  const auto Integer = [&](SettingKey Key) {
    return Tree.lookupInteger(Node, Key);
  };
  const auto Text = [&](SettingKey Key) { return Tree.lookupText(Node, Key); };
  DaemonConfig Config;
  Config.Name = Text(SettingKey::DaemonName);
  Config.Region = Text(SettingKey::DaemonRegion);
  Config.Hall = Text(SettingKey::DaemonHall);
  Config.Callers = parseEndpoint(Text(SettingKey::CallerAddress)).value();
  Config.Control = parseEndpoint(Text(SettingKey::ControlAddress)).value();
  Config.Platform = parseEndpoint(Text(SettingKey::PlatformAddress)).value();
  Config.KeyFile = Text(SettingKey::KeyFile);
  Config.Workers = static_cast<int>(Integer(SettingKey::Workers));
  Config.MaxConnections = static_cast<int>(Integer(SettingKey::MaxConnections));
  Config.IdleSeconds = Integer(SettingKey::IdleSeconds);
  Config.StopSeconds = Integer(SettingKey::StopSeconds);
  Config.SettingsFile = Text(SettingKey::SettingsFile);
  Config.ExpectedDaemons =
      static_cast<int>(Integer(SettingKey::ExpectedDaemons));
  Config.ClaimMemorySeconds = Integer(SettingKey::ClaimMemorySeconds);
  std::istringstream Seeds(Text(SettingKey::Seeds));
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
