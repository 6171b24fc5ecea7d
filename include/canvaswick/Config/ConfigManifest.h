//===- ConfigManifest.h - A version of the operators' settings, in parts -*- C++
//-*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A tree at the target size is longer than one value of the platform may be.
/// It is stored as parts named by their content and one manifest that names
/// them; the manifest alone is written by compare-and-swap, so readers see a
/// version whole or not at all.
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

/// The key of the manifest at the platform.
inline constexpr const char *ManifestKey = "canvaswick/config/manifest";

/// Returns the key of a part by the hash of its content.
std::string getPartKey(const std::string &Hash);

/// Returns the key under which the manifest of a past version is kept.
std::string getPastManifestKey(uint64_t Version);

/// One part of a version.
struct ConfigPart {
  std::string Name;
  std::string Hash;
  bool operator==(const ConfigPart &) const = default;
};

/// One accepted change, for the history and for finding out whether a change
/// landed.
struct ConfigChange {
  uint64_t Version = 0;
  std::string ChangeId;
  std::string Author;
  std::string Note;
  int64_t TimeMillis = 0;
};

/// What a version consists of.
struct ConfigManifest {
  uint64_t Version = 0;
  std::vector<ConfigPart> Parts;
  /// The newest changes, newest last; the last one made this version.
  std::vector<ConfigChange> Changes;
};

/// The texts of parts by hash.
using ConfigTexts = std::map<std::string, std::string>;

/// Writes a manifest as one value of the platform.
std::string encodeManifest(const ConfigManifest &Manifest);

/// Reads a manifest.
Result<ConfigManifest> decodeManifest(const std::string &Text);

/// Splits a tree's text by sections. A change to one service changes one part.
/// Fills Texts and returns the parts in order.
std::vector<ConfigPart> splitTree(const std::string &Text, ConfigTexts &Texts);

/// Joins the parts again. Fails with NotFound if one is missing, and with Io if
/// one does not match its hash.
Result<std::string> joinTree(const std::vector<ConfigPart> &Parts,
                             const ConfigTexts &Texts);

} // namespace canvaswick

#endif // CANVASWICK_CONFIG_CONFIGMANIFEST_H
