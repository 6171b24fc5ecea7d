//===- HttpClosingTest.cpp - Answers while a server begins to close -------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The failure. A request that may run once, sent on a kept connection right
/// after a planned stop had begun, ended without an answer.
///
/// The order of events. An earlier request on that connection was being served
/// as the stop began. Its answer did not say that the connection would be
/// closed, since that is decided when a request is taken. The server closed it
/// all the same, since whether to keep it is decided after the answer. The next
/// request crossed the close.
///
/// The cause. Two reads of one flag that may change between them. Evidence: the
/// log of the failing test has one request still in flight as the stop begins,
/// and none after it.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Http/HttpClient.h"
#include "canvaswick/Http/HttpServer.h"

#include <doctest/doctest.h>

#include <atomic>
#include <thread>

using namespace canvaswick;

TEST_CASE("an answer tells whether its connection is closed after it") {
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
  // Whatever follows, it must be so whenever it is looked at.
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  const auto Found = Result.Headers.find("Connection");
  const bool IsToldClosed =
      Found != Result.Headers.end() && Found->second == "close";
  CHECK(IsToldClosed == (Server.countConnections() == 0));
}
