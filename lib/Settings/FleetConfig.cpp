//===- FleetConfig.cpp - Compiled settings of the fleet -------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Converts the nodes of a validated tree to typed records.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Settings/FleetConfig.h"
#include "canvaswick/Settings/OrganisationKeys.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <charconv>
#include <map>
#include <sstream>

namespace canvaswick {

std::string Endpoint::format() const {
  return fmt::format("{}:{}", this->Host, this->Port);
}

Result<Endpoint> parseEndpoint(const std::string &Text) {
  const auto MakeParseError = [&] {
    return makeError(ErrorKind::InvalidArgument, "expected IP number:port");
  };
  const size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return MakeParseError();
  Endpoint Address{Text.substr(0, Colon), 0};
  in_addr Ignored;
  if (::inet_pton(AF_INET, Address.Host.c_str(), &Ignored) != 1)
    return MakeParseError();
  const char *End = Text.data() + Text.size();
  auto [Rest, Code] =
      std::from_chars(Text.data() + Colon + 1, End, Address.Port);
  if (Code != std::errc() || Rest != End)
    return MakeParseError();
  return Address;
}

int FleetConfig::findService(const std::string &Name) const {
  for (size_t I = 0; I < this->Services.size(); ++I)
    if (this->Services[I].Name == Name)
      return static_cast<int>(I);
  return -1;
}

static ServiceConfig compileService(const SettingsTree &Tree,
                                    const SettingNode &Node) {
  ServiceConfig Config;
  Config.Name = Node.Name;
  Config.Region = Tree.lookupText(Node, SettingKey::RegionOfService);
  Config.FloorPercent =
      static_cast<int>(Tree.lookupInteger(Node, SettingKey::FloorPercent));
  Config.Preference = static_cast<EjectionPreference>(
      Tree.lookupInteger(Node, SettingKey::EjectionPreference));
  Config.DeadlineMs = Tree.lookupInteger(Node, SettingKey::DeadlineMs);
  Config.StallMs = Tree.lookupInteger(Node, SettingKey::StallMs);
  Config.SlowAfterMs = Tree.lookupInteger(Node, SettingKey::SlowAfterMs);
  Config.ColdStartMs = Tree.lookupInteger(Node, SettingKey::ColdStartMs);
  Config.MaxInFlight = Tree.lookupInteger(Node, SettingKey::MaxInFlight);
  Config.RetryPercent = Tree.lookupInteger(Node, SettingKey::RetryPercent);
  Config.ObjectivePercent =
      Tree.lookupInteger(Node, SettingKey::ObjectivePercent);
  Config.ObjectiveMs = Tree.lookupInteger(Node, SettingKey::ObjectiveMs);
  Config.MaxBodyBytes = Tree.lookupInteger(Node, SettingKey::MaxBodyBytes);
  Config.ProbePath = Tree.lookupText(Node, SettingKey::ProbePath);
  return Config;
}

static ServerConfig compileServer(const SettingsTree &Tree,
                                  const SettingNode &Node) {
  ServerConfig Config;
  Config.Name = Node.Name.substr(Node.Name.find('/') + 1);
  Config.Address =
      parseEndpoint(Tree.lookupText(Node, SettingKey::ServerAddress)).value();
  Config.Hall = Tree.lookupText(Node, SettingKey::Hall);
  Config.Slots = static_cast<int>(Tree.lookupInteger(Node, SettingKey::Slots));
  Config.Connections =
      static_cast<int>(Tree.lookupInteger(Node, SettingKey::Connections));
  Config.State =
      static_cast<ServerState>(Tree.lookupInteger(Node, SettingKey::State));
  return Config;
}

static OrganisationDirectoryRef compileOrganisations(const SettingsTree &Tree) {
  std::vector<OrganisationConfig> All;
  bool HasKeys = false;
  for (const auto &[Name, Node] : Tree.getNodes(SettingLevel::Organisation)) {
    OrganisationConfig Each;
    Each.Name = Name;
    Each.RequestsPerSecond = static_cast<double>(
        Tree.lookupInteger(Node, SettingKey::OrganisationRate));
    Each.Burst = static_cast<double>(
        Tree.lookupInteger(Node, SettingKey::OrganisationBurst));
    Each.Keys = listKeyDigests(Node);
    HasKeys |= !Each.Keys.empty();
    All.push_back(std::move(Each));
  }
  return makeOrganisationDirectory(std::move(All), HasKeys);
}

std::set<std::string> listDrainedHalls(const SettingsTree &Tree,
                                       const SettingNode &Region) {
  std::set<std::string> Halls;
  std::istringstream Names(Tree.lookupText(Region, SettingKey::DrainedHalls));
  for (std::string Hall; Names >> Hall;)
    Halls.insert(Hall);
  return Halls;
}

std::set<std::string> listDrainedHalls(const SettingsTree &Tree) {
  std::set<std::string> Halls;
  for (const auto &[Name, Node] : Tree.getNodes(SettingLevel::Region))
    Halls.merge(listDrainedHalls(Tree, Node));
  return Halls;
}

FleetConfigRef compileFleetConfig(const SettingsTree &Tree, uint64_t Version) {
  boost::intrusive_ptr<FleetConfig> Config(new FleetConfig);
  Config->Version = Version;
  std::map<std::string, uint32_t> ServiceIndex;
  for (const auto &[Name, Node] : Tree.getNodes(SettingLevel::Service)) {
    ServiceIndex[Name] = static_cast<uint32_t>(Config->Services.size());
    Config->Services.push_back(compileService(Tree, Node));
  }
  for (const auto &[Name, Node] : Tree.getNodes(SettingLevel::Server)) {
    const uint32_t Service = ServiceIndex.at(getServiceOfServer(Name));
    Config->Services[Service].Servers.push_back(compileServer(Tree, Node));
  }
  for (const auto &[Name, Node] : Tree.getNodes(SettingLevel::Route)) {
    RouteConfig Route;
    Route.Name = Name;
    Route.Host = Tree.lookupText(Node, SettingKey::RouteHost);
    Route.Prefix = Tree.lookupText(Node, SettingKey::RoutePrefix);
    Route.Service =
        ServiceIndex.at(Tree.lookupText(Node, SettingKey::RouteService));
    Route.Class = static_cast<RouteClass>(
        Tree.lookupInteger(Node, SettingKey::RouteClass));
    Route.IsPublic = Tree.lookupInteger(Node, SettingKey::RoutePublic) != 0;
    Config->Routes.push_back(std::move(Route));
  }
  Config->Organisations = compileOrganisations(Tree);
  Config->DrainedHalls = listDrainedHalls(Tree);
  return Config;
}

} // namespace canvaswick
