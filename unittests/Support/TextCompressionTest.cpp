//===- TextCompressionTest.cpp - Tests for text compression ---------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests that texts survive a round trip and that invalid input is refused.
//===----------------------------------------------------------------------===//

#include "canvaswick/Support/TextCompression.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace canvaswick;

static constexpr size_t MaxBytes = 1 << 20;

TEST_CASE("any text survives a round trip, up to the exact length limit") {
  CHECK(rc::check([](const std::string &Text) {
    Result<std::string> Decompressed =
        decompressText(compressText(Text), MaxBytes);
    RC_ASSERT(Decompressed);
    RC_ASSERT(Decompressed.value() == Text);
  }));
  const std::string Long(100000, 'x');
  CHECK(compressText(Long).size() < 1000);
  CHECK(decompressText(compressText(Long), Long.size()));
  CHECK_FALSE(decompressText(compressText(Long), Long.size() - 1));
}

TEST_CASE("truncated, changed or extended input is refused") {
  const std::string Compressed =
      compressText("a text that is long enough to be cut");
  CHECK_FALSE(decompressText("", MaxBytes));
  CHECK_FALSE(decompressText("no stream", MaxBytes));
  CHECK_FALSE(
      decompressText(Compressed.substr(0, Compressed.size() - 1), MaxBytes));
  CHECK_FALSE(decompressText(Compressed + "x", MaxBytes));
  std::string Changed = Compressed;
  Changed[Changed.size() / 2] ^= 1;
  CHECK_FALSE(decompressText(Changed, MaxBytes));
}

TEST_CASE("random bytes never decompress to more than the limit") {
  CHECK(rc::check([](const std::string &Bytes) {
    Result<std::string> Decompressed = decompressText(Bytes, 10);
    if (Decompressed)
      RC_ASSERT(Decompressed.value().size() <= 10U);
  }));
}
