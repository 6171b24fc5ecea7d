//===- AnswerHeadTest.cpp - Tests of the heads of answers -----------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A head that can be read in two ways, or that does not prove whose answer it
/// begins, is never passed on as a success.
///
//===----------------------------------------------------------------------===//

#include "SpoiltAnswers.h"

using namespace canvaswick;

/// Returns answers whose heads no message may have (RFC 9110, 5 and RFC 9112).
static std::vector<HeadCase> makeMalformedAnswers() {
  std::vector<HeadCase> Kinds;
  const auto Add = [&Kinds](const std::string &Name, const std::string &Head,
                            const std::string &Bytes = Body) {
    Kinds.push_back({Name, Head, Bytes});
  };
  for (const std::string Line :
       {"Content-Length : 40", "Content-Length\t: 40", "Content Length: 40",
        "Content-\x01Length: 40", "Content-Length\xc3: 40",
        "Content-Length\x7f: 40", "\"Content-Length\": 40", ": 40",
        "Content-Length 40", " Content-Length: 40"})
    Add("field " + Line, makeHead(Line + "\r\n"));
  const std::string Length = "Content-Length: 40\r\n";
  for (const std::string Line :
       {"Transfer-Encoding : chunked", "Transfer-Encoding\t: chunked",
        "X-A: a\x01z", "X-A: a\x7fz", "X-A: a\rz", "Content-Length: 40",
        "Content-Length: 41", "Transfer-Encoding: chunked",
        "Content-Length:", "X-A: a\r\n folded", "X(A: a", "X-A, X-B: a"})
    Add("beside a length " + Line, makeHead(Length + Line + "\r\n"));
  for (const std::string Value : {"", "+40", "-40", "0x28", "40, 40", "40 40",
                                  "4e1", "40;", "99999999999999999999"})
    Add("length " + Value, makeHead("Content-Length: " + Value + "\r\n"));
  for (const std::string Value :
       {"chunke", "identity", "gzip, chunked", "chunked, chunked", "", "x"})
    Add("encoding " + Value, makeHead("Transfer-Encoding: " + Value + "\r\n"),
        Chunked);
  for (const std::string Status :
       {"000 No", "600 No", "999 No", "099 No", "20 No", "2000 No", "-20 No",
        "200 O\x01K", "200 O\x7fK", "200\tOK"})
    Add("status " + Status, makeHead(Length, Status));
  Add("no content with a length", makeHead(Length, "204 No Content"));
  Add("no content in chunks",
      makeHead("Transfer-Encoding: chunked\r\n", "204 No Content"), Chunked);
  const std::string Lines = "Caller-Id: r-1\r\nProof: p\r\n" + Length + "\r\n";
  Add("version 1.2", "HTTP/1.2 200 OK\r\n" + Lines);
  Add("version 1.0 in chunks",
      "HTTP/1.0 200 OK\r\nCaller-Id: r-1\r\nProof: p\r\nTransfer-Encoding: "
      "chunked\r\n\r\n",
      Chunked);
  Add("bare line feeds",
      "HTTP/1.1 200 OK\nCaller-Id: r-1\nProof: p\nContent-Length: 40\n\n");
  Add("an interim answer with a spoilt field",
      "HTTP/1.1 103 Early Hints\r\nContent-Length : 40\r\n\r\n" +
          makeHead(Length));
  Add("an interim answer with a length",
      "HTTP/1.1 103 Early Hints\r\nContent-Length: 40\r\n\r\n" +
          makeHead(Length));
  Add("a spoilt trailer", makeHead("Transfer-Encoding: chunked\r\n"),
      "28\r\n" + Body + "\r\n0\r\nX-A : b\r\n\r\n");
  for (const std::string Name : {"Content-Type", "content-encoding"})
    Add("connection names " + Name,
        makeHead(Length + "Content-Type: t\r\nConnection: " + Name + "\r\n"));
  return Kinds;
}

/// Returns answers that a reader of the standard takes.
static std::vector<HeadCase> makeSoundAnswers() {
  const std::string Length = "Content-Length: 40\r\n";
  return {
      {"a length", makeHead(Length), Body},
      {"chunks with extensions and trailers",
       makeHead("Transfer-Encoding: Chunked\r\n"),
       "28;x=\"y\"\r\n" + Body + "\r\n0\r\nX-Sum: 1\r\n\r\n"},
      {"no length", makeHead(""), Body},
      {"bytes above 127 in a value", makeHead(Length + "X-A: \xc3\xa9\r\n"),
       Body},
      {"an empty value", makeHead(Length + "X-A:\r\n"), Body},
      {"a tab within a value", makeHead(Length + "X-A: a\tb\r\n"), Body},
      {"every byte of a name",
       makeHead(Length + "!#$%&'*+-.^_`|~09azAZ: a\r\n"), Body},
      {"an empty reason", makeHead(Length, "200 "), Body},
      {"no reason", makeHead(Length, "200"), Body},
      {"bytes above 127 in a reason", makeHead(Length, "200 d\xe9j\xe0"), Body},
      {"an interim answer",
       "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + makeHead(Length),
       Body},
      {"a connection option", makeHead(Length + "Connection: close, x-a\r\n"),
       Body},
  };
}

// Guards against answers with a spoilt length line that break off half-way and
// pass as whole ones (MIXED).
TEST_CASE("an answer whose head is malformed is never passed on") {
  for (const HeadCase &Each : makeMalformedAnswers())
    for (const std::string Target : {"/a", "/once"}) {
      checkNeverPasses(Each, Target, makeProvedOptions());
      checkNeverPasses(Each, Target, ProxyOptions());
    }
}

// Guards against a part of a body that passes as a success (MIXED).
TEST_CASE("an answer to a question that the caller did not ask is a failure") {
  const std::string Part = makeHead(
      "Content-Length: 40\r\nContent-Range: bytes 0-39/400\r\n", "206 Part");
  for (const std::string Target : {"/a", "/once"}) {
    CAPTURE(Target);
    for (const std::string &Answer :
         {Part + Body, makeHead("", "304 Not Modified"),
          makeHead("Content-Length: 0\r\n", "416 No Such Range")}) {
      CAPTURE(Answer);
      SpoiltAnswers Server;
      Server.setAnswer(Answer);
      CHECK(Server.ask(Target).Head.starts_with("HTTP/1.1 502"));
    }
    SpoiltAnswers Server;
    Server.setAnswer(Part + Body);
    const SeenAnswer Asked = Server.ask(Target, "Range: bytes=0-39\r\n");
    CHECK(Asked.Head.starts_with("HTTP/1.1 206"));
    CHECK(Asked.Body == Body);
  }
}

TEST_CASE("sound answers pass whole, whatever their heads allow") {
  for (const HeadCase &Each : makeSoundAnswers()) {
    for (const std::string Target : {"/a", "/once"}) {
      // The server closes without saying so: nothing must be kept from before.
      SpoiltAnswers Server;
      Server.setAnswer(Each.Head + Each.Body);
      CAPTURE(Each.Name);
      CAPTURE(Target);
      const SeenAnswer Seen = Server.ask(Target);
      CHECK(Seen.isSuccess());
      CHECK(Seen.Body == Body);
      CHECK(countFields(Seen.Head, "proof") == 1);
      CHECK(countFields(Seen.Head, "content-length") +
                countFields(Seen.Head, "transfer-encoding") ==
            1);
    }
  }
}
