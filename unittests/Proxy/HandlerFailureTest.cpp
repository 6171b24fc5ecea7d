//===- HandlerFailureTest.cpp - Tests of requests that throw --------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Guards against an exception in the middle of a request that ends the
/// process, leaves the request in its service's counts, or lets the rest of its
/// body be read as another request.
///
//===----------------------------------------------------------------------===//

#include "RawBackend.h"

#include <stdexcept>

using namespace canvaswick;

/// Sends a request whose attempt throws, with a body that holds another one.
static std::string sendThrowing(ProxyFixture &Fixture) {
  Fixture.Proxy->setAttemptListener(
      [](TimePoint) { throw std::runtime_error("for this test"); });
  const std::string Inner = "GET /read/inner HTTP/1.1\r\nHost: h\r\n\r\n";
  const std::string Body = std::string(100000, 'x') + Inner;
  const std::string Received =
      Fixture.sendRaw(fmt::format("POST /read/1 HTTP/1.1\r\nHost: h\r\n"
                                  "Content-Length: {}\r\n\r\n{}",
                                  Body.size(), Body));
  Fixture.Proxy->setAttemptListener({});
  return Received;
}

TEST_CASE("a request that throws is answered and leaves nothing behind") {
  ProxyFixture Fixture("max-in-flight = 2\n");
  for (int I = 0; I < 5; ++I) {
    const std::string Received = sendThrowing(Fixture);
    CHECK(Received.starts_with("HTTP/1.1 500"));
    CHECK(Received.find("HTTP/1.1", 1) == std::string::npos);
  }
  CHECK(Fixture.countRuns() == 0);
  CHECK(Fixture.send("GET", "/read/1").Status == 200);
}
