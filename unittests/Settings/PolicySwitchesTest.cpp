//===- PolicySwitchesTest.cpp - Tests of the policy switches --------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Checks that all mechanisms are on unless they are switched off, and that
/// errors name file and line.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Settings/PolicySwitches.h"

#include <doctest/doctest.h>

using namespace canvaswick;

static Result<PolicySwitches> read(const std::string &Text) {
  const IniDocument Document = parseIni(Text, "d.ini").value();
  return readPolicySwitches(Document.Sections.at(0), "d.ini");
}

TEST_CASE("every mechanism is on unless it is switched off") {
  const PolicySwitches Default;
  for (size_t I = 0; I < MechanismCount; ++I)
    CHECK(Default.isOn(static_cast<Mechanism>(I)));
  for (size_t I = 0; I < MechanismCount; ++I) {
    const auto Which = static_cast<Mechanism>(I);
    const std::string Name = getName(Which);
    const auto Off = read("[policy]\n" + Name + " = off\n");
    REQUIRE(Off);
    for (size_t J = 0; J < MechanismCount; ++J)
      CHECK(Off.value().isOn(static_cast<Mechanism>(J)) == (I != J));
    CHECK(read("[policy]\n" + Name + " = on\n").value().isOn(Which));
  }
}

TEST_CASE(
    "an unknown mechanism or value is an error that names file and line") {
  const auto Unknown = read("[policy]\nfloor = on\nluck = on\n");
  REQUIRE_FALSE(Unknown);
  CHECK(Unknown.error().Message == "d.ini:3: [policy]: luck is no mechanism");
  const auto Value = read("[policy]\nfloor = maybe\n");
  REQUIRE_FALSE(Value);
  CHECK(Value.error().Message ==
        "d.ini:2: [policy] floor = maybe: expected on or off");
}

TEST_CASE("the number of servers from which a service has many is a setting") {
  CHECK(PolicySwitches().getManyServers() == 32);
  const auto Given = read("[policy]\nmany-servers = 5\nfloor = off\n");
  REQUIRE(Given);
  CHECK(Given.value().getManyServers() == 5);
  CHECK_FALSE(Given.value().isOn(Mechanism::Floor));
  for (const char *Text : {"0", "-1", "5x", ""}) {
    const auto Wrong =
        read(std::string("[policy]\nmany-servers = ") + Text + "\n");
    REQUIRE_FALSE(Wrong);
    CHECK(Wrong.error().Message.find("d.ini:2: [policy] many-servers") == 0);
  }
}
