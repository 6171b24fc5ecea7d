//===- TreeText.cpp - Edits and diffs of settings trees -------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Edits the text line by line, so that comments and layout around a value
/// stay.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Operator/TreeText.h"
#include "canvaswick/Support/Text.h"

#include <map>
#include <sstream>

namespace canvaswick {

/// Returns whether a line assigns a value to Key.
static bool assignsKey(const std::string &Line, const std::string &Key) {
  const size_t Equals = Line.find('=');
  return Equals != std::string::npos && trimText(Line.substr(0, Equals)) == Key;
}

Result<std::string> setTreeValue(const std::string &Text,
                                 const std::string &Section,
                                 const std::string &Key,
                                 const std::string &Value) {
  std::istringstream Stream(Text);
  std::string Line;
  std::string Out;
  bool IsInside = false;
  bool IsFound = false;
  while (std::getline(Stream, Line)) {
    const bool IsHeader = !Line.empty() && Line[0] == '[';
    if (IsHeader)
      IsInside = trimText(Line) == "[" + Section + "]";
    if (IsInside && !IsHeader && assignsKey(Line, Key))
      continue;
    Out += Line + "\n";
    if (!IsHeader || !IsInside || IsFound)
      continue;
    Out += Key + " = " + Value + "\n";
    IsFound = true;
  }
  if (!IsFound)
    return makeError(ErrorKind::NotFound, "no section [" + Section + "]");
  return Out;
}

using KeyedValues = std::map<std::string, std::string>;

/// Returns all values by "[section] key = ", and an empty value for each
/// section by "[section]".
static KeyedValues listValues(const IniDocument &Document) {
  KeyedValues Values;
  for (const IniSection &Section : Document.Sections) {
    Values["[" + Section.Name + "]"] = "";
    for (const IniEntry &Entry : Section.Entries)
      Values["[" + Section.Name + "] " + Entry.Key + " = "] = Entry.Value;
  }
  return Values;
}

std::vector<std::string> diffTrees(const IniDocument &Old,
                                   const IniDocument &New) {
  const KeyedValues Before = listValues(Old);
  const KeyedValues After = listValues(New);
  std::vector<std::string> Lines;
  for (const auto &[Key, Value] : Before) {
    const auto Found = After.find(Key);
    if (Found == After.end() || Found->second != Value)
      Lines.push_back("- " + Key + Value);
  }
  for (const auto &[Key, Value] : After) {
    const auto Found = Before.find(Key);
    if (Found == Before.end() || Found->second != Value)
      Lines.push_back("+ " + Key + Value);
  }
  return Lines;
}

} // namespace canvaswick
