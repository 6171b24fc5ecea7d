//===- SettingsTree.cpp - Settings tree of the operators ------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Implements building the nodes from INI sections, the validation of values
/// and of references between nodes, and the inheritance of values.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Settings/SettingsTree.h"
#include "canvaswick/Settings/OrganisationKeys.h"

#include <fmt/format.h>

#include <cassert>

namespace canvaswick {

const SettingOverride *SettingNode::find(SettingKey Key) const {
  for (const SettingOverride &Override : this->Overrides)
    if (Override.Key == Key)
      return &Override;
  return nullptr;
}

std::string getServiceOfServer(const std::string &ServerNodeName) {
  return ServerNodeName.substr(0, ServerNodeName.find('/'));
}

static std::string describeProblem(const std::string &FileName,
                                   const IniSection &Section,
                                   const IniEntry &Entry,
                                   const std::string &What) {
  // A value that should be a digest may be a secret key instead.
  const bool IsSecret =
      Entry.Key == getSettingSpec(SettingKey::OrganisationKeys).Name;
  return fmt::format("{}:{}: [{}] {} = {}: {}", FileName, Entry.Line,
                     Section.Name, Entry.Key,
                     IsSecret ? "(not shown)" : Entry.Value, What);
}

/// Appends a line to a text, with a line break between lines.
static void appendLine(std::string &Text, const std::string &Line) {
  if (!Text.empty())
    Text += "\n";
  Text += Line;
}

/// Validates the entries of a section and adds them to Node. Returns the
/// problems, one per line.
static std::string fillNode(const IniSection &Section,
                            const std::string &FileName, SettingNode &Node) {
  std::string Problems;
  for (const IniEntry &Entry : Section.Entries) {
    const SettingSpec *Spec = findSettingSpec(Entry.Key, Node.Level);
    if (!Spec) {
      const std::string Hint = suggestSettingName(Entry.Key, Node.Level);
      appendLine(Problems,
                 describeProblem(FileName, Section, Entry,
                                 "unknown key; the nearest is '" + Hint + "'"));
      continue;
    }
    if (Node.find(Spec->Key)) {
      appendLine(Problems, describeProblem(FileName, Section, Entry,
                                           "this key stands twice"));
      continue;
    }
    Result<SettingValue> Value = parseSettingValue(*Spec, Entry.Value);
    if (!Value) {
      appendLine(Problems, describeProblem(FileName, Section, Entry,
                                           Value.error().Message));
      continue;
    }
    Node.Overrides.push_back({Spec->Key, Value.value(), Entry.Line});
  }
  return Problems;
}

Result<SettingNode> buildNode(const IniSection &Section, SettingLevel Level,
                              const std::string &Name,
                              const std::string &FileName) {
  SettingNode Node{Name, Level, Section.Line, {}};
  const std::string Problems = fillNode(Section, FileName, Node);
  if (!Problems.empty())
    return makeError(ErrorKind::InvalidArgument, Problems);
  return Node;
}

static const SettingLevel TreeLevels[] = {
    SettingLevel::Region, SettingLevel::Service, SettingLevel::Server,
    SettingLevel::Route, SettingLevel::Organisation};

/// Returns the level of a section name such as "server catalogue/c1", or
/// Default if its first word is not the name of a level.
static SettingLevel findLevelOfSection(const std::string &SectionName) {
  const std::string Kind = SectionName.substr(0, SectionName.find(' '));
  for (const SettingLevel Level : TreeLevels)
    if (Kind == getName(Level))
      return Level;
  return SettingLevel::Default;
}

Result<SettingsTree> SettingsTree::build(const IniDocument &Document) {
  SettingsTree Tree;
  std::string Problems;
  for (const IniSection &Section : Document.Sections) {
    const SettingLevel Level = findLevelOfSection(Section.Name);
    const size_t Space = Section.Name.find(' ');
    if (Level == SettingLevel::Default || Space == std::string::npos) {
      appendLine(Problems,
                 fmt::format("{}:{}: [{}]: expected '[region NAME]', "
                             "'[service NAME]', '[server SERVICE/NAME]', "
                             "'[route NAME]' or '[organisation NAME]'",
                             Document.FileName, Section.Line, Section.Name));
      continue;
    }
    const std::string Name = Section.Name.substr(Space + 1);
    SettingNode Node{Name, Level, Section.Line, {}};
    const std::string Found = fillNode(Section, Document.FileName, Node);
    if (!Found.empty())
      appendLine(Problems, Found);
    Tree.Nodes[static_cast<size_t>(Level)].emplace(Name, std::move(Node));
  }
  const std::string ReferenceProblems = Tree.checkReferences(Document.FileName);
  if (!ReferenceProblems.empty())
    appendLine(Problems, ReferenceProblems);
  if (!Problems.empty())
    return makeError(ErrorKind::InvalidArgument, Problems);
  return Tree;
}

Result<SettingsTree> SettingsTree::parse(const std::string &Text,
                                         const std::string &FileName) {
  BOOST_OUTCOME_TRY(IniDocument Document, parseIni(Text, FileName));
  return SettingsTree::build(Document);
}

const std::map<std::string, SettingNode> &
SettingsTree::getNodes(SettingLevel Level) const {
  return this->Nodes[static_cast<size_t>(Level)];
}

const SettingNode *SettingsTree::find(SettingLevel Level,
                                      const std::string &Name) const {
  const std::map<std::string, SettingNode> &LevelNodes = this->getNodes(Level);
  const auto Found = LevelNodes.find(Name);
  return Found == LevelNodes.end() ? nullptr : &Found->second;
}

const SettingNode *SettingsTree::getParent(const SettingNode &Node) const {
  if (Node.Level == SettingLevel::Server)
    return this->find(SettingLevel::Service, getServiceOfServer(Node.Name));
  if (Node.Level != SettingLevel::Service)
    return nullptr;
  const SettingOverride *Region = Node.find(SettingKey::RegionOfService);
  if (!Region)
    return nullptr;
  return this->find(SettingLevel::Region, std::get<std::string>(Region->Value));
}

EffectiveSetting SettingsTree::lookup(const SettingNode &Node,
                                      SettingKey Key) const {
  const SettingSpec &Spec = getSettingSpec(Key);
  for (const SettingNode *Current = &Node; Current;
       Current = this->getParent(*Current))
    if (const SettingOverride *Override = Current->find(Key))
      return {&Spec, Override->Value, Current->Level};
  if (!*Spec.Default)
    return {&Spec, SettingValue(std::string()), SettingLevel::Default};
  Result<SettingValue> Default = parseSettingValue(Spec, Spec.Default);
  assert(Default && "a default breaks its own bounds");
  return {&Spec, Default.value(), SettingLevel::Default};
}

int64_t SettingsTree::lookupInteger(const SettingNode &Node,
                                    SettingKey Key) const {
  return std::get<int64_t>(this->lookup(Node, Key).Value);
}

std::string SettingsTree::lookupText(const SettingNode &Node,
                                     SettingKey Key) const {
  return std::get<std::string>(this->lookup(Node, Key).Value);
}

static std::string describeNodeProblem(const std::string &FileName,
                                       const SettingNode &Node,
                                       const std::string &What) {
  return fmt::format("{}:{}: [{} {}]: {}", FileName, Node.Line,
                     getName(Node.Level), Node.Name, What);
}

std::string SettingsTree::checkReferences(const std::string &FileName) const {
  std::string Problems;
  for (const auto &[Name, Node] : this->getNodes(SettingLevel::Service)) {
    const std::string Region =
        this->lookupText(Node, SettingKey::RegionOfService);
    if (!this->find(SettingLevel::Region, Region))
      appendLine(Problems,
                 describeNodeProblem(FileName, Node,
                                     "region = " + Region +
                                         ": expected a [region NAME] of "
                                         "this tree"));
  }
  for (const auto &[Name, Node] : this->getNodes(SettingLevel::Server)) {
    if (Name.find('/') == std::string::npos || !this->getParent(Node))
      appendLine(Problems, describeNodeProblem(FileName, Node,
                                               "expected SERVICE/NAME with a "
                                               "[service NAME] of this tree"));
    if (!Node.find(SettingKey::ServerAddress))
      appendLine(Problems,
                 describeNodeProblem(FileName, Node, "address is missing"));
    if (!Node.find(SettingKey::Hall))
      appendLine(Problems,
                 describeNodeProblem(FileName, Node, "hall is missing"));
  }
  for (const auto &[Name, Node] : this->getNodes(SettingLevel::Route)) {
    const std::string Service =
        this->lookupText(Node, SettingKey::RouteService);
    if (!this->find(SettingLevel::Service, Service))
      appendLine(Problems,
                 describeNodeProblem(FileName, Node,
                                     "service = " + Service +
                                         ": expected a [service NAME] of "
                                         "this tree"));
    const std::string Prefix = this->lookupText(Node, SettingKey::RoutePrefix);
    if (Prefix[0] != '/')
      appendLine(Problems, describeNodeProblem(
                               FileName, Node,
                               "prefix = " + Prefix +
                                   ": expected a path that begins with '/'"));
  }
  const std::string Keys = checkOrganisationKeys(*this, FileName);
  if (!Keys.empty())
    appendLine(Problems, Keys);
  return Problems;
}

} // namespace canvaswick
