//===- GraceReload.cpp - A shorter grace time comes into force ------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The platform lays settings with graceS 6 instead of 10, sends SIGHUP, and
/// some seconds later SIGTERM. Uploads of packages on connections kept from
/// before arrive while the daemon still works on another request.
///
//===----------------------------------------------------------------------===//

#include "Platform.h"

#include <csignal>
#include <cstdlib>
#include <exception>
#include <thread>

using namespace review;

static constexpr double GraceBefore = 10;
static constexpr double GraceAfter = 6;
static constexpr int Acts = 5;

/// The work of a publish and of a read: within the longest (2.3 and 2.4 s) of
/// the site file kildevaerk-gw.
static constexpr double ActSeconds = 2;
static constexpr double ReadSeconds = 2.4;

/// When the requests are sent, after the SIGTERM.
static constexpr double ReadAt = 2.8;
static constexpr double ActsAt = 4.8;

static void work(Connection &Stream, const Message &Request) {
  if (Request.target() != "/publish/warm")
    sleepFor(Request.method() == "POST" ? ActSeconds : ReadSeconds);
  Stream.write(formatMessage(makeSuccess(Request, "done"), true));
}

[[noreturn]] static void run(const Place &Where) {
  Record Log(Where.RecordPath);
  Store Platform;
  Backend Publish1(Platform, Log, "i-publish-1", "publish", work);
  Backend Publish2(Platform, Log, "i-publish-2", "publish", work);
  Backend Index(Platform, Log, "i-index-1", "index", work);
  Platform.put(
      "op/config",
      makeConfig(7,
                 {{"publish-act", "/publish/", "non_idempotent", "publish", 2.5,
                   1.5, 2},
                  {"index-read", "/index/", "idempotent", "index", 4, 1.5, 2}},
                 {"publish", "index"}));
  Daemon Front(Log, Where.Folder, "front-vancouver-hall-1", Platform.getPort());
  Front.setGrace(GraceBefore);
  Front.writeSettings();
  Front.start();
  if (!Front.waitUntilReady(now() + 10))
    endCase(Front, 2);
  sleepFor(2);
  double Grace = GraceBefore;
  if (Where.HasTrouble) {
    Grace = GraceAfter;
    Front.setGrace(Grace);
    Front.writeSettings();
    Front.signal(SIGHUP);
  }
  sleepFor(5);

  // Each client is served once and keeps its connection.
  std::vector<std::unique_ptr<Connection>> Kept;
  for (int I = 0; I < Acts; ++I) {
    Kept.emplace_back(Connection::connectTo(Front.getPort()));
    if (!ask(*Kept[I], Log, "warm-" + std::to_string(I), "POST",
             "/publish/warm", "package", 3)
             .IsWhole)
      endCase(Front, 2);
  }
  sleepFor(1);
  const double Stopped = now();
  Front.signal(SIGTERM);
  std::vector<std::thread> Clients;
  Clients.emplace_back([&] {
    sleepUntil(Stopped + ReadAt);
    const std::unique_ptr<Connection> Fresh(
        Connection::connectTo(Front.getPort()));
    ask(*Fresh, Log, "read-0", "GET", "/index/2f", "", 4);
  });
  std::vector<Exchange> Seen(Acts);
  for (int I = 0; I < Acts; ++I)
    Clients.emplace_back([&, I] {
      sleepUntil(Stopped + ActsAt);
      Seen[I] = ask(*Kept[I], Log, "act-" + std::to_string(I), "POST",
                    "/publish/2f", "package", 5);
    });
  Front.waitOrKill(Stopped + Grace);
  for (std::thread &Each : Clients)
    Each.join();

  int Lost = 0;
  int Ran = 0;
  for (const Exchange &Each : Seen) {
    const int Runs = Publish1.countRuns(Each.Id) + Publish2.countRuns(Each.Id);
    Ran += Runs;
    const bool IsLost = Runs > 0 && !Each.IsWhole;
    Lost += IsLost ? 1 : 0;
    Log.line(Each.Id + ": runs " + std::to_string(Runs) + ", " +
             (IsLost ? "LOST: its connection ended without an answer"
                     : "answered, or not run"));
  }
  Log.line("publish acts " + std::to_string(Acts) + ", run " +
           std::to_string(Ran) + ", run and never answered " +
           std::to_string(Lost));
  endCase(Front, Lost > 0 ? 1 : 0);
}

int main(int Count, char **Values) {
  try {
    run(findPlace(Count, Values));
  } catch (const std::exception &Failure) {
    std::fprintf(stderr, "%s\n", Failure.what());
  }
  std::_Exit(2);
}
