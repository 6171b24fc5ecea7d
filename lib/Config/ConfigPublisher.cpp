//===- ConfigPublisher.cpp - Puts a change of the settings into force -----===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Parts are named by their content, so writing one twice changes nothing; only
/// the manifest decides.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Config/ConfigPublisher.h"
#include "canvaswick/Settings/SettingsTree.h"

#include <fmt/format.h>

namespace canvaswick {

/// Changes that a manifest remembers.
static constexpr size_t ChangesKept = 100;

/// Tries to read after a lost answer.
static constexpr int FindTries = 5;

ConfigPublisher::ConfigPublisher(PlatformClient &Platform)
    : Platform(Platform) {}

Result<ConfigManifest> ConfigPublisher::readManifest() {
  BOOST_OUTCOME_TRY(PlatformValue Value, this->Platform.get(ManifestKey));
  return decodeManifest(Value.Value);
}

Result<ConfigManifest> ConfigPublisher::readPastManifest(uint64_t Version) {
  BOOST_OUTCOME_TRY(PlatformValue Value,
                    this->Platform.get(getPastManifestKey(Version)));
  return decodeManifest(Value.Value);
}

Result<std::string> ConfigPublisher::readTree(const ConfigManifest &Manifest) {
  ConfigTexts Texts;
  for (const ConfigPart &Part : Manifest.Parts) {
    BOOST_OUTCOME_TRY(PlatformValue Value,
                      this->Platform.get(getPartKey(Part.Hash)));
    Texts[Part.Hash] = std::move(Value.Value);
  }
  return joinTree(Manifest.Parts, Texts);
}

Result<void> ConfigPublisher::writeParts(const std::vector<ConfigPart> &Parts,
                                         const ConfigTexts &Texts) {
  for (const ConfigPart &Part : Parts) {
    Result<uint64_t> Written =
        this->Platform.put(getPartKey(Part.Hash), Texts.at(Part.Hash), 0);
    // A conflict means that it is there already; after a lost answer a second
    // write tells whether it is.
    if (!Written && Written.error().Kind == ErrorKind::OutcomeUnknown)
      Written =
          this->Platform.put(getPartKey(Part.Hash), Texts.at(Part.Hash), 0);
    if (!Written && Written.error().Kind != ErrorKind::Conflict)
      return outcome::failure(Written.error());
  }
  return outcome::success();
}

static Error describeConflict(const ConfigManifest &Manifest,
                              uint64_t BaseVersion) {
  std::string Who = "nobody on record";
  if (!Manifest.Changes.empty())
    Who = fmt::format("{} ({})", Manifest.Changes.back().Author,
                      Manifest.Changes.back().Note);
  return {ErrorKind::Conflict,
          fmt::format("the settings are at version {}, not {}; last changed by "
                      "{}",
                      Manifest.Version, BaseVersion, Who)};
}

static const ConfigChange *findChangeIn(const ConfigManifest &Manifest,
                                        const std::string &ChangeId) {
  for (const ConfigChange &Change : Manifest.Changes)
    if (Change.ChangeId == ChangeId)
      return &Change;
  return nullptr;
}

Result<uint64_t> ConfigPublisher::findChange(const std::string &ChangeId) {
  BOOST_OUTCOME_TRY(ConfigManifest Manifest, this->readManifest());
  if (const ConfigChange *Found = findChangeIn(Manifest, ChangeId))
    return Found->Version;
  return makeError(ErrorKind::NotFound, "change " + ChangeId + " did not land");
}

static ConfigManifest makeNext(const ConfigManifest &Current,
                               const ConfigRequest &Request,
                               std::vector<ConfigPart> Parts,
                               int64_t NowMillis) {
  ConfigManifest Next;
  Next.Version = Current.Version + 1;
  Next.Parts = std::move(Parts);
  Next.Changes = Current.Changes;
  Next.Changes.push_back({Next.Version, Request.ChangeId, Request.Author,
                          Request.Note, NowMillis});
  if (Next.Changes.size() > ChangesKept)
    Next.Changes.erase(Next.Changes.begin());
  return Next;
}

Result<uint64_t> ConfigPublisher::publish(const ConfigRequest &Request,
                                          int64_t NowMillis) {
  Result<SettingsTree> Tree =
      SettingsTree::parse(Request.Text, Request.FileName);
  if (!Tree)
    return outcome::failure(Tree.error());
  ConfigManifest Current;
  uint64_t Revision = 0;
  Result<PlatformValue> Value = this->Platform.get(ManifestKey);
  if (Value) {
    BOOST_OUTCOME_TRY(Current, decodeManifest(Value.value().Value));
    Revision = Value.value().Revision;
  } else if (Value.error().Kind != ErrorKind::NotFound) {
    return outcome::failure(Value.error());
  }
  // The same change asked for twice is one change.
  if (const ConfigChange *Landed = findChangeIn(Current, Request.ChangeId))
    return Landed->Version;
  if (Current.Version != Request.BaseVersion)
    return outcome::failure(describeConflict(Current, Request.BaseVersion));
  ConfigTexts Texts;
  const std::vector<ConfigPart> Parts = splitTree(Request.Text, Texts);
  BOOST_OUTCOME_TRY(this->writeParts(Parts, Texts));
  const ConfigManifest Next = makeNext(Current, Request, Parts, NowMillis);
  const std::string Encoded = encodeManifest(Next);
  Result<uint64_t> Written = this->Platform.put(ManifestKey, Encoded, Revision);
  if (!Written && Written.error().Kind == ErrorKind::OutcomeUnknown) {
    // The answer was lost: read until it is known whether the change landed.
    for (int Try = 0; Try < FindTries; ++Try) {
      Result<uint64_t> Found = this->findChange(Request.ChangeId);
      if (Found || Found.error().Kind == ErrorKind::NotFound) {
        Written = Found;
        break;
      }
    }
  }
  if (!Written && Written.error().Kind == ErrorKind::Conflict) {
    BOOST_OUTCOME_TRY(ConfigManifest Newer, this->readManifest());
    return outcome::failure(describeConflict(Newer, Request.BaseVersion));
  }
  if (!Written)
    return outcome::failure(Written.error());
  // For history and diff only: losing it loses no promise.
  (void)this->Platform.put(getPastManifestKey(Next.Version), Encoded, 0);
  return Next.Version;
}

} // namespace canvaswick
