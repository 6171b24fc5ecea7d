//===- CutHeadTest.cpp - Tests of heads that break off --------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A server may stop at each byte of its answer's head.
///
//===----------------------------------------------------------------------===//

#include "SpoiltAnswers.h"
#include "TunnelFixture.h"

using namespace canvaswick;

namespace {

/// An answer, and the bytes of its head of which each can be the last.
struct CutCase {
  std::string Answer;
  size_t HeadBytes;
};

/// A peer whose tunnels lead to one RawBackend.
struct RawTunnel : TunnelFixture {
  explicit RawTunnel(std::function<void(RawSocket &)> Serve)
      : Raw(std::move(Serve)) {
    Result<SettingsTree> Tree = SettingsTree::parse(
        fmt::format("[region r]\n[service s]\nregion = r\nfloor-percent = 0\n"
                    "[server s/b1]\naddress = 127.0.0.1:{}\nhall = a\n"
                    "[route read]\nprefix = /\nservice = s\n",
                    this->Raw.getPort()),
        "test.ini");
    REQUIRE(Tree);
    this->setConfig(compileFleetConfig(Tree.value(), 99));
  }

  RawBackend Raw;
};

} // namespace

static std::vector<CutCase> makeAnswers() {
  const std::string Begin = "HTTP/1.1 200 OK\r\nCaller-Id: r-1\r\nProof: p\r\n";
  const std::string Interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
  const std::string Length = Begin + "Content-Length: 5\r\n\r\n";
  const std::string Chunks = Begin + "Transfer-Encoding: chunked\r\n\r\n";
  return {{Length + "bytes", Length.size()},
          {Chunks + "5\r\nbytes\r\n0\r\n\r\n", Chunks.size()},
          // Whole with the empty line: the end of the connection is its end.
          {Begin + "\r\n", Begin.size() + 1},
          {Interim + Length + "bytes", Interim.size() + Length.size()}};
}

static void checkNoSuccess(SpoiltAnswers &Server, const CutCase &Case,
                           size_t Bytes) {
  for (const std::string Target : {"/a", "/once"}) {
    CAPTURE(Case.Answer);
    CAPTURE(Bytes);
    CAPTURE(Target);
    const SeenAnswer Seen = Server.ask(Target);
    CHECK(Seen.Arrivals > 0);
    CHECK(!Seen.isSuccess());
    // A whole head may be passed on before its body.
    if (Bytes < Case.HeadBytes)
      CHECK(Seen.Head.starts_with("HTTP/1.1 502"));
    CHECK(Seen.Head.find("not-run") == std::string::npos);
  }
}

// Guards against a head that breaks off and is passed on as a whole answer
// with a short body (MIXED).
TEST_CASE("an answer that stops at a byte of its head is never passed on") {
  for (const ProxyOptions &Options : {makeProvedOptions(), ProxyOptions()})
    for (const CutCase &Each : makeAnswers())
      for (size_t Bytes = 0; Bytes <= Each.HeadBytes; ++Bytes)
        for (const AnswerEnd End : {AnswerEnd::Close, AnswerEnd::Reset}) {
          SpoiltAnswers Server(Options);
          Server.setAnswer(Each.Answer.substr(0, Bytes), End);
          checkNoSuccess(Server, Each, Bytes);
        }
}

// Guards against a cut head on a kept connection that is completed by what
// belongs to another answer (MIXED, ORDER).
TEST_CASE("a head that stops on a kept connection is never passed on") {
  for (const ProxyOptions &Options : {makeProvedOptions(), ProxyOptions()}) {
    const CutCase Whole = makeAnswers().front();
    for (size_t Bytes = 0; Bytes <= Whole.HeadBytes; ++Bytes) {
      SpoiltAnswers Server(Options);
      Server.setAnswer(Whole.Answer, AnswerEnd::Keep);
      CHECK(Server.ask("/a").Body == "bytes");
      Server.setAnswer(Whole.Answer.substr(0, Bytes));
      checkNoSuccess(Server, Whole, Bytes);
      Server.setAnswer(Whole.Answer, AnswerEnd::Keep);
      CHECK(Server.ask("/a").Body == "bytes");
    }
  }
}

TEST_CASE("a head that pauses and goes on is passed on whole") {
  for (const ProxyOptions &Options : {makeProvedOptions(), ProxyOptions()})
    for (const size_t Bytes : {1, 9, 16, 17, 40, 64}) {
      SpoiltAnswers Server(Options);
      Server.setAnswer(makeAnswers().front().Answer, AnswerEnd::Close, Bytes);
      const SeenAnswer Seen = Server.ask("/a");
      CHECK(Seen.isSuccess());
      CHECK(Seen.Body == "bytes");
    }
}

TEST_CASE("a head that stops within a tunnel is never taken") {
  std::mutex Mutex;
  std::string Bytes;
  RawTunnel Front([&](RawSocket &Socket) {
    RawMessage Request;
    if (!Socket.readMessage(Request))
      return;
    std::lock_guard<std::mutex> Lock(Mutex);
    Socket.write(Bytes);
  });
  for (const CutCase &Each : makeAnswers())
    for (size_t Count = 0; Count <= Each.HeadBytes; ++Count) {
      {
        std::lock_guard<std::mutex> Lock(Mutex);
        Bytes = Each.Answer.substr(0, Count);
      }
      OutgoingRequest Request = Front.makeRequest("b1", "/a");
      Request.MayEndWithConnection = true;
      const ExchangeResult Result = Front.Client.exchange(
          {"127.0.0.1", 9}, Request, readSteadyClock() + fromSeconds(5), -1,
          nullptr);
      CAPTURE(Each.Answer);
      CAPTURE(Count);
      CHECK(Result.Tunnel == TunnelAnswer::Opened);
      CHECK(Result.End == ExchangeEnd::Broken);
    }
}
