//===- PlatformFixture.h - Fixtures of one daemon ---------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Fixtures of a daemon on real sockets: a stand-in for the store, two backend
/// servers that implement the platform's headers, and a caller. For tests only.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_UNITTESTS_PLATFORMADAPTER_PLATFORMFIXTURE_H
#define CANVASWICK_UNITTESTS_PLATFORMADAPTER_PLATFORMFIXTURE_H

#include "TestMain/FreePort.h"
#include "canvaswick/Rpc/PeerCaller.h"
#include "platform/PlatformDaemon.h"
#include "platform/standin/StoreStandIn.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <atomic>
#include <mutex>
#include <thread>

namespace canvaswick::platform {

/// How a backend server treats the next requests.
enum class Behaviour : uint8_t {
  Serve,
  /// Declines with the platform's mark that the request did not run.
  Decline,
  /// Answers 503 without the mark, so that the request may have run.
  UnmarkedRefusal,
  /// Runs the request and answers 500.
  Fail,
  /// Runs the request and sends a shorter body than announced.
  Truncate,
  /// Runs the request and answers with the ID of another one.
  MismatchedId,
  /// Sends an answer without a length, which ends with its connection.
  Unframed,
  /// Serves after AnswerDelay.
  Slow,
};

/// Longer than the 1.2 s after which a repeatable request is sent to another
/// server even without other evidence against its server.
inline constexpr std::chrono::milliseconds HangingAnswerTime(1400);

/// Longer than the 0.6 s after which it is sent to another server if there is
/// such evidence.
inline constexpr std::chrono::milliseconds LateAnswerTime(800);

/// Typical time of an answer where answers take long: half of LateAnswerTime,
/// so that an answer that takes LateAnswerTime is not unusual.
inline constexpr std::chrono::milliseconds TypicalAnswerTime(400);

/// Deadline of callers in milliseconds.
inline constexpr int CallerDeadlineMs = 1900;

/// A backend server that implements the platform's headers.
class Upstream {
public:
  explicit Upstream(std::string Id) : Id(std::move(Id)) {
    this->Server = std::make_unique<HttpServer>(
        HttpServerLimits{},
        [this](HttpExchange &Exchange) { this->handle(Exchange); });
    REQUIRE(this->Server->start({"127.0.0.1", 0}));
  }

  std::string makeEntry(const std::string &State, int Sequence = 1,
                        const std::string &Hall = "h") const {
    return fmt::format(
        R"({{"address": "127.0.0.1:{}", "info": {{"service": "s",
        "version": "v1", "zone": "{}", "slots": 3}},
        "status": {{"state": "{}", "seq": {}, "warmupLeftS": 0}}}})",
        this->Server->getPort(), Hall, State, Sequence);
  }

  const std::string Id;
  std::atomic<Behaviour> NextBehaviour{Behaviour::Serve};
  std::atomic<std::chrono::milliseconds> AnswerDelay{HangingAnswerTime};
  std::atomic<int> Runs{0};
  std::atomic<int> Arrivals{0};
  std::mutex Mutex;
  httplib::Headers LastHeaders;
  std::string LastBody;

private:
  void handle(HttpExchange &Exchange) {
    ++this->Arrivals;
    std::string Body;
    readWholeBody(Exchange, 1 << 20, Body);
    {
      std::lock_guard<std::mutex> Lock(this->Mutex);
      this->LastHeaders = Exchange.Request.headers;
      this->LastBody = Body;
    }
    httplib::Response &Answer = Exchange.Response;
    const bool IsExpectedInstance =
        Exchange.Request.get_header_value("Expect-Instance") == this->Id;
    Answer.set_header("Request-Id",
                      Exchange.Request.get_header_value("Request-Id"));
    if (!IsExpectedInstance || this->NextBehaviour == Behaviour::Decline) {
      Answer.status = IsExpectedInstance ? 503 : 421;
      Answer.set_header("Not-Executed", "1");
      return;
    }
    ++this->Runs;
    Answer.set_header("Server-Stamp", "stamp-" + this->Id);
    Answer.set_header("Server-Load", "1,0,3");
    Answer.set_content("whole answer", "text/plain");
    this->misbehave(Exchange);
  }

  void misbehave(HttpExchange &Exchange) {
    httplib::Response &Answer = Exchange.Response;
    switch (this->NextBehaviour.load()) {
    case Behaviour::UnmarkedRefusal:
      Answer.status = 503;
      return;
    case Behaviour::Fail:
      Answer.status = 500;
      return;
    case Behaviour::MismatchedId:
      Answer.headers.erase("Request-Id");
      Answer.set_header("Request-Id", "of-another");
      return;
    case Behaviour::Truncate:
      this->writeRaw(Exchange, "Content-Length: 99\r\n");
      return;
    case Behaviour::Unframed:
      this->writeRaw(Exchange, "Connection: close\r\n");
      return;
    case Behaviour::Slow:
      std::this_thread::sleep_for(this->AnswerDelay.load());
      return;
    case Behaviour::Serve:
    case Behaviour::Decline:
      return;
    }
  }

  void writeRaw(HttpExchange &Exchange, const std::string &Framing) {
    const std::string Text = fmt::format(
        "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nServer-Stamp: s\r\n{}\r\nwhole "
        "answer",
        Exchange.Request.get_header_value("Request-Id"), Framing);
    static_cast<httplib::Stream &>(Exchange.Stream).write(Text);
    Exchange.Stream.muteWrites(true);
    Exchange.MustClose = true;
  }

  std::unique_ptr<HttpServer> Server;
};

/// The surroundings of daemons: a store, two backend servers and a caller.
class PlatformFixture {
public:
  PlatformFixture() { REQUIRE(this->Store.start()); }

  /// Returns the configuration of a daemon of hall h that has no peers.
  DaemonConfig makeDaemonConfig(const std::string &Name) const {
    DaemonConfig Config;
    Config.Name = Name;
    Config.Region = "r";
    Config.Hall = "h";
    Config.Source = SettingsSource::Platform;
    Config.Callers = {"127.0.0.1", findFreePort()};
    Config.Ready = {"127.0.0.1", findFreePort()};
    Config.Platform = this->Store.getAddress();
    Config.Workers = 16;
    Config.WorkerIdle = fromSeconds(5);
    Config.MaxConnections = 64;
    Config.IdleSeconds = 30;
    Config.ExpectedDaemons = 1;
    Config.Grace = fromSeconds(3);
    Config.Drain = fromSeconds(2);
    Config.FloorPercent = 70;
    Config.RetryLimit = {1, fromSeconds(10), 1000};
    Config.Lease = fromSeconds(60);
    return Config;
  }

  void writeConfig(uint64_t Version, const std::string &Prefix = "/x/") {
    this->Store.put("op/config", fmt::format(R"({{"version": {}, "limits": {},
        "clusters": [{{"name": "s", "healthPath": "/healthz",
                       "maxConns": 300}}],
        "listeners": [{{"host": "a.example", "rules": [
          {{"name": "read", "kind": "idempotent", "goalS": 1,
            "match": {{"pathPrefix": "{}"}},
            "action": {{"service": "s", "timeoutS": 2, "attempts": 2}}}},
          {{"name": "pay", "kind": "non_idempotent", "goalS": 1,
            "match": {{"pathPrefix": "/pay/"}},
            "action": {{"service": "s", "timeoutS": 2,
                        "attempts": 2}}}}]}}]}})",
                                             Version, this->Limits, Prefix));
  }

  void addServers(const std::string &State = "ready") {
    for (const Upstream *Each : {&this->One, &this->Two})
      this->Store.put("servers/" + Each->Id, Each->makeEntry(State));
  }

  template <typename Check> void waitFor(Check Done) {
    for (int I = 0; I < 500; ++I) {
      if (Done())
        return;
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    FAIL("the condition did not hold within five seconds");
  }

  /// Sends a caller's request to the daemon that listens for callers at
  /// Address.
  ExchangeResult sendRequestTo(const Endpoint &Address,
                               const std::string &Method,
                               const std::string &Target,
                               const std::string &Body = "") {
    OutgoingRequest Request;
    Request.Method = Method;
    Request.Target = Target;
    Request.Body = Body;
    Request.Headers.emplace("Host", "a.example");
    Request.Headers.emplace("Request-Id", "id-1");
    Request.Headers.emplace("Deadline-Ms", fmt::format("{}", CallerDeadlineMs));
    return this->Client.exchange(
        Address, Request, readSteadyClock() + fromSeconds(10), -1, nullptr);
  }

  ExchangeResult get(const Endpoint &Address, const std::string &Target) {
    OutgoingRequest Request;
    Request.Target = Target;
    return this->Client.exchange(
        Address, Request, readSteadyClock() + fromSeconds(5), -1, nullptr);
  }

  std::string Limits = "{}";
  StoreStandIn Store;
  Upstream One{"i-1"};
  Upstream Two{"i-2"};
  ConnectionPool Client{0};
};

/// One daemon with its surroundings.
class DaemonFixture : public PlatformFixture {
public:
  /// Grace is the time from a stop signal until the daemon is killed.
  explicit DaemonFixture(Duration Grace = fromSeconds(3))
      : Config(this->makeDaemonConfig("d1")) {
    this->Config.Grace = Grace;
    this->Daemon = std::make_unique<PlatformDaemon>(this->Config);
    REQUIRE(this->Daemon->start());
  }

  /// Writes a configuration and two servers to the store, and waits until the
  /// daemon serves.
  void startServing() {
    this->writeConfig(2);
    this->addServers();
    this->waitFor(
        [this] { return this->sendRequest("GET", "/x/1").Status == 200; });
    this->One.Runs = this->Two.Runs = 0;
    this->One.Arrivals = this->Two.Arrivals = 0;
  }

  ExchangeResult sendRequest(const std::string &Method,
                             const std::string &Target,
                             const std::string &Body = "") {
    return this->sendRequestTo(this->Config.Callers, Method, Target, Body);
  }

  /// Begins a planned stop that lasts as long as the settings say.
  void beginStop() {
    const TimePoint Now = readSteadyClock();
    this->Daemon->beginStop(Now + this->Config.Grace, Now);
  }

  int getReadyStatus() {
    return this->get(this->Config.Ready, "/ready").Status;
  }

  /// Returns the daemon's metrics as text.
  std::string readMetrics() {
    return this->get(this->Config.Ready, "/metrics").Body;
  }

  int countRuns() const { return this->One.Runs + this->Two.Runs; }
  void setBehaviours(Behaviour NextBehaviour) {
    this->One.NextBehaviour = this->Two.NextBehaviour = NextBehaviour;
  }

  DaemonConfig Config;
  std::unique_ptr<PlatformDaemon> Daemon;
};

} // namespace canvaswick::platform

#endif // CANVASWICK_UNITTESTS_PLATFORMADAPTER_PLATFORMFIXTURE_H
