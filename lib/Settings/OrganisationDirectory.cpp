//===- OrganisationDirectory.cpp - Organisations and their keys -----------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Implements look-up by key and by name with two hash tables.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Settings/OrganisationDirectory.h"

#include <utility>

namespace canvaswick {

OrganisationDirectory::OrganisationDirectory(
    std::vector<OrganisationConfig> Given, bool NeedsKeys)
    : All(std::move(Given)), NeedsKeys(NeedsKeys) {
  for (size_t I = 0; I < this->All.size(); ++I) {
    const OrganisationConfig &Each = this->All[I];
    this->IndexOfName.emplace(Each.Name, I);
    for (const KeyDigest &Key : Each.Keys) {
      const auto [Existing, IsNew] = this->IndexOfKey.emplace(Key, I);
      if (!IsNew && Existing->second != I)
        ++this->DisputedKeys;
    }
  }
}

const OrganisationConfig *
OrganisationDirectory::findByKey(const KeyDigest &Key) const {
  const auto Found = this->IndexOfKey.find(Key);
  return Found == this->IndexOfKey.end() ? nullptr : &this->All[Found->second];
}

const OrganisationConfig *
OrganisationDirectory::findByName(const std::string &Name) const {
  const auto Found = this->IndexOfName.find(Name);
  return Found == this->IndexOfName.end() ? nullptr : &this->All[Found->second];
}

OrganisationDirectoryRef
makeOrganisationDirectory(std::vector<OrganisationConfig> All, bool NeedsKeys) {
  return OrganisationDirectoryRef(
      new OrganisationDirectory(std::move(All), NeedsKeys));
}

} // namespace canvaswick
