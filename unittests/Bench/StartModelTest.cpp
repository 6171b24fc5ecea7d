//===- StartModelTest.cpp - Tests of the model of a fleet start -----------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Compares the model with the start of a fleet of 443 daemons that read pages
/// of the store: the last daemon waited 1.08 s for its settings.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Bench/CapacityBench.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <sstream>

using namespace canvaswick;

/// Returns the longest wait in ms when Daemons start from a source.
static int findLastWait(const std::string &Daemons, const std::string &Source) {
  const std::vector<CapacityTable> &Tables = getCapacityTables();
  const auto Found =
      std::find_if(Tables.begin(), Tables.end(), [](const auto &Table) {
        return std::string(Table.Name) == "starts";
      });
  REQUIRE(Found != Tables.end());
  std::istringstream Rows(Found->Run());
  std::string Row;
  const std::string Begin = Daemons + "," + Source + ",";
  while (std::getline(Rows, Row))
    if (Row.starts_with(Begin))
      return std::stoi(Row.substr(Row.find(',', Begin.size()) + 1));
  FAIL("no such row");
  return 0;
}

TEST_CASE("443 daemons that start from the snapshot do not saturate any link") {
  CHECK(findLastWait("443", "pages") > 1000);
  CHECK(findLastWait("443", "pages") < 1300);
  CHECK(findLastWait("443", "copy") < 50);
  CHECK(findLastWait("443", "seeds") > findLastWait("443", "pages"));
  CHECK(findLastWait("1000", "copy") < 500);
}
