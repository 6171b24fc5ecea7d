//===- TextCompression.h - Texts made short for the wire --------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Compresses what daemons tell each other of the store's items, with zlib.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_SUPPORT_TEXTCOMPRESSION_H
#define CANVASWICK_SUPPORT_TEXTCOMPRESSION_H

#include "canvaswick/Support/Error.h"

#include <string>

namespace canvaswick {

/// Returns a text compressed. Any bytes may be in it.
std::string compressText(const std::string &Text);

/// Undoes compressText. Fails with InvalidArgument on what compressText has not
/// made, and on what would be longer than MostBytes.
Result<std::string> decompressText(const std::string &Packed, size_t MostBytes);

} // namespace canvaswick

#endif // CANVASWICK_SUPPORT_TEXTCOMPRESSION_H
