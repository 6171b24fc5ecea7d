//===- RemovalLogTest.cpp - Tests of the list of removals -----------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The log either has all removals after a position or does not claim to.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Directory/RemovalLog.h"

#include <doctest/doctest.h>

#include <vector>

using namespace canvaswick;

static std::vector<std::string> listAfter(const RemovalLog &Log,
                                          const StorePosition &After) {
  std::vector<std::string> Keys;
  Log.visitAfter(After, [&Keys](const std::string &Key, const StorePosition &) {
    Keys.push_back(Key);
  });
  return Keys;
}

TEST_CASE("removals are listed by position, the last one of each key") {
  RemovalLog Log;
  Log.record("b", {1, 9});
  Log.record("a", {1, 7});
  Log.record("b", {1, 5});
  CHECK(Log.find("b") == StorePosition(1, 9));
  CHECK(listAfter(Log, {1, 0}) == std::vector<std::string>{"a", "b"});
  CHECK(listAfter(Log, {1, 7}) == std::vector<std::string>{"b"});
  Log.forget("b");
  CHECK(listAfter(Log, {1, 7}).empty());
  Log.forgetUpTo({1, 8});
  CHECK(Log.find("a").isNone());
  CHECK(Log.getSince() == StorePosition(1, 8));
}

TEST_CASE("a log that is too long forgets the oldest and says so") {
  RemovalLog Log;
  constexpr uint64_t Count = 3000;
  for (uint64_t I = 1; I <= Count; ++I)
    Log.record(std::to_string(I), {1, I});
  // What followers may still contradict is kept.
  Log.shrink({1, 100});
  CHECK(Log.getSince() == StorePosition(1, 100));
  CHECK(Log.size() == Count - 100);
  Log.shrink({1, Count});
  CHECK(Log.size() == 1000);
  CHECK(Log.getSince() == StorePosition(1, Count - 1000));
}
