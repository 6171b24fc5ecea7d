//===- KeptConnectionTest.cpp - Tests for the idle time of connections ----===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A server announces its idle timeout in the Keep-Alive header of a response.
//===----------------------------------------------------------------------===//

#include "canvaswick/Http/HttpClient.h"
#include "canvaswick/Http/HttpServer.h"

#include <doctest/doctest.h>

#include <atomic>
#include <thread>

using namespace canvaswick;

/// Returns the number of connections still open after a response with KeepAlive
/// as its Keep-Alive header and an idle time of IdleTime.
static size_t countOpenAfter(const std::string &KeepAlive, Duration IdleTime) {
  HttpServer Server(HttpServerLimits(), [&](HttpExchange &Exchange) {
    Exchange.Response.set_header("Keep-Alive", KeepAlive);
    Exchange.Response.set_content("x", "text/plain");
  });
  REQUIRE(Server.start({"127.0.0.1", 0}));
  const Endpoint Address{"127.0.0.1", Server.getPort()};
  ConnectionPool Pool(0);
  const TimePoint Now = readSteadyClock();
  REQUIRE(Pool.exchange(Address, OutgoingRequest(), Now + fromSeconds(5), -1,
                        nullptr)
              .Status == 200);
  // The first argument makes no connection too old.
  Pool.closeIdle(Now - fromSeconds(100), readSteadyClock() + IdleTime);
  return Pool.countOpen(Address);
}

TEST_CASE("a connection is closed before the idle timeout of its server") {
  CHECK(countOpenAfter("timeout=10", fromSeconds(7)) == 1);
  CHECK(countOpenAfter("timeout=10", fromSeconds(9)) == 0);
  CHECK(countOpenAfter("max=5, timeout=10", fromSeconds(9)) == 0);
  CHECK(countOpenAfter("timeout=0", fromSeconds(0)) == 0);
}

TEST_CASE("an invalid Keep-Alive timeout is ignored") {
  for (const char *Text : {"close", "timeout=", "timeout=x", "timeout=-1",
                           "max=5", "timeout=99999999999999999999"})
    CHECK_MESSAGE(countOpenAfter(Text, fromSeconds(9)) == 1, std::string(Text));
}

TEST_CASE("a request that wants a recent connection gets none that has been "
          "idle for longer") {
  HttpServer Server(HttpServerLimits(), [&](HttpExchange &Exchange) {
    Exchange.Response.set_content("x", "text/plain");
  });
  REQUIRE(Server.start({"127.0.0.1", 0}));
  const Endpoint Address{"127.0.0.1", Server.getPort()};
  ConnectionPool Pool(0);
  const auto Send = [&](Duration MaxIdle) {
    OutgoingRequest Request;
    Request.MaxIdle = MaxIdle;
    const ExchangeResult Result = Pool.exchange(
        Address, Request, readSteadyClock() + fromSeconds(5), -1, nullptr);
    REQUIRE(Result.Status == 200);
    return Result.WasKept;
  };
  CHECK_FALSE(Send(fromSeconds(100)));
  CHECK(Send(fromSeconds(100)));
  std::this_thread::sleep_for(fromMillis(30));
  CHECK_FALSE(Send(fromMillis(20)));
  // The connection of before is still there for others.
  CHECK(Pool.countOpen(Address) == 2);
  // After such a request a connection is kept for its idle time only.
  Pool.closeIdle(TimePoint{}, readSteadyClock() + fromMillis(21));
  CHECK(Pool.countOpen(Address) == 1);
}

// Guards against a late repeat of a response that is taken for the response to
// the next request.
TEST_CASE("a connection is left to others by what was answered on it") {
  std::atomic<int> Status{200};
  HttpServer Server(HttpServerLimits(), [&](HttpExchange &Exchange) {
    Exchange.Response.status = Status;
    Exchange.Response.set_content("x", "text/plain");
  });
  REQUIRE(Server.start({"127.0.0.1", 0}));
  const Endpoint Address{"127.0.0.1", Server.getPort()};
  for (const int Each : {200, 404, 500, 408, 421, 429, 503}) {
    CAPTURE(Each);
    Status = Each;
    ConnectionPool Pool(0);
    const auto Send = [&](Duration MaxIdle) {
      OutgoingRequest Request;
      Request.MaxIdle = MaxIdle;
      return Pool.exchange(Address, Request, readSteadyClock() + fromSeconds(5),
                           -1, nullptr);
    };
    REQUIRE(Send(Duration::max()).Status == Each);
    const bool IsRejection =
        Each == 408 || Each == 421 || Each == 429 || Each == 503;
    CHECK(Pool.countOpen(Address) == (IsRejection ? 0 : 1));
    CHECK(Send(fromSeconds(100)).WasKept == (Each == 200));
    CHECK(Send(Duration::max()).WasKept == !IsRejection);
  }
}

TEST_CASE("a recent connection that its server has closed is not used") {
  auto Server = std::make_unique<HttpServer>(
      HttpServerLimits(), [&](HttpExchange &Exchange) {
        Exchange.Response.set_content("x", "text/plain");
      });
  REQUIRE(Server->start({"127.0.0.1", 0}));
  const Endpoint Address{"127.0.0.1", Server->getPort()};
  ConnectionPool Pool(0);
  OutgoingRequest Request;
  Request.MaxIdle = fromSeconds(100);
  const TimePoint Deadline = readSteadyClock() + fromSeconds(5);
  REQUIRE(Pool.exchange(Address, Request, Deadline, -1, nullptr).Status == 200);
  Server.reset();
  const ExchangeResult Result =
      Pool.exchange(Address, Request, Deadline, -1, nullptr);
  CHECK(Result.End == ExchangeEnd::NotSent);
  CHECK_FALSE(Result.WasKept);
}
