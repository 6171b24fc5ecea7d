//===- LogLines.cpp - Parser for the daemons' log lines -------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Skips lines that are not a daemon's, since log files may be truncated or
/// mixed with the output of other programs.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Operator/LogLines.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <fstream>

namespace canvaswick {

std::string LogLine::get(const std::string &Name) const {
  const auto Found = this->Fields.find(Name);
  return Found == this->Fields.end() ? "" : Found->second;
}

double LogLine::getNumber(const std::string &Name) const {
  return std::strtod(this->get(Name).c_str(), nullptr);
}

/// Returns the position of the space before the first level that has a space on
/// both sides, or npos if there is none.
static size_t findLevel(const std::string &Text) {
  static constexpr std::array<const char *, 3> Levels = {" info ", " warning ",
                                                         " error "};
  size_t First = std::string::npos;
  for (const char *Level : Levels)
    First = std::min(First, Text.find(Level));
  return First;
}

/// Returns the next word of Text at or after Position and moves Position to its
/// end. Spaces within quotes don't end a word.
static std::string readWord(const std::string &Text, size_t &Position) {
  Position = std::min(Text.find_first_not_of(' ', Position), Text.size());
  const size_t Begin = Position;
  bool IsQuoted = false;
  for (; Position < Text.size() && (IsQuoted || Text[Position] != ' ');
       ++Position) {
    if (Text[Position] == '\\' && IsQuoted)
      ++Position;
    else if (Text[Position] == '"')
      IsQuoted = !IsQuoted;
  }
  Position = std::min(Position, Text.size());
  return Text.substr(Begin, Position - Begin);
}

/// Removes the last word from Text and returns it.
static std::string removeLastWord(std::string &Text) {
  const size_t End = Text.find_last_not_of(' ');
  if (End == std::string::npos)
    return "";
  const size_t Space = Text.find_last_of(' ', End);
  const size_t Begin = Space == std::string::npos ? 0 : Space + 1;
  const std::string Word = Text.substr(Begin, End + 1 - Begin);
  Text.resize(Begin);
  return Word;
}

std::optional<LogLine> parseLogLine(const std::string &Text,
                                    const std::string &File) {
  const size_t Level = findLevel(Text);
  if (Level == std::string::npos)
    return std::nullopt;
  std::string Before = Text.substr(0, Level);
  const std::string Time = removeLastWord(Before);
  char *End = nullptr;
  LogLine Line;
  Line.Seconds = std::strtod(Time.c_str(), &End);
  if (Time.empty() || *End != '\0')
    return std::nullopt;
  const std::string Source = removeLastWord(Before);
  Line.Source = Source.empty() ? File : Source;
  Line.Text = Text.substr(Level + 1);
  size_t Position = 0;
  Line.Level = readWord(Line.Text, Position);
  Line.Event = readWord(Line.Text, Position);
  while (Position < Line.Text.size()) {
    const std::string Word = readWord(Line.Text, Position);
    const size_t Equals = Word.find('=');
    if (Equals != std::string::npos)
      Line.Fields[Word.substr(0, Equals)] = Word.substr(Equals + 1);
  }
  return Line;
}

/// Returns the last component of a path.
static std::string getFileName(const std::string &Path) {
  const size_t Slash = Path.find_last_of('/');
  return Slash == std::string::npos ? Path : Path.substr(Slash + 1);
}

Result<std::vector<LogLine>> readLogs(const std::vector<std::string> &Files) {
  std::vector<LogLine> Lines;
  for (const std::string &File : Files) {
    std::ifstream Input(File);
    if (!Input)
      return makeError(ErrorKind::Io, "cannot read " + File);
    std::string Text;
    while (std::getline(Input, Text))
      if (std::optional<LogLine> Line = parseLogLine(Text, getFileName(File)))
        Lines.push_back(std::move(*Line));
  }
  std::stable_sort(Lines.begin(), Lines.end(),
                   [](const LogLine &Left, const LogLine &Right) {
                     return Left.Seconds < Right.Seconds;
                   });
  return Lines;
}

} // namespace canvaswick
