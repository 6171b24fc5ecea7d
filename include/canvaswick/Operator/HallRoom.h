//===- HallRoom.h - Room that is left without a hall ------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tells operators, before they drain a hall, how many of each service's slots
/// are left in other halls, and names the regions whose settings mention it.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_OPERATOR_HALLROOM_H
#define CANVASWICK_OPERATOR_HALLROOM_H

#include "canvaswick/Settings/SettingsTree.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace canvaswick {

/// The slots of one service.
struct ServiceRoom {
  std::string Service;
  /// Slots of servers that may get requests now.
  int64_t Usable = 0;
  /// Those of them that are in another hall.
  int64_t Remaining = 0;
};

/// Returns the slots of every service with servers in a hall. Servers that are
/// draining or in another drained hall are not usable.
std::vector<ServiceRoom> computeHallRoom(const SettingsTree &Tree,
                                         const std::string &Hall);

/// Returns the halls in which the tree has servers.
std::set<std::string> listHalls(const SettingsTree &Tree);

/// Returns the regions whose services have servers in a hall.
std::set<std::string> listRegionsOfHall(const SettingsTree &Tree,
                                        const std::string &Hall);

} // namespace canvaswick

#endif // CANVASWICK_OPERATOR_HALLROOM_H
