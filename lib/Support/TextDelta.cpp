//===- TextDelta.cpp - Delta encoding of texts ----------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Segments are looked up by content. A segment that follows the previous match
/// in the earlier text is preferred to any other, so that ranges stay
/// contiguous.
//===----------------------------------------------------------------------===//

#include "canvaswick/Support/TextDelta.h"
#include "canvaswick/Support/Hash.h"

#include <string_view>
#include <unordered_map>

namespace canvaswick {

static constexpr char SegmentEnd = '}';

/// Maximum size of a constructed text: a small delta may refer to the same
/// range many times.
static constexpr size_t MaxTextBytes = 16 << 20;

/// Encoded size of a piece without its text: two numbers and punctuation.
static constexpr size_t BytesPerPiece = 20;

/// Returns the segment of Text that begins at From.
static std::string_view readSegment(std::string_view Text, size_t From) {
  const size_t End = Text.find(SegmentEnd, From);
  return Text.substr(From,
                     End == std::string_view::npos ? End : End + 1 - From);
}

TextDelta diffTexts(const std::string &Earlier, const std::string &Later) {
  std::unordered_map<std::string_view, size_t> Offsets;
  for (size_t Offset = 0; Offset < Earlier.size();) {
    const std::string_view Segment = readSegment(Earlier, Offset);
    Offsets.emplace(Segment, Offset);
    Offset += Segment.size();
  }
  TextDelta Delta;
  Delta.Checksum = hashText(Later);
  TextPiece Piece;
  for (size_t Offset = 0; Offset < Later.size();) {
    const std::string_view Segment = readSegment(Later, Offset);
    Offset += Segment.size();
    const size_t Next = Piece.From + Piece.Count;
    const bool IsContiguous =
        Piece.InsertedText.empty() &&
        readSegment(Earlier, std::min(Next, Earlier.size())) == Segment;
    const auto Found = Offsets.find(Segment);
    if (IsContiguous) {
      Piece.Count += Segment.size();
    } else if (Found == Offsets.end()) {
      Piece.InsertedText += Segment;
    } else {
      Delta.Pieces.push_back(std::move(Piece));
      Piece = {Found->second, Segment.size(), ""};
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
                       "a delta that refers past the end of the earlier text");
    if (Piece.Count + Piece.InsertedText.size() > MaxTextBytes - Later.size())
      return makeError(ErrorKind::InvalidArgument,
                       "a delta to a text that is too long");
    Later.append(Earlier, Piece.From, Piece.Count);
    Later += Piece.InsertedText;
  }
  if (hashText(Later) != Delta.Checksum)
    return makeError(ErrorKind::InvalidArgument,
                     "a delta to a text with another checksum");
  return Later;
}

size_t measureDelta(const TextDelta &Delta) {
  size_t Bytes = 0;
  for (const TextPiece &Piece : Delta.Pieces)
    Bytes += BytesPerPiece + Piece.InsertedText.size();
  return Bytes;
}

} // namespace canvaswick
