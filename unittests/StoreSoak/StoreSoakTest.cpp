//===- StoreSoakTest.cpp - Series of faults of a fleet's store ------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Daemons of two halls, callers that keep their connections, and faults that
/// come in series and overlap, drawn from a seed. SOAK_SEED names the first
/// seed, SOAK_SEEDS how many are run, SOAK_SECONDS how long each takes.
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

/// What the fleet has after the last fault until all must be as it should.
constexpr std::chrono::seconds SettleTime(4);

constexpr size_t CallerCount = 3;

int readSetting(const char *Name, int Default) {
  const char *Text = std::getenv(Name);
  return Text ? std::atoi(Text) : Default;
}

std::string makePath(uint64_t Version) { return fmt::format("/v{}/", Version); }

/// The operators and the servers, who remember what they wrote.
struct Writers {
  explicit Writers(Hall &Under) : Under(Under) {}

  void writeVersion() {
    ++this->Version;
    this->Under.writeConfig(this->Version, makePath(this->Version));
  }

  void writeServer(Upstream &Server) {
    const std::string State =
        this->AreLeaving[Server.Id] ? "draining" : "ready";
    this->Under.Store.put(
        "servers/" + Server.Id,
        Server.makeEntry(State, ++this->Sequences[Server.Id]));
  }

  void writeAll() {
    this->Under.writeConfig(this->Version, makePath(this->Version));
    this->writeServer(this->Under.One);
    this->writeServer(this->Under.Two);
  }

  Hall &Under;
  uint64_t Version = 2;
  std::map<std::string, int> Sequences;
  std::map<std::string, bool> AreLeaving;
};

/// One run of one seed.
class Soak {
public:
  explicit Soak(uint64_t Seed)
      : Random(Seed), Under({"h", "h", "g", "g"}), Wrote(Under) {
    this->Wrote.writeAll();
    for (const std::unique_ptr<Member> &Each : this->Under.Members)
      this->Under.waitFor(
          [&] { return this->Under.serves(*Each, makePath(2) + "1"); });
    this->Under.Store.takeBackup();
    this->Newest.resize(this->Under.Members.size());
  }

  void run(Duration Length) {
    std::atomic<bool> IsOver{false};
    std::vector<std::thread> Callers;
    for (size_t I = 0; I < CallerCount; ++I)
      Callers.emplace_back([this, I, &IsOver] { this->call(I, IsOver); });
    const TimePoint Until = readSteadyClock() + Length;
    while (readSteadyClock() < Until) {
      this->act();
      this->sleep(this->draw(50, 500));
      this->checkNewest();
    }
    this->endFaults();
    std::this_thread::sleep_for(SettleTime);
    this->checkNewest();
    this->checkSettled();
    IsOver = true;
    for (std::thread &Each : Callers)
      Each.join();
  }

private:
  int draw(int Least, int Most) {
    return std::uniform_int_distribution<int>(Least, Most)(this->Random);
  }

  static void sleep(int Millis) {
    std::this_thread::sleep_for(std::chrono::milliseconds(Millis));
  }

  Member &drawMember() {
    return *this->Under.Members[static_cast<size_t>(
        this->draw(0, static_cast<int>(this->Under.Members.size()) - 1))];
  }

  /// Sends requests on a kept connection, whatever comes of them.
  void call(size_t Caller, const std::atomic<bool> &IsOver) {
    ConnectionPool Kept{0};
    OutgoingRequest Request;
    Request.Target = "/pay/1";
    Request.Headers.emplace("Host", "a.example");
    Request.Headers.emplace("Request-Id", fmt::format("caller-{}", Caller));
    Request.Headers.emplace("Deadline-Ms", fmt::format("{}", CallerDeadlineMs));
    const Endpoint Address = this->Under.Members[Caller]->Config.Callers;
    while (!IsOver) {
      (void)Kept.exchange(Address, Request, readSteadyClock() + fromSeconds(2),
                          -1, nullptr);
      sleep(20);
    }
  }

  void restoreStore() {
    this->Under.Store.setFaults({.IsDown = true});
    this->Under.Store.restoreBackup();
    this->sleep(this->draw(0, 600));
    this->Under.Store.setFaults({});
    this->sleep(this->draw(0, 300));
    this->Wrote.writeAll();
  }

  void act() {
    Upstream &Server =
        this->draw(0, 1) == 0 ? this->Under.One : this->Under.Two;
    Member &Daemon = this->drawMember();
    switch (this->draw(0, 9)) {
    case 0:
    case 1:
      this->Wrote.writeVersion();
      return;
    case 2:
      this->Wrote.writeServer(Server);
      return;
    case 3:
      // One of the two always stays.
      this->Wrote.AreLeaving["i-1"] = true;
      this->Wrote.writeServer(this->Under.One);
      return;
    case 4:
      this->Under.Store.takeBackup();
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
      this->Under.Store.forgetHistory();
      return;
    case 9:
      this->restart(Daemon);
      return;
    }
  }

  void restart(Member &Daemon) {
    Daemon.stop();
    Daemon.start();
    for (size_t I = 0; I < this->Under.Members.size(); ++I)
      if (this->Under.Members[I].get() == &Daemon)
        this->Newest[I] = 0;
  }

  void endFaults() {
    this->Under.Store.setFaults({});
    for (const std::unique_ptr<Member> &Each : this->Under.Members)
      Each->StoreRelay.getFaults().CutBackward = false;
    this->Wrote.writeAll();
    this->Wrote.writeVersion();
  }

  uint64_t readVersion(const Member &Daemon) {
    const std::string Name = "\ncanvaswick_config_version ";
    const std::string Metrics =
        this->Under.get(Daemon.Config.Ready, "/metrics").Body;
    const size_t Place = Metrics.find(Name);
    if (Place == std::string::npos)
      return 0;
    return std::strtoull(Metrics.c_str() + Place + Name.size(), nullptr, 10);
  }

  /// Within one life of a daemon its version never goes back.
  void checkNewest() {
    for (size_t I = 0; I < this->Under.Members.size(); ++I) {
      const uint64_t Version = this->readVersion(*this->Under.Members[I]);
      if (Version == 0)
        continue;
      CHECK(Version >= this->Newest[I]);
      this->Newest[I] = Version;
    }
  }

  /// All know the newest settings, use who is ready, and are listed.
  void checkSettled() {
    for (const std::unique_ptr<Member> &Each : this->Under.Members) {
      CAPTURE(Each->Config.Name);
      CHECK(this->readVersion(*Each) == this->Wrote.Version);
      CHECK(this->Under.serves(*Each, makePath(this->Wrote.Version) + "1"));
      CHECK_FALSE(
          this->Under.Store.peek("canvaswick/daemons/" + Each->Config.Name)
              .empty());
      if (!this->Wrote.AreLeaving["i-1"])
        continue;
      const int Before = this->Under.One.Arrivals;
      for (int I = 0; I < 10; ++I)
        this->Under.serves(*Each, makePath(this->Wrote.Version) + "1");
      CHECK(this->Under.One.Arrivals == Before);
    }
  }

  std::mt19937_64 Random;
  Hall Under;
  Writers Wrote;
  /// The highest version that each daemon's life was seen with.
  std::vector<uint64_t> Newest;
};

} // namespace

TEST_CASE("a fleet comes through any series of faults of its store") {
  const int First = readSetting("SOAK_SEED", 1);
  const int Seeds = readSetting("SOAK_SEEDS", 1);
  const int Seconds = readSetting("SOAK_SECONDS", 12);
  for (int Seed = First; Seed < First + Seeds; ++Seed) {
    CAPTURE(Seed);
    Soak(static_cast<uint64_t>(Seed)).run(fromSeconds(Seconds));
  }
}
