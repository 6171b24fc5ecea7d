//===- SettingsFuzzTest.cpp - Property test of settings parsing -----------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Parses random sequences of valid and invalid lines. Guards against a tree
/// that is accepted although a value is out of its bounds or a reference is
/// broken, and against an error that does not name the file.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Settings/FleetConfig.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace canvaswick;

/// Returns a random line: mostly one of the table, sometimes arbitrary text.
static std::string drawLine() {
  static const std::vector<std::string> Lines = {"[region r]",
                                                 "[service s]",
                                                 "[server s/a]",
                                                 "[route x]",
                                                 "[organisation o]",
                                                 "[region]",
                                                 "[server s]",
                                                 "region = r",
                                                 "region = gone",
                                                 "slots = 3",
                                                 "slots = -1",
                                                 "slots = 999999",
                                                 "slots =",
                                                 "= 3",
                                                 "address = 10.0.0.1:80",
                                                 "address = 10.0.0.1",
                                                 "hall = h",
                                                 "service = s",
                                                 "prefix = /p",
                                                 "prefix = p",
                                                 "class = once",
                                                 "class = twice",
                                                 "weighing = detection",
                                                 "deadline-ms = 5",
                                                 "deadline-ms = 1e9",
                                                 "; a comment",
                                                 "# another",
                                                 "",
                                                 "[service s",
                                                 "floor-percent = 101",
                                                 "unknown = 1"};
  if (*rc::gen::inRange(0, 10) > 0)
    return *rc::gen::elementOf(Lines);
  return *rc::gen::arbitrary<std::string>();
}

TEST_CASE("any text is refused or gives a tree with all values in bounds") {
  CHECK(rc::check([] {
    std::string Text;
    const int Count = *rc::gen::inRange(0, 25);
    for (int I = 0; I < Count; ++I)
      Text += drawLine() + "\n";
    Result<SettingsTree> Tree = SettingsTree::parse(Text, "fuzz.ini");
    if (!Tree) {
      RC_ASSERT(Tree.error().Message.compare(0, 9, "fuzz.ini:") == 0);
      return;
    }
    const FleetConfigRef Config = compileFleetConfig(Tree.value(), 1);
    for (const ServiceConfig &Service : Config->Services) {
      RC_ASSERT(Service.FloorPercent >= 0 && Service.FloorPercent <= 100);
      for (const ServerConfig &Server : Service.Servers)
        RC_ASSERT(Server.Slots >= 1 && Server.Slots <= 10000);
    }
    for (const RouteConfig &Route : Config->Routes)
      RC_ASSERT(Route.Service < Config->Services.size());
  }));
}
