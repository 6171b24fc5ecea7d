//===- OwnInterfaceTest.cpp - Daemons cut off from all servers ------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Daemons on the product's own interface that lose their links to all backend
/// servers while callers and other daemons still reach them.
///
//===----------------------------------------------------------------------===//

#include "PartitionFixture.h"
#include "canvaswick/Daemon/Daemon.h"
#include "canvaswick/StandIn/PlatformStandIn.h"

#include <filesystem>
#include <fstream>

#include <sys/stat.h>
#include <unistd.h>

using namespace canvaswick;

namespace {

/// The settings of all daemons until their platform holds some, which it never
/// does here: each has its own links.
struct DaemonFleet : PartitionFixture {
  explicit DaemonFleet(size_t Count) {
    std::string Name = "/tmp/server-partition-XXXXXX";
    REQUIRE(::mkdtemp(Name.data()) != nullptr);
    this->Folder = Name;
    this->write("calls.key", "test = a-key-for-this-test-only\n");
    REQUIRE(::chmod((this->Folder + "/calls.key").c_str(), 0600) == 0);
    REQUIRE(this->Platform.start({"127.0.0.1", 0}));
    const uint16_t Seed = findFreePort();
    for (size_t I = 0; I < Count; ++I)
      this->startDaemon(fmt::format("d{}", I), I == 0 ? Seed : findFreePort(),
                        Seed);
    // All daemons know each other, and have kept connections.
    std::this_thread::sleep_for(4 * NoticeTime);
  }

  ~DaemonFleet() {
    for (const std::unique_ptr<FleetMember> &Each : this->Members) {
      Each->Links.restore();
      Each->Asking.reset();
    }
    for (const std::unique_ptr<Daemon> &Each : this->Daemons) {
      Each->beginStop();
      Each->finishStop(readSteadyClock() + fromSeconds(3));
    }
    std::filesystem::remove_all(this->Folder);
  }

  void write(const std::string &Name, const std::string &Text) const {
    std::ofstream(this->Folder + "/" + Name) << Text;
  }

  void startDaemon(const std::string &Name, uint16_t Control, uint16_t Seed) {
    FleetMember &Added = this->addMember();
    this->write(Name + "-settings.ini", Added.Links.makeSettings());
    const uint16_t CallerPort = findFreePort();
    this->write(Name + ".ini",
                fmt::format("[daemon]\nname = {1}\nregion = r\nhall = a\n"
                            "caller-address = 127.0.0.1:{2}\n"
                            "control-address = 127.0.0.1:{3}\n"
                            "platform-address = 127.0.0.1:{4}\n"
                            "key-file = {0}/calls.key\n"
                            "settings-file = {0}/{1}-settings.ini\n"
                            "expected-daemons = 1\nseeds = 127.0.0.1:{5}\n",
                            this->Folder, Name, CallerPort, Control,
                            this->Platform.getPort(), Seed));
    Result<DaemonConfig> Config =
        loadDaemonConfig(this->Folder + "/" + Name + ".ini");
    REQUIRE_MESSAGE(Config, Config.error().Message);
    this->Daemons.push_back(std::make_unique<Daemon>(Config.value()));
    REQUIRE(this->Daemons.back()->start());
    Added.Asking =
        std::make_unique<Callers>(Endpoint{"127.0.0.1", CallerPort}, Name);
  }

  std::string Folder;
  PlatformStandIn Platform;
  std::vector<std::unique_ptr<Daemon>> Daemons;
};

} // namespace

TEST_CASE("own interface: callers of daemons whose links to all servers are "
          "silent are served like the others") {
  DaemonFleet Fleet(4);
  Fleet.checkServed(2, Partition::Hang);
}

TEST_CASE("own interface: callers of daemons whose connections to all servers "
          "are reset are served like the others") {
  DaemonFleet Fleet(4);
  Fleet.checkServed(2, Partition::Reset);
}
