//===- HttpClosingTest.cpp - Responses while a server closes --------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Guards against a connection that is closed without notice. A request that
/// may run only once, sent on a kept connection right after a planned stop had
/// begun, ended without a response.
///
/// The server was handling an earlier request on that connection as the stop
/// began. It decided whether to announce the close when it received that
/// request, and whether to keep the connection after the response. Both
/// decisions read the same flag, which changed in between: the response
/// announced no close, the server closed the connection, and the next request
/// crossed the close.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Http/HttpClient.h"
#include "canvaswick/Http/HttpServer.h"

#include <doctest/doctest.h>

#include <atomic>
#include <thread>

using namespace canvaswick;

TEST_CASE("a response announces whether its connection is closed after it") {
  std::atomic<bool> IsEntered{false};
  std::atomic<bool> MayAnswer{false};
  HttpServer Server(HttpServerLimits(), [&](HttpExchange &Exchange) {
    IsEntered = true;
    while (!MayAnswer)
      std::this_thread::yield();
    Exchange.Response.set_content("answer", "text/plain");
  });
  REQUIRE(Server.start({"127.0.0.1", 0}));
  const Endpoint Address{"127.0.0.1", Server.getPort()};
  ConnectionPool Pool(0);
  ExchangeResult Result;
  std::thread Caller([&] {
    Result = Pool.exchange(Address, OutgoingRequest(),
                           readSteadyClock() + fromSeconds(20), -1, nullptr);
  });
  while (!IsEntered)
    std::this_thread::yield();
  Server.beginClosing();
  MayAnswer = true;
  Caller.join();
  REQUIRE(Result.End == ExchangeEnd::Complete);
  // The connection's state must be final by now.
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  const auto Found = Result.Headers.find("Connection");
  const bool IsAnnouncedClosed =
      Found != Result.Headers.end() && Found->second == "close";
  CHECK(IsAnnouncedClosed == (Server.countConnections() == 0));
}
