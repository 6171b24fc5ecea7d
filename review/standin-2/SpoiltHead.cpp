//===- SpoiltHead.cpp - Answers with a spoilt header line -----------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// One of three servers spoils two of a hundred answers: a header line has a
/// blank before its colon, which no HTTP/1.1 message may have. By turns such an
/// answer is whole otherwise, or breaks off after half of its body.
///
//===----------------------------------------------------------------------===//

#include "Platform.h"

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <thread>

using namespace review;

static constexpr int Clients = 6;
static constexpr int RequestsPerClient = 250;

/// One answer of this many is spoilt.
static constexpr int SpoilEach = 50;

static std::string makeBody(const std::string &RequestId) {
  std::string Body;
  while (Body.size() < 400)
    Body += RequestId + ";";
  return Body;
}

/// Returns whether a line is a header field: a token, a colon, a value (RFC
/// 9112, section 5).
static bool isHeaderField(const std::string &Name) {
  if (Name.empty())
    return false;
  for (const char Byte : Name)
    if (!std::isalnum(static_cast<unsigned char>(Byte)) &&
        !std::strchr("!#$%&'*+-.^_`|~", Byte))
      return false;
  return true;
}

[[noreturn]] static void run(const Place &Where) {
  Record Log(Where.RecordPath);
  Store Platform;
  std::atomic<int> Answers{0};
  std::atomic<int> Spoilt{0};
  const auto Sound = [](Connection &Stream, const Message &Request) {
    Stream.write(formatMessage(
        makeSuccess(Request, makeBody(Request.get("Request-Id"))), true));
  };
  const auto Faulty = [&](Connection &Stream, const Message &Request) {
    if (!Where.HasTrouble || ++Answers % SpoilEach != 0) {
      Sound(Stream, Request);
      return;
    }
    const std::string Id = Request.get("Request-Id");
    const std::string Body = makeBody(Id);
    const std::string Length = std::to_string(Body.size());
    std::string Head = "HTTP/1.1 200 OK\r\nRequest-Id: " + Id +
                       "\r\nServer-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n";
    if (++Spoilt % 2 == 0) {
      Log.line("server spoils " + Id + ": \"Transfer-Encoding : chunked\"");
      Stream.write(Head + "Transfer-Encoding : chunked\r\nContent-Length: " +
                   Length + "\r\n\r\n" + Body);
      return;
    }
    Log.line("server spoils " + Id + ": \"Content-Length : " + Length +
             "\", and closes after " + std::to_string(Body.size() / 2) +
             " bytes of the body");
    Stream.write(Head + "Content-Length : " + Length + "\r\n\r\n" +
                 Body.substr(0, Body.size() / 2));
    Stream.close();
  };
  Backend Frames1(Platform, Log, "i-frames-1", "frame-catalogue", Faulty);
  Backend Frames2(Platform, Log, "i-frames-2", "frame-catalogue", Sound);
  Backend Frames3(Platform, Log, "i-frames-3", "frame-catalogue", Sound);
  Platform.put("op/config",
               makeConfig(7,
                          {{"catalogue-browse", "/frames/", "idempotent",
                            "frame-catalogue", 2.5, 1, 2}},
                          {"frame-catalogue"}));
  Daemon Front(Log, Where.Folder, "front-vancouver-hall-1", Platform.getPort());
  Front.writeSettings();
  Front.start();
  if (!Front.waitUntilReady(now() + 10))
    endCase(Front, 2);
  sleepFor(2);

  std::atomic<int> Cut{0};
  std::atomic<int> Malformed{0};
  std::atomic<int> Good{0};
  std::vector<std::thread> Threads;
  Threads.reserve(Clients);
  for (int Client = 0; Client < Clients; ++Client)
    Threads.emplace_back([&, Client] {
      for (int I = 0; I < RequestsPerClient; ++I) {
        const std::string Id =
            "r-" + std::to_string(Client) + "-" + std::to_string(I);
        const std::unique_ptr<Connection> Fresh(
            Connection::connectTo(Front.getPort()));
        const Exchange Seen = ask(*Fresh, Log, Id, "GET", "/frames/2f", "", 5);
        sleepFor(0.04);
        if (!Seen.IsWhole || Seen.Answer.status() != 200)
          continue;
        ++Good;
        if (Seen.Answer.Body != makeBody(Id)) {
          ++Cut;
          Log.line("MIXED: the success for " + Id + " looks complete with " +
                   std::to_string(Seen.Answer.Body.size()) + " bytes of " +
                   std::to_string(makeBody(Id).size()));
        }
        for (const auto &[Name, Value] : Seen.Answer.Fields)
          if (!isHeaderField(Name)) {
            ++Malformed;
            Log.line("MIXED: the answer for " + Id +
                     " is none in the protocol: \"" + Name + ": " + Value +
                     "\"");
          }
      }
    });
  for (std::thread &Each : Threads)
    Each.join();
  Front.signal(SIGTERM);
  Front.waitOrKill(now() + 6);
  Log.line("successes " + std::to_string(Good) + ", spoilt by the server " +
           std::to_string(Spoilt) + ", cut ones that look complete " +
           std::to_string(Cut) + ", passed on malformed " +
           std::to_string(Malformed));
  endCase(Front, Cut + Malformed > 0 ? 1 : 0);
}

int main(int Count, char **Values) {
  try {
    run(findPlace(Count, Values));
  } catch (const std::exception &Failure) {
    std::fprintf(stderr, "%s\n", Failure.what());
  }
  std::_Exit(2);
}
