//===- FleetAtSizeTest.cpp - Costs of a change in a large fleet -----------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Reports the processor time that one change of the store costs a daemon in a
/// fleet of 987 daemons and 10,001 servers, where each daemon that starts
/// writes an entry that all others receive. Times are printed, not asserted. On
/// a tenth of a core everything takes ten times as long.
///
//===----------------------------------------------------------------------===//

#include "PlatformAdapter/ViewChanges.h"
#include "PlatformFixture.h"
#include "canvaswick/Daemon/Gateway.h"
#include "platform/FleetView.h"
#include "platform/PlatformProxyOptions.h"
#include "platform/RecordDecoder.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <ctime>

using namespace canvaswick;
using namespace canvaswick::platform;

namespace {

constexpr int DaemonCount = 987;
constexpr int HallCount = 5;

/// Servers of each of three services, as in the users' large deployment.
constexpr int ServerCounts[] = {3222, 5987, 792};

constexpr uint64_t InitialRevision = 20000;
constexpr TimePoint Start{fromSeconds(100)};

} // namespace

static double readProcessorMillis() {
  timespec Spent{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Spent);
  return static_cast<double>(Spent.tv_sec) * 1e3 +
         static_cast<double>(Spent.tv_nsec) * 1e-6;
}

static std::string makeRules() {
  std::string Services;
  std::string Routes;
  for (size_t I = 0; I < std::size(ServerCounts); ++I) {
    const char *Comma = I == 0 ? "" : ",";
    Services +=
        fmt::format(R"({}{{"name": "s{}", "maxConns": 5400}})", Comma, I);
    Routes += fmt::format(
        R"({}{{"name": "r{}", "kind": "idempotent",
        "match": {{"pathPrefix": "/x{}/"}},
        "action": {{"service": "s{}", "attempts": 2}}}})",
        Comma, I, I, I);
  }
  return fmt::format(R"({{"version": 2, "limits": {{}}, "clusters": [{}],
      "listeners": [{{"host": "a", "rules": [{}]}}]}})",
                     Services, Routes);
}

static std::string makeServer(int Service, int Index, const char *State) {
  return fmt::format(
      R"({{"address": "10.{}.{}.{}:80", "info": {{"service": "s{}",
      "version": "v", "zone": "h{}", "slots": 3}},
      "status": {{"state": "{}", "seq": 1, "warmupLeftS": 0}}}})",
      100 + Service, Index / 200, Index % 200, Service, Index % HallCount,
      State);
}

static DaemonRecord makeDaemon(int Index) {
  const std::string Host = fmt::format("10.1.{}.{}", Index / 200, Index % 200);
  return {fmt::format("d-{}", Index),
          fmt::format("h{}", Index % HallCount),
          {Host, 8544},
          {Host, 7540}};
}

static StoreItem makeDaemonItem(int Index, uint64_t Lease, uint64_t Revision) {
  return {fmt::format("canvaswick/daemons/d-{}", Index),
          encodeDaemon(makeDaemon(Index), Lease),
          {0, Revision},
          false};
}

static std::vector<StoreItem> makeItems() {
  std::vector<StoreItem> Items{{"op/config", makeRules(), {0, 1}, false}};
  uint64_t Revision = 1;
  for (int Service = 0; Service < 3; ++Service)
    for (int I = 0; I < ServerCounts[Service]; ++I)
      Items.push_back({fmt::format("servers/i-{}-{}", Service, I),
                       makeServer(Service, I, "ready"),
                       {0, ++Revision},
                       false});
  for (int I = 0; I < DaemonCount; ++I)
    Items.push_back(makeDaemonItem(I, 7, ++Revision));
  return Items;
}

namespace {

/// A daemon whose view holds a whole fleet.
struct FilledDaemon {
  FilledDaemon() : Serving(makeConfig(), makeProxyOptions({})) {
    REQUIRE(this->Serving.start());
    replaceAll(this->View, makeItems(), {0, InitialRevision}, Start);
    this->apply();
  }

  static DaemonConfig makeConfig() {
    DaemonConfig Config;
    Config.Name = "d-1";
    Config.Hall = "h1";
    Config.Source = SettingsSource::Platform;
    Config.Callers = {"127.0.0.1", findFreePort()};
    Config.Ready = {"127.0.0.1", findFreePort()};
    Config.ExpectedDaemons = 1;
    Config.RetryLimit = {0.2, fromSeconds(10), 630};
    return Config;
  }

  /// Puts changes in force as PlatformDaemon does.
  void apply() {
    const FleetChangeCounts Counts = this->View.getChangeCounts();
    if (Counts.Daemons != this->InForce.Daemons)
      this->Serving.setDaemons(this->View.listDaemons());
    if (Counts.Config != this->InForce.Config)
      this->Serving.setFleet(this->View.compileConfig());
    this->InForce = Counts;
  }

  void applyItem(const StoreItem &Item) {
    REQUIRE(applyEvents(this->View, {Item}, Item.At, Start));
    this->apply();
  }

  FleetView View{{70}, fromSeconds(2)};
  FleetChangeCounts InForce;
  Gateway Serving;
};

} // namespace

/// Returns the mean processor time, in milliseconds, of the Count changes that
/// Make returns.
template <typename Maker> static double measure(int Count, Maker Make) {
  FilledDaemon Fixture;
  const double Before = readProcessorMillis();
  for (int I = 0; I < Count; ++I)
    Fixture.applyItem(Make(I, InitialRevision + 1 + static_cast<uint64_t>(I)));
  return (readProcessorMillis() - Before) / Count;
}

TEST_CASE("the processor time of a change in a large fleet is reported") {
  const double Before = readProcessorMillis();
  { FilledDaemon Fixture; }
  MESSAGE("a start from an unpacked snapshot: ", readProcessorMillis() - Before,
          " ms");
  MESSAGE("a new lease of a daemon's entry: ",
          measure(50,
                  [](int I, uint64_t Revision) {
                    return makeDaemonItem(I, 8, Revision);
                  }),
          " ms");
  MESSAGE("a new daemon: ",
          measure(50,
                  [](int I, uint64_t Revision) {
                    return makeDaemonItem(DaemonCount + I, 7, Revision);
                  }),
          " ms");
  MESSAGE("a leaving server: ",
          measure(50,
                  [](int I, uint64_t Revision) {
                    return StoreItem{fmt::format("servers/i-1-{}", I),
                                     makeServer(1, I, "draining"),
                                     {0, Revision},
                                     false};
                  }),
          " ms");
}
