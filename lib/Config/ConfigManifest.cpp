//===- ConfigManifest.cpp - Version of the settings in parts --------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Implements the JSON encoding of manifests and the division of a tree into
/// parts. A part is INI text.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Config/ConfigManifest.h"
#include "canvaswick/Json/JsonText.h"
#include "canvaswick/Support/Hash.h"

#include <fmt/format.h>
#include <json/json.h>

#include <sstream>

namespace canvaswick {

std::string getPartKey(const std::string &Hash) {
  return "canvaswick/config/part/" + Hash;
}

std::string getPastManifestKey(uint64_t Version) {
  return fmt::format("canvaswick/config/past/{}", Version);
}

std::string encodeManifest(const ConfigManifest &Manifest) {
  Json::Value Root;
  Root["version"] = static_cast<Json::UInt64>(Manifest.Version);
  Root["parts"] = Json::arrayValue;
  for (const ConfigPart &Part : Manifest.Parts) {
    Json::Value Entry;
    Entry["name"] = Part.Name;
    Entry["hash"] = Part.Hash;
    Root["parts"].append(Entry);
  }
  Root["changes"] = Json::arrayValue;
  for (const ConfigChange &Change : Manifest.Changes) {
    Json::Value Entry;
    Entry["version"] = static_cast<Json::UInt64>(Change.Version);
    Entry["id"] = Change.ChangeId;
    Entry["author"] = Change.Author;
    Entry["note"] = Change.Note;
    Entry["time"] = static_cast<Json::Int64>(Change.TimeMillis);
    Root["changes"].append(Entry);
  }
  return writeJson(Root);
}

static Result<ConfigManifest> readManifestFields(const Json::Value &Root) {
  const auto MakeMalformedError = [] {
    return makeError(ErrorKind::InvalidArgument, "the manifest is malformed");
  };
  if (!Root.isObject() || !Root["version"].isUInt64() ||
      !Root["parts"].isArray() || !Root["changes"].isArray())
    return MakeMalformedError();
  ConfigManifest Manifest;
  Manifest.Version = Root["version"].asUInt64();
  for (const Json::Value &Entry : Root["parts"]) {
    if (!Entry.isObject() || !Entry["name"].isString() ||
        !Entry["hash"].isString())
      return MakeMalformedError();
    Manifest.Parts.push_back(
        {Entry["name"].asString(), Entry["hash"].asString()});
  }
  for (const Json::Value &Entry : Root["changes"]) {
    if (!Entry.isObject() || !Entry["version"].isUInt64() ||
        !Entry["id"].isString() || !Entry["time"].isInt64())
      return MakeMalformedError();
    Manifest.Changes.push_back(
        {Entry["version"].asUInt64(), Entry["id"].asString(),
         Entry.get("author", "").asString(), Entry.get("note", "").asString(),
         Entry["time"].asInt64()});
  }
  return Manifest;
}

Result<ConfigManifest> decodeManifest(const std::string &Text) {
  Json::Value Root;
  if (!parseJson(Text, Root))
    return makeError(ErrorKind::InvalidArgument, "the manifest is not JSON");
  return readManifestFields(Root);
}

/// Numbers of parts over which routes and organisations are distributed by the
/// hash of their name, so that no part exceeds the maximum size of a value of
/// the platform.
static constexpr uint64_t RouteParts = 16;
static constexpr uint64_t OrganisationParts = 64;

/// Returns the name of the part that a section belongs to.
static std::string getPartOfSection(const std::string &Section) {
  const size_t Space = Section.find(' ');
  const std::string Kind = Section.substr(0, Space);
  const std::string Name =
      Space == std::string::npos ? "" : Section.substr(Space + 1);
  if (Kind == "service")
    return "service-" + Name;
  if (Kind == "server")
    return "service-" + Name.substr(0, Name.find('/'));
  if (Kind == "route")
    return fmt::format("routes-{:02}", hashText(Name) % RouteParts);
  if (Kind == "organisation")
    return fmt::format("organisations-{:02}",
                       hashText(Name) % OrganisationParts);
  return "regions";
}

/// Returns whether a line of INI text is empty or holds only a comment.
static bool isCommentOrBlank(const std::string &Line) {
  const size_t First = Line.find_first_not_of(" \t\r");
  return First == std::string::npos || Line[First] == '#' || Line[First] == ';';
}

std::vector<ConfigPart> splitTree(const std::string &Text, ConfigTexts &Texts) {
  std::map<std::string, std::string> ByName;
  std::string Current = "regions";
  std::string Pending;
  std::istringstream Stream(Text);
  std::string Line;
  while (std::getline(Stream, Line)) {
    const size_t Close = Line.find(']');
    if (!Line.empty() && Line[0] == '[' && Close != std::string::npos)
      Current = getPartOfSection(Line.substr(1, Close - 1));
    // Comments and blank lines belong to the part of the line that follows
    // them.
    Pending += Line + "\n";
    if (isCommentOrBlank(Line))
      continue;
    ByName[Current] += Pending;
    Pending.clear();
  }
  ByName[Current] += Pending;
  std::vector<ConfigPart> Parts;
  for (const auto &[Name, PartText] : ByName) {
    const std::string Hash = digestText(PartText);
    Texts[Hash] = PartText;
    Parts.push_back({Name, Hash});
  }
  return Parts;
}

Result<std::string> joinTree(const std::vector<ConfigPart> &Parts,
                             const ConfigTexts &Texts) {
  std::string Text;
  for (const ConfigPart &Part : Parts) {
    const auto Found = Texts.find(Part.Hash);
    if (Found == Texts.end())
      return makeError(ErrorKind::NotFound,
                       "part " + Part.Name + " is missing");
    if (digestText(Found->second) != Part.Hash)
      return makeError(ErrorKind::Io,
                       "part " + Part.Name + " does not match its hash");
    Text += Found->second;
  }
  return Text;
}

} // namespace canvaswick
