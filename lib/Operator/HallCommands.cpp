//===- HallCommands.cpp - Commands that drain a hall ----------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Implements the command "hall": its subcommands drain a hall, return it, and
/// list all halls with the room that is left without each.
///
//===----------------------------------------------------------------------===//

#include "TreeEdit.h"
#include "canvaswick/Operator/Commands.h"
#include "canvaswick/Operator/HallRoom.h"
#include "canvaswick/Operator/TreeText.h"
#include "canvaswick/Settings/FleetConfig.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace canvaswick {

static Result<SettingsTree> parseNewest(const std::string &Text) {
  return SettingsTree::parse(Text, "platform");
}

static std::string formatRoom(const SettingsTree &Tree,
                              const std::string &Hall) {
  std::string Text;
  for (const ServiceRoom &Each : computeHallRoom(Tree, Hall))
    Text += fmt::format("  {}: {} of {} slots remain without it\n",
                        Each.Service, Each.Remaining, Each.Usable);
  return Text;
}

/// Returns the tree with a hall drained in each region that has servers there,
/// or returned in each region that names it.
static Result<std::string> editRegions(const SettingsTree &Tree,
                                       std::string Text,
                                       const std::string &Hall, bool Drains) {
  const std::set<std::string> Regions = listRegionsOfHall(Tree, Hall);
  for (const auto &[Region, Node] : Tree.getNodes(SettingLevel::Region)) {
    std::set<std::string> Drained = listDrainedHalls(Tree, Node);
    const bool IsChanged =
        Drains ? Regions.count(Region) > 0 && Drained.insert(Hall).second
               : Drained.erase(Hall) > 0;
    if (!IsChanged)
      continue;
    BOOST_OUTCOME_TRY(
        Text, setTreeValue(Text, "region " + Region,
                           getSettingSpec(SettingKey::DrainedHalls).Name,
                           fmt::format("{}", fmt::join(Drained, " "))));
  }
  return Text;
}

/// Returns the newest tree with a hall drained or returned, and sets Room to
/// what remains without it. Fails with NotFound if no server is in a hall that
/// is to be drained, or if a hall that is to be returned is not drained.
static Result<std::string> editHall(const std::string &Text,
                                    const std::string &Hall, bool Drains,
                                    std::string &Room) {
  BOOST_OUTCOME_TRY(SettingsTree Tree, parseNewest(Text));
  const std::set<std::string> Known =
      Drains ? listHalls(Tree) : listDrainedHalls(Tree);
  if (Known.count(Hall) == 0)
    return makeError(
        ErrorKind::NotFound,
        fmt::format("{} {}; there are: {}",
                    Drains ? "no server is in hall" : "not a drained hall:",
                    Hall, fmt::join(Known, ", ")));
  Room = formatRoom(Tree, Hall);
  return editRegions(Tree, Text, Hall, Drains);
}

static Result<std::string> changeHall(const OperatorOptions &Options,
                                      bool Drains) {
  if (Options.Arguments.size() != 2)
    return makeError(ErrorKind::InvalidArgument, "expected the name of a hall");
  const std::string &Hall = Options.Arguments[1];
  const char *State = Drains ? "drained" : "returned";
  std::string Room;
  const TreeEdit Edit = [&](const std::string &Text) {
    return editHall(Text, Hall, Drains, Room);
  };
  BOOST_OUTCOME_TRY(
      uint64_t Version,
      publishEdit(Options, fmt::format("hall {} {}", Hall, State), Edit));
  return fmt::format("hall {} is {} from version {}\n{}", Hall, State, Version,
                     Drains ? Room : "");
}

static Result<std::string> listAllHalls(const OperatorOptions &Options) {
  BOOST_OUTCOME_TRY(std::string Text, runGet(Options));
  BOOST_OUTCOME_TRY(SettingsTree Tree, parseNewest(Text));
  const std::set<std::string> Drained = listDrainedHalls(Tree);
  std::string Lines;
  for (const std::string &Hall : listHalls(Tree))
    Lines += fmt::format("hall {}: {}\n{}", Hall,
                         Drained.count(Hall) > 0 ? "drained" : "in use",
                         formatRoom(Tree, Hall));
  return Lines;
}

Result<std::string> runHall(const OperatorOptions &Options) {
  const std::string Action =
      Options.Arguments.empty() ? "" : Options.Arguments[0];
  if (Action == "empty")
    return changeHall(Options, true);
  if (Action == "return")
    return changeHall(Options, false);
  if (Action == "list")
    return listAllHalls(Options);
  return makeError(ErrorKind::InvalidArgument,
                   "expected 'empty HALL', 'return HALL' or 'list'");
}

} // namespace canvaswick
