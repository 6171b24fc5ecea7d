//===- ConfigManifest.h - Version of the settings in parts ------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A settings tree can be longer than one value of the platform may be. It is
/// stored as parts, whose keys are hashes of their content, and one manifest
/// that lists them. Only the manifest is written by compare-and-swap, so a
/// reader sees either a complete version or none.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_CONFIG_CONFIGMANIFEST_H
#define CANVASWICK_CONFIG_CONFIGMANIFEST_H

#include "canvaswick/Support/Error.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace canvaswick {

/// The key of the newest manifest at the platform.
inline constexpr const char *ManifestKey = "canvaswick/config/manifest";

/// Returns the key of the part whose content has the given hash.
std::string getPartKey(const std::string &Hash);

/// Returns the key of the manifest of a past version.
std::string getPastManifestKey(uint64_t Version);

/// One part of a version.
struct ConfigPart {
  std::string Name;
  std::string Hash;
  bool operator==(const ConfigPart &) const = default;
};

/// One accepted change of the settings. Changes are kept for the history and to
/// find out whether a change took effect after its response was lost.
struct ConfigChange {
  uint64_t Version = 0;
  std::string ChangeId;
  std::string Author;
  std::string Note;
  /// Calendar time of the change in milliseconds.
  int64_t TimeMillis = 0;
};

/// The content of a version: its parts and the changes that led to it.
struct ConfigManifest {
  uint64_t Version = 0;
  std::vector<ConfigPart> Parts;
  /// The most recent changes, oldest first. The last one made this version.
  std::vector<ConfigChange> Changes;
};

/// The texts of parts by the hash of the text.
using ConfigTexts = std::map<std::string, std::string>;

/// Encodes a manifest as JSON.
std::string encodeManifest(const ConfigManifest &Manifest);

/// Decodes a manifest. Fails with InvalidArgument if Text is malformed.
Result<ConfigManifest> decodeManifest(const std::string &Text);

/// Splits the text of a tree into parts by section, such that a change of one
/// service changes one part. Adds the texts of the parts to Texts and returns
/// the parts ordered by name.
std::vector<ConfigPart> splitTree(const std::string &Text, ConfigTexts &Texts);

/// Joins parts into the text of a tree. Fails with NotFound if the text of a
/// part is missing, and with Io if it does not match the hash of the part.
Result<std::string> joinTree(const std::vector<ConfigPart> &Parts,
                             const ConfigTexts &Texts);

} // namespace canvaswick

#endif // CANVASWICK_CONFIG_CONFIGMANIFEST_H
