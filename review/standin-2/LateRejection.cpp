//===- LateRejection.cpp - A rejection that comes twice -------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// All servers of a large service reject a part of their requests for some
/// seconds, and some send a second answer, late. Look-ups, which may be
/// repeated, and returns, which may not, go to the same service.
///
//===----------------------------------------------------------------------===//

#include "Platform.h"

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <random>
#include <thread>

using namespace review;

static constexpr int Daemons = 3;
static constexpr int Servers = 48;
static constexpr int Filers = 72;
static constexpr int Readers = 72;

/// The strikes: as in the site file, all servers reject 0.55 of their requests
/// for 8.5 s, and 0.6 of the servers send a second answer to 0.03 of them for 5
/// s.
static constexpr int Strikes = 8;
static constexpr double StrikeEach = 11;
static constexpr double RejectSeconds = 8.5;
static constexpr double RejectShare = 0.55;
static constexpr double SurplusSeconds = 5;
static constexpr double SurplusServers = 0.6;
static constexpr double SurplusShare = 0.03;

/// How much later the second answer comes, at least and at most.
static constexpr double MinLate = 0.03;
static constexpr double MaxLate = 0.12;

static constexpr double WorkSeconds = 0.19;

/// As on the users' pages; the one for a request that was not run.
static const char *const Rejection =
    "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
    "Content-Length: 0\r\n\r\n";

namespace {

/// A server whose answers may come twice.
class RejectingServer {
public:
  RejectingServer(Store &Platform, Record &Log, int Number,
                  const std::atomic<bool> &IsRejecting,
                  const std::atomic<bool> &IsGarbling)
      : Log(Log), Id("i-records-" + std::to_string(Number)),
        IsFaulty(Number < SurplusServers * Servers), IsRejecting(IsRejecting),
        IsGarbling(IsGarbling),
        Server([this](Connection &Stream) { this->serve(Stream); }) {
    Platform.put(
        "servers/" + this->Id,
        makeEntry("client-records", this->Server.getPort(), "ready", 1));
  }

  int countRuns(const std::string &RequestId) {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    return this->Runs[RequestId];
  }

private:
  double draw() {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    return std::uniform_real_distribution<double>()(this->Random);
  }

  void serve(Connection &Stream) {
    double SurplusAt = -1;
    while (Stream.getEnd() == End::None) {
      if (SurplusAt >= 0 && !Stream.waitForInput(SurplusAt)) {
        Stream.write(Rejection);
        SurplusAt = -1;
      }
      Message Request;
      if (!Stream.readMessage(Request, false))
        return;
      const std::string RequestId = Request.get("Request-Id");
      if (this->IsRejecting && this->draw() < RejectShare) {
        Stream.write(Rejection);
        if (SurplusAt < 0 && this->IsFaulty && this->IsGarbling &&
            this->draw() < SurplusShare) {
          SurplusAt = now() + MinLate + this->draw() * (MaxLate - MinLate);
          this->Log.line("server " + this->Id + " rejects " + RequestId +
                         ", a second answer follows");
        }
        continue;
      }
      {
        std::lock_guard<std::mutex> Lock(this->Mutex);
        ++this->Runs[RequestId];
      }
      const double Until = now() + WorkSeconds;
      if (SurplusAt >= 0) {
        this->Log.line("server " + this->Id + " begins " + RequestId +
                       " on a connection with a second answer due");
        sleepUntil(std::min(SurplusAt, Until));
        Stream.write(Rejection);
        SurplusAt = -1;
      }
      sleepUntil(Until);
      Stream.write(formatMessage(makeSuccess(Request, RequestId), true));
    }
  }

  Record &Log;
  const std::string Id;
  const bool IsFaulty;
  const std::atomic<bool> &IsRejecting;
  const std::atomic<bool> &IsGarbling;
  std::mutex Mutex;
  std::mt19937 Random{std::random_device()()};
  std::map<std::string, int> Runs;
  Listener Server;
};

} // namespace

/// Sends a request of its own on a new connection, without a line in the
/// record. Returns the status, or 0.
static int askQuietly(uint16_t Port, const std::string &Id,
                      const std::string &Method, const std::string &Target,
                      const std::string &Body) {
  const std::unique_ptr<Connection> Fresh(Connection::connectTo(Port));
  Fresh->setDeadline(now() + 6);
  Fresh->write(formatMessage(
      {Method + " " + Target + " HTTP/1.1",
       {{"Host", HostName}, {"Request-Id", Id}, {"Deadline-Ms", "6000"}},
       Body},
      false));
  Message Answer;
  return Fresh->readMessage(Answer, true) ? Answer.status() : 0;
}

[[noreturn]] static void run(const Place &Where) {
  Record Log(Where.RecordPath);
  Store Platform;
  std::atomic<bool> IsRejecting{false};
  std::atomic<bool> IsGarbling{false};
  std::vector<std::unique_ptr<RejectingServer>> Records;
  Records.reserve(Servers);
  for (int I = 0; I < Servers; ++I)
    Records.push_back(std::make_unique<RejectingServer>(
        Platform, Log, I, IsRejecting, IsGarbling));
  Platform.put("op/config",
               makeConfig(7,
                          {{"amended-return", "/returns/", "non_idempotent",
                            "client-records", 3, 1, 3},
                           {"prior-year-lookup", "/years/", "idempotent",
                            "client-records", 3, 1, 3}},
                          {"client-records"}));
  std::vector<std::unique_ptr<Daemon>> Fronts;
  for (int I = 0; I < Daemons; ++I) {
    Fronts.push_back(std::make_unique<Daemon>(
        Log, Where.Folder, "front-vancouver-hall-" + std::to_string(I + 1),
        Platform.getPort()));
    Fronts.back()->writeSettings();
    Fronts.back()->start();
  }
  for (const auto &Each : Fronts)
    if (!Each->waitUntilReady(now() + 10))
      endCase(Fronts, 2);
  sleepFor(2);

  std::atomic<bool> IsOver{false};
  std::atomic<int> Sent{0};
  std::atomic<int> Broken{0};
  const auto CountRuns = [&](const std::string &Id) {
    int Runs = 0;
    for (const auto &Each : Records)
      Runs += Each->countRuns(Id);
    return Runs;
  };
  const auto File = [&](int Client) {
    const uint16_t Port =
        Fronts[static_cast<size_t>(Client % Daemons)]->getPort();
    for (int I = 0; !IsOver; ++I) {
      const std::string Id =
          "return-" + std::to_string(Client) + "-" + std::to_string(I);
      const int Status = askQuietly(Port, Id, "POST", "/returns/2f", "return");
      ++Sent;
      const bool IsPromise =
          Status == 503 || Status == 429 || Status == 408 || Status == 421;
      // What a server does later counts, too.
      if (IsPromise)
        sleepFor(0.15);
      const int Runs = CountRuns(Id);
      if (Runs <= 1 && !(IsPromise && Runs > 0))
        continue;
      ++Broken;
      Log.line(std::string(Runs > 1 ? "TWICE: " : "REFUSED: ") + Id + " got " +
               std::to_string(Status) + " and ran " + std::to_string(Runs) +
               " times");
    }
  };
  const auto LookUp = [&](int Client) {
    const uint16_t Port =
        Fronts[static_cast<size_t>(Client % Daemons)]->getPort();
    for (int I = 0; !IsOver; ++I)
      if (askQuietly(Port,
                     "year-" + std::to_string(Client) + "-" + std::to_string(I),
                     "GET", "/years/2f", "") != 200)
        sleepFor(0.15);
  };
  std::vector<std::thread> Clients;
  Clients.reserve(Filers + Readers);
  for (int I = 0; I < Filers; ++I)
    Clients.emplace_back(File, I);
  for (int I = 0; I < Readers; ++I)
    Clients.emplace_back(LookUp, I);
  for (int Strike = 0; Strike < Strikes && Broken == 0; ++Strike) {
    Log.line("strike " + std::to_string(Strike + 1));
    IsRejecting = true;
    IsGarbling = Where.HasTrouble;
    sleepFor(SurplusSeconds);
    IsGarbling = false;
    sleepFor(RejectSeconds - SurplusSeconds);
    IsRejecting = false;
    sleepFor(StrikeEach - RejectSeconds);
  }
  IsOver = true;
  for (std::thread &Each : Clients)
    Each.join();
  Log.line(
      "returns " + std::to_string(Sent) +
      ", run twice, or run and refused as not run: " + std::to_string(Broken));
  endCase(Fronts, Broken > 0 ? 1 : 0);
}

int main(int Count, char **Values) {
  try {
    run(findPlace(Count, Values));
  } catch (const std::exception &Failure) {
    std::fprintf(stderr, "%s\n", Failure.what());
  }
  std::_Exit(2);
}
