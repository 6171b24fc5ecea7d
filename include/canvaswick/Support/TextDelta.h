//===- TextDelta.h - Delta encoding of texts --------------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Two versions of a configuration typically differ by one or two of a thousand
/// routes. A daemon that has one version receives the next as references to
/// unchanged ranges and the text between them.
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_SUPPORT_TEXTDELTA_H
#define CANVASWICK_SUPPORT_TEXTDELTA_H

#include "canvaswick/Support/Error.h"

#include <cstdint>
#include <string>
#include <vector>

namespace canvaswick {

/// A range of Count bytes at offset From of the earlier text, followed by
/// InsertedText.
struct TextPiece {
  size_t From = 0;
  size_t Count = 0;
  std::string InsertedText;

  bool operator==(const TextPiece &) const = default;
};

/// Describes how to construct a later text from an earlier one.
struct TextDelta {
  /// XXH64 of the later text.
  uint64_t Checksum = 0;
  std::vector<TextPiece> Pieces;

  bool operator==(const TextDelta &) const = default;
};

/// Compares two texts by segments that end with a closing brace, as the objects
/// of a JSON text do.
TextDelta diffTexts(const std::string &Earlier, const std::string &Later);

/// Constructs the later text. Fails with InvalidArgument if Delta was not made
/// for Earlier, or if the result would be too long.
Result<std::string> applyDelta(const std::string &Earlier,
                               const TextDelta &Delta);

/// Returns the approximate encoded size of a delta in bytes.
size_t measureDelta(const TextDelta &Delta);

} // namespace canvaswick

#endif // CANVASWICK_SUPPORT_TEXTDELTA_H
