//===- ConfigPublisher.cpp - Publishes changes of the settings ------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The key of a part is the hash of its content, so writing a part again
/// changes nothing. A change takes effect when its manifest is written.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Config/ConfigPublisher.h"
#include "canvaswick/Settings/SettingsTree.h"

#include <fmt/format.h>

namespace canvaswick {

/// Number of recent changes that a manifest holds.
static constexpr size_t MaxKeptChanges = 100;

/// Attempts to read the manifest after a lost response.
static constexpr int MaxFindAttempts = 5;

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
    // A conflict means that the part exists already. After a lost response, a
    // second write tells whether the first one took effect.
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
  std::string LastChange = "nobody on record";
  if (!Manifest.Changes.empty())
    LastChange = fmt::format("{} ({})", Manifest.Changes.back().Author,
                             Manifest.Changes.back().Note);
  return {ErrorKind::Conflict,
          fmt::format("the settings are at version {}, not {}; last changed by "
                      "{}",
                      Manifest.Version, BaseVersion, LastChange)};
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

static ConfigManifest makeNextManifest(const ConfigManifest &Current,
                                       const ConfigRequest &Request,
                                       std::vector<ConfigPart> Parts,
                                       int64_t NowMillis) {
  ConfigManifest Next;
  Next.Version = Current.Version + 1;
  Next.Parts = std::move(Parts);
  Next.Changes = Current.Changes;
  Next.Changes.push_back({Next.Version, Request.ChangeId, Request.Author,
                          Request.Note, NowMillis});
  if (Next.Changes.size() > MaxKeptChanges)
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
  // A change that was published before keeps its version.
  if (const ConfigChange *Existing = findChangeIn(Current, Request.ChangeId))
    return Existing->Version;
  if (Current.Version != Request.BaseVersion)
    return outcome::failure(describeConflict(Current, Request.BaseVersion));
  ConfigTexts Texts;
  const std::vector<ConfigPart> Parts = splitTree(Request.Text, Texts);
  BOOST_OUTCOME_TRY(this->writeParts(Parts, Texts));
  const ConfigManifest Next =
      makeNextManifest(Current, Request, Parts, NowMillis);
  const std::string Encoded = encodeManifest(Next);
  Result<uint64_t> Written = this->Platform.put(ManifestKey, Encoded, Revision);
  if (!Written && Written.error().Kind == ErrorKind::OutcomeUnknown) {
    // The response was lost: read the manifest to find out whether the change
    // took effect.
    for (int Attempt = 0; Attempt < MaxFindAttempts; ++Attempt) {
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
  // The past manifest serves only the history and diffs of versions, so an
  // error is ignored.
  (void)this->Platform.put(getPastManifestKey(Next.Version), Encoded, 0);
  return Next.Version;
}

} // namespace canvaswick
