//===- LifetimesTest.cpp - Servers that start again under their id --------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A server is its id and the instant of its start. A model of the directory
/// against an oracle, and a whole daemon before a server that starts again at
/// once at its address while requests are in flight.
///
//===----------------------------------------------------------------------===//

#include "PlatformAdapter/PlatformBench.h"
#include "platform/FleetView.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

using namespace canvaswick;
using namespace canvaswick::platform;

namespace {

/// Returns an entry of one life of a server at a port.
std::string makeEntry(uint64_t Born, uint64_t Sequence, bool IsDraining,
                      int Port) {
  return fmt::format(
      R"({{"address": "127.0.0.1:{}", "born": {},
      "info": {{"service": "s", "version": "v", "zone": "h", "slots": 3}},
      "status": {{"state": "{}", "seq": {}, "warmupLeftS": 0}}}})",
      Port, Born, IsDraining ? "draining" : "ready", Sequence);
}

/// What an oracle knows of one server: the newest that it has told of itself,
/// and whether its entry stands as it wrote it.
struct Told {
  uint64_t Born = 0;
  uint64_t Sequence = 0;
  bool IsDraining = false;
  bool IsListed = false;
};

/// One life of a server at a fixed port, which tells who it is.
struct Life {
  Life(uint64_t Born, uint16_t Port) : Born(Born) {
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

TEST_CASE("the directory knows the newest of each server, in whatever order") {
  CHECK(rc::check([] {
    FleetView View({70}, fromSeconds(2));
    const TimePoint Start(fromSeconds(100));
    View.replaceAll({{"op/config",
                      R"({"version": 1, "limits": {},
      "clusters": [{"name": "s"}], "listeners": []})",
                      {0, 1},
                      false}},
                    {0, 1}, Start);
    std::map<std::string, Told> Oracle;
    const int Steps = *rc::gen::inRange(1, 40);
    for (int Step = 0; Step < Steps; ++Step) {
      const std::string Id = fmt::format("i-{}", *rc::gen::inRange(0, 3));
      const uint64_t Born = 1000 + *rc::gen::inRange<uint64_t>(0, 3);
      const uint64_t Sequence = *rc::gen::inRange<uint64_t>(1, 5);
      const bool IsDraining = *rc::gen::arbitrary<bool>();
      const int Kind = *rc::gen::inRange(0, 8);
      const auto Revision = static_cast<uint64_t>(Step + 2);
      StoreItem Event{"servers/" + Id,
                      makeEntry(Born, Sequence, IsDraining, 80),
                      {0, Revision},
                      false};
      Told &Known = Oracle[Id];
      if (Kind == 0) {
        Event.IsRemoved = true;
        Event.Value.clear();
        Known.IsListed = false;
      } else if (Kind == 1) {
        Event.Value = "not an entry";
        Known.IsListed = false;
      } else if (std::pair(Born, Sequence) >=
                 std::pair(Known.Born, Known.Sequence)) {
        Known = {Born, Sequence, IsDraining, true};
      }
      View.applyEvents({Event}, {0, Revision}, Start);
    }
    std::map<std::string, bool> Wanted;
    for (const auto &[Id, Known] : Oracle)
      if (Known.IsListed)
        Wanted[fmt::format("{}@{:x}", Id, Known.Born)] = Known.IsDraining;
    std::map<std::string, bool> Listed;
    const FleetConfigRef Config = View.compileConfig();
    for (const ServerConfig &Server : Config->Services[0].Servers)
      Listed[Server.Name] = Server.State == ServerState::Draining;
    RC_ASSERT(Listed == Wanted);
  }));
}

TEST_CASE("what was in flight at one life is not run by the next, and all else "
          "goes there") {
  Bench Under;
  Under.writeConfig(2);
  const uint16_t Port = Surroundings::findFreePort();
  auto First = std::make_unique<Life>(1000, Port);
  Under.Store.put("servers/i-1", First->makeEntry());
  Under.waitFor([&] { return Under.ask("GET", "/x/1").Status == 200; });
  CHECK(Under.ask("GET", "/x/1").Body == "1000");
  First->Runs = 0;

  ExchangeResult InFlight;
  std::thread Caller(
      [&] { InFlight = Under.ask("POST", "/pay/slow", "order"); });
  Under.waitFor([&] { return First->Runs == 1; });
  First->Server.stopGracefully(readSteadyClock() + fromSeconds(1));
  Caller.join();
  auto Second = std::make_unique<Life>(2000, Port);
  Under.Store.put("servers/i-1", Second->makeEntry());
  CHECK(InFlight.Status == 502);

  Under.waitFor([&] { return Under.ask("GET", "/x/1").Status == 200; });
  CHECK(Under.ask("GET", "/x/1").Body == "2000");
  CHECK(Under.ask("POST", "/pay/1", "order").Body == "2000");
  const std::string Metrics = Under.readMetrics();
  CHECK(Metrics.find("server=\"i-1@7d0\"") != std::string::npos);
  CHECK(Metrics.find("server=\"i-1@3e8\"") == std::string::npos);
}
