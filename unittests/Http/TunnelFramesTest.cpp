//===- TunnelFramesTest.cpp - Tests of frames on tunnels ------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Frames must give back the server's bytes however they arrive, and show an
/// end only once it was marked.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Http/TunnelFrames.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <vector>

using namespace canvaswick;

static std::string makeFrames(const std::vector<std::string> &Pieces) {
  std::string Bytes;
  for (const std::string &Each : Pieces)
    if (!Each.empty())
      Bytes += makeTunnelFrameHead(Each.size()) + Each;
  return Bytes;
}

// Guards against bytes that are lost or taken for marks where arrivals are cut.
TEST_CASE("frames give back what was sent, and nothing less looks whole") {
  CHECK(rc::check([] {
    const auto Pieces = *rc::gen::arbitrary<std::vector<std::string>>();
    const auto Step = *rc::gen::inRange<size_t>(1, 9);
    const auto HasFailed = *rc::gen::arbitrary<bool>();
    const TunnelServerEnd End =
        HasFailed ? TunnelServerEnd::Failed : TunnelServerEnd::Closed;
    const std::string Bytes = makeFrames(Pieces) + makeTunnelEndFrame(End);
    TunnelFrameDecoder Decoder;
    std::string Payload;
    for (size_t At = 0; At < Bytes.size(); At += Step) {
      RC_ASSERT(Decoder.getEnd() == TunnelServerEnd::None);
      RC_ASSERT(
          Decoder.decode(std::string_view(Bytes).substr(At, Step), Payload));
    }
    std::string Sent;
    for (const std::string &Each : Pieces)
      Sent += Each;
    RC_ASSERT(Payload == Sent);
    RC_ASSERT(Decoder.getEnd() == End);
  }));
}

TEST_CASE("a frame that is too long and bytes after the last one are refused") {
  std::string Payload;
  TunnelFrameDecoder TooLong;
  CHECK(!TooLong.decode(std::string("\x00\x01\x00\x01", 4), Payload));
  TunnelFrameDecoder Ended;
  CHECK(!Ended.decode(makeTunnelEndFrame(TunnelServerEnd::Closed) + "x",
                      Payload));
  CHECK(Payload.empty());
}
