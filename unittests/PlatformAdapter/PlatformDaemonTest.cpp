//===- PlatformDaemonTest.cpp - Tests of a daemon on the platform ---------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests how a daemon behaves towards callers, backend servers, operators and
/// peers over real sockets.
///
//===----------------------------------------------------------------------===//

#include "PlatformFixture.h"
#include "canvaswick/Daemon/PeerLink.h"

#include <doctest/doctest.h>

#include <atomic>
#include <thread>

using namespace canvaswick;
using namespace canvaswick::platform;

static std::string getHeader(const ExchangeResult &Result, const char *Name) {
  const auto Found = Result.Headers.find(Name);
  return Found == Result.Headers.end() ? "" : Found->second;
}

TEST_CASE("no request is served or rejected as unknown before the first "
          "configuration") {
  DaemonFixture Fixture;
  CHECK(Fixture.getReadyStatus() == 503);
  const ExchangeResult Early = Fixture.sendRequest("GET", "/x/1");
  CHECK(Early.Status == 503);
  CHECK_FALSE(getHeader(Early, "Retry-After").empty());
  Fixture.startServing();
  CHECK(Fixture.getReadyStatus() == 200);
  CHECK(Fixture.sendRequest("GET", "/nowhere/1").Status == 404);
}

TEST_CASE("a request is forwarded unchanged, with the remaining deadline") {
  DaemonFixture Fixture;
  Fixture.startServing();
  const ExchangeResult Result =
      Fixture.sendRequest("POST", "/pay/9?q=%41", "order");
  CHECK(Result.Status == 200);
  CHECK(Result.Body == "whole answer");
  CHECK(getHeader(Result, "Request-Id") == "id-1");
  CHECK(getHeader(Result, "Server-Stamp").starts_with("stamp-"));
  Upstream &Used = Fixture.One.Runs ? Fixture.One : Fixture.Two;
  CHECK(Used.LastBody == "order");
  CHECK(Used.LastHeaders.find("Request-Id")->second == "id-1");
  CHECK(Used.LastHeaders.find("Expect-Instance")->second == Used.Id);
  CHECK(std::stoi(Used.LastHeaders.find("Deadline-Ms")->second) <=
        CallerDeadlineMs);
}

TEST_CASE("a request that a server declined is sent to the other one") {
  DaemonFixture Fixture;
  Fixture.startServing();
  Fixture.One.NextBehaviour = Behaviour::Decline;
  for (int I = 0; I < 6; ++I)
    CHECK(Fixture.sendRequest("POST", "/pay/1", "order").Status == 200);
  CHECK(Fixture.One.Runs == 0);
  Fixture.setBehaviours(Behaviour::Decline);
  const ExchangeResult Refused = Fixture.sendRequest("POST", "/pay/1", "order");
  CHECK(Refused.Status == 503);
  CHECK_FALSE(getHeader(Refused, "Retry-After").empty());
}

TEST_CASE(
    "a request that may have run is never reported as not run, nor run again") {
  for (const Behaviour NextBehaviour :
       {Behaviour::Fail, Behaviour::UnmarkedRefusal, Behaviour::Truncate,
        Behaviour::MismatchedId}) {
    DaemonFixture Fixture;
    Fixture.startServing();
    Fixture.setBehaviours(NextBehaviour);
    const ExchangeResult Result =
        Fixture.sendRequest("POST", "/pay/1", "order");
    CHECK(Result.Status == (NextBehaviour == Behaviour::Fail ? 500 : 502));
    CHECK(Fixture.countRuns() == 1);
  }
}

TEST_CASE(
    "a repeatable request succeeds though a server truncates its answers") {
  DaemonFixture Fixture;
  Fixture.startServing();
  Fixture.One.NextBehaviour = Behaviour::Truncate;
  for (int I = 0; I < 10; ++I) {
    const ExchangeResult Result = Fixture.sendRequest("GET", "/x/1");
    CHECK(Result.Status == 200);
    CHECK(Result.Body == "whole answer");
  }
}

TEST_CASE("a request without attempts left takes no retry") {
  DaemonFixture Fixture;
  Fixture.startServing();
  // Enough requests to earn several retries.
  for (int I = 0; I < 8; ++I)
    CHECK(Fixture.sendRequest("GET", "/x/1").Status == 200);
  Fixture.setBehaviours(Behaviour::Decline);
  CHECK(Fixture.sendRequest("GET", "/x/1").Status == 503);
  CHECK(Fixture.One.Arrivals + Fixture.Two.Arrivals == 10);
  INFO(Fixture.readMetrics());
  CHECK(Fixture.readMetrics().find("canvaswick_repeats 1\n") !=
        std::string::npos);
}

TEST_CASE("a request without time left takes no retry") {
  DaemonFixture Fixture;
  Fixture.startServing();
  // Enough requests to earn several retries.
  for (int I = 0; I < 8; ++I)
    CHECK(Fixture.sendRequest("GET", "/x/1").Status == 200);
  Fixture.setBehaviours(Behaviour::Slow);
  Fixture.One.AnswerDelay = Fixture.Two.AnswerDelay = std::chrono::seconds(3);
  ExchangeResult Result;
  std::thread Caller([&] { Result = Fixture.sendRequest("GET", "/x/1"); });
  Fixture.waitFor(
      [&] { return Fixture.One.Arrivals + Fixture.Two.Arrivals == 9; });
  // A daemon that is stopping leaves the request with its server until the
  // deadline.
  Fixture.beginStop();
  Caller.join();
  CHECK(Result.Status == 504);
  CHECK(Fixture.readMetrics().find("canvaswick_repeats 0\n") !=
        std::string::npos);
}

TEST_CASE("an answer that ends with its connection is forwarded completely") {
  DaemonFixture Fixture;
  Fixture.startServing();
  Fixture.setBehaviours(Behaviour::Unframed);
  const ExchangeResult Result = Fixture.sendRequest("GET", "/x/1");
  CHECK(Result.Status == 200);
  CHECK(Result.Body == "whole answer");
  CHECK(getHeader(Result, "Content-Length") == "12");
}

TEST_CASE("a server at the address of another one runs no requests") {
  DaemonFixture Fixture;
  Fixture.startServing();
  // The entry of a third server names the first one's address.
  Fixture.Store.remove("servers/i-2");
  Fixture.Store.remove("servers/i-1");
  Fixture.Store.put("servers/i-3", Fixture.One.makeEntry("ready"));
  Fixture.waitFor(
      [&] { return Fixture.sendRequest("GET", "/x/1").Status == 503; });
  Fixture.One.Runs = 0;
  CHECK(Fixture.sendRequest("POST", "/pay/1", "order").Status == 503);
  CHECK(Fixture.One.Runs == 0);
}

TEST_CASE("a draining server gets no new requests") {
  DaemonFixture Fixture;
  Fixture.startServing();
  Fixture.Store.put("servers/i-1", Fixture.One.makeEntry("draining"));
  Fixture.waitFor([&] {
    Fixture.One.Arrivals = 0;
    for (int I = 0; I < 20; ++I)
      Fixture.sendRequest("GET", "/x/1");
    return Fixture.One.Arrivals == 0;
  });
  CHECK(Fixture.sendRequest("GET", "/x/1").Status == 200);
}

TEST_CASE("a new configuration replaces the old one") {
  DaemonFixture Fixture;
  Fixture.startServing();
  Fixture.writeConfig(5, "/y/");
  Fixture.waitFor(
      [&] { return Fixture.sendRequest("GET", "/y/1").Status == 200; });
  CHECK(Fixture.sendRequest("GET", "/x/1").Status == 404);
}

TEST_CASE("the operators' limits for callers are enforced") {
  DaemonFixture Fixture;
  Fixture.startServing();
  Fixture.Limits = R"({"maxHeaderBytes": 400, "maxBodyBytes": 10,
                     "headerTimeoutS": 3, "idleTimeoutS": 0.5})";
  Fixture.writeConfig(5, "/y/");
  Fixture.waitFor(
      [&] { return Fixture.sendRequest("GET", "/y/1").Status == 200; });
  CHECK(Fixture.sendRequest("POST", "/pay/1", "short").Status == 200);
  CHECK(Fixture.sendRequest("POST", "/pay/1", "longer than ten bytes").Status ==
        413);
  CHECK(Fixture.sendRequest("GET", "/y/" + std::string(500, 'a')).Status ==
        431);
}

TEST_CASE("requests are served while the store is unreachable") {
  DaemonFixture Fixture;
  Fixture.startServing();
  Fixture.Store.setFaults({.IsDown = true});
  Fixture.Store.forgetHistory();
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  CHECK(Fixture.sendRequest("GET", "/x/1").Status == 200);
  CHECK(Fixture.getReadyStatus() == 200);
}

TEST_CASE(
    "a planned stop fails the readiness check and still answers requests") {
  DaemonFixture Fixture;
  Fixture.startServing();
  Fixture.beginStop();
  CHECK(Fixture.getReadyStatus() == 503);
  const ExchangeResult Late = Fixture.sendRequest("GET", "/x/1");
  CHECK(Late.Status == 200);
  CHECK(getHeader(Late, "Connection") == "close");
  CHECK(Fixture.Daemon->finishStop(readSteadyClock() + fromSeconds(3)));
}

TEST_CASE("a request leaves a slow server for another, but not once a stop has "
          "begun") {
  DaemonFixture Fixture;
  Fixture.startServing();
  Fixture.setBehaviours(Behaviour::Slow);
  int Arrivals = 2;
  SUBCASE("no stop") {}
  SUBCASE("a stop begins meanwhile") { Arrivals = 1; }
  ExchangeResult Result;
  std::thread Caller([&] { Result = Fixture.sendRequest("GET", "/x/1"); });
  Fixture.waitFor(
      [&] { return Fixture.One.Arrivals + Fixture.Two.Arrivals == 1; });
  if (Arrivals == 1)
    Fixture.beginStop();
  Caller.join();
  CHECK(Fixture.One.Arrivals + Fixture.Two.Arrivals == Arrivals);
  if (Arrivals == 1)
    CHECK(Result.Status == 200);
}

TEST_CASE("a request stays with its server while no retry is left") {
  DaemonFixture Fixture;
  Fixture.startServing();
  Fixture.setBehaviours(Behaviour::Slow);
  ExchangeResult Result;
  std::thread Caller([&] { Result = Fixture.sendRequest("GET", "/x/1"); });
  Fixture.waitFor(
      [&] { return Fixture.One.Arrivals + Fixture.Two.Arrivals == 1; });
  // Meanwhile other requests use up the retries.
  DaemonConfig Config = Fixture.Config;
  Config.RetryLimit = {0, fromSeconds(10), 0};
  Fixture.Daemon->reload(Config);
  Caller.join();
  CHECK(Result.Status == 200);
  CHECK(Fixture.One.Arrivals + Fixture.Two.Arrivals == 1);
}

/// Sends requests one after the other, none of which may leave its server, and
/// returns the server that the last one used.
static Upstream &useServers(DaemonFixture &Fixture) {
  // With retries left, requests may leave a server that was not used before
  // again and again before it can answer, which counts as evidence against it.
  DaemonConfig Config = Fixture.Config;
  Config.RetryLimit = {0, fromSeconds(10), 0};
  Fixture.Daemon->reload(Config);
  Fixture.One.AnswerDelay = Fixture.Two.AnswerDelay = TypicalAnswerTime;
  int OfOne = 0;
  for (int I = 0; I < 12; ++I) {
    OfOne = Fixture.One.Arrivals;
    REQUIRE(Fixture.sendRequest("GET", "/x/1").Status == 200);
  }
  Fixture.Daemon->reload(Fixture.Config);
  return Fixture.One.Arrivals > OfOne ? Fixture.One : Fixture.Two;
}

TEST_CASE(
    "a long request stays with a server if there is no evidence against it") {
  DaemonFixture Fixture;
  // Both servers answer well for a while, in less than half of the objective.
  Fixture.setBehaviours(Behaviour::Slow);
  Fixture.One.AnswerDelay = Fixture.Two.AnswerDelay = TypicalAnswerTime;
  Fixture.startServing();
  // That a server has not been used for a while counts as evidence against it:
  // about one long request in ten goes to the one that was not used last, and
  // is not the case under test.
  for (int Draw = 0; Draw < 20; ++Draw) {
    Upstream &Used = useServers(Fixture);
    Fixture.One.Arrivals = Fixture.Two.Arrivals = 0;
    Fixture.One.AnswerDelay = Fixture.Two.AnswerDelay = LateAnswerTime;
    ExchangeResult Result;
    std::thread Caller([&] { Result = Fixture.sendRequest("GET", "/x/1"); });
    Fixture.waitFor(
        [&] { return Fixture.One.Arrivals + Fixture.Two.Arrivals > 0; });
    const bool HitsUsedServer = Used.Arrivals == 1;
    Caller.join();
    if (!HitsUsedServer)
      continue;
    CHECK(Result.Status == 200);
    CHECK(Fixture.One.Arrivals + Fixture.Two.Arrivals == 1);
    return;
  }
  FAIL("no long request went to the server that was used last");
}

TEST_CASE(
    "a request in flight for many times its typical time is sent elsewhere") {
  DaemonFixture Fixture;
  Fixture.startServing();
  for (int I = 0; I < 20; ++I)
    REQUIRE(Fixture.sendRequest("GET", "/x/1").Status == 200);
  Fixture.One.Arrivals = Fixture.Two.Arrivals = 0;
  Fixture.One.NextBehaviour = Behaviour::Slow;
  Fixture.One.AnswerDelay = LateAnswerTime;
  // Both servers are chosen sooner or later.
  for (int I = 0; I < 20 && Fixture.One.Arrivals == 0; ++I) {
    const TimePoint Began = readSteadyClock();
    CHECK(Fixture.sendRequest("GET", "/x/1").Status == 200);
    CHECK(readSteadyClock() - Began < LateAnswerTime);
    // A server counts an arrival on its own thread, perhaps after the request
    // was sent elsewhere.
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  CHECK(Fixture.One.Arrivals == 1);
}

TEST_CASE("metrics have a separate address, on which no daemon depends") {
  DaemonFixture Fixture;
  Fixture.startServing();
  DaemonConfig Config = Fixture.Config;
  Config.Name = "d2";
  Config.Callers.Port = findFreePort();
  Config.Ready.Port = findFreePort();
  SUBCASE("the address is free") {
    Config.Metrics = {"127.0.0.1", findFreePort()};
    PlatformDaemon Daemon(Config);
    REQUIRE(Daemon.start());
    const ExchangeResult Page = Fixture.get(Config.Metrics, "/metrics");
    CHECK(Page.Status == 200);
    CHECK(Page.Body.find("canvaswick_requests 0\n") != std::string::npos);
    CHECK(Fixture.get(Config.Metrics, "/ready").Status == 404);
  }
  SUBCASE("another process uses the address") {
    Config.Metrics = Fixture.Config.Callers;
    PlatformDaemon Daemon(Config);
    REQUIRE(Daemon.start());
    Fixture.waitFor(
        [&] { return Fixture.get(Config.Ready, "/ready").Status == 200; });
  }
}

TEST_CASE("metrics show the position and the age of the replica") {
  DaemonFixture Fixture;
  Fixture.startServing();
  const auto Shows = [&](const std::string &Line) {
    return Fixture.readMetrics().find("canvaswick_store_" + Line) !=
           std::string::npos;
  };
  // The daemon's own entry may follow the change in the same answer: then the
  // position of the replica is past the change.
  const auto ReadAsOf = [&] {
    const std::string Page = Fixture.readMetrics();
    const std::string Name = "\ncanvaswick_store_as_of ";
    const size_t At = Page.find(Name);
    REQUIRE(At != std::string::npos);
    return std::stoull(Page.substr(At + Name.size()));
  };
  const uint64_t Revision = Fixture.Store.put("elsewhere", "x");
  Fixture.waitFor([&] { return ReadAsOf() >= Revision; });
  // The position is not past that of the store.
  const uint64_t Claimed = ReadAsOf();
  CHECK(Claimed < Fixture.Store.put("elsewhere", "y"));
  CHECK(Shows("watching 1\n"));
  CHECK_FALSE(Shows("heard_ms -1\n"));
}

TEST_CASE("a daemon that is destroyed while peers send to it ends cleanly") {
  // Threads used members that were already destroyed, which a sanitizer
  // reports, or which crashes the test.
  DaemonFixture Fixture;
  Fixture.startServing();
  DaemonConfig ShortLivedConfig = Fixture.Config;
  ShortLivedConfig.Name = "d2";
  ShortLivedConfig.Callers.Port = findFreePort();
  ShortLivedConfig.Ready.Port = findFreePort();
  ShortLivedConfig.Control = {"127.0.0.1", findFreePort()};
  ShortLivedConfig.PeerPort = findFreePort();
  DaemonRecord Sender{"d3", "h", {}, {"127.0.0.1", findFreePort()}};
  const DaemonRecord Receiver{"d2",
                              "h",
                              ShortLivedConfig.Control,
                              {"127.0.0.1", ShortLivedConfig.PeerPort}};
  CounterTable Counters;
  PeerLink Link(Sender, 1, Counters, [](const PeerMessage &) {});
  REQUIRE(Link.start());
  Link.setPeers({Receiver});
  Link.setStoreState({{1, 1000000}, true, readSteadyClock()});
  std::atomic<bool> IsOver{false};
  std::thread SendLoop([&] {
    while (!IsOver) {
      Link.sendStoreState(readSteadyClock());
      std::this_thread::sleep_for(std::chrono::microseconds(200));
    }
  });
  for (int I = 0; I < 5; ++I) {
    PlatformDaemon Dropped(ShortLivedConfig);
    REQUIRE(Dropped.start());
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  IsOver = true;
  SendLoop.join();
  CHECK(Counters.get(Counter::PeerDatagramsSent) > 0);
  CHECK(Fixture.sendRequest("GET", "/x/1").Status == 200);
}

// Guards against refusals just after a start. After a loss of power of a whole
// fleet, one request in six of the next two seconds was refused, most of them
// for good: a daemon refused at once what arrived in the 0.2 s between its
// start and its settings, although it was about to be able to serve it.
TEST_CASE("a request that arrives just before the settings is served by them") {
  PlatformFixture Fixture;
  Fixture.writeConfig(2);
  Fixture.addServers();
  Fixture.Store.setFaults({.SlowMs = 100});
  const DaemonConfig Config = Fixture.makeDaemonConfig("d1");
  PlatformDaemon Daemon(Config);
  REQUIRE(Daemon.start());
  CHECK(Fixture.sendRequestTo(Config.Callers, "GET", "/x/1").Status == 200);
}

TEST_CASE(
    "a caller that is refused for lack of settings and retries is served") {
  PlatformFixture Fixture;
  Fixture.writeConfig(2);
  Fixture.addServers();
  Fixture.Store.setFaults({.IsDown = true});
  const DaemonConfig Config = Fixture.makeDaemonConfig("d1");
  PlatformDaemon Daemon(Config);
  REQUIRE(Daemon.start());
  // Nothing shows that settings will arrive soon.
  const ExchangeResult First =
      Fixture.sendRequestTo(Config.Callers, "GET", "/x/1");
  CHECK(First.Status == 503);
  CHECK(getHeader(First, "Canvaswick-Outcome") == "not-run");
  const double Wait = std::stod(getHeader(First, "Retry-After"));
  CHECK(Wait >= 0.5);
  Fixture.Store.setFaults({});
  // A busy VM may take longer; the answer then asks for another retry.
  Fixture.waitFor([&] {
    std::this_thread::sleep_for(std::chrono::duration<double>(Wait));
    return Fixture.sendRequestTo(Config.Callers, "GET", "/x/1").Status == 200;
  });
}

TEST_CASE("a caller is refused without settings, and told when to retry") {
  PlatformFixture Fixture;
  Fixture.Store.setFaults({.IsDown = true});
  const DaemonConfig Config = Fixture.makeDaemonConfig("d1");
  PlatformDaemon Daemon(Config);
  REQUIRE(Daemon.start());
  const ExchangeResult First =
      Fixture.sendRequestTo(Config.Callers, "GET", "/x/1");
  CHECK(First.Status == 503);
  std::this_thread::sleep_for(std::chrono::milliseconds(700));
  const ExchangeResult Later =
      Fixture.sendRequestTo(Config.Callers, "GET", "/x/1");
  CHECK(Later.Status == 503);
  // The longer settings are missing, the longer they are likely to stay
  // missing.
  CHECK(std::stod(getHeader(Later, "Retry-After")) >= 0.7);
  // The readiness check tells the load balancer all along.
  CHECK(Fixture.get(Config.Ready, "/ready").Status == 503);
}
