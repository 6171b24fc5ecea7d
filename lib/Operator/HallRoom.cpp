//===- HallRoom.cpp - Room that is left without a hall --------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Works on the settings tree alone, so that a change can be judged before it
/// is published.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Operator/HallRoom.h"
#include "canvaswick/Settings/FleetConfig.h"

namespace canvaswick {

static std::string getHall(const SettingsTree &Tree, const SettingNode &Node) {
  return Tree.lookupText(Node, SettingKey::Hall);
}

static bool isActive(const SettingsTree &Tree, const SettingNode &Node) {
  return static_cast<ServerState>(Tree.lookupInteger(
             Node, SettingKey::State)) == ServerState::Active;
}

std::vector<ServiceRoom> computeHallRoom(const SettingsTree &Tree,
                                         const std::string &Hall) {
  const std::set<std::string> Drained = listDrainedHalls(Tree);
  std::map<std::string, ServiceRoom> Rooms;
  std::set<std::string> Affected;
  for (const auto &[Name, Node] : Tree.getNodes(SettingLevel::Server)) {
    const std::string Service = getServiceOfServer(Name);
    const std::string ServerHall = getHall(Tree, Node);
    if (ServerHall == Hall)
      Affected.insert(Service);
    if (!isActive(Tree, Node) || Drained.count(ServerHall) > 0)
      continue;
    const int64_t Slots = Tree.lookupInteger(Node, SettingKey::Slots);
    ServiceRoom &Room = Rooms[Service];
    Room.Usable += Slots;
    Room.Remaining += ServerHall == Hall ? 0 : Slots;
  }
  std::vector<ServiceRoom> Result;
  for (const std::string &Service : Affected) {
    ServiceRoom Room = Rooms[Service];
    Room.Service = Service;
    Result.push_back(Room);
  }
  return Result;
}

std::set<std::string> listHalls(const SettingsTree &Tree) {
  std::set<std::string> Halls;
  for (const auto &[Name, Node] : Tree.getNodes(SettingLevel::Server))
    Halls.insert(getHall(Tree, Node));
  return Halls;
}

std::set<std::string> listRegionsOfHall(const SettingsTree &Tree,
                                        const std::string &Hall) {
  std::set<std::string> Regions;
  for (const auto &[Name, Node] : Tree.getNodes(SettingLevel::Server)) {
    if (getHall(Tree, Node) != Hall)
      continue;
    const SettingNode *Service =
        Tree.find(SettingLevel::Service, getServiceOfServer(Name));
    Regions.insert(Tree.lookupText(*Service, SettingKey::RegionOfService));
  }
  return Regions;
}

} // namespace canvaswick
