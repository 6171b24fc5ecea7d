//===- PassedHeadTest.cpp - Tests that heads pass unchanged ---------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Guards against targets and header fields that are changed, added or refused
/// on the way to a server, though they concern the caller and the server only.
///
//===----------------------------------------------------------------------===//

#include "RawBackend.h"

#include <set>

using namespace canvaswick;

namespace {

/// A request without a body, as a caller sends it.
struct HeadKind {
  const char *Name;
  std::string Target;
  /// Header fields, each with its line end.
  std::string Fields;
};

} // namespace

static std::vector<HeadKind> makeHeadKinds() {
  return {
      {"plain", "/a", ""},
      {"percent signs", "/a%20b?c=%0d%0a", "X-A: a%20b%0d%0ac%\r\n"},
      {"a fragment", "/a?b#c", ""},
      {"a long field", "/a", "X-Long: " + std::string(12000, 'l') + "\r\n"},
      {"a long target", "/" + std::string(12000, 't'), ""},
      {"a range of items", "/a", "Range: items=0-5\r\n"},
      {"a range that is none", "/a", "Range: bytes=9-1\r\n"},
      {"ranges", "/a", "Range: bytes=0-1,5-6\r\n"},
      {"fields that repeat", "/a", "X-A: 1\r\nX-A: 2\r\n"},
      {"an empty field", "/a", "X-Empty: \r\n"},
      {"a type without a body", "/a",
       "Content-Type: multipart/form-data; boundary=b\r\n"},
      {"names that the library uses", "/a",
       "REMOTE_ADDR: 1\r\nLOCAL_PORT: 2\r\n"},
  };
}

/// Returns the names of header fields, in small letters.
static std::set<std::string> listNames(const std::string &Head) {
  std::set<std::string> Names;
  for (size_t At = Head.find("\r\n"); At + 4 < Head.size();
       At = Head.find("\r\n", At + 2)) {
    std::string Name = Head.substr(At + 2, Head.find(':', At) - At - 2);
    std::transform(Name.begin(), Name.end(), Name.begin(), ::tolower);
    Names.insert(Name);
  }
  return Names;
}

/// Returns the head of the request that a server gets.
static std::string passHead(const HeadKind &Sent) {
  std::string Seen;
  {
    RawProxy Front([&Seen](RawSocket &Socket) {
      RawMessage Request;
      if (!Socket.readMessage(Request))
        return;
      Seen = Request.Head;
      Socket.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    });
    RawSocket Caller(RawSocket::connectTo(Front.getPort()));
    Caller.setTimeLimit(5);
    RawMessage Answer;
    CHECK(Caller.write("GET " + Sent.Target + " HTTP/1.1\r\nHost: h\r\n" +
                       Sent.Fields + "\r\n"));
    CHECK(Caller.readMessage(Answer));
    CHECK(Answer.Head.starts_with("HTTP/1.1 200"));
  }
  return Seen;
}

TEST_CASE("targets and header fields reach the server as they were sent") {
  // What the proxy itself adds, by design.
  const std::set<std::string> Added = {"host", "via", "x-forwarded-for",
                                       "x-deadline-ms", "canvaswick-request"};
  for (const HeadKind &Each : makeHeadKinds()) {
    CAPTURE(std::string(Each.Name));
    const std::string Seen = passHead(Each);
    CHECK(Seen.starts_with("GET " + Each.Target + " HTTP/1.1\r\n"));
    for (size_t At = 0; At < Each.Fields.size();) {
      const size_t End = Each.Fields.find("\r\n", At) + 2;
      CHECK(Seen.find("\r\n" + Each.Fields.substr(At, End - At)) !=
            std::string::npos);
      At = End;
    }
    std::set<std::string> Expected = listNames("\r\n" + Each.Fields + "\r\n");
    Expected.insert(Added.begin(), Added.end());
    CHECK(listNames(Seen) == Expected);
  }
}
