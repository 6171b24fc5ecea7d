//===- ServerPartitionTest.cpp - Daemons cut off from all servers ---------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Gateways that lose their links to all backend servers while callers and
/// other daemons still reach them.
///
//===----------------------------------------------------------------------===//

#include "PartitionFixture.h"
#include "canvaswick/Daemon/Gateway.h"

using namespace canvaswick;

namespace {

/// Gateways that know each other without a store.
struct GatewayFleet : PartitionFixture {
  /// Starts one daemon for each element of Halls, which names its hall.
  explicit GatewayFleet(const std::vector<std::string> &Halls) {
    std::vector<DaemonRecord> Records;
    for (size_t I = 0; I < Halls.size(); ++I) {
      this->startGateway(fmt::format("d{}", I), Halls[I]);
      Records.push_back(this->Gateways.back()->getSelf());
    }
    for (const std::unique_ptr<Gateway> &Each : this->Gateways)
      Each->setDaemons(Records);
    // Kept connections, and estimates of the typical time.
    std::this_thread::sleep_for(NoticeTime);
  }

  ~GatewayFleet() {
    for (const std::unique_ptr<FleetMember> &Each : this->Members) {
      Each->Links.restore();
      Each->Asking.reset();
    }
    for (const std::unique_ptr<Gateway> &Each : this->Gateways)
      Each->finishStop(readSteadyClock() + fromSeconds(3));
  }

  void startGateway(const std::string &Name, const std::string &Hall) {
    FleetMember &Added = this->addMember();
    DaemonConfig Config;
    Config.Name = Name;
    Config.Region = "r";
    Config.Hall = Hall;
    Config.Source = SettingsSource::Platform;
    Config.Callers = {"127.0.0.1", findFreePort()};
    Config.Ready = {"127.0.0.1", findFreePort()};
    Config.PeerPort = findFreePort();
    Config.Workers = 16;
    Config.WorkerIdle = fromSeconds(5);
    Config.MaxConnections = 64;
    Config.IdleSeconds = 30;
    Config.ExpectedDaemons = 1;
    Config.Grace = fromSeconds(3);
    Config.FloorPercent = 50;
    Config.RetryLimit = {1, fromSeconds(10), 1000};
    ProxyOptions Options;
    Options.MaxBufferedResponseBytes = 1 << 20;
    Options.MaxBufferedBodyBytes = 1 << 20;
    Options.UsesFreshConnections = true;
    Options.ConnectMs = 350;
    Options.NotRunStatus = 503;
    this->Gateways.push_back(std::make_unique<Gateway>(Config, Options));
    REQUIRE(this->Gateways.back()->start());
    Result<SettingsTree> Tree =
        SettingsTree::parse(Added.Links.makeSettings(), "test.ini");
    REQUIRE(Tree);
    this->Gateways.back()->setFleet(compileFleetConfig(Tree.value(), 1));
    Added.Asking = std::make_unique<Callers>(Config.Callers, Name);
  }

  std::vector<std::unique_ptr<Gateway>> Gateways;
};

} // namespace

TEST_CASE("callers of daemons whose links to all servers are silent are served "
          "like the others") {
  GatewayFleet Fleet({"a", "a", "a", "a", "a", "a"});
  Fleet.checkServed(4, Partition::Hang);
}

TEST_CASE("callers of daemons whose connections to all servers are reset are "
          "served like the others") {
  GatewayFleet Fleet({"a", "a", "a", "a", "a", "a"});
  Fleet.checkServed(4, Partition::Reset);
}

TEST_CASE("callers of daemons that no server lets connect are served like the "
          "others") {
  GatewayFleet Fleet({"a", "a", "a", "a", "a", "a"});
  Fleet.checkServed(4, Partition::RefuseNew);
}

TEST_CASE("callers of a hall that is cut off from all servers are served like "
          "those of another hall") {
  GatewayFleet Fleet({"a", "a", "a", "b", "b", "b"});
  Fleet.checkServed(3, Partition::Hang);
}

TEST_CASE("daemons use their links to the servers again once they work") {
  GatewayFleet Fleet({"a", "a", "a"});
  Fleet.checkServed(2, Partition::Hang);
  Fleet.Members[0]->Links.restore();
  // By then what the links held back has arrived.
  std::this_thread::sleep_for(2 * NoticeTime);
  const size_t Before = Fleet.Members[0]->Links.countBytesBackward();
  std::this_thread::sleep_for(NoticeTime);
  CHECK(Fleet.Members[0]->Links.countBytesBackward() >= Before + MinBytes);
}

TEST_CASE(
    "a request that finds servers gone is served by the one that is left") {
  GatewayFleet Fleet({"a", "a"});
  // All but one server of each service have ended, for all daemons.
  for (const std::unique_ptr<FleetMember> &Each : Fleet.Members)
    for (size_t I = 0; I < Fleet.Servers.size(); ++I)
      if (I % ServersPerService != 0)
        Each->Links.end(I);
  CallerCounts First;
  CallerCounts Second;
  Fleet.count(1, First, Second);
  MESSAGE("served ", First.Served.load(), " of ", First.Sent.load(), " and ",
          Second.Served.load(), " of ", Second.Sent.load());
  CHECK(First.getServedShare() >= MinServedRatio);
  CHECK(Second.getServedShare() >= MinServedRatio);
}
