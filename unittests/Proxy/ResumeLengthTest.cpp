//===- ResumeLengthTest.cpp - Tests of the length of resumed answers ------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Guards against a resumed answer that is complete by itself and yet not as
/// long as what the caller was told: what follows on the connection would be
/// read as its rest.
///
//===----------------------------------------------------------------------===//

#include "RawBackend.h"

using namespace canvaswick;

/// Answers the first request with half of 1000 bytes, and the next one with a
/// part of this many bytes which is said to be the rest. Counts both in Runs
/// unless it is null.
static RawProxy::Handler serveInParts(size_t RestBytes,
                                      std::atomic<int> *Runs = nullptr) {
  return [RestBytes, Runs](RawSocket &Socket) {
    RawMessage Request;
    if (!Socket.readMessage(Request))
      return;
    if (Runs)
      ++*Runs;
    if (RawSocket::getField(Request.Head, "range").empty())
      Socket.write("HTTP/1.1 200 OK\r\nETag: \"v\"\r\n"
                   "Content-Length: 1000\r\n\r\n" +
                   std::string(500, 'a'));
    else
      Socket.write(fmt::format("HTTP/1.1 206 Partial Content\r\nETag: \"v\"\r\n"
                               "Content-Range: bytes 500-999/1000\r\n"
                               "Connection: close\r\n"
                               "Content-Length: {}\r\n\r\n{}",
                               RestBytes, std::string(RestBytes, 'b')));
  };
}

namespace {

/// What a caller gets that has sent two requests on one connection.
enum class Received : uint8_t { Whole, Cut, Mixed };

} // namespace

static Received askTwice(size_t RestBytes) {
  RawProxy Front(serveInParts(RestBytes));
  RawSocket Caller(RawSocket::connectTo(Front.getPort()));
  Caller.setTimeLimit(5);
  const std::string Whole = std::string(500, 'a') + std::string(500, 'b');
  const bool IsSent = Caller.write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
                                   "GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
  for (int I = 0; I < 2; ++I) {
    RawMessage Answer;
    if (!IsSent || !Caller.readMessage(Answer))
      return Received::Cut;
    if (!Answer.Head.starts_with("HTTP/1.1 200") || Answer.Body != Whole)
      return Received::Mixed;
  }
  return Received::Whole;
}

TEST_CASE("a resumed answer is as long as was promised, or is cut") {
  CHECK(askTwice(500) == Received::Whole);
  CHECK(askTwice(100) == Received::Cut);
  CHECK(askTwice(900) == Received::Cut);
}

// Guards against the rest of an answer being asked for where that runs the
// request again (TWICE).
TEST_CASE("a broken answer to what may run once is cut, and not resumed") {
  std::atomic<int> Runs{0};
  RawProxy Front(serveInParts(500, &Runs));
  RawSocket Caller(RawSocket::connectTo(Front.getPort()));
  Caller.setTimeLimit(5);
  CHECK(Caller.write("GET /once HTTP/1.1\r\nHost: h\r\n\r\n"));
  RawMessage Answer;
  CHECK(!Caller.readMessage(Answer));
  CHECK(Runs == 1);
}
