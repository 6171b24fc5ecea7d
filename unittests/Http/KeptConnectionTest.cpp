//===- KeptConnectionTest.cpp - How long a connection is kept -------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A server says with its answers after how long it closes a connection at
/// rest.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Http/HttpClient.h"
#include "canvaswick/Http/HttpServer.h"

#include <doctest/doctest.h>

#include <thread>

using namespace canvaswick;

/// Returns the connections that are open after an answer with a Keep-Alive and
/// a rest.
static size_t countOpenAfter(const std::string &KeepAlive, Duration Rest) {
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
  // Nothing is so old that it is closed for its age alone.
  Pool.closeIdle(Now - fromSeconds(100), readSteadyClock() + Rest);
  return Pool.countOpen(Address);
}

TEST_CASE("a connection is not kept for as long as the server would close it") {
  CHECK(countOpenAfter("timeout=10", fromSeconds(7)) == 1);
  CHECK(countOpenAfter("timeout=10", fromSeconds(9)) == 0);
  CHECK(countOpenAfter("max=5, timeout=10", fromSeconds(9)) == 0);
  CHECK(countOpenAfter("timeout=0", fromSeconds(0)) == 0);
}

TEST_CASE("words that are no time leave a connection as it is") {
  for (const char *Text : {"close", "timeout=", "timeout=x", "timeout=-1",
                           "max=5", "timeout=99999999999999999999"})
    CHECK_MESSAGE(countOpenAfter(Text, fromSeconds(9)) == 1, std::string(Text));
}
