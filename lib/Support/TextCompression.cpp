//===- TextCompression.cpp - Texts made short for the wire ----------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A zlib stream with nothing around it: its own check sum is its only proof.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Support/TextCompression.h"

#include <zlib.h>

#include <algorithm>
#include <cassert>

namespace canvaswick {

/// A machine with a tenth of a core packs for others. A copy of 1,163 entries
/// of servers and daemons: 212,272 bytes as text, 30,553 packed and as base64,
/// in 3.8 ms of a whole core (unit tests DirectoryCalls, beside other
/// programs).
static constexpr int Level = 3;

/// Room is made in steps, so that a short text that claims to be long costs
/// what it is.
static constexpr size_t StepBytes = 64 * 1024;

std::string compressText(const std::string &Text) {
  uLongf Length = ::compressBound(static_cast<uLong>(Text.size()));
  std::string Packed(Length, '\0');
  [[maybe_unused]] const int Status =
      ::compress2(reinterpret_cast<Bytef *>(Packed.data()), &Length,
                  reinterpret_cast<const Bytef *>(Text.data()),
                  static_cast<uLong>(Text.size()), Level);
  assert(Status == Z_OK && "room for the longest result");
  Packed.resize(Length);
  return Packed;
}

/// Inflates all of Stream's input into Text. Returns zlib's last word.
static int inflateAll(z_stream &Stream, size_t MostBytes, std::string &Text) {
  int Status = Z_OK;
  while (Status == Z_OK && Text.size() < MostBytes) {
    const size_t Before = Text.size();
    const size_t Room = std::min(StepBytes, MostBytes - Before);
    Text.resize(Before + Room);
    Stream.next_out = reinterpret_cast<Bytef *>(Text.data() + Before);
    Stream.avail_out = static_cast<uInt>(Room);
    Status = ::inflate(&Stream, Z_NO_FLUSH);
    Text.resize(Before + Room - Stream.avail_out);
  }
  return Status;
}

Result<std::string> decompressText(const std::string &Packed,
                                   size_t MostBytes) {
  z_stream Stream{};
  // zlib reads through this pointer only.
  Stream.next_in = reinterpret_cast<Bytef *>(const_cast<char *>(Packed.data()));
  Stream.avail_in = static_cast<uInt>(Packed.size());
  if (::inflateInit(&Stream) != Z_OK)
    return makeError(ErrorKind::Unavailable, "no memory to unpack a text");
  std::string Text;
  const int Status = inflateAll(Stream, MostBytes, Text);
  const bool IsWhole = Status == Z_STREAM_END && Stream.avail_in == 0;
  ::inflateEnd(&Stream);
  if (!IsWhole)
    return makeError(ErrorKind::InvalidArgument,
                     "a packed text that is broken or too long");
  return Text;
}

} // namespace canvaswick
