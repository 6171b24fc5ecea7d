//===- SettingsCommands.cpp - Commands for the settings -------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Implements the commands that check, show, compare and publish settings, and
/// those that drain a server.
///
//===----------------------------------------------------------------------===//

#include "TreeEdit.h"
#include "canvaswick/Operator/Commands.h"
#include "canvaswick/Operator/TreeText.h"
#include "canvaswick/Settings/SettingsTree.h"
#include "canvaswick/Support/KeyDigest.h"

#include <fmt/format.h>

#include <cctype>
#include <iostream>

namespace canvaswick {

static Result<SettingsTree> loadTree(const std::string &Path) {
  BOOST_OUTCOME_TRY(std::string Text, readFile(Path));
  return SettingsTree::parse(Text, Path);
}

Result<std::string> runCheck(const OperatorOptions &Options) {
  BOOST_OUTCOME_TRY(SettingsTree Tree, loadTree(Options.File));
  return fmt::format("good: {} services, {} servers, {} routes, {} "
                     "organisations\n",
                     Tree.getNodes(SettingLevel::Service).size(),
                     Tree.getNodes(SettingLevel::Server).size(),
                     Tree.getNodes(SettingLevel::Route).size(),
                     Tree.getNodes(SettingLevel::Organisation).size());
}

Result<std::string> runDigestKey(const OperatorOptions &) {
  std::string Key;
  std::getline(std::cin, Key);
  while (!Key.empty() && std::isspace(static_cast<unsigned char>(Key.back())))
    Key.pop_back();
  if (Key.empty())
    return makeError(ErrorKind::InvalidArgument,
                     "expected a key on standard input");
  return KeyDigest::of(Key).format() + "\n";
}

Result<std::string> runReference(const OperatorOptions &) {
  return formatSettingsReference();
}

/// Reads the manifest of a version, or the newest one if Version is negative.
static Result<ConfigManifest> readVersion(ConfigPublisher &Publisher,
                                          int64_t Version) {
  if (Version < 0)
    return Publisher.readManifest();
  return Publisher.readPastManifest(static_cast<uint64_t>(Version));
}

static Result<std::string> readText(const OperatorOptions &Options,
                                    int64_t Version) {
  BOOST_OUTCOME_TRY(Endpoint Address, parsePlatform(Options));
  PlatformClient Platform(Address, nullptr);
  ConfigPublisher Publisher(Platform);
  BOOST_OUTCOME_TRY(ConfigManifest Manifest, readVersion(Publisher, Version));
  return Publisher.readTree(Manifest);
}

Result<std::string> runGet(const OperatorOptions &Options) {
  return readText(Options, Options.ToVersion);
}

Result<std::string> runHistory(const OperatorOptions &Options) {
  BOOST_OUTCOME_TRY(Endpoint Address, parsePlatform(Options));
  PlatformClient Platform(Address, nullptr);
  ConfigPublisher Publisher(Platform);
  BOOST_OUTCOME_TRY(ConfigManifest Manifest, Publisher.readManifest());
  std::string Text;
  for (const ConfigChange &Change : Manifest.Changes)
    Text += fmt::format("version {} change {} by {} at {}: {}\n",
                        Change.Version, Change.ChangeId, Change.Author,
                        Change.TimeMillis / 1000, Change.Note);
  return Text;
}

Result<std::string> runLanded(const OperatorOptions &Options) {
  BOOST_OUTCOME_TRY(Endpoint Address, parsePlatform(Options));
  PlatformClient Platform(Address, nullptr);
  ConfigPublisher Publisher(Platform);
  BOOST_OUTCOME_TRY(uint64_t Version, Publisher.findChange(Options.ChangeId));
  return fmt::format("change {} landed as version {}\n", Options.ChangeId,
                     Version);
}

Result<std::string> runDiff(const OperatorOptions &Options) {
  BOOST_OUTCOME_TRY(std::string Old, readText(Options, Options.FromVersion));
  std::string New;
  if (Options.File.empty()) {
    BOOST_OUTCOME_TRY(New, readText(Options, Options.ToVersion));
  } else {
    BOOST_OUTCOME_TRY(New, readFile(Options.File));
  }
  BOOST_OUTCOME_TRY(IniDocument OldTree, parseIni(Old, "old"));
  BOOST_OUTCOME_TRY(IniDocument NewTree,
                    parseIni(New, Options.File.empty() ? "new" : Options.File));
  std::string Text;
  for (const std::string &Line : diffTrees(OldTree, NewTree))
    Text += Line + "\n";
  return Text;
}

Result<std::string> runEffective(const OperatorOptions &Options) {
  if (Options.Arguments.size() != 1)
    return makeError(ErrorKind::InvalidArgument, "expected SERVICE/SERVER");
  std::string Text;
  if (Options.File.empty()) {
    BOOST_OUTCOME_TRY(Text, readText(Options, Options.ToVersion));
  } else {
    BOOST_OUTCOME_TRY(Text, readFile(Options.File));
  }
  BOOST_OUTCOME_TRY(SettingsTree Tree,
                    SettingsTree::parse(Text, Options.File.empty()
                                                  ? "platform"
                                                  : Options.File));
  const SettingNode *Node =
      Tree.find(SettingLevel::Server, Options.Arguments[0]);
  if (!Node)
    return makeError(ErrorKind::NotFound, "no server " + Options.Arguments[0]);
  const SettingLevels Levels = levelBit(SettingLevel::Region) |
                               levelBit(SettingLevel::Service) |
                               levelBit(SettingLevel::Server);
  std::string Lines;
  for (const SettingSpec &Spec : getSettingTable()) {
    if ((Spec.Levels & Levels) == 0)
      continue;
    const EffectiveSetting Value = Tree.lookup(*Node, Spec.Key);
    Lines +=
        fmt::format("{} = {} ({})\n", Spec.Name,
                    formatSettingValue(Spec, Value.Value), getName(Value.From));
  }
  return Lines;
}

Result<std::string> runPut(const OperatorOptions &Options) {
  BOOST_OUTCOME_TRY(Endpoint Address, parsePlatform(Options));
  if (Options.BaseVersion < 0)
    return makeError(ErrorKind::InvalidArgument,
                     "--base: expected the version that was read");
  ConfigRequest Request = makeRequest(Options);
  BOOST_OUTCOME_TRY(Request.Text, readFile(Options.File));
  Request.FileName = Options.File;
  Request.BaseVersion = static_cast<uint64_t>(Options.BaseVersion);
  PlatformClient Platform(Address, nullptr);
  ConfigPublisher Publisher(Platform);
  Result<uint64_t> Version = Publisher.publish(Request, readCalendarMillis());
  if (!Version)
    return outcome::failure(addRecoveryHint(Version.error(), Request));
  return fmt::format("accepted as version {}, change {}\n", Version.value(),
                     Request.ChangeId);
}

/// Sets the state of one server in the newest tree.
static Result<std::string> setState(const OperatorOptions &Options,
                                    const char *State) {
  if (Options.Arguments.size() != 1)
    return makeError(ErrorKind::InvalidArgument, "expected SERVICE/SERVER");
  const std::string &Server = Options.Arguments[0];
  const TreeEdit Edit = [&](const std::string &Text) {
    return setTreeValue(Text, "server " + Server,
                        getSettingSpec(SettingKey::State).Name, State);
  };
  BOOST_OUTCOME_TRY(
      uint64_t Version,
      publishEdit(Options, fmt::format("{} {}", State, Server), Edit));
  return fmt::format("{} is {} from version {}\n", Server, State, Version);
}

Result<std::string> runDrain(const OperatorOptions &Options) {
  return setState(Options, "draining");
}

Result<std::string> runUndrain(const OperatorOptions &Options) {
  return setState(Options, "active");
}

} // namespace canvaswick
