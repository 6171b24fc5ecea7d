//===- IniDocument.h - INI text as sections with line numbers ---*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Parses INI text with the inih library and keeps the line number of each
/// entry, so that later validation can report the location of a wrong value.
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

/// One section and its entries in the order of the text. Sections with the same
/// name are merged into one; repeated keys in a section are kept as they are.
struct IniSection {
  std::string Name;
  /// Line of the first header of the section.
  int Line;
  std::vector<IniEntry> Entries;

  /// Returns the last entry with the given key, or null.
  const IniEntry *find(const std::string &Key) const;
};

/// A parsed INI text.
struct IniDocument {
  std::string FileName;
  std::vector<IniSection> Sections;
};

/// Parses Text. Fails with InvalidArgument and a message of the form
/// "file:line: problem". FileName is used only in that message.
Result<IniDocument> parseIni(const std::string &Text,
                             const std::string &FileName);

/// Reads and parses a file. Fails with Io or InvalidArgument.
Result<IniDocument> loadIni(const std::string &Path);

/// Returns the content of a file. Fails with Io if it cannot be opened.
Result<std::string> readFile(const std::string &Path);

} // namespace canvaswick

#endif // CANVASWICK_SETTINGS_INIDOCUMENT_H
