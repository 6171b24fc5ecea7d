//===- SettingsTree.h - The operators' tree of settings ---------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A region, a service and a backend server each inherit from the level above
/// and override only what differs. A tree is checked as a whole before it is
/// accepted, and is not changed afterwards.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_SETTINGS_SETTINGSTREE_H
#define CANVASWICK_SETTINGS_SETTINGSTREE_H

#include "canvaswick/Settings/IniDocument.h"
#include "canvaswick/Settings/SettingTable.h"

#include <map>
#include <string>
#include <vector>

namespace canvaswick {

/// One value that a node of the tree sets itself.
struct SettingOverride {
  SettingKey Key;
  SettingValue Value;
  int Line;
};

/// One node: a section of the settings file.
struct SettingNode {
  std::string Name;
  SettingLevel Level;
  int Line;
  std::vector<SettingOverride> Overrides;

  /// Returns what this node sets for Key, or null.
  const SettingOverride *find(SettingKey Key) const;
};

/// A value in force for a node, and the level it came from.
struct EffectiveSetting {
  const SettingSpec *Spec;
  SettingValue Value;
  SettingLevel From;
};

/// A checked tree.
class SettingsTree {
public:
  /// Checks a document. All problems are in the error, one a line, each as
  /// "file:line: [section] key = value: expected ...".
  static Result<SettingsTree> build(const IniDocument &Document);

  /// Parses and checks a text.
  static Result<SettingsTree> parse(const std::string &Text,
                                    const std::string &FileName);

  /// Returns the nodes of a level, ordered by name.
  const std::map<std::string, SettingNode> &getNodes(SettingLevel Level) const;

  /// Returns the node of a level by name, or null.
  const SettingNode *find(SettingLevel Level, const std::string &Name) const;

  /// Returns the value in force for Key at a node, looking upwards.
  EffectiveSetting lookup(const SettingNode &Node, SettingKey Key) const;

  /// Returns the value in force as a whole number.
  int64_t lookupInteger(const SettingNode &Node, SettingKey Key) const;

  /// Returns the value in force as a text.
  std::string lookupText(const SettingNode &Node, SettingKey Key) const;

private:
  const SettingNode *getParent(const SettingNode &Node) const;
  std::string checkReferences(const std::string &FileName) const;

  std::map<std::string, SettingNode> Nodes[7];
};

/// Returns the service part of a server's section name "service/server".
std::string getServiceOfServer(const std::string &ServerNodeName);

/// Checks one section of a program's own settings file, such as "[daemon]".
Result<SettingNode> buildNode(const IniSection &Section, SettingLevel Level,
                              const std::string &Name,
                              const std::string &FileName);

} // namespace canvaswick

#endif // CANVASWICK_SETTINGS_SETTINGSTREE_H
