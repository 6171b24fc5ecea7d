//===- RequestProxyTest.cpp - End-to-end tests of one request -------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests a proxy between real sockets and stand-in backend servers with faults.
///
//===----------------------------------------------------------------------===//

#include "../Http/FullListener.h"
#include "ProxyFixture.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <memory>
#include <thread>

using namespace canvaswick;

TEST_CASE("a request is served and its response is complete") {
  ProxyFixture Fixture;
  const ExchangeResult Small = Fixture.send("GET", "/read/1");
  CHECK(Small.Status == 200);
  CHECK(Small.Body.find("served by b") == 0);
  const ExchangeResult Large = Fixture.send("GET", "/read/1?bytes=3000000");
  CHECK(Large.Status == 200);
  CHECK(Large.Body.size() == 3000000);
  const ExchangeResult Posted =
      Fixture.send("POST", "/pay/1", {}, std::string(200000, 'x'));
  CHECK(Posted.Status == 200);
  CHECK(Fixture.send("HEAD", "/read/1").Status == 200);
}

TEST_CASE("an unknown route is refused and nothing is forwarded") {
  ProxyFixture Fixture;
  const ExchangeResult Result = Fixture.send("GET", "/else");
  CHECK(Result.Status == 404);
  CHECK(getHeader(Result, OutcomeHeader) == "not-run");
  CHECK(Fixture.send("GET", "/read/../pay/1").Status == 400);
  CHECK(Fixture.send("GET", "/read/%2e%2E/pay/1").Status == 400);
  CHECK(Fixture.countRuns() == 0);
}

TEST_CASE("ambiguous requests are refused") {
  ProxyFixture Fixture;
  const std::string Host = "Host: x\r\n";
  const std::string Shapes[] = {
      "POST /pay/1 HTTP/1.1\r\n" + Host +
          "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
      "POST /pay/1 HTTP/1.1\r\n" + Host +
          "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      "POST /pay/1 HTTP/1.1\r\n" + Host +
          "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
      "POST /pay/1 HTTP/1.1\r\n" + Host +
          "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
      "POST /pay/1 HTTP/1.1\r\n" + Host + "Content-Length: +3\r\n\r\nabc",
      "POST /pay/1 HTTP/1.1\r\n" + Host + "Content-Length: 3\n\r\nabc",
      "POST /pay/1 HTTP/1.1\r\n" + Host + "X: a\r\n b\r\n\r\n",
      "GET /read/1 HTTP/1.1\r\n" + Host + "Content-Length: 3\r\n\r\nabc",
      "GET /read/1 HTTP/1.1\r\n\r\n",
      "GET /read/1 HTTP/1.1\r\n" + Host + Host + "\r\n",
      "GET /read/1 HTTP/1.0\r\n" + Host + "\r\n",
      "GET read HTTP/1.1\r\n" + Host + "\r\n",
      "GETT /read/1 HTTP/1.1\r\n" + Host + "\r\n",
      "nonsense\r\n\r\n",
  };
  for (const std::string &Shape : Shapes) {
    CAPTURE(Shape);
    const std::string Answer = Fixture.sendRaw(Shape);
    CHECK(Answer.find("HTTP/1.1 400 ") == 0);
    // The proxy sends one response and closes the connection, so that it never
    // parses the bytes that follow as another request.
    CHECK(Answer.find("HTTP/1.1", 5) == std::string::npos);
  }
  const std::string Oversize = Fixture.sendRaw(
      "GET /read/1 HTTP/1.1\r\n" + Host + "X: " + std::string(7000, 'a') +
      "\r\nY: " + std::string(7000, 'a') + "\r\nZ: " + std::string(7000, 'a') +
      "\r\nA: " + std::string(7000, 'a') + "\r\nB: " + std::string(7000, 'a') +
      "\r\n\r\n");
  CHECK(Oversize.find("HTTP/1.1 431 ") == 0);
  CHECK(Fixture.countRuns() == 0);
}

TEST_CASE("header values pass through unchanged") {
  ProxyFixture Fixture;
  for (const std::string Value :
       {"a%20b", "100%", "%2541", "a+b, c", "a%0d%0aY: b"}) {
    const ExchangeResult Result =
        Fixture.send("GET", "/read/1", {{"X-Echo", Value}});
    CHECK(getHeader(Result, "X-Echo") == Value);
    CHECK(getHeader(Result, "Location") == Value);
  }
}

TEST_CASE("a failed request is retried only if the route allows it") {
  ProxyFixture Fixture("retry-percent = 100");
  BackendFaults Fail;
  Fail.Fail = true;
  Fixture.Backends[0]->setFaults(Fail);
  int Good = 0;
  for (int I = 0; I < 10; ++I)
    Good += Fixture.send("GET", "/read/1").Status == 200;
  CHECK(Good == 10);
  Fixture.setFaults(Fail);
  const uint64_t Before = Fixture.countRuns();
  CHECK(Fixture.send("POST", "/pay/1").Status == 500);
  CHECK(Fixture.countRuns() == Before + 1);
}

TEST_CASE("when every server fails the caller gets a server's own response") {
  ProxyFixture Fixture("retry-percent = 100");
  BackendFaults Fail;
  Fail.Fail = true;
  Fixture.setFaults(Fail);
  const ExchangeResult Result = Fixture.send("GET", "/read/1");
  CHECK(Result.Status == 500);
  CHECK(Result.Body == "failed\n");
  CHECK(Fixture.countRuns() == 2);
}

TEST_CASE("a once-only request with an unknown outcome is not retried") {
  ProxyFixture Fixture;
  BackendFaults Lose;
  Lose.LoseAnswer = true;
  Fixture.setFaults(Lose);
  const ExchangeResult Result = Fixture.send("POST", "/pay/1", {}, "order");
  CHECK(Result.Status == 502);
  CHECK(getHeader(Result, OutcomeHeader) == "not-known");
  CHECK(getHeader(Result, "Retry-After") == "1");
  CHECK(Fixture.countRuns() == 1);
}

TEST_CASE("a request that was not run is retried or reported as not run") {
  ProxyFixture Fixture;
  BackendFaults Shed;
  Shed.Shed = true;
  Shed.RetryAfter = "";
  Fixture.Backends[0]->setFaults(Shed);
  for (int I = 0; I < 10; ++I)
    CHECK(Fixture.send("POST", "/pay/1", {}, "order").Status == 200);
  Fixture.setFaults(Shed);
  const ExchangeResult Result = Fixture.send("POST", "/pay/1", {}, "order");
  CHECK(Result.Status == 502);
  CHECK(getHeader(Result, OutcomeHeader) == "not-run");
  Fixture.Backends[0]->stop();
  Fixture.Backends[1]->stop();
  const ExchangeResult Refused = Fixture.send("POST", "/pay/1", {}, "order");
  CHECK(Refused.Status == 502);
  CHECK(getHeader(Refused, OutcomeHeader) == "not-run");
}

TEST_CASE(
    "if all servers ask for a backoff, the next request is refused at once") {
  ProxyFixture Fixture;
  BackendFaults Shed;
  Shed.Shed = true;
  Shed.RetryAfter = "2";
  Fixture.setFaults(Shed);
  const ExchangeResult Result = Fixture.send("POST", "/pay/1", {}, "order");
  CHECK(Result.Status == 502);
  CHECK(getHeader(Result, OutcomeHeader) == "not-run");
  const ExchangeResult Refused = Fixture.send("POST", "/pay/1", {}, "order");
  CHECK(Refused.Status == 503);
  CHECK(getHeader(Refused, OutcomeHeader) == "not-run");
  CHECK(std::stoi(getHeader(Refused, "Retry-After")) >= 2);
  CHECK(Fixture.Counters.get(Counter::UpstreamSheds) == 2);
}

TEST_CASE("a truncated response is visibly truncated") {
  ProxyFixture Fixture;
  BackendFaults Cut;
  Cut.CutAfter = 1000;
  Fixture.setFaults(Cut);
  const ExchangeResult Result = Fixture.send("GET", "/read/1?bytes=200000");
  CHECK(Result.End != ExchangeEnd::Complete);
}

TEST_CASE("a stalled response is resumed from another server") {
  ProxyFixture Fixture("stall-ms = 300");
  BackendFaults Stall;
  Stall.StallAfter = 70000;
  Fixture.Backends[0]->setFaults(Stall);
  // The server is selected at random: send requests until the stalling one was
  // used.
  for (int I = 0; I < 100 && Fixture.Counters.get(Counter::ResumedAnswers) == 0;
       ++I) {
    const ExchangeResult Result = Fixture.send("GET", "/read/1?bytes=500000");
    REQUIRE(Result.End == ExchangeEnd::Complete);
    REQUIRE(Result.Body.size() == 500000);
    for (size_t At = 0; At < Result.Body.size(); ++At)
      REQUIRE(Result.Body[At] == static_cast<char>('a' + At % 23));
  }
  CHECK(Fixture.Counters.get(Counter::ResumedAnswers) > 0);
}

TEST_CASE("bytes after the end of a response do not reach the next request") {
  ProxyFixture Fixture;
  BackendFaults Overlong;
  Overlong.Overlong = true;
  Fixture.setFaults(Overlong);
  for (int I = 0; I < 20; ++I) {
    const ExchangeResult Result = Fixture.send("GET", "/read/1?bytes=100");
    CHECK(Result.Status == 200);
    CHECK(Result.Body.size() == 100);
  }
}

TEST_CASE("a response to another request is not relayed") {
  ProxyFixture Fixture;
  BackendFaults Foreign;
  Foreign.ForeignAnswer = true;
  Fixture.setFaults(Foreign);
  const ExchangeResult Result = Fixture.send("POST", "/pay/1", {}, "order");
  CHECK(Result.Status == 502);
  CHECK(getHeader(Result, OutcomeHeader) == "not-known");
  CHECK(Fixture.Counters.get(Counter::MismatchedAnswers) == 1);
}

TEST_CASE("a response whose end is not delimited is not relayed") {
  ProxyFixture Fixture;
  BackendFaults Unframed;
  Unframed.Unframed = true;
  Fixture.setFaults(Unframed);
  CHECK(Fixture.send("POST", "/pay/1", {}, "order").Status == 502);
}

TEST_CASE("a deadline is enforced") {
  ProxyFixture Fixture;
  BackendFaults Hang;
  Hang.Hang = true;
  Fixture.setFaults(Hang);
  const TimePoint Before = readSteadyClock();
  const ExchangeResult Result =
      Fixture.send("POST", "/pay/1", {{"X-Deadline-Ms", "200"}}, "order");
  CHECK(Result.Status == 504);
  CHECK(getHeader(Result, OutcomeHeader) == "not-known");
  CHECK(readSteadyClock() - Before < fromSeconds(15));
}

TEST_CASE("a caller that disconnects cancels its request at the server") {
  ProxyFixture Fixture;
  BackendFaults Hang;
  Hang.Hang = true;
  Fixture.setFaults(Hang);
  {
    const int Descriptor = connectTcp("127.0.0.1", Fixture.Server->getPort(),
                                      readSteadyClock() + fromSeconds(5));
    SocketStream Stream(Descriptor);
    static_cast<httplib::Stream &>(Stream).write(
        "GET /read/1 HTTP/1.1\r\nHost: x\r\n\r\n");
    while (Fixture.countRuns() == 0)
      std::this_thread::yield();
  }
  const TimePoint GiveUp = readSteadyClock() + fromSeconds(20);
  while (Fixture.Backends[0]->countCanceled() +
                 Fixture.Backends[1]->countCanceled() ==
             0 &&
         readSteadyClock() < GiveUp)
    std::this_thread::yield();
  CHECK(Fixture.Backends[0]->countCanceled() +
            Fixture.Backends[1]->countCanceled() ==
        1);
}

TEST_CASE("requests above an organisation's quota are refused at once") {
  ProxyFixture Fixture("", 3, makeSmallOrganisation());
  const httplib::Headers Small = {{"Authorization", "Bearer small-key"}};
  CHECK(Fixture.send("GET", "/read/1", Small).Status == 200);
  const ExchangeResult Result = Fixture.send("GET", "/read/1", Small);
  CHECK(Result.Status == 429);
  CHECK(getHeader(Result, "Retry-After") == "1");
  CHECK(getHeader(Result, OutcomeHeader) == "not-run");
}

TEST_CASE("a keyed request is not run if there is no claim store") {
  ProxyFixture Fixture;
  const ExchangeResult Result =
      Fixture.send("POST", "/pay/1", {{IdempotencyHeader, "k"}}, "order");
  CHECK(Result.Status == 503);
  CHECK(getHeader(Result, OutcomeHeader) == "not-run");
  CHECK(Fixture.countRuns() == 0);
}

/// Sends once-only requests one after the other, Gap apart, and returns whether
/// they leave between Least and Most connections open.
static bool leavesOpenAfterPaying(const ProxyOptions &Options, Duration Gap,
                                  size_t Least, size_t Most) {
  ProxyFixture Fixture("", 3, "", Options);
  for (int I = 0; I < 20; ++I) {
    CHECK(Fixture.send("POST", "/pay/1", {}, "order").Status == 200);
    std::this_thread::sleep_for(Gap);
  }
  // The caller has the response before the connection is put back.
  const TimePoint GiveUp = readSteadyClock() + fromSeconds(10);
  size_t Open = 0;
  do {
    Open = 0;
    for (const auto &Each : Fixture.Backends)
      Open += Fixture.Upstreams.countOpen({"127.0.0.1", Each->getPort()});
  } while (Open > Most && readSteadyClock() < GiveUp);
  return Open >= Least && Open <= Most;
}

TEST_CASE("once-only requests share a connection if they follow closely") {
  ProxyOptions Options;
  CHECK(leavesOpenAfterPaying(Options, Duration::zero(), 0, 0));
  Options.MaxRecentIdleMs = 60'000;
  CHECK(leavesOpenAfterPaying(Options, fromMillis(20), 1, 2));
  Options.MaxRecentIdleMs = 1;
  CHECK(leavesOpenAfterPaying(Options, fromMillis(20), 20, 20));
}

TEST_CASE("a request passes over servers that cannot be reached in less time "
          "than two upper limits") {
  ProxyOptions Options;
  Options.ConnectMs = 2000;
  Options.LearnsConnectTimes = true;
  ProxyFixture Fixture("", 3, "", Options);
  for (int I = 0; I < 10; ++I)
    CHECK(Fixture.send("GET", "/read/1").Status == 200);
  FullListener Silent[6];
  for (int I = 0; I < 6; ++I)
    Fixture.ServiceSettings +=
        fmt::format("[server s/x{}]\naddress = 127.0.0.1:{}\nhall = a\n", I,
                    Silent[I].Port);
  Fixture.setOrganisations("");
  for (int I = 0; I < 10; ++I) {
    const TimePoint Began = readSteadyClock();
    CHECK(Fixture.send("POST", "/pay/1", {}, "order").Status == 200);
    CHECK(readSteadyClock() - Began < fromMillis(2000));
  }
}
