//===- SettingsTree.h - Settings tree of the operators ----------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The settings of regions, services, backend servers, routes and
/// organisations. A server inherits values from its service and a service from
/// its region; each overrides only what differs. A tree is validated as a whole
/// when it is built and is immutable afterwards.
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

/// A value that a node of the tree sets itself.
struct SettingOverride {
  SettingKey Key;
  SettingValue Value;
  int Line;
};

/// A node of the tree, which corresponds to a section of the settings file.
struct SettingNode {
  std::string Name;
  SettingLevel Level;
  int Line;
  std::vector<SettingOverride> Overrides;

  /// Returns the value that this node sets for Key, or null.
  const SettingOverride *find(SettingKey Key) const;
};

/// The effective value of a setting for a node, and the level that set it.
struct EffectiveSetting {
  const SettingSpec *Spec;
  SettingValue Value;
  SettingLevel From;
};

/// A validated settings tree.
class SettingsTree {
public:
  /// Builds a tree from a document. Fails with InvalidArgument and a message
  /// that lists all problems, one per line, in the form "file:line: [section]
  /// key = value: expected ...".
  static Result<SettingsTree> build(const IniDocument &Document);

  /// Parses a text and builds a tree from it.
  static Result<SettingsTree> parse(const std::string &Text,
                                    const std::string &FileName);

  /// Returns the nodes of a level by name.
  const std::map<std::string, SettingNode> &getNodes(SettingLevel Level) const;

  /// Returns the node of a level with the given name, or null.
  const SettingNode *find(SettingLevel Level, const std::string &Name) const;

  /// Returns the effective value of Key for a node: that of the node, of its
  /// nearest ancestor that sets one, or the default.
  EffectiveSetting lookup(const SettingNode &Node, SettingKey Key) const;

  /// Returns the effective value of a setting that is an integer, a choice or a
  /// decimal.
  int64_t lookupInteger(const SettingNode &Node, SettingKey Key) const;

  /// Returns the effective value of a setting that is a text or an address.
  std::string lookupText(const SettingNode &Node, SettingKey Key) const;

private:
  /// Returns the node from which a node inherits, or null.
  const SettingNode *getParent(const SettingNode &Node) const;
  /// Returns the problems with references between nodes, one per line.
  std::string checkReferences(const std::string &FileName) const;

  /// The nodes by level and name.
  std::map<std::string, SettingNode> Nodes[7];
};

/// Returns the service name in a server's node name "service/server".
std::string getServiceOfServer(const std::string &ServerNodeName);

/// Builds a node from a section outside a settings tree, such as "[daemon]".
/// Fails with InvalidArgument and a message that lists all problems, one per
/// line.
Result<SettingNode> buildNode(const IniSection &Section, SettingLevel Level,
                              const std::string &Name,
                              const std::string &FileName);

} // namespace canvaswick

#endif // CANVASWICK_SETTINGS_SETTINGSTREE_H
