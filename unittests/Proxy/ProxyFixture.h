//===- ProxyFixture.h - Proxy on loopback for tests -------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A proxy on loopback sockets, with two stand-in backend servers of one
/// service and a client.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_UNITTESTS_PROXY_PROXYFIXTURE_H
#define CANVASWICK_UNITTESTS_PROXY_PROXYFIXTURE_H

#include "canvaswick/Http/TcpConnect.h"
#include "canvaswick/Proxy/RequestProxy.h"
#include "canvaswick/StandIn/BackendStandIn.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <memory>
#include <string>
#include <vector>

namespace canvaswick {

/// Returns settings of an organisation that may send one request per second and
/// whose callers use the key "small-key".
inline std::string makeSmallOrganisation() {
  return fmt::format("[organisation small]\nrequests-per-second = 1\n"
                     "burst = 1\nkey-digests = {}\n",
                     KeyDigest::of("small-key").format());
}

class ProxyFixture {
public:
  explicit ProxyFixture(std::string ServiceSettings = "", int Slots = 3,
                        const std::string &OrganisationSettings = "",
                        const ProxyOptions &Options = {},
                        const FleetRetryLimit &FleetRetries = {},
                        size_t Servers = 2)
      : ServiceSettings(std::move(ServiceSettings)), FleetRetries(FleetRetries),
        Upstreams(0), Client(0) {
    for (size_t I = 0; I < Servers; ++I) {
      BackendSetup Setup;
      Setup.Name = fmt::format("b{}", I);
      Setup.ServiceMs = 1;
      Setup.Slots = Slots;
      this->Backends.push_back(std::make_unique<BackendStandIn>(Setup));
      REQUIRE(this->Backends.back()->start({"127.0.0.1", 0}));
    }
    this->Proxy = std::make_unique<RequestProxy>(
        "d1", this->Fleet, this->Upstreams, this->Counters, nullptr, Options);
    this->setOrganisations(OrganisationSettings);
    HttpServerLimits Limits;
    this->Server = std::make_unique<HttpServer>(
        Limits, [this](HttpExchange &E) { this->Proxy->handle(E); });
    REQUIRE(this->Server->start({"127.0.0.1", 0}));
  }

  /// Applies a new version of the settings with these sections on
  /// organisations.
  void setOrganisations(const std::string &OrganisationSettings) {
    const std::string Text = fmt::format(
        "[region r]\n"
        "[service s]\nregion = r\nfloor-percent = 0\n{}\n"
        "{}"
        "[route read]\nprefix = /read\nservice = s\n"
        "[route open]\nprefix = /open\nservice = s\npublic = yes\n"
        "[route pay]\nprefix = /pay\nservice = s\nclass = once\n"
        "{}",
        this->ServiceSettings, this->formatServers(), OrganisationSettings);
    Result<SettingsTree> Tree = SettingsTree::parse(Text, "bench.ini");
    REQUIRE(Tree);
    const FleetConfigRef Config =
        compileFleetConfig(Tree.value(), ++this->Version);
    this->setConfig(this->isOnPlatform() ? addPlatformFields(*Config) : Config);
  }

  bool isOnPlatform() const {
    return this->FleetRetries.Window > Duration::zero();
  }

  /// Puts settings in force.
  void setConfig(const FleetConfigRef &Config) {
    DaemonIdentity Identity;
    Identity.Name = "d1";
    Identity.Hall = "a";
    Identity.Daemons = {"d1"};
    Identity.Switches.setManyServers(1);
    if (this->isOnPlatform()) {
      Identity.Source = SettingsSource::Platform;
      Identity.RetryLimit = this->FleetRetries;
    }
    const FleetRuntimeRef Previous = this->Fleet.get();
    this->Fleet.set(FleetRuntimeRef(
        new FleetRuntime(Config, Identity, Previous.get(), readSteadyClock())));
    this->Proxy->configure(*Config);
  }

  std::string formatServers() const {
    std::string Text;
    for (size_t I = 0; I < this->Backends.size(); ++I)
      Text += fmt::format("[server s/b{}]\naddress = 127.0.0.1:{}\n"
                          "hall = a\n",
                          I, this->Backends[I]->getPort());
    return Text;
  }

  /// Returns a copy of settings with what the users' platform adds: routes with
  /// an objective and a timeout that leaves time to wait, and servers with an
  /// instance.
  static FleetConfigRef addPlatformFields(const FleetConfig &Given) {
    auto *Config = new FleetConfig(Given);
    for (RouteConfig &Each : Config->Routes) {
      Each.ObjectiveMs = 800;
      Each.TimeoutMs = 3000;
    }
    for (ServiceConfig &Service : Config->Services)
      for (ServerConfig &Each : Service.Servers)
        Each.Instance = Each.Name;
    return FleetConfigRef(Config);
  }

  ExchangeResult send(const std::string &Method, const std::string &Target,
                      httplib::Headers Headers = {},
                      const std::string &Body = "") {
    OutgoingRequest Request;
    Request.Method = Method;
    Request.Target = Target;
    Request.Headers = std::move(Headers);
    Request.Body = Body;
    return this->Client.exchange({"127.0.0.1", this->Server->getPort()},
                                 Request, readSteadyClock() + fromSeconds(20),
                                 -1, nullptr);
  }

  void setFaults(const BackendFaults &Faults) {
    for (std::unique_ptr<BackendStandIn> &Each : this->Backends)
      Each->setFaults(Faults);
  }

  uint64_t countRuns() const {
    uint64_t Runs = 0;
    for (const std::unique_ptr<BackendStandIn> &Each : this->Backends)
      Runs += Each->countRuns();
    return Runs;
  }

  uint64_t countArrivals() const {
    uint64_t Arrivals = 0;
    for (const std::unique_ptr<BackendStandIn> &Each : this->Backends)
      Arrivals += Each->countArrivals();
    return Arrivals;
  }

  /// Sends raw bytes and returns everything that the proxy sends until it
  /// closes the connection.
  std::string sendRaw(const std::string &Bytes) {
    const int Descriptor = connectTcp("127.0.0.1", this->Server->getPort(),
                                      readSteadyClock() + fromSeconds(5));
    SocketStream Stream(Descriptor);
    Stream.setDeadline(readSteadyClock() + fromSeconds(5));
    static_cast<httplib::Stream &>(Stream).write(Bytes);
    std::string All;
    char Piece[4096];
    while (true) {
      const ssize_t Count = Stream.read(Piece, sizeof(Piece));
      if (Count <= 0)
        return All;
      All.append(Piece, static_cast<size_t>(Count));
    }
  }

  std::string ServiceSettings;
  /// If its window is not zero, the daemon runs as on the users' platform, with
  /// the fleet's retry budget.
  const FleetRetryLimit FleetRetries;
  uint64_t Version = 0;
  std::vector<std::unique_ptr<BackendStandIn>> Backends;
  FleetRuntimeSlot Fleet;
  ConnectionPool Upstreams;
  ConnectionPool Client;
  CounterTable Counters;
  std::unique_ptr<RequestProxy> Proxy;
  std::unique_ptr<HttpServer> Server;
};

/// Returns a header of a response, or an empty text.
inline std::string getHeader(const ExchangeResult &Result, const char *Name) {
  const auto Found = Result.Headers.find(Name);
  return Found == Result.Headers.end() ? "" : Found->second;
}

} // namespace canvaswick

#endif // CANVASWICK_UNITTESTS_PROXY_PROXYFIXTURE_H
