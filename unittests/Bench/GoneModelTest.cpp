//===- GoneModelTest.cpp - Tests of the model of servers that are gone ----===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//

#include "canvaswick/Bench/CapacityBench.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <sstream>

using namespace canvaswick;

/// Returns the misdirected requests of a row of the table.
static int findMisdirected(const std::string &Csv, const std::string &Begin) {
  std::istringstream Rows(Csv);
  std::string Row;
  while (std::getline(Rows, Row)) {
    if (!Row.starts_with(Begin))
      continue;
    const size_t AfterRequests = Row.find(',', Begin.size()) + 1;
    return std::stoi(Row.substr(AfterRequests));
  }
  FAIL("no such row");
  return 0;
}

TEST_CASE("daemons that tell each other spare nine tenths of the misdirected "
          "requests") {
  const std::vector<CapacityTable> &Tables = getCapacityTables();
  const auto Found =
      std::find_if(Tables.begin(), Tables.end(), [](const auto &Table) {
        return std::string(Table.Name) == "gone";
      });
  REQUIRE(Found != Tables.end());
  const std::string Csv = Found->Run();
  for (const std::string Fleet : {"36,16,12,100,", "441,300,240,1500,"}) {
    const int Alone = findMisdirected(Csv, Fleet + "0,false,");
    CHECK(findMisdirected(Csv, Fleet + "0,true,") < Alone / 10);
    CHECK(findMisdirected(Csv, Fleet + "20,true,") < Alone / 10);
  }
}
