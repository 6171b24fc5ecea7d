//===- TextDelta.cpp - What changed between two texts ---------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Parts are looked up by their content. One that goes on where the last one
/// ended is taken before any other, so that runs stay whole.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Support/TextDelta.h"
#include "canvaswick/Support/Hash.h"

#include <string_view>
#include <unordered_map>

namespace canvaswick {

static constexpr char PartEnd = '}';

/// Longest text that is made: pieces may repeat what the earlier text has.
static constexpr size_t MostTextBytes = 16 << 20;

/// What one piece takes beside its text: two numbers and punctuation.
static constexpr size_t BytesPerPiece = 20;

/// Returns the part of Text that begins at From.
static std::string_view readPart(std::string_view Text, size_t From) {
  const size_t End = Text.find(PartEnd, From);
  return Text.substr(From,
                     End == std::string_view::npos ? End : End + 1 - From);
}

TextDelta diffTexts(const std::string &Earlier, const std::string &Later) {
  std::unordered_map<std::string_view, size_t> Places;
  for (size_t At = 0; At < Earlier.size();) {
    const std::string_view Part = readPart(Earlier, At);
    Places.emplace(Part, At);
    At += Part.size();
  }
  TextDelta Delta;
  Delta.Checksum = hashText(Later);
  TextPiece Piece;
  for (size_t At = 0; At < Later.size();) {
    const std::string_view Part = readPart(Later, At);
    At += Part.size();
    const size_t Next = Piece.From + Piece.Count;
    const bool GoesOn =
        Piece.InsertedText.empty() &&
        readPart(Earlier, std::min(Next, Earlier.size())) == Part;
    const auto Found = Places.find(Part);
    if (GoesOn) {
      Piece.Count += Part.size();
    } else if (Found == Places.end()) {
      Piece.InsertedText += Part;
    } else {
      Delta.Pieces.push_back(std::move(Piece));
      Piece = {Found->second, Part.size(), ""};
    }
  }
  Delta.Pieces.push_back(std::move(Piece));
  return Delta;
}

Result<std::string> applyDelta(const std::string &Earlier,
                               const TextDelta &Delta) {
  std::string Later;
  for (const TextPiece &Piece : Delta.Pieces) {
    if (Piece.From > Earlier.size() ||
        Piece.Count > Earlier.size() - Piece.From)
      return makeError(ErrorKind::InvalidArgument,
                       "a difference past the end of the earlier text");
    if (Piece.Count + Piece.InsertedText.size() > MostTextBytes - Later.size())
      return makeError(ErrorKind::InvalidArgument,
                       "a difference to a text that is too long");
    Later.append(Earlier, Piece.From, Piece.Count);
    Later += Piece.InsertedText;
  }
  if (hashText(Later) != Delta.Checksum)
    return makeError(ErrorKind::InvalidArgument,
                     "a difference to another text");
  return Later;
}

size_t measureDelta(const TextDelta &Delta) {
  size_t Bytes = 0;
  for (const TextPiece &Piece : Delta.Pieces)
    Bytes += BytesPerPiece + Piece.InsertedText.size();
  return Bytes;
}

} // namespace canvaswick
