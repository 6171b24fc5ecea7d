//===- TextCompression.h - Compression of texts -----------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Compresses store items that daemons exchange, with zlib.
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_SUPPORT_TEXTCOMPRESSION_H
#define CANVASWICK_SUPPORT_TEXTCOMPRESSION_H

#include "canvaswick/Support/Error.h"

#include <string>

namespace canvaswick {

/// Returns Text compressed. Text may contain arbitrary bytes.
std::string compressText(const std::string &Text);

/// Decompresses the output of compressText. Fails with InvalidArgument if
/// Compressed is invalid, or if the result would be longer than MaxBytes, and
/// with Unavailable if there is no memory.
Result<std::string> decompressText(const std::string &Compressed,
                                   size_t MaxBytes);

} // namespace canvaswick

#endif // CANVASWICK_SUPPORT_TEXTCOMPRESSION_H
