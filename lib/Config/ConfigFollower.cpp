//===- ConfigFollower.cpp - Version of the settings in force --------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Implements the validation and replacement of the version in force, and the
/// schedule of platform reads.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Config/ConfigFollower.h"
#include "canvaswick/Support/Hash.h"

#include <fmt/format.h>

#include <algorithm>

namespace canvaswick {

const std::string *ConfigFollower::findText(const std::string &Hash) const {
  const auto Found = this->Texts.find(Hash);
  return Found == this->Texts.end() ? nullptr : &Found->second;
}

std::vector<std::string>
ConfigFollower::findMissing(const ConfigManifest &Candidate) const {
  std::vector<std::string> Missing;
  for (const ConfigPart &Part : Candidate.Parts)
    if (this->Texts.count(Part.Hash) == 0)
      Missing.push_back(Part.Hash);
  return Missing;
}

Result<FleetConfigRef> ConfigFollower::accept(const ConfigManifest &Candidate,
                                              const ConfigTexts &Fetched) {
  if (Candidate.Version <= this->Manifest.Version)
    return makeError(ErrorKind::Conflict,
                     fmt::format("version {} is not newer than {}",
                                 Candidate.Version, this->Manifest.Version));
  ConfigTexts All;
  for (const ConfigPart &Part : Candidate.Parts) {
    const auto Held = this->Texts.find(Part.Hash);
    const auto New = Fetched.find(Part.Hash);
    if (Held != this->Texts.end())
      All[Part.Hash] = Held->second;
    else if (New != Fetched.end())
      All[Part.Hash] = New->second;
  }
  BOOST_OUTCOME_TRY(std::string Text, joinTree(Candidate.Parts, All));
  BOOST_OUTCOME_TRY(
      SettingsTree Tree,
      SettingsTree::parse(Text, fmt::format("version-{}", Candidate.Version)));
  this->Manifest = Candidate;
  this->Texts = std::move(All);
  return compileFleetConfig(Tree, Candidate.Version);
}

Result<FleetConfigRef>
ConfigFollower::acceptLocal(const std::string &Text,
                            const std::string &FileName) {
  if (this->Manifest.Version > 0)
    return makeError(ErrorKind::Conflict, "a published version is in force");
  BOOST_OUTCOME_TRY(SettingsTree Tree, SettingsTree::parse(Text, FileName));
  return compileFleetConfig(Tree, 0);
}

/// While the newest confirmation is younger than this, only the watchers read
/// the platform.
static constexpr Duration MaxConfirmationAge = fromSeconds(4);

bool ConfigWatchSchedule::isWatcher(const std::string &Self,
                                    const std::vector<std::string> &Working) {
  const std::vector<size_t> Order = rankByRendezvous("config-watch", Working);
  const size_t Count = std::min(Order.size(), Watchers);
  for (size_t I = 0; I < Count; ++I)
    if (Working[Order[I]] == Self)
      return true;
  return Working.empty();
}

void ConfigWatchSchedule::recordConfirmation(Duration Age, TimePoint Now) {
  const TimePoint At = Now - Age;
  if (!this->WasConfirmed || At > this->Confirmed)
    this->Confirmed = At;
  this->WasConfirmed = true;
}

Duration ConfigWatchSchedule::getConfirmationAge(TimePoint Now) const {
  return this->WasConfirmed ? Now - this->Confirmed : Duration::max();
}

bool ConfigWatchSchedule::shouldReadPlatform(size_t Working, double Draw,
                                             TimePoint Now) const {
  if (this->getConfirmationAge(Now) < MaxConfirmationAge)
    return false;
  const double Probability = UnconfirmedReadsPerSecond /
                             static_cast<double>(std::max<size_t>(1, Working));
  return Draw < Probability;
}

} // namespace canvaswick
