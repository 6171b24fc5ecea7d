//===- LifetimesTest.cpp - Servers that restart under the same id ---------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests that a server's id and start time together identify its instance: a
/// model test of the directory against an oracle, and a test of a daemon with a
/// server that restarts at once at the same address while requests are in
/// flight.
///
//===----------------------------------------------------------------------===//

#include "PlatformAdapter/PlatformFixture.h"
#include "PlatformAdapter/ViewChanges.h"
#include "platform/FleetView.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

using namespace canvaswick;
using namespace canvaswick::platform;

namespace {

/// Returns the entry of one instance of a server at a port.
std::string makeEntry(uint64_t Born, uint64_t Sequence, bool IsDraining,
                      int Port) {
  return fmt::format(
      R"({{"address": "127.0.0.1:{}", "born": {},
      "info": {{"service": "s", "version": "v", "zone": "h", "slots": 3}},
      "status": {{"state": "{}", "seq": {}, "warmupLeftS": 0}}}})",
      Port, Born, IsDraining ? "draining" : "ready", Sequence);
}

/// The state of one server that the oracle expects: that of its newest entry,
/// and whether the store lists a valid entry.
struct ExpectedServer {
  uint64_t Born = 0;
  uint64_t Sequence = 0;
  bool IsDraining = false;
  bool IsListed = false;
};

/// One instance of a server at a fixed port. Its responses hold its start time.
struct ServerInstance {
  ServerInstance(uint64_t Born, uint16_t Port) : Born(Born) {
    REQUIRE(this->Server.start({"127.0.0.1", Port}));
  }

  std::string makeEntry() const {
    return ::makeEntry(this->Born, 1, false, this->Server.getPort());
  }

  void handle(HttpExchange &Exchange) {
    std::string Body;
    readWholeBody(Exchange, 1 << 20, Body);
    ++this->Runs;
    if (Exchange.Request.target == "/pay/slow") {
      std::this_thread::sleep_for(std::chrono::milliseconds(300));
      Exchange.Stream.muteWrites(true);
      Exchange.MustClose = true;
      return;
    }
    Exchange.Response.set_header(
        "Request-Id", Exchange.Request.get_header_value("Request-Id"));
    Exchange.Response.set_header("Server-Stamp", "s");
    Exchange.Response.set_content(fmt::format("{}", this->Born), "text/plain");
  }

  const uint64_t Born;
  std::atomic<int> Runs{0};
  HttpServer Server{HttpServerLimits{},
                    [this](HttpExchange &Exchange) { this->handle(Exchange); }};
};

} // namespace

TEST_CASE("the directory keeps the newest entry of each server in any order of "
          "events") {
  CHECK(rc::check([] {
    FleetView View({70}, fromSeconds(2));
    const TimePoint Start(fromSeconds(100));
    replaceAll(View,
               {{"op/config",
                 R"({"version": 1, "limits": {},
      "clusters": [{"name": "s"}], "listeners": []})",
                 {0, 1},
                 false}},
               {0, 1}, Start);
    std::map<std::string, ExpectedServer> Expected;
    const int Steps = *rc::gen::inRange(1, 40);
    for (int Step = 0; Step < Steps; ++Step) {
      const std::string Id = fmt::format("i-{}", *rc::gen::inRange(0, 3));
      const uint64_t Born = 1000 + *rc::gen::inRange<uint64_t>(0, 3);
      const uint64_t Sequence = *rc::gen::inRange<uint64_t>(1, 5);
      const bool IsDraining = *rc::gen::arbitrary<bool>();
      const int EventKind = *rc::gen::inRange(0, 8);
      const auto Revision = static_cast<uint64_t>(Step + 2);
      StoreItem Event{"servers/" + Id,
                      makeEntry(Born, Sequence, IsDraining, 80),
                      {0, Revision},
                      false};
      ExpectedServer &ExpectedEntry = Expected[Id];
      if (EventKind == 0) {
        Event.IsRemoved = true;
        Event.Value.clear();
        ExpectedEntry.IsListed = false;
      } else if (EventKind == 1) {
        Event.Value = "not an entry";
        ExpectedEntry.IsListed = false;
      } else if (std::pair(Born, Sequence) >=
                 std::pair(ExpectedEntry.Born, ExpectedEntry.Sequence)) {
        ExpectedEntry = {Born, Sequence, IsDraining, true};
      }
      applyEvents(View, {Event}, {0, Revision}, Start);
    }
    std::map<std::string, bool> ExpectedStates;
    for (const auto &[Id, ExpectedEntry] : Expected)
      if (ExpectedEntry.IsListed)
        ExpectedStates[fmt::format("{}@{:x}", Id, ExpectedEntry.Born)] =
            ExpectedEntry.IsDraining;
    std::map<std::string, bool> ListedStates;
    const FleetConfigRef Config = View.compileConfig();
    for (const ServerConfig &Server : Config->Services[0].Servers)
      ListedStates[Server.Name] = Server.State == ServerState::Draining;
    RC_ASSERT(ListedStates == ExpectedStates);
  }));
}

TEST_CASE("requests in flight at one instance are not run by the next, and new "
          "ones are") {
  DaemonFixture Fixture;
  Fixture.writeConfig(2);
  const uint16_t Port = findFreePort();
  auto First = std::make_unique<ServerInstance>(1000, Port);
  Fixture.Store.put("servers/i-1", First->makeEntry());
  Fixture.waitFor(
      [&] { return Fixture.sendRequest("GET", "/x/1").Status == 200; });
  CHECK(Fixture.sendRequest("GET", "/x/1").Body == "1000");
  First->Runs = 0;

  ExchangeResult InFlight;
  std::thread Caller(
      [&] { InFlight = Fixture.sendRequest("POST", "/pay/slow", "order"); });
  Fixture.waitFor([&] { return First->Runs == 1; });
  First->Server.stopGracefully(readSteadyClock() + fromSeconds(1));
  Caller.join();
  auto Second = std::make_unique<ServerInstance>(2000, Port);
  Fixture.Store.put("servers/i-1", Second->makeEntry());
  CHECK(InFlight.Status == 502);

  // Until the new entry is in force, requests reach the new instance under the
  // name of the old one, which has the same address.
  Fixture.waitFor([&] {
    return Fixture.sendRequest("GET", "/x/1").Status == 200 &&
           Fixture.readMetrics().find("server=\"i-1@7d0\"") !=
               std::string::npos;
  });
  CHECK(Fixture.sendRequest("GET", "/x/1").Body == "2000");
  CHECK(Fixture.sendRequest("POST", "/pay/1", "order").Body == "2000");
  const std::string Metrics = Fixture.readMetrics();
  CHECK(Metrics.find("server=\"i-1@7d0\"") != std::string::npos);
  CHECK(Metrics.find("server=\"i-1@3e8\"") == std::string::npos);
}
