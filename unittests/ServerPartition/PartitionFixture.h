//===- PartitionFixture.h - Daemons cut off from servers --------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Backend servers of two services, relays that are one daemon's only way to
/// them, and callers that count what a daemon answers.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_UNITTESTS_SERVERPARTITION_PARTITIONFIXTURE_H
#define CANVASWICK_UNITTESTS_SERVERPARTITION_PARTITIONFIXTURE_H

#include "TestMain/FreePort.h"
#include "canvaswick/Http/HttpClient.h"
#include "canvaswick/Http/HttpServer.h"
#include "canvaswick/Http/TcpConnect.h"
#include "canvaswick/Rpc/PeerCaller.h"
#include "canvaswick/StandIn/RelayStandIn.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace canvaswick {

/// How a daemon is cut off from all servers.
enum class Partition : uint8_t {
  /// Nothing arrives any more, on open connections and new ones.
  Hang,
  /// Open connections are reset, new ones refused.
  Reset,
  /// Open connections live on, new ones are refused.
  RefuseNew,
};

/// Two services of four servers each.
constexpr size_t ServicesCount = 2;
constexpr size_t ServersPerService = 4;

/// The time that a server works on a request.
constexpr std::chrono::milliseconds ServiceTime(10);

/// The deadline of a caller's request.
constexpr int CallerDeadlineMs = 2000;

/// Counts how often each target was run. Thread-safe.
class RunLedger {
public:
  void add(const std::string &Target) {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    ++this->Runs[Target];
  }

  int count(const std::string &Target) const {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    const auto Found = this->Runs.find(Target);
    return Found == this->Runs.end() ? 0 : Found->second;
  }

  /// Returns how often the target that was run most often was run.
  int countMost() const {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    int Most = 0;
    for (const auto &[Target, Count] : this->Runs)
      Most = std::max(Most, Count);
    return Most;
  }

private:
  mutable std::mutex Mutex;
  std::map<std::string, int> Runs;
};

/// One server, which works on every request for ServiceTime.
class CountingServer {
public:
  explicit CountingServer(RunLedger &Ledger)
      : Ledger(Ledger), Server(HttpServerLimits{}, [this](HttpExchange &Each) {
          this->handle(Each);
        }) {
    REQUIRE(this->Server.start({"127.0.0.1", 0}));
  }

  uint16_t getPort() const { return this->Server.getPort(); }

private:
  void handle(HttpExchange &Exchange) {
    std::string Body;
    readWholeBody(Exchange, 1 << 20, Body);
    if (Exchange.Request.method == "POST")
      this->Ledger.add(Exchange.Request.target);
    std::this_thread::sleep_for(ServiceTime);
    Exchange.Response.set_content("whole answer", "text/plain");
  }

  RunLedger &Ledger;
  HttpServer Server;
};

/// The only way of one daemon to the servers.
class DaemonLinks {
public:
  explicit DaemonLinks(
      const std::vector<std::unique_ptr<CountingServer>> &All) {
    for (const std::unique_ptr<CountingServer> &Each : All) {
      this->Relays.push_back(std::make_unique<RelayStandIn>(
          Endpoint{"127.0.0.1", Each->getPort()}));
      REQUIRE(this->Relays.back()->start({"127.0.0.1", 0}));
    }
  }

  /// Returns settings of the services, their servers by these links, and a
  /// route of each class to each service.
  std::string makeSettings() const {
    std::string Text = "[region r]\n";
    for (size_t Service = 0; Service < ServicesCount; ++Service) {
      Text += fmt::format("[service s{0}]\nregion = r\nfloor-percent = 50\n"
                          "deadline-ms = {1}\nretry-percent = 100\n"
                          "[route read{0}]\nprefix = /read{0}\nservice = s{0}\n"
                          "[route pay{0}]\nprefix = /pay{0}\nservice = s{0}\n"
                          "class = once\n",
                          Service, CallerDeadlineMs);
      for (size_t I = 0; I < ServersPerService; ++I)
        Text += fmt::format(
            "[server s{0}/b{1}]\naddress = 127.0.0.1:{2}\nhall = a\nslots = "
            "16\n"
            "connections = 400\n",
            Service, I,
            this->Relays[Service * ServersPerService + I]->getPort());
    }
    return Text;
  }

  /// Refuses connections to one server, as if it had ended.
  void end(size_t Server) { cutOne(*this->Relays[Server], Partition::Reset); }

  void cut(Partition How) {
    for (const std::unique_ptr<RelayStandIn> &Each : this->Relays)
      cutOne(*Each, How);
  }

  void restore() {
    for (const std::unique_ptr<RelayStandIn> &Each : this->Relays) {
      Each->getFaults().CutForward = Each->getFaults().CutBackward = false;
      Each->setNewConnections(NewConnections::Accept);
    }
  }

  size_t countBytesBackward() const {
    size_t Bytes = 0;
    for (const std::unique_ptr<RelayStandIn> &Each : this->Relays)
      Bytes += Each->countBytesBackward();
    return Bytes;
  }

private:
  static void cutOne(RelayStandIn &Relay, Partition How) {
    switch (How) {
    case Partition::Hang:
      Relay.getFaults().CutForward = Relay.getFaults().CutBackward = true;
      Relay.setNewConnections(NewConnections::Hang);
      return;
    case Partition::Reset:
      Relay.setNewConnections(NewConnections::Refuse);
      Relay.resetOpenConnections();
      return;
    case Partition::RefuseNew:
      Relay.setNewConnections(NewConnections::Refuse);
      return;
    }
  }

  std::vector<std::unique_ptr<RelayStandIn>> Relays;
};

/// What callers of one daemon were answered.
struct CallerCounts {
  std::atomic<int> Sent{0};
  std::atomic<int> Served{0};

  double getServedShare() const {
    return this->Sent == 0 ? 1 : static_cast<double>(this->Served) / this->Sent;
  }
};

/// Callers of one daemon: one sends safe requests, one sends requests that may
/// run only once, each on new connections and kept ones by turns. They try each
/// request once.
class Callers {
public:
  explicit Callers(Endpoint Daemon, std::string Name)
      : Daemon(std::move(Daemon)), Name(std::move(Name)),
        Reading([this] { this->run("GET", "read"); }),
        Paying([this] { this->run("POST", "pay"); }) {}

  ~Callers() {
    this->IsStopping = true;
    this->Reading.join();
    this->Paying.join();
  }

  /// Counts the requests that begin from now on in Next, until it is null.
  void countIn(CallerCounts *Next) { this->Counts = Next; }

private:
  void run(const std::string &Method, const std::string &Route) {
    ConnectionPool Client{0};
    for (int Number = 0; !this->IsStopping; ++Number) {
      CallerCounts *const Counting = this->Counts;
      OutgoingRequest Request;
      Request.Method = Method;
      Request.Target = fmt::format("/{}{}/{}-{}", Route, Number % ServicesCount,
                                   this->Name, Number);
      Request.WantsFreshConnection = Number % 2 == 0;
      Request.Headers.emplace("X-Deadline-Ms",
                              fmt::format("{}", CallerDeadlineMs));
      const ExchangeResult Result =
          Client.exchange(this->Daemon, Request,
                          readSteadyClock() + fromSeconds(5), -1, nullptr);
      if (Counting) {
        ++Counting->Sent;
        Counting->Served += Result.Status == 200 ? 1 : 0;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
  }

  const Endpoint Daemon;
  const std::string Name;
  std::atomic<bool> IsStopping{false};
  std::atomic<CallerCounts *> Counts{nullptr};
  std::thread Reading;
  std::thread Paying;
};

/// The time within which a daemon has noticed that it is cut off.
inline constexpr std::chrono::milliseconds NoticeTime(1000);

/// The time over which callers' requests are counted.
inline constexpr std::chrono::milliseconds CountTime(1500);

/// The part of the requests at cut daemons that is served, of the same part at
/// the others.
inline constexpr double MinServedRatio = 0.95;

/// What a daemon that uses its links receives over NoticeTime at least.
inline constexpr size_t MinBytes = 1000;

/// One daemon with its links and callers.
struct FleetMember {
  explicit FleetMember(
      const std::vector<std::unique_ptr<CountingServer>> &Servers)
      : Links(Servers) {}

  DaemonLinks Links;
  std::unique_ptr<Callers> Asking;
};

/// Servers, and members that a test starts.
struct PartitionFixture {
  PartitionFixture() {
    for (size_t I = 0; I < ServicesCount * ServersPerService; ++I)
      this->Servers.push_back(std::make_unique<CountingServer>(this->Ledger));
  }

  ~PartitionFixture() {
    for (const std::unique_ptr<FleetMember> &Each : this->Members) {
      Each->Links.restore();
      Each->Asking.reset();
    }
  }

  FleetMember &addMember() {
    return *this->Members.emplace_back(
        std::make_unique<FleetMember>(this->Servers));
  }

  /// Cuts the first Count members off.
  void cut(size_t Count, Partition How) {
    for (size_t I = 0; I < Count; ++I)
      this->Members[I]->Links.cut(How);
  }

  /// Counts requests at the first Count members and at the others for a while.
  void count(size_t Count, CallerCounts &Cut, CallerCounts &Others) {
    for (size_t I = 0; I < this->Members.size(); ++I)
      this->Members[I]->Asking->countIn(I < Count ? &Cut : &Others);
    std::this_thread::sleep_for(CountTime);
    for (const std::unique_ptr<FleetMember> &Each : this->Members)
      Each->Asking->countIn(nullptr);
    // The requests that were counted as sent have ended by then.
    std::this_thread::sleep_for(std::chrono::milliseconds(CallerDeadlineMs));
  }

  /// Cuts the first Count members off and compares what their callers get with
  /// what callers of the others get.
  void checkServed(size_t Count, Partition How) {
    this->cut(Count, How);
    std::this_thread::sleep_for(NoticeTime);
    CallerCounts Cut;
    CallerCounts Others;
    this->count(Count, Cut, Others);
    MESSAGE("served ", Cut.Served.load(), " of ", Cut.Sent.load(),
            " at cut daemons, ", Others.Served.load(), " of ",
            Others.Sent.load(), " at the others");
    CHECK(Cut.getServedShare() >= MinServedRatio * Others.getServedShare());
    CHECK(Others.getServedShare() >= MinServedRatio);
    CHECK(this->Ledger.countMost() <= 1);
  }

  RunLedger Ledger;
  std::vector<std::unique_ptr<CountingServer>> Servers;
  std::vector<std::unique_ptr<FleetMember>> Members;
};

} // namespace canvaswick

#endif // CANVASWICK_UNITTESTS_SERVERPARTITION_PARTITIONFIXTURE_H
