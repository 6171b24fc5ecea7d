//===- StoreSoakTest.cpp - Random faults of the store ---------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Runs daemons of two halls and callers that keep their connections through
/// random series of overlapping faults of the store. SOAK_SEED sets the first
/// seed, SOAK_SEEDS the number of seeds, SOAK_SECONDS the duration of each run.
///
//===----------------------------------------------------------------------===//

#include "PlatformAdapter/HallFixture.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <map>
#include <random>

using namespace canvaswick;
using namespace canvaswick::platform;

namespace {

/// Time after the last fault within which the fleet must converge.
constexpr std::chrono::seconds ConvergenceTime(4);

constexpr size_t CallerCount = 3;

int readSetting(const char *Name, int Default) {
  const char *Text = std::getenv(Name);
  return Text ? std::atoi(Text) : Default;
}

std::string makePath(uint64_t Version) { return fmt::format("/v{}/", Version); }

/// Writes the entries of operators and servers, and remembers the latest ones.
struct StoreWriter {
  explicit StoreWriter(Hall &Fixture) : Fixture(Fixture) {}

  void writeVersion() {
    ++this->Version;
    this->Fixture.writeConfig(this->Version, makePath(this->Version));
  }

  void writeServer(Upstream &Server) {
    const std::string State =
        this->AreLeaving[Server.Id] ? "draining" : "ready";
    this->Fixture.Store.put(
        "servers/" + Server.Id,
        Server.makeEntry(State, ++this->Sequences[Server.Id]));
  }

  void writeAll() {
    this->Fixture.writeConfig(this->Version, makePath(this->Version));
    this->writeServer(this->Fixture.One);
    this->writeServer(this->Fixture.Two);
  }

  Hall &Fixture;
  uint64_t Version = 2;
  std::map<std::string, int> Sequences;
  std::map<std::string, bool> AreLeaving;
};

/// One run with one seed.
class SoakRun {
public:
  explicit SoakRun(uint64_t Seed)
      : Random(Seed), Fixture({"h", "h", "g", "g"}), Writer(Fixture) {
    this->Writer.writeAll();
    for (const std::unique_ptr<Member> &Each : this->Fixture.Members)
      this->Fixture.waitFor(
          [&] { return this->Fixture.serves(*Each, makePath(2) + "1"); });
    this->Fixture.Store.takeBackup();
    this->LastVersions.resize(this->Fixture.Members.size());
  }

  void run(Duration Length) {
    std::atomic<bool> IsOver{false};
    std::vector<std::thread> Callers;
    for (size_t I = 0; I < CallerCount; ++I)
      Callers.emplace_back([this, I, &IsOver] { this->call(I, IsOver); });
    const TimePoint Until = readSteadyClock() + Length;
    while (readSteadyClock() < Until) {
      this->injectEvent();
      this->sleep(this->draw(50, 500));
      this->checkVersionsMonotonic();
    }
    this->clearFaults();
    std::this_thread::sleep_for(ConvergenceTime);
    this->checkVersionsMonotonic();
    this->checkConverged();
    IsOver = true;
    for (std::thread &Each : Callers)
      Each.join();
  }

private:
  int draw(int Min, int Max) {
    return std::uniform_int_distribution<int>(Min, Max)(this->Random);
  }

  static void sleep(int Ms) {
    std::this_thread::sleep_for(std::chrono::milliseconds(Ms));
  }

  Member &drawMember() {
    return *this->Fixture.Members[static_cast<size_t>(
        this->draw(0, static_cast<int>(this->Fixture.Members.size()) - 1))];
  }

  /// Sends requests on a kept connection and ignores their results.
  void call(size_t Caller, const std::atomic<bool> &IsOver) {
    ConnectionPool Connections{0};
    OutgoingRequest Request;
    Request.Target = "/pay/1";
    Request.Headers.emplace("Host", "a.example");
    Request.Headers.emplace("Request-Id", fmt::format("caller-{}", Caller));
    Request.Headers.emplace("Deadline-Ms", fmt::format("{}", CallerDeadlineMs));
    const Endpoint Address = this->Fixture.Members[Caller]->Config.Callers;
    while (!IsOver) {
      (void)Connections.exchange(
          Address, Request, readSteadyClock() + fromSeconds(2), -1, nullptr);
      sleep(20);
    }
  }

  void restoreStore() {
    this->Fixture.Store.setFaults({.IsDown = true});
    this->Fixture.Store.restoreBackup();
    this->sleep(this->draw(0, 600));
    this->Fixture.Store.setFaults({});
    this->sleep(this->draw(0, 300));
    this->Writer.writeAll();
  }

  void injectEvent() {
    Upstream &Server =
        this->draw(0, 1) == 0 ? this->Fixture.One : this->Fixture.Two;
    Member &Daemon = this->drawMember();
    switch (this->draw(0, 9)) {
    case 0:
    case 1:
      this->Writer.writeVersion();
      return;
    case 2:
      this->Writer.writeServer(Server);
      return;
    case 3:
      // Only the first server drains, so that the second one always stays.
      this->Writer.AreLeaving["i-1"] = true;
      this->Writer.writeServer(this->Fixture.One);
      return;
    case 4:
      this->Fixture.Store.takeBackup();
      return;
    case 5:
      this->restoreStore();
      return;
    case 6:
      Daemon.StoreRelay.silenceOpenConnections();
      return;
    case 7:
      Daemon.StoreRelay.getFaults().CutBackward = this->draw(0, 1) == 0;
      return;
    case 8:
      this->Fixture.Store.forgetHistory();
      return;
    case 9:
      this->restart(Daemon);
      return;
    }
  }

  void restart(Member &Daemon) {
    Daemon.stop();
    Daemon.start();
    for (size_t I = 0; I < this->Fixture.Members.size(); ++I)
      if (this->Fixture.Members[I].get() == &Daemon)
        this->LastVersions[I] = 0;
  }

  void clearFaults() {
    this->Fixture.Store.setFaults({});
    for (const std::unique_ptr<Member> &Each : this->Fixture.Members)
      Each->StoreRelay.getFaults().CutBackward = false;
    this->Writer.writeAll();
    this->Writer.writeVersion();
  }

  uint64_t readVersion(const Member &Daemon) {
    const std::string Name = "\ncanvaswick_config_version ";
    const std::string Metrics =
        this->Fixture.get(Daemon.Config.Ready, "/metrics").Body;
    const size_t Place = Metrics.find(Name);
    if (Place == std::string::npos)
      return 0;
    return std::strtoull(Metrics.c_str() + Place + Name.size(), nullptr, 10);
  }

  /// Checks that no instance of a daemon goes back to an earlier version.
  void checkVersionsMonotonic() {
    for (size_t I = 0; I < this->Fixture.Members.size(); ++I) {
      const uint64_t Version = this->readVersion(*this->Fixture.Members[I]);
      if (Version == 0)
        continue;
      CHECK(Version >= this->LastVersions[I]);
      this->LastVersions[I] = Version;
    }
  }

  /// Checks that all daemons run the latest settings, use only ready servers
  /// and are listed in the store.
  void checkConverged() {
    for (const std::unique_ptr<Member> &Each : this->Fixture.Members) {
      CAPTURE(Each->Config.Name);
      CHECK(this->readVersion(*Each) == this->Writer.Version);
      CHECK(this->Fixture.serves(*Each, makePath(this->Writer.Version) + "1"));
      CHECK_FALSE(
          this->Fixture.Store.peek("canvaswick/daemons/" + Each->Config.Name)
              .empty());
      if (!this->Writer.AreLeaving["i-1"])
        continue;
      const int Before = this->Fixture.One.Arrivals;
      for (int I = 0; I < 10; ++I)
        this->Fixture.serves(*Each, makePath(this->Writer.Version) + "1");
      CHECK(this->Fixture.One.Arrivals == Before);
    }
  }

  std::mt19937_64 Random;
  Hall Fixture;
  StoreWriter Writer;
  /// The last version that each daemon's current instance reported.
  std::vector<uint64_t> LastVersions;
};

} // namespace

TEST_CASE("a fleet converges after any series of faults of its store") {
  const int First = readSetting("SOAK_SEED", 1);
  const int Seeds = readSetting("SOAK_SEEDS", 1);
  const int Seconds = readSetting("SOAK_SECONDS", 12);
  for (int Seed = First; Seed < First + Seeds; ++Seed) {
    CAPTURE(Seed);
    SoakRun(static_cast<uint64_t>(Seed)).run(fromSeconds(Seconds));
  }
}
