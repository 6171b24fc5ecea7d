//===- TreeTextTest.cpp - Tests of TreeText -------------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests that an edit changes one value and nothing else, and the lines of a
/// diff.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Operator/TreeText.h"

#include <doctest/doctest.h>

using namespace canvaswick;

TEST_CASE("a value is set in its section and nothing else changes") {
  const std::string Text = "# top\n[server s/a]\n# why\naddress = 1\n\n"
                           "[server s/b]\nstate = active\naddress = 2\n";
  CHECK(setTreeValue(Text, "server s/b", "state", "draining").value() ==
        "# top\n[server s/a]\n# why\naddress = 1\n\n"
        "[server s/b]\nstate = draining\naddress = 2\n");
  CHECK(setTreeValue(Text, "server s/a", "state", "draining").value() ==
        "# top\n[server s/a]\nstate = draining\n# why\naddress = 1\n\n"
        "[server s/b]\nstate = active\naddress = 2\n");
  CHECK(!setTreeValue(Text, "server s/c", "state", "draining"));
}

TEST_CASE("a diff has the section, key and value of each difference") {
  const IniDocument Old = parseIni("[a]\nx = 1\ny = 2\n", "old").value();
  const IniDocument New = parseIni("[b]\n[a]\ny = 2\nx = 3\n", "new").value();
  CHECK(diffTrees(Old, New) ==
        std::vector<std::string>{"- [a] x = 1", "+ [a] x = 3", "+ [b]"});
  CHECK(diffTrees(Old, Old).empty());
}
