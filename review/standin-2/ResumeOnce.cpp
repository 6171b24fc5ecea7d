//===- ResumeOnce.cpp - A large answer of what may run once is cut --------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Requests of a route that may run once are answered with two megabytes and a
/// strong validator. One of three servers breaks off two of a hundred answers.
///
//===----------------------------------------------------------------------===//

#include "Platform.h"

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <thread>

using namespace review;

static constexpr int Clients = 4;
static constexpr int RequestsPerClient = 200;

/// One answer of this many is broken off, after this many bytes of its body.
static constexpr int BreakEach = 50;
static constexpr size_t BrokenBytes = 1500000;
static constexpr size_t BodyBytes = 2000000;

static const char *const Validator = "\"pack-7\"";

/// Returns the answer to a request, which may ask for the rest of a body.
static std::string makeAnswer(const Message &Request, const std::string &Body) {
  Message Answer = makeSuccess(Request, Body);
  Answer.Fields.emplace_back("ETag", Validator);
  const std::string Range = Request.get("Range");
  if (Range.rfind("bytes=", 0) == 0) {
    const size_t First = std::strtoull(Range.c_str() + 6, nullptr, 10);
    Answer.StartLine = "HTTP/1.1 206 Partial Content";
    Answer.Body = Body.substr(First);
    Answer.Fields.emplace_back("Content-Range",
                               "bytes " + std::to_string(First) + "-" +
                                   std::to_string(Body.size() - 1) + "/" +
                                   std::to_string(Body.size()));
  }
  return formatMessage(Answer, true);
}

[[noreturn]] static void run(const Place &Where) {
  Record Log(Where.RecordPath);
  Store Platform;
  const std::string Body(BodyBytes, 'p');
  std::atomic<int> Answers{0};
  std::atomic<int> Broken{0};
  const auto Sound = [&](Connection &Stream, const Message &Request) {
    Stream.write(makeAnswer(Request, Body));
  };
  const auto Faulty = [&](Connection &Stream, const Message &Request) {
    if (!Where.HasTrouble || ++Answers % BreakEach != 0) {
      Sound(Stream, Request);
      return;
    }
    ++Broken;
    Log.line("server breaks off its answer to " + Request.get("Request-Id"));
    const std::string Text = makeAnswer(Request, Body);
    Stream.write(Text.substr(0, Text.size() - (BodyBytes - BrokenBytes)));
    // What was sent shall arrive before the connection ends.
    sleepFor(0.2);
    Stream.close();
  };
  Backend Desk1(Platform, Log, "i-desk-1", "commission-desk", Faulty);
  Backend Desk2(Platform, Log, "i-desk-2", "commission-desk", Sound);
  Backend Desk3(Platform, Log, "i-desk-3", "commission-desk", Sound);
  Platform.put("op/config",
               makeConfig(7,
                          {{"licence-purchase", "/buy/", "non_idempotent",
                            "commission-desk", 3, 1, 2}},
                          {"commission-desk"}));
  Daemon Front(Log, Where.Folder, "front-vancouver-hall-1", Platform.getPort());
  Front.writeSettings();
  Front.start();
  if (!Front.waitUntilReady(now() + 10))
    endCase(Front, 2);
  // Until the fleet's repeats are there, a window after the start.
  sleepFor(12);

  std::atomic<int> Twice{0};
  std::vector<std::thread> Threads;
  Threads.reserve(Clients);
  for (int Client = 0; Client < Clients; ++Client)
    Threads.emplace_back([&, Client] {
      for (int I = 0; I < RequestsPerClient; ++I) {
        const std::string Id =
            "buy-" + std::to_string(Client) + "-" + std::to_string(I);
        const std::unique_ptr<Connection> Fresh(
            Connection::connectTo(Front.getPort()));
        ask(*Fresh, Log, Id, "GET", "/buy/pack-7", "", 6);
        const int Runs =
            Desk1.countRuns(Id) + Desk2.countRuns(Id) + Desk3.countRuns(Id);
        if (Runs > 1) {
          ++Twice;
          Log.line("TWICE: " + Id + " ran " + std::to_string(Runs) + " times");
        }
        sleepFor(0.05);
      }
    });
  for (std::thread &Each : Threads)
    Each.join();
  Front.signal(SIGTERM);
  Front.waitOrKill(now() + 6);
  Log.line("purchases " + std::to_string(Clients * RequestsPerClient) +
           ", answers broken off " + std::to_string(Broken) + ", run twice " +
           std::to_string(Twice));
  endCase(Front, Twice > 0 ? 1 : 0);
}

int main(int Count, char **Values) {
  try {
    run(findPlace(Count, Values));
  } catch (const std::exception &Failure) {
    std::fprintf(stderr, "%s\n", Failure.what());
  }
  std::_Exit(2);
}
