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

/// The time within which a daemon has noticed that it is cut off.
constexpr std::chrono::milliseconds NoticeTime(1000);

/// The time over which callers' requests are counted.
constexpr std::chrono::milliseconds CountTime(1500);

/// The part of the requests at cut daemons that is served, of the same part at
/// the others.
constexpr double MinServedRatio = 0.95;

/// What a daemon that uses its links receives over NoticeTime at least.
constexpr size_t MinBytes = 1000;

struct PartitionedDaemon {
  PartitionedDaemon(const std::vector<std::unique_ptr<CountingServer>> &Servers,
                    const std::string &Name, const std::string &Hall)
      : Links(Servers) {
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
    this->Serving = std::make_unique<Gateway>(Config, Options);
    REQUIRE(this->Serving->start());
    Result<SettingsTree> Tree =
        SettingsTree::parse(this->Links.makeSettings(), "test.ini");
    REQUIRE(Tree);
    this->Serving->setFleet(compileFleetConfig(Tree.value(), 1));
    this->Asking = std::make_unique<Callers>(Config.Callers, Name);
  }

  DaemonLinks Links;
  std::unique_ptr<Gateway> Serving;
  std::unique_ptr<Callers> Asking;
};

struct PartitionFixture {
  /// Starts one daemon for each element of Halls, which names its hall.
  explicit PartitionFixture(const std::vector<std::string> &Halls) {
    for (size_t I = 0; I < ServicesCount * ServersPerService; ++I)
      this->Servers.push_back(std::make_unique<CountingServer>(this->Ledger));
    std::vector<DaemonRecord> Records;
    for (size_t I = 0; I < Halls.size(); ++I) {
      this->Daemons.push_back(std::make_unique<PartitionedDaemon>(
          this->Servers, fmt::format("d{}", I), Halls[I]));
      Records.push_back(this->Daemons.back()->Serving->getSelf());
    }
    for (const std::unique_ptr<PartitionedDaemon> &Each : this->Daemons)
      Each->Serving->setDaemons(Records);
    // Kept connections, and estimates of the typical time.
    std::this_thread::sleep_for(NoticeTime);
  }

  ~PartitionFixture() {
    for (const std::unique_ptr<PartitionedDaemon> &Each : this->Daemons) {
      Each->Links.restore();
      Each->Asking.reset();
      Each->Serving->finishStop(readSteadyClock() + fromSeconds(3));
    }
  }

  /// Cuts the first Count daemons off.
  void cut(size_t Count, Partition How) {
    for (size_t I = 0; I < Count; ++I)
      this->Daemons[I]->Links.cut(How);
  }

  /// Counts requests at the first Count daemons and at the others for a while.
  void count(size_t Count, CallerCounts &Cut, CallerCounts &Others) {
    for (size_t I = 0; I < this->Daemons.size(); ++I)
      this->Daemons[I]->Asking->countIn(I < Count ? &Cut : &Others);
    std::this_thread::sleep_for(CountTime);
    for (const std::unique_ptr<PartitionedDaemon> &Each : this->Daemons)
      Each->Asking->countIn(nullptr);
    // The requests that were counted as sent have ended by then.
    std::this_thread::sleep_for(std::chrono::milliseconds(CallerDeadlineMs));
  }

  /// Cuts the first Count daemons off and compares what their callers get with
  /// what callers of the others get.
  void checkServed(size_t Count, Partition How) {
    this->cut(Count, How);
    std::this_thread::sleep_for(NoticeTime);
    CallerCounts Cut;
    CallerCounts Others;
    this->count(Count, Cut, Others);
    MESSAGE("served ", Cut.Served.load(), " of ", Cut.Sent.load(),
            " at cut daemons, ", Others.Served.load(), " of ",
            Others.Sent.load(), " at the others");
    CHECK(Cut.getServedShare() >= MinServedRatio * Others.getServedShare());
    CHECK(Others.getServedShare() >= MinServedRatio);
    CHECK(this->Ledger.countMost() <= 1);
  }

  RunLedger Ledger;
  std::vector<std::unique_ptr<CountingServer>> Servers;
  std::vector<std::unique_ptr<PartitionedDaemon>> Daemons;
};

} // namespace

TEST_CASE("callers of daemons whose links to all servers are silent are served "
          "like the others") {
  PartitionFixture Fleet({"a", "a", "a", "a", "a", "a"});
  Fleet.checkServed(4, Partition::Hang);
}

TEST_CASE("callers of daemons whose connections to all servers are reset are "
          "served like the others") {
  PartitionFixture Fleet({"a", "a", "a", "a", "a", "a"});
  Fleet.checkServed(4, Partition::Reset);
}

TEST_CASE("callers of daemons that no server lets connect are served like the "
          "others") {
  PartitionFixture Fleet({"a", "a", "a", "a", "a", "a"});
  Fleet.checkServed(4, Partition::RefuseNew);
}

TEST_CASE("callers of a hall that is cut off from all servers are served like "
          "those of another hall") {
  PartitionFixture Fleet({"a", "a", "a", "b", "b", "b"});
  Fleet.checkServed(3, Partition::Hang);
}

TEST_CASE("daemons use their links to the servers again once they work") {
  PartitionFixture Fleet({"a", "a", "a"});
  Fleet.checkServed(2, Partition::Hang);
  Fleet.Daemons[0]->Links.restore();
  // By then what the links held back has arrived.
  std::this_thread::sleep_for(2 * NoticeTime);
  const size_t Before = Fleet.Daemons[0]->Links.countBytesBackward();
  std::this_thread::sleep_for(NoticeTime);
  CHECK(Fleet.Daemons[0]->Links.countBytesBackward() >= Before + MinBytes);
}
