//===- TunnelFrames.cpp - Frames of bytes on a tunnel ---------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Builds frames and takes them apart.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Http/TunnelFrames.h"

#include <algorithm>
#include <cassert>

namespace canvaswick {

/// The lengths that mark the last frame.
static constexpr uint32_t ClosedMark = 0;
static constexpr uint32_t FailedMark = 0xffffffff;

static std::string encodeLength(uint32_t Length) {
  std::string Bytes;
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    Bytes += static_cast<char>(Length >> Shift & 0xff);
  return Bytes;
}

static uint32_t decodeLength(std::string_view Bytes) {
  uint32_t Length = 0;
  for (const char Byte : Bytes)
    Length = Length << 8 | static_cast<unsigned char>(Byte);
  return Length;
}

std::string makeTunnelFrameHead(size_t Length) {
  assert(Length > 0 && Length <= TunnelFrameDecoder::MaxFrameBytes &&
         "a frame of no allowed length");
  return encodeLength(static_cast<uint32_t>(Length));
}

std::string makeTunnelEndFrame(TunnelServerEnd End) {
  assert(End != TunnelServerEnd::None && "a tunnel that has not ended");
  return encodeLength(End == TunnelServerEnd::Closed ? ClosedMark : FailedMark);
}

/// Reads the complete head of a frame. Returns false if its length is not
/// allowed.
bool TunnelFrameDecoder::beginFrame() {
  const uint32_t Length = decodeLength(this->Head);
  this->Head.clear();
  if (Length == ClosedMark)
    this->End = TunnelServerEnd::Closed;
  else if (Length == FailedMark)
    this->End = TunnelServerEnd::Failed;
  else
    this->Left = Length;
  return this->Left <= MaxFrameBytes;
}

bool TunnelFrameDecoder::decode(std::string_view Received,
                                std::string &Payload) {
  while (!Received.empty()) {
    if (this->End != TunnelServerEnd::None)
      return false;
    if (this->Left == 0) {
      const size_t Count =
          std::min(Received.size(), HeadBytes - this->Head.size());
      this->Head += Received.substr(0, Count);
      Received.remove_prefix(Count);
      if (this->Head.size() == HeadBytes && !this->beginFrame())
        return false;
      continue;
    }
    const size_t Count = std::min(Received.size(), this->Left);
    Payload += Received.substr(0, Count);
    Received.remove_prefix(Count);
    this->Left -= Count;
  }
  return true;
}

} // namespace canvaswick
