//===- SilentAnswerTest.cpp - Servers that fall silent within an answer ---===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A server sends the head of its answer and does the work before the body.
///
//===----------------------------------------------------------------------===//

#include "RawBackend.h"

#include <chrono>

using namespace canvaswick;

namespace {

constexpr std::chrono::milliseconds Silence(700);

constexpr const char *ShortStall = "stall-ms = 200\n";

const std::string WholeBody(1000, 'a');

/// What a caller gets, and how often servers were asked.
struct Seen {
  bool IsWhole = false;
  int Runs = 0;
};

/// A server that is silent between the head and the body of its answers.
struct SilentServer {
  void serve(RawSocket &Socket) {
    RawMessage Request;
    while (Socket.readMessage(Request)) {
      ++this->Runs;
      if (!Socket.write("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n"))
        return;
      if (this->IsFrozen)
        continue;
      std::this_thread::sleep_for(Silence);
      if (!Socket.write(WholeBody))
        return;
    }
  }

  std::atomic<int> Runs{0};
  std::atomic<bool> IsFrozen{false};
};

/// Sends a request to a daemon, of whose service ServiceKeys are settings.
Seen ask(const char *Method, const char *Target, bool IsStopping,
         const ProxyOptions &Options = {},
         const std::string &ServiceKeys = ShortStall, bool IsFrozen = false) {
  SilentServer Server;
  Server.IsFrozen = IsFrozen;
  RawProxy Front([&Server](RawSocket &Socket) { Server.serve(Socket); },
                 Options, ServiceKeys);
  if (IsStopping)
    Front.Proxy->beginStop(readSteadyClock() + fromSeconds(60));
  RawSocket Caller(RawSocket::connectTo(Front.getPort()));
  Caller.setTimeLimit(10);
  RawMessage Answer;
  const bool IsRead = Caller.write(fmt::format("{} {} HTTP/1.1\r\nHost: h\r\n"
                                               "Content-Length: 0\r\n\r\n",
                                               Method, Target)) &&
                      Caller.readMessage(Answer);
  return {IsRead && Answer.Head.starts_with("HTTP/1.1 200") &&
              Answer.Body == WholeBody,
          Server.Runs};
}

} // namespace

// Guards against answers that are broken off after some seconds of silence
// although the request still has time (LOST).
TEST_CASE("a silent server is awaited as long as the request has time") {
  ProxyOptions Buffered;
  Buffered.MaxBufferedResponseBytes = 1 << 20;
  for (const bool IsStopping : {false, true}) {
    CAPTURE(IsStopping);
    for (const ProxyOptions &Options : {ProxyOptions(), Buffered}) {
      CAPTURE(Options.MaxBufferedResponseBytes);
      const Seen Once = ask("POST", "/once", IsStopping, Options);
      CHECK(Once.IsWhole);
      CHECK(Once.Runs == 1);
    }
    // It cannot be resumed, since nothing proves that the rest is the same.
    const Seen Begun = ask("GET", "/read", IsStopping);
    CHECK(Begun.IsWhole);
    CHECK(Begun.Runs == 1);
  }
}

TEST_CASE("a silent server is left for another one, but not once a stop has "
          "begun") {
  ProxyOptions Buffered;
  Buffered.MaxBufferedResponseBytes = 1 << 20;
  CHECK(ask("GET", "/read", false, Buffered).Runs > 1);
  const Seen Stopping = ask("GET", "/read", true, Buffered);
  CHECK(Stopping.IsWhole);
  CHECK(Stopping.Runs == 1);
}

TEST_CASE(
    "a server that stays silent is left when the request's time is over") {
  const std::string Short = fmt::format("{}deadline-ms = 600\n", ShortStall);
  const TimePoint Began = readSteadyClock();
  CHECK_FALSE(ask("POST", "/once", false, {}, Short, true).IsWhole);
  CHECK_FALSE(ask("GET", "/read", true, {}, Short, true).IsWhole);
  CHECK(readSteadyClock() - Began < fromSeconds(8));
}
