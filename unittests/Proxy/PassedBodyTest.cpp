//===- PassedBodyTest.cpp - Tests that bodies pass unchanged --------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Guards against reading more out of a message than where its body ends. What
/// a body is said to hold (a form, a packed text, a range) concerns the caller
/// and the server only.
///
//===----------------------------------------------------------------------===//

#include "RawBackend.h"

#include <rapidcheck.h>

using namespace canvaswick;

namespace {

/// A body and what its sender says of it.
struct BodyKind {
  const char *Name;
  std::string Fields;
  std::string Body;
};

/// A server that keeps the bodies it gets and answers each request with the
/// number of its body's bytes.
class BodyRecorder {
public:
  void serve(RawSocket &Socket) {
    RawMessage Request;
    while (Socket.readMessage(Request)) {
      const std::string Answer = std::to_string(Request.Body.size());
      {
        std::lock_guard<std::mutex> Lock(this->Mutex);
        this->Requests.push_back(Request);
      }
      if (!Socket.write(
              fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}",
                          Answer.size(), Answer)))
        return;
    }
  }

  std::vector<RawMessage> take() {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    return std::exchange(this->Requests, {});
  }

private:
  std::mutex Mutex;
  std::vector<RawMessage> Requests;
};

} // namespace

static std::string makeForm(const std::string &File) {
  return "--b1\r\nContent-Disposition: form-data; name=\"f\"; "
         "filename=\"f\"\r\n\r\n" +
         File + "\r\n--b1--\r\n";
}

static constexpr const char *InnerRequest =
    "POST /inner HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";

/// "packed" in gzip's format.
static std::string makePacked() {
  static constexpr unsigned char Bytes[] = {
      0x1f, 0x8b, 0x08, 0x00, 0x00, 0x00, 0x00, 0x00, 0x02,
      0x03, 0x2b, 0x48, 0x4c, 0xce, 0x4e, 0x4d, 0x01, 0x00,
      0x5c, 0xb9, 0x5e, 0x7d, 0x06, 0x00, 0x00, 0x00};
  return std::string(reinterpret_cast<const char *>(Bytes), sizeof(Bytes));
}

static std::vector<BodyKind> makeBodyKinds() {
  const std::string Form = "Content-Type: multipart/form-data; boundary=b1\r\n";
  const std::string Packed = "Content-Encoding: gzip\r\n";
  const std::string Long(300000, 'x');
  return {
      {"plain", "", Long},
      {"empty", "", ""},
      {"short form", Form, makeForm("file")},
      {"long form", Form, makeForm(Long)},
      {"form, then a request", Form, makeForm("file") + InnerRequest},
      {"form without a boundary", "Content-Type: multipart/form-data\r\n",
       makeForm("file")},
      {"form that is none", Form, std::string(70000, 'y')},
      {"url-encoded form",
       "Content-Type: application/x-www-form-urlencoded\r\n", "a=" + Long},
      {"gzip", Packed, makePacked()},
      {"gzip form", Packed + Form, makePacked()},
      {"gzip, then a request", Packed, makePacked() + InnerRequest},
      {"gzip that is none", Packed, Long},
      {"deflate", "Content-Encoding: deflate\r\n", "not packed"},
      {"br", "Content-Encoding: br\r\n", "not packed"},
      {"range of items", "Range: items=0-5\r\n", "body"},
      {"range that is none", "Range: bytes=9-1\r\n", "body"},
  };
}

static std::string frameInChunks(const std::string &Body, size_t Piece) {
  std::string Framed;
  for (size_t At = 0; At < Body.size(); At += Piece) {
    const std::string Part = Body.substr(At, Piece);
    Framed += fmt::format("{:x}\r\n{}\r\n", Part.size(), Part);
  }
  return Framed + "0\r\n\r\n";
}

static std::string makeUpload(const std::string &Fields,
                              const std::string &Body, size_t Piece) {
  const std::string Head = "POST /act HTTP/1.1\r\nHost: h\r\n" + Fields;
  if (Piece > 0)
    return Head + "Transfer-Encoding: chunked\r\n\r\n" +
           frameInChunks(Body, Piece);
  return Head + fmt::format("Content-Length: {}\r\n\r\n", Body.size()) + Body;
}

/// Sends an upload and another request on one connection, and checks that the
/// server got both as they were sent, and nothing else.
static bool passesUnchanged(RawProxy &Front, BodyRecorder &Seen,
                            const std::string &Fields, const std::string &Body,
                            size_t Piece) {
  RawSocket Caller(RawSocket::connectTo(Front.getPort()));
  Caller.setTimeLimit(5);
  RawMessage Answer;
  const bool IsAnswered = Caller.write(makeUpload(Fields, Body, Piece)) &&
                          Caller.readMessage(Answer);
  const bool IsWhole = IsAnswered && Answer.Body == std::to_string(Body.size());
  const bool IsKept = Caller.write("GET /next HTTP/1.1\r\nHost: h\r\n\r\n") &&
                      Caller.readMessage(Answer) &&
                      Answer.Head.starts_with("HTTP/1.1 200");
  const std::vector<RawMessage> Requests = Seen.take();
  return IsWhole && IsKept && Requests.size() == 2 &&
         Requests[0].Body == Body && Requests[1].Head.starts_with("GET /next");
}

// Guards against an upload as a form, or one that is said to be packed, that
// ends the daemon, is changed, or holds a request that gets run.
TEST_CASE("every kind of body passes unchanged, with a length and in chunks") {
  BodyRecorder Seen;
  ProxyOptions Options;
  SUBCASE("streamed") {}
  SUBCASE("buffered") { Options.MaxBufferedBodyBytes = 1 << 20; }
  RawProxy Front([&Seen](RawSocket &Socket) { Seen.serve(Socket); }, Options);
  for (const BodyKind &Each : makeBodyKinds())
    for (const size_t Piece : {0, 7777}) {
      CAPTURE(std::string(Each.Name));
      CAPTURE(Piece);
      CHECK(passesUnchanged(Front, Seen, Each.Fields, Each.Body, Piece));
    }
}

TEST_CASE("trailers are dropped, and the body before them passes") {
  BodyRecorder Seen;
  RawProxy Front([&Seen](RawSocket &Socket) { Seen.serve(Socket); });
  RawSocket Caller(RawSocket::connectTo(Front.getPort()));
  Caller.setTimeLimit(5);
  RawMessage Answer;
  CHECK(Caller.write("POST /act HTTP/1.1\r\nHost: h\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n"
                     "4;x=y\r\nbody\r\n0\r\nX-Sum: 1\r\n\r\n"));
  CHECK(Caller.readMessage(Answer));
  CHECK(Answer.Body == "4");
  CHECK(Seen.take().at(0).Body == "body");
}

TEST_CASE("a caller is asked to continue only once its body is wanted") {
  BodyRecorder Seen;
  RawProxy Front([&Seen](RawSocket &Socket) { Seen.serve(Socket); });
  const auto Ask = [](RawSocket &Caller, const std::string &Target) {
    Caller.setTimeLimit(5);
    RawMessage Answer;
    CHECK(Caller.write("POST " + Target +
                       " HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
                       "Content-Length: 4\r\n\r\n"));
    CHECK(Caller.readMessage(Answer));
    return Answer.Head.substr(0, Answer.Head.find("\r\n"));
  };
  RawSocket Refused(RawSocket::connectTo(Front.getPort()));
  CHECK(Ask(Refused, "/a/../b").starts_with("HTTP/1.1 400"));
  RawSocket Wanted(RawSocket::connectTo(Front.getPort()));
  CHECK(Ask(Wanted, "/act").starts_with("HTTP/1.1 100"));
  RawMessage Answer;
  CHECK(Wanted.write("body"));
  CHECK(Wanted.readMessage(Answer));
  CHECK(Answer.Body == "4");
}

// Guards against an upload whose caller ends that counts against its server.
TEST_CASE("an upload that its caller cuts off is refused and blames nobody") {
  std::atomic<size_t> Begun{0};
  std::atomic<size_t> Whole{0};
  RawProxy Front([&](RawSocket &Socket) {
    ++Begun;
    RawMessage Request;
    Whole += Socket.readMessage(Request) ? 1 : 0;
  });
  const std::string Part(100000, 'x');
  const std::string Head = "POST /act HTTP/1.1\r\nHost: h\r\n";
  const std::string Chunked = Head + "Transfer-Encoding: chunked\r\n\r\n";
  size_t Sent = 0;
  for (const std::string &Each :
       {Head + "Content-Length: 200000\r\n\r\n" + Part,
        Chunked + "30d40\r\n" + Part,
        Chunked + "186a0\r\n" + Part + "no end of a chunk"}) {
    RawSocket Caller(RawSocket::connectTo(Front.getPort()));
    Caller.setTimeLimit(5);
    CHECK(Caller.write(Each));
    // A caller that leaves before the server is tried is not served at all.
    for (++Sent; Begun < Sent;)
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    Caller.endSending();
    const std::string Received = Caller.readAll();
    CHECK(Received.starts_with("HTTP/1.1 400"));
    CHECK(Received.find("Canvaswick-Outcome: not-known") != std::string::npos);
  }
  CHECK(Whole == 0);
  CHECK(Front.Counters.get(Counter::UpstreamFailures) == 0);
  CHECK(Front.Counters.get(Counter::RefusedBody) == 3);
}

// Guards against a refusal of what the settings allow: a body in chunks that is
// longer than the buffer for bodies that may be sent twice.
TEST_CASE("a body in chunks beyond the buffer is streamed") {
  BodyRecorder Seen;
  ProxyOptions Options;
  Options.MaxBufferedBodyBytes = 100000;
  RawProxy Front([&Seen](RawSocket &Socket) { Seen.serve(Socket); }, Options);
  for (const size_t Size : {99999, 100000, 100001, 116384, 500000})
    CHECK(passesUnchanged(Front, Seen, "", std::string(Size, 'x'), 30000));
}

// The same for bodies, types and encodings at random.
TEST_CASE("random uploads arrive as they were sent") {
  BodyRecorder Seen;
  RawProxy Front([&Seen](RawSocket &Socket) { Seen.serve(Socket); });
  const std::vector<std::string> Types = {
      "", "text/plain", "multipart/form-data; boundary=b1",
      "multipart/form-data", "application/x-www-form-urlencoded"};
  const std::vector<std::string> Encodings = {
      "", "gzip", "br", "deflate", "identity", "gzip, br"};
  CHECK(rc::check([&] {
    const auto Type = *rc::gen::elementOf(Types);
    const auto Encoding = *rc::gen::elementOf(Encodings);
    const auto Body =
        *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    const auto Times = *rc::gen::elementOf(std::vector<size_t>{1, 1, 50, 3000});
    const auto Piece = *rc::gen::inRange<size_t>(0, 300);
    std::string Fields;
    if (!Type.empty())
      Fields += "Content-Type: " + Type + "\r\n";
    if (!Encoding.empty())
      Fields += "Content-Encoding: " + Encoding + "\r\n";
    std::string Whole;
    for (size_t I = 0; I < Times; ++I)
      Whole += Body;
    RC_ASSERT(passesUnchanged(Front, Seen, Fields, Whole, Piece));
  }));
}

/// Answers each request with these bytes and closes.
static RawProxy::Handler answerWith(const std::string &Bytes) {
  return [Bytes](RawSocket &Socket) {
    RawMessage Request;
    if (Socket.readMessage(Request))
      Socket.write(Bytes);
  };
}

// Guards against answers that are unpacked, or whose trailers or cuts are lost.
TEST_CASE("random answers arrive as they were sent, and cut ones are cut") {
  CHECK(rc::check([&] {
    const auto Body =
        *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    const auto Encoding = *rc::gen::elementOf(
        std::vector<std::string>{"gzip", "br", "deflate", "x"});
    const auto Piece = *rc::gen::inRange<size_t>(0, 40);
    const auto IsCut = *rc::gen::arbitrary<bool>();
    std::string Bytes =
        "HTTP/1.1 200 OK\r\nContent-Encoding: " + Encoding + "\r\n";
    if (Piece > 0)
      Bytes +=
          "Transfer-Encoding: chunked\r\n\r\n" + frameInChunks(Body, Piece);
    else
      Bytes += fmt::format("Content-Length: {}\r\n\r\n", Body.size()) + Body;
    if (IsCut)
      Bytes.pop_back();
    RawProxy Front(answerWith(Bytes));
    RawSocket Caller(RawSocket::connectTo(Front.getPort()));
    Caller.setTimeLimit(5);
    RC_ASSERT(Caller.write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n"));
    RawMessage Answer;
    const bool IsWhole =
        Caller.readMessage(Answer) && Answer.Head.starts_with("HTTP/1.1 200");
    RC_ASSERT(IsWhole == !IsCut);
    RC_ASSERT(IsCut || Answer.Body == Body);
  }));
}
