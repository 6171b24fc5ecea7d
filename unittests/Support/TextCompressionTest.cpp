//===- TextCompressionTest.cpp - Tests of packed texts --------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// What is packed comes back, and nothing else does.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Support/TextCompression.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace canvaswick;

static constexpr size_t Most = 1 << 20;

TEST_CASE("any text comes back, up to the bound to the byte") {
  CHECK(rc::check([](const std::string &Text) {
    Result<std::string> Back = decompressText(compressText(Text), Most);
    RC_ASSERT(Back);
    RC_ASSERT(Back.value() == Text);
  }));
  const std::string Long(100000, 'x');
  CHECK(compressText(Long).size() < 1000);
  CHECK(decompressText(compressText(Long), Long.size()));
  CHECK_FALSE(decompressText(compressText(Long), Long.size() - 1));
}

TEST_CASE("what is cut, changed or followed by more is refused") {
  const std::string Packed =
      compressText("a text that is long enough to be cut");
  CHECK_FALSE(decompressText("", Most));
  CHECK_FALSE(decompressText("no stream", Most));
  CHECK_FALSE(decompressText(Packed.substr(0, Packed.size() - 1), Most));
  CHECK_FALSE(decompressText(Packed + "x", Most));
  std::string Changed = Packed;
  Changed[Changed.size() / 2] ^= 1;
  CHECK_FALSE(decompressText(Changed, Most));
}

TEST_CASE("random bytes never unpack to more than the bound") {
  CHECK(rc::check([](const std::string &Bytes) {
    Result<std::string> Back = decompressText(Bytes, 10);
    if (Back)
      RC_ASSERT(Back.value().size() <= 10U);
  }));
}
