//===- OrganisationDirectory.h - Organisations and their keys ---*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The organisations of one version of the settings, with look-up by the key of
/// a caller. A directory is built once per version and shared through counted
/// references, because a change of the backend servers is frequent and must not
/// copy up to 70,000 keys.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_SETTINGS_ORGANISATIONDIRECTORY_H
#define CANVASWICK_SETTINGS_ORGANISATIONDIRECTORY_H

#include "canvaswick/Support/KeyDigest.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace canvaswick {

/// The settings of one organisation.
struct OrganisationConfig {
  std::string Name;
  /// Requests per second that the whole fleet admits from the organisation. 0
  /// means no limit.
  double RequestsPerSecond = 0;
  /// Capacity of the token bucket: requests that the organisation may send at
  /// once after it has sent less than its rate.
  double Burst = 0;
  /// Priority when capacity is short. 0 is the highest. If it has no value, the
  /// priority of the route applies.
  std::optional<int64_t> Priority;
  /// Digests of the keys that its callers may present.
  std::vector<KeyDigest> Keys;

  bool operator==(const OrganisationConfig &) const = default;
};

/// The name of the organisation whose limits apply to each caller that belongs
/// to no other organisation.
inline constexpr const char *DefaultOrganisation = "default";

/// The organisations of one version of the settings. Immutable.
class OrganisationDirectory
    : public boost::intrusive_ref_counter<OrganisationDirectory> {
public:
  /// A key that several organisations list belongs to the first of them.
  /// NeedsKeys states whether callers must present a key.
  OrganisationDirectory(std::vector<OrganisationConfig> All, bool NeedsKeys);

  /// Returns the organisation that a key belongs to, or null.
  const OrganisationConfig *findByKey(const KeyDigest &Key) const;

  /// Returns the organisation with the given name, or null.
  const OrganisationConfig *findByName(const std::string &Name) const;

  /// Returns whether callers must present a key on routes that are not public.
  bool needsKeys() const { return this->NeedsKeys; }

  /// Returns how many listings of a key were ignored because an earlier
  /// organisation lists the key too.
  size_t countDisputedKeys() const { return this->DisputedKeys; }

  const std::vector<OrganisationConfig> &getAll() const { return this->All; }

private:
  const std::vector<OrganisationConfig> All;
  std::unordered_map<KeyDigest, size_t, KeyDigestHash> IndexOfKey;
  std::unordered_map<std::string, size_t> IndexOfName;
  const bool NeedsKeys;
  size_t DisputedKeys = 0;
};

/// A counted reference to an OrganisationDirectory. Never null in a
/// FleetConfig.
using OrganisationDirectoryRef =
    boost::intrusive_ptr<const OrganisationDirectory>;

/// Creates a directory.
OrganisationDirectoryRef
makeOrganisationDirectory(std::vector<OrganisationConfig> All, bool NeedsKeys);

} // namespace canvaswick

#endif // CANVASWICK_SETTINGS_ORGANISATIONDIRECTORY_H
