//===- MortalServers.h - Backend servers that end, and return ---*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Servers that end when they begin a certain request, or when the test says
/// so, and start again after a while under a new name at a new address. Private
/// to the tests of this directory.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_UNITTESTS_ENDINGREQUEST_MORTALSERVERS_H
#define CANVASWICK_UNITTESTS_ENDINGREQUEST_MORTALSERVERS_H

#include "PlatformAdapter/PlatformFixture.h"

#include <memory>
#include <string>
#include <vector>

namespace canvaswick::platform {

/// How long a request runs before its server answers it, or ends under it.
inline constexpr std::chrono::milliseconds RunTime(20);

/// How long a server that has ended is away.
inline constexpr std::chrono::milliseconds AwayTime(400);

/// A server from its start to its end.
class MortalServer {
public:
  using Clock = std::chrono::steady_clock;

  MortalServer(std::string Id, std::string ExitTargetPrefix)
      : Id(std::move(Id)), ExitTargetPrefix(std::move(ExitTargetPrefix)) {
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

  /// Breaks what is in flight off and takes nothing more.
  void end() {
    this->HasEnded = true;
    this->Server->stopGracefully(readSteadyClock());
  }

  const std::string Id;
  std::atomic<bool> HasEnded{false};
  std::mutex Mutex;
  /// When requests that begin with ExitTargetPrefix came.
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
    const bool IsFatal =
        !this->ExitTargetPrefix.empty() &&
        Exchange.Request.target.starts_with(this->ExitTargetPrefix);
    if (IsFatal) {
      std::lock_guard<std::mutex> Lock(this->Mutex);
      this->Arrivals.push_back(readSteadyClock());
    }
    std::this_thread::sleep_for(RunTime);
    if (IsFatal)
      this->HasEnded = true;
    if (this->HasEnded) {
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

  const std::string ExitTargetPrefix;
  std::unique_ptr<HttpServer> Server;
};

/// A service of such servers, which are listed in the store while they live.
class MortalServers {
public:
  /// Halls has one name for each server.
  MortalServers(StoreStandIn &Store, std::vector<std::string> Halls,
                std::string ExitTargetPrefix)
      : Store(Store), Halls(std::move(Halls)),
        ExitTargetPrefix(std::move(ExitTargetPrefix)) {
    for (size_t I = 0; I < this->Halls.size(); ++I)
      this->startServer(I);
    this->Keeper = std::thread([this] { this->keep(); });
  }

  ~MortalServers() {
    this->IsStopping = true;
    this->Keeper.join();
  }

  /// Servers that start from now on survive what ended those before.
  void mend() {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->ExitTargetPrefix.clear();
    for (const std::unique_ptr<MortalServer> &Each : this->Living)
      if (Each)
        Each->HasEnded = true;
  }

  /// Ends one server that lives, for no reason of a request's.
  void endOne() {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    const size_t Place = this->NextEnded++ % this->Living.size();
    if (this->Living[Place])
      this->Living[Place]->HasEnded = true;
  }

  /// Returns when the requests came under which servers end, in order.
  std::vector<TimePoint> listArrivals() {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    std::vector<TimePoint> All;
    for (const std::unique_ptr<MortalServer> &Each : this->Ever) {
      std::lock_guard<std::mutex> Inner(Each->Mutex);
      All.insert(All.end(), Each->Arrivals.begin(), Each->Arrivals.end());
    }
    for (const std::unique_ptr<MortalServer> &Each : this->Living)
      if (Each) {
        std::lock_guard<std::mutex> Inner(Each->Mutex);
        All.insert(All.end(), Each->Arrivals.begin(), Each->Arrivals.end());
      }
    std::sort(All.begin(), All.end());
    return All;
  }

private:
  void startServer(size_t Place) {
    auto Next = std::make_unique<MortalServer>(
        fmt::format("i-{}", ++this->Starts), this->ExitTargetPrefix);
    this->Store.put("servers/" + Next->Id, Next->makeEntry(this->Halls[Place]));
    std::lock_guard<std::mutex> Lock(this->Mutex);
    if (this->Living.size() <= Place)
      this->Living.resize(Place + 1);
    this->Living[Place] = std::move(Next);
  }

  /// Ends what has ended and starts it again after a while.
  void keep() {
    std::vector<MortalServer::Clock::time_point> BackAt(this->Halls.size());
    while (!this->IsStopping) {
      for (size_t I = 0; I < this->Halls.size(); ++I) {
        if (this->bury(I))
          BackAt[I] = MortalServer::Clock::now() + AwayTime;
        else if (this->isAway(I) && MortalServer::Clock::now() >= BackAt[I])
          this->startServer(I);
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
  }

  bool isAway(size_t Place) {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    return !this->Living[Place];
  }

  /// Returns whether a server at Place had ended and was taken away.
  bool bury(size_t Place) {
    MortalServer *Dead = nullptr;
    {
      // A server stays in one of the lists at all times, so that listArrivals()
      // counts the requests of one that is still ending.
      std::lock_guard<std::mutex> Lock(this->Mutex);
      if (!this->Living[Place] || !this->Living[Place]->HasEnded)
        return false;
      this->Ever.push_back(std::move(this->Living[Place]));
      Dead = this->Ever.back().get();
    }
    Dead->end();
    this->Store.remove("servers/" + Dead->Id);
    return true;
  }

  StoreStandIn &Store;
  const std::vector<std::string> Halls;
  std::mutex Mutex;
  std::string ExitTargetPrefix;
  std::vector<std::unique_ptr<MortalServer>> Living;
  std::vector<std::unique_ptr<MortalServer>> Ever;
  size_t NextEnded = 0;
  int Starts = 0;
  std::atomic<bool> IsStopping{false};
  std::thread Keeper;
};

} // namespace canvaswick::platform

#endif // CANVASWICK_UNITTESTS_ENDINGREQUEST_MORTALSERVERS_H
