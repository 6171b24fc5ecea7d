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

#include "canvaswick/Operator/Commands.h"
#include "canvaswick/Operator/TreeText.h"
#include "canvaswick/Settings/SettingsTree.h"
#include "canvaswick/Support/KeyDigest.h"

#include <fmt/format.h>

#include <cctype>
#include <iostream>
#include <random>

namespace canvaswick {

/// The maximum number of attempts to apply an edit to the newest tree while
/// others publish.
static constexpr int MaxEditAttempts = 5;

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

static Result<Endpoint> parsePlatform(const OperatorOptions &Options) {
  Result<Endpoint> Address = parseEndpoint(Options.Platform);
  if (!Address)
    return makeError(ErrorKind::InvalidArgument,
                     "--platform: " + Address.error().Message);
  return Address;
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

static std::string makeChangeId() {
  std::random_device Random;
  return fmt::format("{:08x}{:08x}", Random(), Random());
}

static ConfigRequest makeRequest(const OperatorOptions &Options) {
  ConfigRequest Request;
  Request.Author = Options.Author;
  Request.Note = Options.Note;
  Request.ChangeId =
      Options.ChangeId.empty() ? makeChangeId() : Options.ChangeId;
  return Request;
}

/// Adds to an error with an unknown outcome how to find out whether the change
/// was published.
static Error addRecoveryHint(Error Failure, const ConfigRequest &Request) {
  if (Failure.Kind == ErrorKind::OutcomeUnknown)
    Failure.Message += fmt::format(
        "; the change may have landed: ask 'canvaswickctl landed --change {}'",
        Request.ChangeId);
  return Failure;
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

/// Sets the state of one server in the newest tree. Retries if others publish
/// a version at the same time.
static Result<std::string> setState(const OperatorOptions &Options,
                                    const char *State) {
  if (Options.Arguments.size() != 1)
    return makeError(ErrorKind::InvalidArgument, "expected SERVICE/SERVER");
  BOOST_OUTCOME_TRY(Endpoint Address, parsePlatform(Options));
  PlatformClient Platform(Address, nullptr);
  ConfigPublisher Publisher(Platform);
  ConfigRequest Request = makeRequest(Options);
  Request.FileName = "platform";
  Request.Note = fmt::format("{} {}", State, Options.Arguments[0]);
  for (int Attempt = 0; Attempt < MaxEditAttempts; ++Attempt) {
    BOOST_OUTCOME_TRY(ConfigManifest Manifest, Publisher.readManifest());
    BOOST_OUTCOME_TRY(std::string Text, Publisher.readTree(Manifest));
    BOOST_OUTCOME_TRY(Request.Text,
                      setTreeValue(Text, "server " + Options.Arguments[0],
                                   getSettingSpec(SettingKey::State).Name,
                                   State));
    Request.BaseVersion = Manifest.Version;
    Result<uint64_t> Version = Publisher.publish(Request, readCalendarMillis());
    if (Version)
      return fmt::format("{} is {} from version {}\n", Options.Arguments[0],
                         State, Version.value());
    if (Version.error().Kind != ErrorKind::Conflict)
      return outcome::failure(addRecoveryHint(Version.error(), Request));
  }
  return makeError(ErrorKind::Conflict, "others keep changing the settings");
}

Result<std::string> runDrain(const OperatorOptions &Options) {
  return setState(Options, "draining");
}

Result<std::string> runUndrain(const OperatorOptions &Options) {
  return setState(Options, "active");
}

} // namespace canvaswick
