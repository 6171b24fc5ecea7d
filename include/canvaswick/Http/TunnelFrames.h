//===- TunnelFrames.h - Frames of bytes on a tunnel ----------- -*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A peer sends the bytes of a server in frames, so that the end of the
/// server's connection differs from the end of the peer. A frame is its length
/// as four bytes, the highest first, and that many bytes. Two lengths mark the
/// end.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_HTTP_TUNNELFRAMES_H
#define CANVASWICK_HTTP_TUNNELFRAMES_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace canvaswick {

/// How the server's connection at the far end of a tunnel ended.
enum class TunnelServerEnd : uint8_t {
  /// It is not known to have ended.
  None,
  /// The server closed it.
  Closed,
  /// It was reset, or failed in another way.
  Failed,
};

/// Returns the beginning of a frame of Length bytes, at least 1 and at most
/// TunnelFrameDecoder::MaxFrameBytes.
std::string makeTunnelFrameHead(size_t Length);

/// Returns the last frame of a tunnel, which says how the server's connection
/// ended. End must not be None.
std::string makeTunnelEndFrame(TunnelServerEnd End);

/// Takes the frames of a tunnel apart, however their bytes arrive.
class TunnelFrameDecoder {
public:
  static constexpr size_t MaxFrameBytes = 65536;

  /// Decodes bytes that have arrived and appends the server's bytes to Payload.
  /// Returns false if they are not frames, or follow the last one.
  bool decode(std::string_view Received, std::string &Payload);

  /// Returns how the server's connection ended, as far as frames have arrived.
  TunnelServerEnd getEnd() const { return this->End; }

private:
  bool beginFrame();

  static constexpr size_t HeadBytes = 4;

  std::string Head;
  size_t Left = 0;
  TunnelServerEnd End = TunnelServerEnd::None;
};

} // namespace canvaswick

#endif // CANVASWICK_HTTP_TUNNELFRAMES_H
