//===- IniDocument.h - INI text as sections with line numbers ---*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Reads INI by the inih library and keeps the line of every entry, so that a
/// later check can name the place of a wrong value.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_SETTINGS_INIDOCUMENT_H
#define CANVASWICK_SETTINGS_INIDOCUMENT_H

#include "canvaswick/Support/Error.h"

#include <string>
#include <vector>

namespace canvaswick {

/// One "key = value" line.
struct IniEntry {
  std::string Key;
  std::string Value;
  int Line;
};

/// One section and its entries in the order of the text. A section that stands
/// twice is one section here; a key that stands twice in it stays twice.
struct IniSection {
  std::string Name;
  int Line;
  std::vector<IniEntry> Entries;

  /// Returns the last entry with the given key, or null.
  const IniEntry *find(const std::string &Key) const;
};

/// A whole INI text.
struct IniDocument {
  std::string FileName;
  std::vector<IniSection> Sections;
};

/// Parses Text. FileName is used in errors only, which read
/// "file:line: what".
Result<IniDocument> parseIni(const std::string &Text,
                             const std::string &FileName);

/// Reads and parses a file. Errors are of the kinds Io and InvalidArgument.
Result<IniDocument> loadIni(const std::string &Path);

/// Reads a whole file as text.
Result<std::string> readFile(const std::string &Path);

} // namespace canvaswick

#endif // CANVASWICK_SETTINGS_INIDOCUMENT_H
