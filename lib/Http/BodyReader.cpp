//===- BodyReader.cpp - Bodies of HTTP messages ---------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Every part of a body that is stored before it is passed on has a limit:
/// lines of chunks, and trailers, which are dropped.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Http/BodyReader.h"
#include "canvaswick/Http/HeadGrammar.h"
#include "canvaswick/Http/MessageHead.h"
#include "canvaswick/Support/EnumNames.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <charconv>
#include <cstdlib>

namespace canvaswick {

/// The most bytes of the line before a chunk, with its extensions.
static constexpr size_t MaxChunkLineBytes = 4096;

/// The most bytes of all trailers of a body together.
static constexpr size_t MaxTrailerBytes = 16384;

/// The bytes that are passed on at once at the most.
static constexpr size_t PieceBytes = 16384;

static constexpr EnumNames<BodyEnd, 7> BodyEndNames = {{
    {BodyEnd::Whole, "whole"},
    {BodyEnd::Unread, "unread"},
    {BodyEnd::Cut, "body-cut"},
    {BodyEnd::Malformed, "malformed-chunk"},
    {BodyEnd::TooLong, "chunk-line-too-long"},
    {BodyEnd::TooMuch, "body-without-end"},
    {BodyEnd::Refused, "refused"},
}};

const char *getName(BodyEnd End) { return getEnumName(BodyEndNames, End); }

BodyFraming findBodyFraming(const httplib::Headers &Headers) {
  if (findFramingFault(Headers))
    return BodyFraming::Ambiguous;
  if (Headers.count("Transfer-Encoding") > 0)
    return BodyFraming::Chunked;
  return Headers.count("Content-Length") > 0 ? BodyFraming::Length
                                             : BodyFraming::UntilClose;
}

std::string makeChunk(const char *Data, size_t Size) {
  assert(Size > 0 && "the last chunk is empty");
  std::string Chunk = fmt::format("{:x}\r\n", Size);
  Chunk.append(Data, Size);
  Chunk += "\r\n";
  return Chunk;
}

BodyReader::BodyReader(SocketStream &Stream, BodyFraming Framing,
                       const httplib::Headers &Headers)
    : Stream(Stream), Framing(Framing) {
  if (Framing == BodyFraming::None)
    this->End = BodyEnd::Whole;
  if (Framing == BodyFraming::Length)
    this->Left = std::strtoull(Headers.find("Content-Length")->second.c_str(),
                               nullptr, 10);
}

BodyEnd BodyReader::read(const BodyReceiver &Receive) {
  if (this->End != BodyEnd::Unread && this->End != BodyEnd::Refused)
    return this->End;
  this->End = BodyEnd::Cut;
  const std::string Bytes = std::move(this->Invitation);
  if (Bytes.empty() || this->Stream.write(Bytes.data(), Bytes.size()) >= 0)
    this->End = this->readFramed(Receive);
  return this->End;
}

BodyEnd BodyReader::readFramed(const BodyReceiver &Receive) {
  switch (this->Framing) {
  case BodyFraming::None:
    return BodyEnd::Whole;
  case BodyFraming::Length:
    return this->readPieces(Receive);
  case BodyFraming::Chunked:
    return this->readChunks(Receive);
  case BodyFraming::UntilClose:
    return this->readUntilClose(Receive);
  case BodyFraming::Ambiguous:
    break;
  }
  return BodyEnd::Malformed;
}

/// Reads what is left of a body with a length, or of a chunk.
BodyEnd BodyReader::readPieces(const BodyReceiver &Receive) {
  std::array<char, PieceBytes> Piece;
  while (this->Left > 0) {
    const ssize_t Count = this->Stream.read(
        Piece.data(), std::min<uint64_t>(this->Left, Piece.size()));
    if (Count <= 0)
      return BodyEnd::Cut;
    this->Left -= static_cast<uint64_t>(Count);
    if (!Receive(Piece.data(), static_cast<size_t>(Count)))
      return BodyEnd::Refused;
  }
  return BodyEnd::Whole;
}

BodyEnd BodyReader::readUntilClose(const BodyReceiver &Receive) {
  std::array<char, PieceBytes> Piece;
  while (true) {
    const ssize_t Count = this->Stream.read(Piece.data(), Piece.size());
    if (Count < 0)
      return BodyEnd::Cut;
    if (Count == 0)
      return BodyEnd::Whole;
    if (static_cast<uint64_t>(Count) > this->MaxUnsizedBytes)
      return BodyEnd::TooMuch;
    this->MaxUnsizedBytes -= static_cast<uint64_t>(Count);
    if (!Receive(Piece.data(), static_cast<size_t>(Count)))
      return BodyEnd::Refused;
  }
}

BodyEnd BodyReader::readChunks(const BodyReceiver &Receive) {
  while (true) {
    BodyEnd Step = this->IsInChunk ? BodyEnd::Whole : this->beginChunk();
    if (Step != BodyEnd::Whole)
      return Step;
    if (!this->IsInChunk)
      return this->readTrailers();
    Step = this->readPieces(Receive);
    if (Step == BodyEnd::Whole)
      Step = this->readChunkEnd();
    if (Step != BodyEnd::Whole)
      return Step;
    this->IsInChunk = false;
  }
}

static BodyEnd toBodyEnd(HeadEnd End) {
  switch (End) {
  case HeadEnd::Whole:
    return BodyEnd::Whole;
  case HeadEnd::Cut:
    return BodyEnd::Cut;
  case HeadEnd::TooLong:
    return BodyEnd::TooLong;
  case HeadEnd::Malformed:
  case HeadEnd::FieldName:
  case HeadEnd::FieldValue:
    break;
  }
  return BodyEnd::Malformed;
}

/// Reads the line before a chunk. Extensions are dropped. Does not enter the
/// last chunk, which is empty.
BodyEnd BodyReader::beginChunk() {
  std::string Line;
  const HeadEnd End =
      LineReader(this->Stream, MaxChunkLineBytes).readLine(Line);
  if (End != HeadEnd::Whole)
    return toBodyEnd(End);
  const char *Last = Line.data() + Line.size();
  const auto [After, Failure] =
      std::from_chars(Line.data(), Last, this->Left, 16);
  if (Failure != std::errc())
    return BodyEnd::Malformed;
  const char *Rest = std::find_if_not(
      After, Last, [](char Byte) { return Byte == ' ' || Byte == '\t'; });
  if (Rest != Last && *Rest != ';')
    return BodyEnd::Malformed;
  if (this->Left > this->MaxUnsizedBytes)
    return BodyEnd::TooMuch;
  this->MaxUnsizedBytes -= this->Left;
  this->IsInChunk = this->Left > 0;
  return BodyEnd::Whole;
}

/// Reads the line end after a chunk.
BodyEnd BodyReader::readChunkEnd() {
  static constexpr size_t LineEndBytes = 2;
  std::string Line;
  const HeadEnd End = LineReader(this->Stream, LineEndBytes).readLine(Line);
  return End == HeadEnd::TooLong ? BodyEnd::Malformed : toBodyEnd(End);
}

BodyEnd BodyReader::readTrailers() {
  httplib::Headers Dropped;
  LineReader Lines(this->Stream, MaxTrailerBytes);
  return toBodyEnd(readHeaderFields(Lines, Dropped));
}

} // namespace canvaswick
