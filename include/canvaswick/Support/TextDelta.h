//===- TextDelta.h - What changed between two texts ----------- -*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Versions of a configuration differ by a route or two in a thousand. Who has
/// one version gets the next as the places that stayed and the text between
/// them.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_SUPPORT_TEXTDELTA_H
#define CANVASWICK_SUPPORT_TEXTDELTA_H

#include "canvaswick/Support/Error.h"

#include <cstdint>
#include <string>
#include <vector>

namespace canvaswick {

/// Count bytes of the earlier text beginning with From, and Own after them.
struct TextPiece {
  size_t From = 0;
  size_t Count = 0;
  std::string InsertedText;

  bool operator==(const TextPiece &) const = default;
};

/// How a later text is made of an earlier one.
struct TextDelta {
  /// XXH64 of the later text.
  uint64_t Checksum = 0;
  std::vector<TextPiece> Pieces;

  bool operator==(const TextDelta &) const = default;
};

/// Compares two texts by the parts that end with a closing brace, as the
/// objects of a JSON text do.
TextDelta diffTexts(const std::string &Earlier, const std::string &Later);

/// Makes the later text. Fails with InvalidArgument if the delta does not
/// belong to this earlier text.
Result<std::string> applyDelta(const std::string &Earlier,
                               const TextDelta &Delta);

/// Returns how many bytes a delta has on the wire, about.
size_t measureDelta(const TextDelta &Delta);

} // namespace canvaswick

#endif // CANVASWICK_SUPPORT_TEXTDELTA_H
