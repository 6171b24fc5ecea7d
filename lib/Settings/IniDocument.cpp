//===- IniDocument.cpp - INI text as sections with line numbers -----------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Wraps the inih library. Its reader callback is called once per line, which
/// provides the line number that its value callback lacks.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Settings/IniDocument.h"

#include <fmt/format.h>
#include <ini.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>
#include <unordered_map>

namespace canvaswick {

const IniEntry *IniSection::find(const std::string &Key) const {
  const IniEntry *Found = nullptr;
  for (const IniEntry &Entry : this->Entries)
    if (Entry.Key == Key)
      Found = &Entry;
  return Found;
}

namespace {

/// The state that the two callbacks of inih share.
struct ParseState {
  std::istringstream Input;
  int Line = 0;
  /// Number of the first line that is longer than the buffer of inih, or 0.
  int FirstLongLine = 0;
  IniDocument *Document = nullptr;
  std::unordered_map<std::string, size_t> SectionIndex;
};

} // namespace

/// Records the section if Line is a header "[name]". inih reports a section
/// only with its first entry, so it would not report an empty section.
static void recordSection(ParseState &State, const std::string &Line) {
  const size_t Close = Line.find(']');
  if (Line.empty() || Line[0] != '[' || Close == std::string::npos)
    return;
  const std::string Name = Line.substr(1, Close - 1);
  std::vector<IniSection> &Sections = State.Document->Sections;
  if (State.SectionIndex.emplace(Name, Sections.size()).second)
    Sections.push_back(IniSection{Name, State.Line, {}});
}

/// Reads the next line for inih. Returns null at the end of the text.
static char *readLine(char *Buffer, int Size, void *Context) {
  auto *State = static_cast<ParseState *>(Context);
  std::string Line;
  if (!std::getline(State->Input, Line))
    return nullptr;
  ++State->Line;
  const size_t Capacity = static_cast<size_t>(Size) - 1;
  if (Line.size() > Capacity && State->FirstLongLine == 0)
    State->FirstLongLine = State->Line;
  recordSection(*State, Line);
  const size_t Length = std::min(Line.size(), Capacity);
  std::memcpy(Buffer, Line.data(), Length);
  Buffer[Length] = '\0';
  return Buffer;
}

/// Adds an entry for inih. Returns 0 for an error, which is an entry outside a
/// section.
static int addEntry(void *Context, const char *Section, const char *Key,
                    const char *Value) {
  auto *State = static_cast<ParseState *>(Context);
  const auto Found = State->SectionIndex.find(Section);
  if (Found == State->SectionIndex.end())
    return 0;
  IniSection &Target = State->Document->Sections[Found->second];
  Target.Entries.push_back(IniEntry{Key, Value, State->Line});
  return 1;
}

Result<IniDocument> parseIni(const std::string &Text,
                             const std::string &FileName) {
  IniDocument Document;
  Document.FileName = FileName;
  ParseState State;
  State.Input.str(Text);
  State.Document = &Document;
  const int ErrorLine = ini_parse_stream(readLine, &State, addEntry, &State);
  if (State.FirstLongLine > 0)
    return makeError(ErrorKind::InvalidArgument,
                     fmt::format("{}:{}: the line is too long", FileName,
                                 State.FirstLongLine));
  if (ErrorLine > 0)
    return makeError(ErrorKind::InvalidArgument,
                     fmt::format("{}:{}: expected '[section]' or 'key = value'",
                                 FileName, ErrorLine));
  if (ErrorLine < 0)
    return makeError(ErrorKind::InvalidArgument,
                     fmt::format("{}:1: cannot be read as INI", FileName));
  return Document;
}

Result<std::string> readFile(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    return makeError(ErrorKind::Io,
                     fmt::format("{}:0: {}", Path, std::strerror(errno)));
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

Result<IniDocument> loadIni(const std::string &Path) {
  BOOST_OUTCOME_TRY(std::string Text, readFile(Path));
  return parseIni(Text, Path);
}

} // namespace canvaswick
