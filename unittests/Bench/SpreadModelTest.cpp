//===- SpreadModelTest.cpp - Tests of a large value in one hall -----------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The time until all daemons have a configuration must not grow with the hall
/// as the time of one giver's link does.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Bench/CapacityBench.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <sstream>

using namespace canvaswick;

/// Returns the time in ms until the last daemon has the configuration, from the
/// row that begins with Begin.
static int findLast(const std::string &Begin) {
  const std::vector<CapacityTable> &Tables = getCapacityTables();
  const auto Found =
      std::find_if(Tables.begin(), Tables.end(), [](const auto &Table) {
        return std::string(Table.Name) == "spread";
      });
  REQUIRE(Found != Tables.end());
  std::istringstream Rows(Found->Run());
  std::string Row;
  while (std::getline(Rows, Row))
    if (Row.starts_with(Begin))
      return std::stoi(Row.substr(Row.rfind(',') + 1));
  FAIL("no such row");
  return 0;
}

TEST_CASE("a configuration that is passed on reaches large halls in time") {
  // The bound is two seconds after the store has it.
  CHECK(findLast("36,2800,passed-on,10,") < 2000);
  CHECK(findLast("200,2800,passed-on,20,") < 2000);
  CHECK(findLast("400,2800,passed-on,20,") < 2000);
  // Twice the hall costs a part of a round, not twice the time.
  CHECK(findLast("400,2800,passed-on,20,") <
        1.3 * findLast("200,2800,passed-on,20,"));
  CHECK(findLast("200,2800,from-watchers,20,") > 2000);
}
