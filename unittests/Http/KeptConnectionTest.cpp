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
