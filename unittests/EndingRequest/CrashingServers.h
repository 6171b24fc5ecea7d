//===- CrashingServers.h - Backend servers that crash -----------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Provides backend servers that crash when they run a certain request, or when
/// the test says so, and restart after a while under a new id at a new address.
/// Used only by the tests of this directory.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_UNITTESTS_ENDINGREQUEST_CRASHINGSERVERS_H
#define CANVASWICK_UNITTESTS_ENDINGREQUEST_CRASHINGSERVERS_H

#include "PlatformAdapter/PlatformFixture.h"

#include <memory>
#include <string>
#include <vector>

namespace canvaswick::platform {

/// Time for which a request runs before its server answers it or crashes.
inline constexpr std::chrono::milliseconds ServiceTime(20);

/// Time between the crash of a server and its restart.
inline constexpr std::chrono::milliseconds DownTime(400);

/// One instance of a server, from its start to its crash.
class CrashingServer {
public:
  using Clock = std::chrono::steady_clock;

  CrashingServer(std::string Id, std::string FatalTarget)
      : Id(std::move(Id)), FatalTarget(std::move(FatalTarget)) {
    this->Server = std::make_unique<HttpServer>(
        HttpServerLimits{},
        [this](HttpExchange &Exchange) { this->handle(Exchange); });
    REQUIRE(this->Server->start({"127.0.0.1", 0}));
  }

  std::string makeEntry(const std::string &Hall) const {
    return fmt::format(
        R"({{"address": "127.0.0.1:{}", "info": {{"service": "s",
        "version": "v1", "zone": "{}", "slots": 3}},
        "status": {{"state": "ready", "seq": 1, "warmupLeftS": 0}}}})",
        this->Server->getPort(), Hall);
  }

  /// Aborts all requests in flight and accepts no more.
  void end() {
    this->HasCrashed = true;
    this->Server->stopGracefully(readSteadyClock());
  }

  const std::string Id;
  std::atomic<bool> HasCrashed{false};
  std::mutex Mutex;
  /// Arrival times of requests whose target starts with FatalTarget.
  std::vector<TimePoint> Arrivals;

private:
  void handle(HttpExchange &Exchange) {
    std::string Body;
    readWholeBody(Exchange, 1 << 20, Body);
    httplib::Response &Answer = Exchange.Response;
    if (Exchange.Request.get_header_value("Expect-Instance") != this->Id) {
      Answer.status = 421;
      Answer.set_header("Not-Executed", "1");
      return;
    }
    const bool IsFatal = !this->FatalTarget.empty() &&
                         Exchange.Request.target.starts_with(this->FatalTarget);
    if (IsFatal) {
      std::lock_guard<std::mutex> Lock(this->Mutex);
      this->Arrivals.push_back(readSteadyClock());
    }
    std::this_thread::sleep_for(ServiceTime);
    if (IsFatal)
      this->HasCrashed = true;
    if (this->HasCrashed) {
      Exchange.Stream.muteWrites(true);
      Exchange.MustClose = true;
      return;
    }
    Answer.set_header("Request-Id",
                      Exchange.Request.get_header_value("Request-Id"));
    Answer.set_header("Server-Stamp", "stamp-" + this->Id);
    Answer.set_header("Server-Load", "1,0,3");
    Answer.set_content("whole answer", "text/plain");
  }

  const std::string FatalTarget;
  std::unique_ptr<HttpServer> Server;
};

/// A service of crashing servers, which are listed in the store while they run.
class CrashingServers {
public:
  /// Starts one server for each element of HallNames, which names its hall.
  CrashingServers(StoreStandIn &Store, std::vector<std::string> HallNames,
                  std::string FatalTarget)
      : Store(Store), HallNames(std::move(HallNames)),
        FatalTarget(std::move(FatalTarget)) {
    for (size_t I = 0; I < this->HallNames.size(); ++I)
      this->startServer(I);
    this->Supervisor = std::thread([this] { this->superviseServers(); });
  }

  ~CrashingServers() {
    this->IsStopping = true;
    this->Supervisor.join();
  }

  /// Crashes all servers. Those that restart no longer crash on FatalTarget.
  void stopCrashing() {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->FatalTarget.clear();
    for (const std::unique_ptr<CrashingServer> &Each : this->Running)
      if (Each)
        Each->HasCrashed = true;
  }

  /// Crashes the next server in turn, if it runs, independently of any request.
  void crashOne() {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    const size_t Index = this->NextCrash++ % this->Running.size();
    if (this->Running[Index])
      this->Running[Index]->HasCrashed = true;
  }

  /// Returns the arrival times of all fatal requests, in order.
  std::vector<TimePoint> listFatalArrivals() {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    std::vector<TimePoint> All;
    for (const std::unique_ptr<CrashingServer> &Each : this->Crashed) {
      std::lock_guard<std::mutex> Inner(Each->Mutex);
      All.insert(All.end(), Each->Arrivals.begin(), Each->Arrivals.end());
    }
    for (const std::unique_ptr<CrashingServer> &Each : this->Running)
      if (Each) {
        std::lock_guard<std::mutex> Inner(Each->Mutex);
        All.insert(All.end(), Each->Arrivals.begin(), Each->Arrivals.end());
      }
    std::sort(All.begin(), All.end());
    return All;
  }

private:
  void startServer(size_t Index) {
    auto Started = std::make_unique<CrashingServer>(
        fmt::format("i-{}", ++this->StartCount), this->FatalTarget);
    this->Store.put("servers/" + Started->Id,
                    Started->makeEntry(this->HallNames[Index]));
    std::lock_guard<std::mutex> Lock(this->Mutex);
    if (this->Running.size() <= Index)
      this->Running.resize(Index + 1);
    this->Running[Index] = std::move(Started);
  }

  /// Stops servers that have crashed and restarts them after DownTime.
  void superviseServers() {
    std::vector<CrashingServer::Clock::time_point> RestartTimes(
        this->HallNames.size());
    while (!this->IsStopping) {
      for (size_t I = 0; I < this->HallNames.size(); ++I) {
        if (this->reapCrashed(I))
          RestartTimes[I] = CrashingServer::Clock::now() + DownTime;
        else if (this->isDown(I) &&
                 CrashingServer::Clock::now() >= RestartTimes[I])
          this->startServer(I);
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
  }

  bool isDown(size_t Index) {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    return !this->Running[Index];
  }

  /// Stops and unlists the server at Index if it has crashed. Returns whether
  /// it had.
  bool reapCrashed(size_t Index) {
    CrashingServer *Stopped = nullptr;
    {
      // The server stays in one of the lists at all times, so that
      // listFatalArrivals() counts its requests while it stops.
      std::lock_guard<std::mutex> Lock(this->Mutex);
      if (!this->Running[Index] || !this->Running[Index]->HasCrashed)
        return false;
      this->Crashed.push_back(std::move(this->Running[Index]));
      Stopped = this->Crashed.back().get();
    }
    Stopped->end();
    this->Store.remove("servers/" + Stopped->Id);
    return true;
  }

  StoreStandIn &Store;
  const std::vector<std::string> HallNames;
  std::mutex Mutex;
  std::string FatalTarget;
  std::vector<std::unique_ptr<CrashingServer>> Running;
  std::vector<std::unique_ptr<CrashingServer>> Crashed;
  size_t NextCrash = 0;
  int StartCount = 0;
  std::atomic<bool> IsStopping{false};
  std::thread Supervisor;
};

} // namespace canvaswick::platform

#endif // CANVASWICK_UNITTESTS_ENDINGREQUEST_CRASHINGSERVERS_H
