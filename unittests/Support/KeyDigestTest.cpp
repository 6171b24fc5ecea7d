//===- KeyDigestTest.cpp - Tests for KeyDigest ----------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//

#include "canvaswick/Support/KeyDigest.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace canvaswick;

TEST_CASE("a digest is the first half of SHA-256") {
  // Examples of FIPS 180-4.
  CHECK(KeyDigest::of("abc").format() == "ba7816bf8f01cfea414140de5dae2223");
  CHECK(KeyDigest::of("").format() == "e3b0c44298fc1c149afbf4c8996fb924");
}

TEST_CASE("a digest survives a round trip and distinguishes keys") {
  CHECK(rc::check([] {
    const auto Key = *rc::gen::arbitrary<std::string>();
    const auto Other = *rc::gen::arbitrary<std::string>();
    const KeyDigest Digest = KeyDigest::of(Key);
    const std::optional<KeyDigest> Read = KeyDigest::parse(Digest.format());
    RC_ASSERT(Read.has_value());
    RC_ASSERT(*Read == Digest);
    RC_ASSERT((KeyDigest::of(Other) == Digest) == (Key == Other));
  }));
}

TEST_CASE("a text of another form is not parsed") {
  const std::string Good = KeyDigest::of("k").format();
  CHECK(KeyDigest::parse(Good));
  CHECK_FALSE(KeyDigest::parse(""));
  CHECK_FALSE(KeyDigest::parse(Good.substr(1)));
  CHECK_FALSE(KeyDigest::parse(Good + "0"));
  CHECK_FALSE(KeyDigest::parse(Good.substr(1) + "g"));
  CHECK_FALSE(KeyDigest::parse("+" + Good.substr(1)));
  CHECK_FALSE(KeyDigest::parse(" " + Good.substr(1)));
}
