//===- SilentAnswer.cpp - A silent server during a planned stop -----------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Servers send the head of their answers at once and the body when they have
/// done the work, after some seconds of silence. The daemon gets SIGTERM
/// meanwhile.
///
//===----------------------------------------------------------------------===//

#include "Platform.h"

#include <csignal>
#include <cstdlib>
#include <exception>
#include <thread>

using namespace review;

static constexpr double Grace = 6;
static constexpr int Uploads = 5;

/// How long a server is silent between the head and the body.
static constexpr double LongSilence = 5.4;
static constexpr double ShortSilence = 2;

/// When the SIGTERM comes, after the requests were sent.
static constexpr double StopAfter = 1.2;

[[noreturn]] static void run(const Place &Where) {
  Record Log(Where.RecordPath);
  Store Platform;
  const double Silence = Where.HasTrouble ? LongSilence : ShortSilence;
  const auto Work = [&](Connection &Stream, const Message &Request) {
    const std::string Body(2000, 'x');
    const std::string Text = formatMessage(makeSuccess(Request, Body), true);
    Stream.write(Text.substr(0, Text.size() - Body.size()));
    sleepFor(Silence);
    const bool HasEnded = Stream.waitForInput(now());
    Stream.write(Body);
    Log.line("server has done " + Request.get("Request-Id") +
             (HasEnded ? "; its connection had ended before" : ""));
  };
  Backend Depot1(Platform, Log, "i-depot-1", "archivo", Work);
  Backend Depot2(Platform, Log, "i-depot-2", "archivo", Work);
  Platform.put("op/config", makeConfig(7,
                                       {{"carga-libros", "/carga/", "upload",
                                         "archivo", 10, 3, 2}},
                                       {"archivo"}));
  Daemon Front(Log, Where.Folder, "front-vancouver-hall-1", Platform.getPort());
  Front.setGrace(Grace);
  Front.writeSettings();
  Front.start();
  if (!Front.waitUntilReady(now() + 10))
    endCase(Front, 2);
  sleepFor(4);

  const double Sent = now();
  std::vector<Exchange> Seen(Uploads);
  std::vector<std::thread> Clients;
  Clients.reserve(Uploads);
  for (int I = 0; I < Uploads; ++I)
    Clients.emplace_back([&, I] {
      const std::unique_ptr<Connection> Fresh(
          Connection::connectTo(Front.getPort()));
      Seen[I] = ask(*Fresh, Log, "upload-" + std::to_string(I), "POST",
                    "/carga/2f", std::string(20000, 'b'), 10);
    });
  sleepUntil(Sent + StopAfter);
  const double Stopped = now();
  Front.signal(SIGTERM);
  Front.waitOrKill(Stopped + Grace);
  for (std::thread &Each : Clients)
    Each.join();

  int Lost = 0;
  for (const Exchange &Each : Seen) {
    const int Runs = Depot1.countRuns(Each.Id) + Depot2.countRuns(Each.Id);
    // The server's own answer has its stamp and its whole body.
    const bool IsAnswered = Each.IsWhole && Each.Answer.status() == 200 &&
                            !Each.Answer.get("Server-Stamp").empty();
    // Excused: the server is at work in the last sixth of the grace time, or
    // the time limit is reached.
    const bool IsExcused =
        Each.Sent + Silence >= Stopped + Grace * 5 / 6 || Silence >= 10;
    const bool IsLost = Runs > 0 && !IsAnswered && !IsExcused;
    Lost += IsLost ? 1 : 0;
    Log.line(
        Each.Id + ": runs " + std::to_string(Runs) + ", ended " +
        std::to_string(Each.Ended - Stopped) + " s after SIGTERM, " +
        (IsLost ? "LOST: broken off while its server was at work" : "held"));
  }
  Log.line("uploads " + std::to_string(Uploads) + ", broken off " +
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
