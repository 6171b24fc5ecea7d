//===- TextCompression.cpp - Compression of texts -------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The format is a plain zlib stream. Its checksum is the only integrity check.
//===----------------------------------------------------------------------===//

#include "canvaswick/Support/TextCompression.h"

#include <zlib.h>

#include <algorithm>
#include <cassert>

namespace canvaswick {

/// zlib compression level. A daemon with a tenth of a core compresses for
/// others, so the level is low. At this level a replica of 1,163 entries of
/// servers and daemons shrinks from 212,272 bytes of text to 30,553 bytes of
/// base64 in 3.8 ms on a full core (unit tests DirectoryCalls, on a machine
/// that ran other programs too).
static constexpr int CompressionLevel = 3;

/// Increment by which the output grows, so that a short input that claims to be
/// long allocates no more than it decompresses to.
static constexpr size_t OutputStepBytes = 64 * 1024;

std::string compressText(const std::string &Text) {
  uLongf Length = ::compressBound(static_cast<uLong>(Text.size()));
  std::string Compressed(Length, '\0');
  [[maybe_unused]] const int Status =
      ::compress2(reinterpret_cast<Bytef *>(Compressed.data()), &Length,
                  reinterpret_cast<const Bytef *>(Text.data()),
                  static_cast<uLong>(Text.size()), CompressionLevel);
  assert(Status == Z_OK && "compressBound must suffice");
  Compressed.resize(Length);
  return Compressed;
}

/// Decompresses all input of Stream into Text. Returns the last status of zlib.
static int inflateAll(z_stream &Stream, size_t MaxBytes, std::string &Text) {
  int Status = Z_OK;
  while (Status == Z_OK && Text.size() < MaxBytes) {
    const size_t Before = Text.size();
    const size_t Room = std::min(OutputStepBytes, MaxBytes - Before);
    Text.resize(Before + Room);
    Stream.next_out = reinterpret_cast<Bytef *>(Text.data() + Before);
    Stream.avail_out = static_cast<uInt>(Room);
    Status = ::inflate(&Stream, Z_NO_FLUSH);
    Text.resize(Before + Room - Stream.avail_out);
  }
  return Status;
}

Result<std::string> decompressText(const std::string &Compressed,
                                   size_t MaxBytes) {
  z_stream Stream{};
  // zlib does not write through next_in.
  Stream.next_in =
      reinterpret_cast<Bytef *>(const_cast<char *>(Compressed.data()));
  Stream.avail_in = static_cast<uInt>(Compressed.size());
  if (::inflateInit(&Stream) != Z_OK)
    return makeError(ErrorKind::Unavailable, "no memory to decompress a text");
  std::string Text;
  const int Status = inflateAll(Stream, MaxBytes, Text);
  const bool IsWhole = Status == Z_STREAM_END && Stream.avail_in == 0;
  ::inflateEnd(&Stream);
  if (!IsWhole)
    return makeError(ErrorKind::InvalidArgument,
                     "the compressed text is corrupt or too long");
  return Text;
}

} // namespace canvaswick
