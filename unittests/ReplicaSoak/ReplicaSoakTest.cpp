//===- ReplicaSoakTest.cpp - Servers are replaced while daemons restart ---===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Runs whole daemons in several halls, some of them alone, and starts some of
/// them again while servers join and leave. Replicas of every age bring each
/// other up to date. Afterwards all of them must list what the store lists. A
/// run tells how long after its entry had gone a server was still listed by a
/// daemon that had run for SettledTime.
///
/// SOAK_SEED, SOAK_SEEDS and SOAK_SECONDS select longer runs. With more
/// SOAK_SERVERS, each of which writes its entry every HeartbeatInterval, the
/// store is one of a large fleet. With SOAK_START_ALL_S, all daemons start
/// again at one moment so often. SOAK_MAX_MS, for runs by hand, bounds the time
/// that a server is listed too long.
///
//===----------------------------------------------------------------------===//

#include "PlatformAdapter/HallFixture.h"

#include <algorithm>
#include <cstdlib>
#include <iterator>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <thread>

using namespace canvaswick;
using namespace canvaswick::platform;

namespace {

/// Time after the last change within which the fleet must converge.
constexpr std::chrono::seconds ConvergenceTime(4);

constexpr int DefaultServerCount = 12;

/// How often each server of a large store writes its entry.
constexpr Duration HeartbeatInterval = fromSeconds(2);

/// Daemons that start again together do so within this time.
constexpr int MaxStartWaitMs = 400;

/// What one answer of a large store holds at most.
constexpr size_t LargeAnswerItems = 500;

constexpr size_t SeedCount = 3;

/// The halls of the daemons, by the seed of a run.
const std::vector<std::vector<std::string>> HallPlans = {
    {"h", "h", "h", "h", "g", "g"},
    {"h", "h", "h", "h", "h", "g"},
    {"h", "h", "a", "b", "c", "d"},
};

/// The halls of daemons before a large store.
const std::vector<std::string> LargeHallPlan = {"h", "h", "h", "h", "h", "h",
                                                "g", "g", "g", "g", "f", "f"};

/// After this time a daemon that has started counts as in touch.
constexpr Duration SettledTime = fromSeconds(3);

/// Departures longer ago are not looked for any more.
constexpr Duration WatchedTime = fromSeconds(30);

const int MaxHallIndex = static_cast<int>(LargeHallPlan.size()) - 1;

int readSetting(const char *Name, int Default) {
  const char *Text = std::getenv(Name);
  return Text ? std::atoi(Text) : Default;
}

/// Returns the elements of All that are not in Known.
std::string listOthers(const std::set<std::string> &All,
                       const std::set<std::string> &Known) {
  std::vector<std::string> Others;
  std::set_difference(All.begin(), All.end(), Known.begin(), Known.end(),
                      std::back_inserter(Others));
  return fmt::format("{}", fmt::join(Others, " "));
}

/// How long servers were listed that had left. Thread-safe.
class DepartureLog {
public:
  void recordDeparture(const std::string &Id) {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->LeftAt[Id] = readSteadyClock();
  }

  void recordStart(const std::string &Daemon) {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->StartedAt[Daemon] = readSteadyClock();
  }

  /// Records what a daemon listed at a time before its answer was asked for.
  void recordList(const std::string &Daemon, const std::set<std::string> &Names,
                  TimePoint Asked) {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    const bool IsSettled = Asked - this->StartedAt[Daemon] >= SettledTime;
    for (const std::string &Name : Names) {
      const auto Left = this->LeftAt.find(Name);
      if (!IsSettled || Left == this->LeftAt.end() ||
          Asked - Left->second <= this->Longest)
        continue;
      this->Longest = Asked - Left->second;
      this->LongestAt = Daemon;
    }
    std::erase_if(this->LeftAt, [&](const auto &Each) {
      return Asked - Each.second > WatchedTime;
    });
  }

  Duration getLongest() const {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    return this->Longest;
  }

  std::string getLongestAt() const {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    return this->LongestAt;
  }

private:
  mutable std::mutex Mutex;
  std::map<std::string, TimePoint> LeftAt;
  std::map<std::string, TimePoint> StartedAt;
  Duration Longest{};
  std::string LongestAt;
};

class SoakRun {
public:
  explicit SoakRun(uint64_t Seed)
      : Random(Seed), ServerCount(static_cast<size_t>(
                          readSetting("SOAK_SERVERS", DefaultServerCount))),
        IsLarge(this->ServerCount > DefaultServerCount),
        StartAllInterval(fromSeconds(readSetting("SOAK_START_ALL_S", 0))),
        Fixture(this->IsLarge ? LargeHallPlan
                              : HallPlans[Seed % HallPlans.size()]) {
    if (this->IsLarge) {
      this->Fixture.Store.setMaxEvents(LargeAnswerItems);
      this->Fixture.Store.setPageItems(LargeAnswerItems);
    }
    this->Fixture.writeConfig(2);
    while (this->Listed.size() < this->ServerCount)
      this->addServer();
    for (const std::unique_ptr<Member> &Each : this->Fixture.Members)
      this->Fixture.waitFor(
          [&] { return this->listServers(*Each).size() > 0; });
    this->setSeeds();
    for (const std::unique_ptr<Member> &Each : this->Fixture.Members)
      this->Departures.recordStart(Each->Config.Name);
  }

  void run(Duration Length) {
    std::atomic<bool> IsOver{false};
    std::thread Looking([&] {
      while (!IsOver)
        this->lookAtLists();
    });
    std::thread Renewing([&] {
      while (this->IsLarge && !IsOver)
        this->renewAll();
    });
    this->replaceServers(Length);
    IsOver = true;
    Looking.join();
    Renewing.join();
    this->checkConvergence();
    MESSAGE("listed for ", toMillis(this->Departures.getLongest()),
            " ms after it had left, at most, by ",
            this->Departures.getLongestAt());
    const int MaxMs = readSetting("SOAK_MAX_MS", 0);
    if (MaxMs > 0)
      CHECK(toMillis(this->Departures.getLongest()) < MaxMs);
  }

private:
  /// Makes the first daemons the seeds of those that start again.
  void setSeeds() {
    std::vector<Endpoint> Seeds;
    for (size_t I = 0; I < SeedCount; ++I)
      Seeds.push_back(this->Fixture.Members[I]->Config.Control);
    for (const std::unique_ptr<Member> &Each : this->Fixture.Members) {
      Each->Config.Seeds = Seeds;
      Each->Config.AloneWait = fromMillis(500);
    }
  }

  void replaceServers(Duration Length) {
    const TimePoint Until = readSteadyClock() + Length;
    TimePoint StartAllAt = readSteadyClock() + this->StartAllInterval;
    while (readSteadyClock() < Until) {
      if (this->StartAllInterval > Duration::zero()) {
        if (readSteadyClock() >= StartAllAt) {
          this->restartAll();
          StartAllAt = readSteadyClock() +
                       this->StartAllInterval * this->draw(70, 130) / 100;
        }
        this->replaceServer();
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        continue;
      }
      this->replaceServer();
      for (int I = 0; I < 6; ++I)
        this->renewServer();
      if (this->draw(0, 2) == 0)
        this->restartSome();
      std::this_thread::sleep_for(
          std::chrono::milliseconds(this->draw(20, 250)));
    }
  }

  void checkConvergence() {
    const TimePoint GiveUpAt = readSteadyClock() + ConvergenceTime;
    while (!this->hasConverged() && readSteadyClock() < GiveUpAt)
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    for (const std::unique_ptr<Member> &Each : this->Fixture.Members) {
      CAPTURE(Each->Config.Name);
      const std::set<std::string> Used = this->listServers(*Each);
      CHECK(listOthers(Used, this->Listed) == "");
      CHECK(listOthers(this->Listed, Used) == "");
    }
  }

  void lookAtLists() {
    for (const std::unique_ptr<Member> &Each : this->Fixture.Members) {
      const TimePoint Asked = readSteadyClock();
      this->Departures.recordList(Each->Config.Name, this->listServers(*Each),
                                  Asked);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }

  int draw(int Min, int Max) {
    return std::uniform_int_distribution<int>(Min, Max)(this->Random);
  }

  std::string drawServer() {
    return *std::next(this->Listed.begin(),
                      this->draw(0, static_cast<int>(this->Listed.size()) - 1));
  }

  /// Writes the entries of all listed servers, spread over HeartbeatInterval.
  void renewAll() {
    const TimePoint Began = readSteadyClock();
    std::vector<std::string> Ids;
    {
      std::lock_guard<std::mutex> Lock(this->ListMutex);
      Ids.assign(this->Listed.begin(), this->Listed.end());
    }
    for (size_t I = 0; I < Ids.size(); ++I) {
      std::this_thread::sleep_until(Began + HeartbeatInterval *
                                                static_cast<int>(I) /
                                                static_cast<int>(Ids.size()));
      std::lock_guard<std::mutex> Lock(this->ListMutex);
      if (this->Listed.count(Ids[I]) > 0)
        this->writeServer(Ids[I], "ready");
    }
  }

  void writeServer(const std::string &Id, const char *State) {
    this->Fixture.Store.put(
        "servers/" + Id,
        fmt::format(
            R"({{"address": "127.0.0.1:9", "info": {{"service": "s",
            "version": "v1", "zone": "h", "slots": 3}},
            "status": {{"state": "{}", "seq": {}, "warmupLeftS": 0}}}})",
            State, ++this->Sequence));
  }

  void addServer() {
    const std::string Id = fmt::format("i-{}", ++this->LastId);
    this->Listed.insert(Id);
    this->writeServer(Id, "ready");
  }

  /// A server leaves, with or without a word, and another one joins.
  void replaceServer() {
    std::lock_guard<std::mutex> Lock(this->ListMutex);
    const std::string Id = this->drawServer();
    if (this->draw(0, 1) == 0)
      this->writeServer(Id, "draining");
    this->Fixture.Store.remove("servers/" + Id);
    this->Departures.recordDeparture(Id);
    this->Listed.erase(Id);
    this->addServer();
  }

  void renewServer() { this->writeServer(this->drawServer(), "ready"); }

  void restartAll() {
    std::vector<Member *> All;
    for (const std::unique_ptr<Member> &Each : this->Fixture.Members)
      All.push_back(Each.get());
    this->restart(All);
  }

  /// Starts some daemons again: a third of all, or those of one hall where the
  /// store is large.
  void restartSome() {
    std::string WholeHall;
    if (this->IsLarge && this->draw(0, 1) == 0)
      WholeHall =
          LargeHallPlan[static_cast<size_t>(this->draw(0, MaxHallIndex))];
    std::vector<Member *> Chosen;
    for (const std::unique_ptr<Member> &Each : this->Fixture.Members)
      if (WholeHall.empty() ? this->draw(0, 2) == 0
                            : Each->Config.Hall == WholeHall)
        Chosen.push_back(Each.get());
    this->restart(Chosen);
  }

  void restart(const std::vector<Member *> &Chosen) {
    std::vector<std::thread> Stopping;
    Stopping.reserve(Chosen.size());
    for (Member *Each : Chosen)
      Stopping.emplace_back([Each] { Each->stop(); });
    for (std::thread &Each : Stopping)
      Each.join();
    std::vector<std::thread> Starting;
    Starting.reserve(Chosen.size());
    for (Member *Each : Chosen)
      Starting.emplace_back([this, Each, Wait = this->draw(0, MaxStartWaitMs)] {
        std::this_thread::sleep_for(std::chrono::milliseconds(Wait));
        Each->start();
        this->Departures.recordStart(Each->Config.Name);
      });
    for (std::thread &Each : Starting)
      Each.join();
  }

  /// Returns the names of the servers that a daemon uses.
  std::set<std::string> listServers(const Member &Daemon) {
    const std::string Label = "canvaswick_share{service=\"s\",server=\"";
    const std::string Metrics =
        this->Fixture.get(Daemon.Config.Ready, "/metrics").Body;
    std::set<std::string> Names;
    for (size_t At = Metrics.find(Label); At != std::string::npos;
         At = Metrics.find(Label, At)) {
      At += Label.size();
      Names.insert(Metrics.substr(At, Metrics.find('"', At) - At));
    }
    return Names;
  }

  bool hasConverged() {
    return std::all_of(this->Fixture.Members.begin(),
                       this->Fixture.Members.end(), [this](const auto &Each) {
                         return this->listServers(*Each) == this->Listed;
                       });
  }

  std::mt19937_64 Random;
  const size_t ServerCount;
  const bool IsLarge;
  /// Zero if the daemons start again some at a time.
  const Duration StartAllInterval;
  Hall Fixture;
  DepartureLog Departures;
  /// Guards Listed while servers write their entries on a thread of their own.
  std::mutex ListMutex;
  /// The servers that the store lists.
  std::set<std::string> Listed;
  int LastId = 0;
  std::atomic<int> Sequence{0};
};

} // namespace

TEST_CASE("no daemon goes on listing a server that has gone, however often "
          "daemons start again") {
  const int First = readSetting("SOAK_SEED", 1);
  const int Seeds = readSetting("SOAK_SEEDS", 1);
  const int Seconds = readSetting("SOAK_SECONDS", 10);
  for (int Seed = First; Seed < First + Seeds; ++Seed) {
    CAPTURE(Seed);
    SoakRun(static_cast<uint64_t>(Seed)).run(fromSeconds(Seconds));
  }
}
