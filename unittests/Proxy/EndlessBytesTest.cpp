//===- EndlessBytesTest.cpp - Tests of bytes without end ------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Guards against a server or a caller that sends a part of a message without
/// end: no line, no trailer and no head may be stored beyond its limit.
///
//===----------------------------------------------------------------------===//

#include "RawBackend.h"

#include <sys/resource.h>

using namespace canvaswick;

namespace {

/// A beginning, and what follows again and again.
struct EndlessBytes {
  const char *Name;
  std::string Begin;
  std::string Again;
};

} // namespace

/// What a sender sends if nobody stops it, and the most that the buffers of
/// connections take.
static constexpr size_t ManyBytes = 256 << 20;
static constexpr size_t MaxBytesTaken = 32 << 20;

/// The most by which memory may grow meanwhile. What arrives after a request
/// was refused is read for a while, but not stored.
static constexpr size_t MaxBytesStored = 64 << 20;

static constexpr size_t PieceBytes = 65536;

/// Parts of a body in chunks that have no end.
static std::vector<EndlessBytes> makeEndlessBodies(const std::string &Head) {
  const std::string Chunked = Head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string Field = "X-More: " + std::string(50, 'v') + "\r\n";
  std::string Fields;
  while (Fields.size() < PieceBytes)
    Fields += Field;
  return {
      {"digits of a chunk's length", Chunked, std::string(PieceBytes, '0')},
      {"a chunk's extension", Chunked + "5;", std::string(PieceBytes, 'e')},
      {"the last chunk's extension", Chunked + "0;",
       std::string(PieceBytes, 'e')},
      {"bytes after a chunk", Chunked + "1\r\nx", std::string(PieceBytes, 'e')},
      {"a trailer line", Chunked + "0\r\nX-A: ", std::string(PieceBytes, 'e')},
      {"trailers", Chunked + "0\r\n", Fields},
      {"spaces before a chunk's length", Chunked, std::string(PieceBytes, ' ')},
      {"line ends in place of a chunk's length", Chunked,
       std::string(PieceBytes, '\n')},
  };
}

static std::vector<EndlessBytes> makeEndlessHeads(const std::string &Line) {
  std::string Fields;
  while (Fields.size() < PieceBytes)
    Fields += "X-More: v\r\n";
  return {
      {"a header line", Line + "X-A: ", std::string(PieceBytes, 'h')},
      {"header fields", Line, Fields},
      {"no message", "", std::string(PieceBytes, 'n')},
      {"line ends", "", std::string(PieceBytes, '\n')},
  };
}

/// Checks that a server that sends these bytes is stopped, and that its caller
/// gets a final answer or sees that the answer is cut.
static void checkStopsServer(const EndlessBytes &Sent) {
  CAPTURE(std::string(Sent.Name));
  std::atomic<size_t> MostTaken{0};
  RawProxy Front([&](RawSocket &Socket) {
    RawMessage Request;
    if (!Socket.readMessage(Request) || !Socket.write(Sent.Begin))
      return;
    const size_t Taken = Socket.writeUntilClosed(Sent.Again, ManyBytes);
    MostTaken = std::max<size_t>(MostTaken, Taken);
  });
  RawSocket Caller(RawSocket::connectTo(Front.getPort()));
  Caller.setTimeLimit(10);
  REQUIRE(Caller.write("GET /a HTTP/1.1\r\nHost: h\r\nX-Deadline-Ms: "
                       "5000\r\n\r\n"));
  RawMessage Answer;
  const bool IsWhole = Caller.readMessage(Answer);
  CHECK(!(IsWhole && Answer.Head.starts_with("HTTP/1.1 200")));
  CHECK(Answer.Head != "");
  CHECK(MostTaken < MaxBytesTaken);
}

TEST_CASE("a server that sends a part of an answer without end is stopped") {
  const std::string Head = "HTTP/1.1 200 OK\r\n";
  for (const EndlessBytes &Each : makeEndlessBodies(Head))
    checkStopsServer(Each);
  for (const EndlessBytes &Each : makeEndlessHeads(Head))
    checkStopsServer(Each);
  std::string Interim;
  while (Interim.size() < PieceBytes)
    Interim += "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\n\r\n";
  checkStopsServer({"interim answers", "", Interim});
}

TEST_CASE("chunks without end are cut, and count against the server") {
  ProxyOptions Options;
  Options.MaxUnsizedAnswerBytes = 1 << 20;
  std::atomic<size_t> Taken{0};
  RawProxy Front(
      [&](RawSocket &Socket) {
        RawMessage Request;
        if (Socket.readMessage(Request) &&
            Socket.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                         "chunked\r\n\r\n"))
          Taken += Socket.writeUntilClosed(
              "10000\r\n" + std::string(PieceBytes, 'c') + "\r\n", ManyBytes);
      },
      Options);
  RawSocket Caller(RawSocket::connectTo(Front.getPort()));
  Caller.setTimeLimit(10);
  RawMessage Answer;
  CHECK(Caller.write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n"));
  CHECK(!Caller.readMessage(Answer));
  CHECK(Taken < MaxBytesTaken);
  CHECK(Front.Counters.get(Counter::MalformedAnswers) == 1);
  CHECK(Front.Counters.get(Counter::UpstreamFailures) == 1);
}

// Guards against a caller that keeps a connection open by sending on and on
// after its request was refused.
TEST_CASE("what follows a refused request is read for a bounded time") {
  static constexpr Duration GivenUp = fromSeconds(60);
  RawProxy Front([](RawSocket &) {});
  RawSocket Caller(RawSocket::connectTo(Front.getPort()));
  Caller.setTimeLimit(10);
  const TimePoint Until = readSteadyClock() + GivenUp;
  bool IsOpen = Caller.write("no request\r\n");
  while (IsOpen && readSteadyClock() < Until)
    IsOpen = Caller.write(std::string(PieceBytes, 'x'));
  CHECK(!IsOpen);
}

/// Returns the most memory that this process has had.
static size_t readPeakBytes() {
  rusage Use{};
  ::getrusage(RUSAGE_SELF, &Use);
  return static_cast<size_t>(Use.ru_maxrss) * 1024;
}

/// Checks that what a caller sends without end is not stored, and that others
/// are served afterwards.
static void checkStopsCaller(RawProxy &Front, const EndlessBytes &Sent) {
  const size_t Before = readPeakBytes();
  CAPTURE(std::string(Sent.Name));
  RawSocket Caller(RawSocket::connectTo(Front.getPort()));
  Caller.setTimeLimit(10);
  Caller.write(Sent.Begin);
  Caller.writeUntilClosed(Sent.Again, ManyBytes);
  CHECK(readPeakBytes() < Before + MaxBytesStored);
  RawSocket Other(RawSocket::connectTo(Front.getPort()));
  Other.setTimeLimit(10);
  RawMessage Answer;
  CHECK(Other.write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n"));
  CHECK(Other.readMessage(Answer));
  CHECK(Answer.Head.starts_with("HTTP/1.1 200"));
}

TEST_CASE("a caller that sends a part of a request without end is stopped") {
  ProxyOptions Options;
  SUBCASE("streamed") {}
  SUBCASE("buffered") { Options.MaxBufferedBodyBytes = 1 << 20; }
  RawProxy Front(
      [](RawSocket &Socket) {
        RawMessage Request;
        while (Socket.readMessage(Request))
          Socket.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
      },
      Options);
  const std::string Head =
      "POST /act HTTP/1.1\r\nHost: h\r\nX-Deadline-Ms: 5000\r\n";
  for (const EndlessBytes &Each : makeEndlessBodies(Head))
    checkStopsCaller(Front, Each);
  for (const EndlessBytes &Each : makeEndlessHeads(Head))
    checkStopsCaller(Front, Each);
}
