//===- TextDeltaTest.cpp - Tests for delta encoding -----------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests that a later text is reconstructed from an earlier one and the delta.
//===----------------------------------------------------------------------===//

#include "canvaswick/Support/TextDelta.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidcheck.h>

using namespace canvaswick;

static std::string makeConfig(uint64_t Version, int Routes, int Changed) {
  std::string Text = fmt::format(R"({{"version":{},"routes":[)", Version);
  for (int I = 0; I < Routes; ++I)
    Text += fmt::format(R"({{"name":"r-{0}","host":"h{0}.example","match":)"
                        R"({{"pathPrefix":"/p{0}/"}},"action":{{"service":)"
                        R"("s","timeoutS":{1}}}}},)",
                        I, I == Changed ? 9 : 3);
  return Text + "]}";
}

TEST_CASE(
    "the delta is small if one route of a thousand and the version change") {
  const std::string Earlier = makeConfig(20, 1130, -1);
  const std::string Later = makeConfig(23, 1130, 700);
  const TextDelta Delta = diffTexts(Earlier, Later);
  CHECK(Earlier.size() > 100000);
  CHECK(measureDelta(Delta) < 500);
  CHECK(applyDelta(Earlier, Delta).value() == Later);
  const std::string Longer = makeConfig(24, 1131, 700);
  CHECK(applyDelta(Later, diffTexts(Later, Longer)).value() == Longer);
  CHECK(measureDelta(diffTexts(Later, Longer)) < 500);
}

TEST_CASE("any text is reconstructed from any other") {
  CHECK(rc::check([] {
    const auto Draw = rc::gen::container<std::string>(
        rc::gen::elementOf(std::string("ab{}}}")));
    const std::string Earlier = *Draw;
    const std::string Later = *Draw;
    const Result<std::string> Reconstructed =
        applyDelta(Earlier, diffTexts(Earlier, Later));
    RC_ASSERT(Reconstructed);
    RC_ASSERT(Reconstructed.value() == Later);
  }));
}

TEST_CASE("a delta for another text, or past its end, is refused") {
  const std::string Earlier = makeConfig(20, 30, -1);
  const TextDelta Delta = diffTexts(Earlier, makeConfig(21, 30, 3));
  CHECK_FALSE(applyDelta(makeConfig(20, 30, 5), Delta));
  CHECK_FALSE(applyDelta("", Delta));
  TextDelta PastEnd = Delta;
  PastEnd.Pieces.push_back({Earlier.size(), 1, ""});
  CHECK_FALSE(applyDelta(Earlier, PastEnd));
  TextDelta TooLong;
  TooLong.Pieces.assign(1 << 16, {0, Earlier.size(), ""});
  CHECK_FALSE(applyDelta(Earlier, TooLong));
  PastEnd.Pieces.back() = {1, SIZE_MAX, ""};
  CHECK_FALSE(applyDelta(Earlier, PastEnd));
}
