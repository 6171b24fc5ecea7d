//===- MessageHead.cpp - Heads of HTTP messages ---------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Accepts only what can be read in one way (RFC 9112, 2.2 and 5).
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Http/MessageHead.h"
#include "canvaswick/Http/HeadGrammar.h"
#include "canvaswick/Support/EnumNames.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace canvaswick {

static constexpr EnumNames<HeadEnd, 6> HeadEndNames = {{
    {HeadEnd::Whole, "whole"},
    {HeadEnd::Cut, "head-cut"},
    {HeadEnd::TooLong, "head-too-long"},
    {HeadEnd::Malformed, "malformed-head"},
    {HeadEnd::FieldName, "header-name"},
    {HeadEnd::FieldValue, "header-value"},
}};

const char *getName(HeadEnd End) { return getEnumName(HeadEndNames, End); }

HeadEnd LineReader::readLine(std::string &Line) {
  Line.clear();
  char Byte = 0;
  char Last = 0;
  while (this->Left > 0) {
    if (this->Stream.read(&Byte, 1) != 1)
      return HeadEnd::Cut;
    --this->Left;
    if (Byte == '\n') {
      if (Last != '\r')
        return HeadEnd::Malformed;
      Line.pop_back();
      return HeadEnd::Whole;
    }
    if (Last == '\r' || Byte == '\0')
      return HeadEnd::Malformed;
    Line += Byte;
    Last = Byte;
  }
  return HeadEnd::TooLong;
}

static bool isBlank(char Byte) { return Byte == ' ' || Byte == '\t'; }

/// Splits a header line at its colon and adds the field. Returns what is wrong
/// with it, or Whole.
static HeadEnd addHeaderField(const std::string &Line,
                              httplib::Headers &Headers) {
  const size_t Colon = Line.find(':');
  if (Colon == std::string::npos || isBlank(Line[0]))
    return HeadEnd::Malformed;
  std::string Name = Line.substr(0, Colon);
  if (!isToken(Name))
    return HeadEnd::FieldName;
  const auto Begin = std::find_if_not(
      Line.begin() + static_cast<ptrdiff_t>(Colon) + 1, Line.end(), isBlank);
  const auto End = std::find_if_not(Line.rbegin(),
                                    std::make_reverse_iterator(Begin), isBlank)
                       .base();
  std::string Value(Begin, End);
  if (hasControlByte(Value))
    return HeadEnd::FieldValue;
  Headers.emplace(std::move(Name), std::move(Value));
  return HeadEnd::Whole;
}

HeadEnd readHeaderFields(LineReader &Lines, httplib::Headers &Headers) {
  std::string Line;
  while (true) {
    HeadEnd End = Lines.readLine(Line);
    if (End != HeadEnd::Whole || Line.empty())
      return End;
    End = addHeaderField(Line, Headers);
    if (End != HeadEnd::Whole)
      return End;
  }
}

HeadEnd readMessageHead(LineReader &Lines, MessageHead &Head) {
  const HeadEnd End = Lines.readLine(Head.StartLine);
  if (End != HeadEnd::Whole)
    return End;
  return readHeaderFields(Lines, Head.Headers);
}

bool parseRequestHead(MessageHead Head, httplib::Request &Request) {
  const std::string &Line = Head.StartLine;
  const size_t First = Line.find(' ');
  const size_t Second =
      First == std::string::npos ? First : Line.find(' ', First + 1);
  if (Second == std::string::npos)
    return false;
  Request.method = Line.substr(0, First);
  Request.target = Line.substr(First + 1, Second - First - 1);
  Request.version = Line.substr(Second + 1);
  Request.headers = std::move(Head.Headers);
  return !Request.method.empty();
}

bool parseResponseHead(MessageHead Head, httplib::Response &Response) {
  static constexpr size_t VersionLength = 8;
  static constexpr size_t StatusLength = 3;
  static constexpr size_t ReasonAt = VersionLength + StatusLength + 2;
  const std::string &Line = Head.StartLine;
  Response.version = Line.substr(0, VersionLength);
  if (Response.version != "HTTP/1.1" && Response.version != "HTTP/1.0")
    return false;
  if (Line.size() < ReasonAt - 1 || Line[VersionLength] != ' ')
    return false;
  const char *Begin = Line.data() + VersionLength + 1;
  const auto [Last, Failure] =
      std::from_chars(Begin, Begin + StatusLength, Response.status);
  if (Failure != std::errc() || Last != Begin + StatusLength)
    return false;
  if (Line.size() >= ReasonAt && Line[ReasonAt - 1] != ' ')
    return false;
  Response.reason = Line.size() > ReasonAt ? Line.substr(ReasonAt) : "";
  Response.headers = std::move(Head.Headers);
  return true;
}

} // namespace canvaswick
