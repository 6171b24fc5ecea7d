//===- SurplusAnswerTest.cpp - Answers that nobody asked for --------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A server sends a second answer some time after a whole one. It may arrive
/// where the answer to the next request on that connection is expected.
///
//===----------------------------------------------------------------------===//

#include "RawBackend.h"

#include <chrono>

using namespace canvaswick;

namespace {

constexpr int RejectedStatus = 503;

/// A second answer, and how long after the first one it is sent.
struct Surplus {
  int Status;
  std::chrono::milliseconds Delay;
};

/// Answers reads, each with a second answer after it, and runs what may run
/// once.
struct SurplusServer {
  explicit SurplusServer(const Surplus &Second, int FirstStatus)
      : Second(Second), FirstStatus(FirstStatus) {}

  static std::string makeAnswer(int Status) {
    return fmt::format(
        "HTTP/1.1 {} X\r\n{}Content-Length: 0\r\n\r\n", Status,
        Status == RejectedStatus ? "Canvaswick-Outcome: not-run\r\n" : "");
  }

  void serve(RawSocket &Socket) {
    RawMessage Request;
    while (Socket.readMessage(Request)) {
      if (!Request.Head.starts_with("GET")) {
        ++this->Runs;
        Socket.write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
        continue;
      }
      Socket.write(makeAnswer(this->FirstStatus));
      std::this_thread::sleep_for(this->Second.Delay);
      Socket.write(makeAnswer(this->Second.Status));
    }
  }

  const Surplus Second;
  const int FirstStatus;
  std::atomic<int> Runs{0};
};

/// Returns how many of the requests that may run once did not get their own
/// answer after one run.
int countHarmed(const Surplus &Second, int FirstStatus,
                const ProxyOptions &Options) {
  constexpr int Rounds = 6;
  SurplusServer Server(Second, FirstStatus);
  RawProxy Front([&Server](RawSocket &Socket) { Server.serve(Socket); },
                 Options);
  int Harmed = 0;
  for (int I = 0; I < Rounds; ++I) {
    (void)Front.send("GET", "/read");
    const int Before = Server.Runs;
    const ExchangeResult Own = Front.send("POST", "/once", {}, "order");
    Harmed +=
        Own.Status == 200 && Own.Body == "done" && Server.Runs == Before + 1
            ? 0
            : 1;
  }
  return Harmed;
}

} // namespace

// Guards against an answer that belongs to no request being taken for the
// answer to one that may run once, which then is said not to have run, or runs
// again (REFUSED, TWICE, MIXED).
TEST_CASE("what may run once never gets an answer that came late for another "
          "request") {
  for (const int First : {200, 404, RejectedStatus})
    for (const int Status : {200, 204, 404, 408, 421, 429, 500, 503})
      for (const int Delay : {0, 20, 60, 150}) {
        CAPTURE(First);
        CAPTURE(Status);
        CAPTURE(Delay);
        CHECK(countHarmed({Status, std::chrono::milliseconds(Delay)}, First,
                          {}) == 0);
      }
}

// The same where connections are used again, with a late repeat of a failure.
TEST_CASE("what may run once never gets a late repeat of another request's "
          "failure") {
  ProxyOptions Platform;
  Platform.MaxBufferedResponseBytes = 1 << 20;
  Platform.MaxRecentIdleMs = 50;
  for (const int Status : {404, 500, RejectedStatus})
    for (const int Delay : {0, 20, 60, 150}) {
      CAPTURE(Status);
      CAPTURE(Delay);
      CHECK(countHarmed({Status, std::chrono::milliseconds(Delay)}, Status,
                        Platform) == 0);
    }
}
