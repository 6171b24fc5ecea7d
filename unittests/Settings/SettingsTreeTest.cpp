//===- SettingsTreeTest.cpp - Tests of the settings tree ------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests the inheritance of values, validation and its messages, the example
/// files and the settings reference.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Settings/SettingsTree.h"
#include "canvaswick/Settings/DaemonConfig.h"

#include <doctest/doctest.h>

using namespace canvaswick;

static const std::string SmallTree = "[region bc]\n"
                                     "slots = 5\n"
                                     "deadline-ms = 700\n"
                                     "[service catalogue]\n"
                                     "region = bc\n"
                                     "slots = 4\n"
                                     "[server catalogue/c1]\n"
                                     "address = 10.0.0.1:80\n"
                                     "hall = a\n"
                                     "slots = 3\n"
                                     "[server catalogue/c2]\n"
                                     "address = 10.0.0.2:80\n"
                                     "hall = b\n"
                                     "[route all]\n"
                                     "service = catalogue\n";

/// Returns the error of parsing Text as a tree, or an empty string.
static std::string findProblems(const std::string &Text) {
  Result<SettingsTree> Tree = SettingsTree::parse(Text, "tree.ini");
  return Tree ? "" : Tree.error().Message;
}

TEST_CASE("a value is inherited from the nearest level that sets it") {
  Result<SettingsTree> Tree = SettingsTree::parse(SmallTree, "tree.ini");
  REQUIRE(Tree);
  const SettingNode *First =
      Tree.value().find(SettingLevel::Server, "catalogue/c1");
  const SettingNode *Second =
      Tree.value().find(SettingLevel::Server, "catalogue/c2");
  CHECK(Tree.value().lookupInteger(*First, SettingKey::Slots) == 3);
  CHECK(Tree.value().lookupInteger(*Second, SettingKey::Slots) == 4);
  CHECK(Tree.value().lookup(*Second, SettingKey::Slots).From ==
        SettingLevel::Service);
  const FleetConfigRef Config = compileFleetConfig(Tree.value(), 7);
  CHECK(Config->Version == 7);
  CHECK(Config->Services[0].DeadlineMs == 700);
  CHECK(Config->Services[0].FloorPercent == 50);
  CHECK(Config->Services[0].Servers[1].Slots == 4);
}

TEST_CASE(
    "an error names file, line, section, key, value and expected values") {
  CHECK(findProblems("[region bc]\nslots = many\n") ==
        "tree.ini:2: [region bc] slots = many: expected a whole number from 1 "
        "to 10000 requests");
  CHECK(findProblems("[region bc]\nslotz = 3\n") ==
        "tree.ini:2: [region bc] slotz = 3: unknown key; the nearest is "
        "'slots'");
  CHECK(findProblems("[region bc]\nslots = 3\nslots = 4\n") ==
        "tree.ini:3: [region bc] slots = 4: this key stands twice");
  CHECK(findProblems("[region bc]\nweighing = quick\n") ==
        "tree.ini:2: [region bc] weighing = quick: expected one of "
        "detection|balanced|false-ejections");
  CHECK(findProblems("[regions bc]\n").find("tree.ini:1: [regions bc]") == 0);
  CHECK(findProblems("nonsense\n").find("tree.ini:1:") == 0);
}

TEST_CASE("references between sections are validated") {
  CHECK(findProblems("[service s]\nregion = nowhere\n")
            .find("region = nowhere") != std::string::npos);
  CHECK(findProblems("[region r]\n[service s]\nregion = r\n"
                     "[server t/x]\naddress = 10.0.0.1:80\nhall = a\n")
            .find("[server t/x]") != std::string::npos);
  CHECK(findProblems("[route r]\nservice = gone\n").find("service = gone") !=
        std::string::npos);
  CHECK(findProblems("[region r]\n[service s]\nregion = r\n"
                     "[server s/x]\naddress = host.example:80\nhall = a\n")
            .find("expected IP number:port") != std::string::npos);
}

TEST_CASE("all problems are reported, one per line") {
  const std::string Problems =
      findProblems("[region bc]\nslots = 0\nstall-ms = x\n");
  CHECK(Problems.find("tree.ini:2:") == 0);
  CHECK(Problems.find("\ntree.ini:3:") != std::string::npos);
}

TEST_CASE("a line that is too long is an error and is not truncated") {
  const std::string Long(5000, 'x');
  CHECK(findProblems("[region bc]\nprobe-path = /" + Long + "\n") ==
        "tree.ini:2: the line is too long");
}

TEST_CASE("the example files are valid") {
  const std::string Root = std::string(SOURCE_DIR) + "/examples/";
  for (const char *Name : {"guild", "kildevaerk", "quickstart"}) {
    CAPTURE(Name);
    Result<std::string> Text = readFile(Root + Name + "/settings.ini");
    REQUIRE(Text);
    CHECK(findProblems(Text.value()) == "");
  }
  for (const char *Name : {"guild", "kildevaerk"}) {
    CAPTURE(Name);
    CHECK(loadDaemonConfig(Root + Name + "/daemon.ini"));
  }
}

TEST_CASE("the settings reference agrees with the table") {
  Result<std::string> Page =
      readFile(std::string(SOURCE_DIR) + "/docs/SETTINGS.md");
  REQUIRE(Page);
  CHECK(Page.value() == formatSettingsReference());
}

TEST_CASE("every default value is valid") {
  for (const SettingSpec &Spec : getSettingTable()) {
    CAPTURE(Spec.Name);
    CHECK(&getSettingSpec(Spec.Key) == &Spec);
    if (*Spec.Default)
      CHECK(parseSettingValue(Spec, Spec.Default));
  }
}
