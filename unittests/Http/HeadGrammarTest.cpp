//===- HeadGrammarTest.cpp - Tests of the grammar of heads ----------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Heads are drawn from a grammar of good and spoilt ones. A lenient reader,
/// which knows nothing of the product, must see the same body in each head that
/// the product takes.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Http/HeadGrammar.h"
#include "canvaswick/Http/BodyReader.h"
#include "canvaswick/Http/MessageHead.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <set>
#include <string>
#include <vector>

using namespace canvaswick;

namespace {

/// The bodies that a reader may see behind a head.
struct SeenFraming {
  bool IsChunked = false;
  std::set<uint64_t> Lengths;
};

} // namespace

/// Reads a head as a response with the product. Returns whether it is taken.
static bool readResponse(const std::string &Bytes, httplib::Response &Answer) {
  int Ends[2];
  REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, Ends) == 0);
  SocketStream Stream(Ends[0]);
  Stream.setDeadline(readSteadyClock() + fromSeconds(5));
  REQUIRE(::write(Ends[1], Bytes.data(), Bytes.size()) ==
          static_cast<ssize_t>(Bytes.size()));
  ::close(Ends[1]);
  LineReader Lines(Stream, 65536);
  MessageHead Head;
  return readMessageHead(Lines, Head) == HeadEnd::Whole &&
         parseResponseHead(std::move(Head), Answer) &&
         !findResponseFault(Answer);
}

/// Returns the letters, digits and dashes of a text, in small letters.
static std::string keepPlain(const std::string &Text) {
  std::string Plain;
  for (const char Byte : Text)
    if (std::isalnum(static_cast<unsigned char>(Byte)) || Byte == '-')
      Plain +=
          static_cast<char>(std::tolower(static_cast<unsigned char>(Byte)));
  return Plain;
}

/// Adds what a line says of the body to a reader that forgives everything: what
/// a name holds besides letters, a value with anything around its digits.
static void readLeniently(const std::string &Line, SeenFraming &Seen) {
  const size_t Colon = Line.find(':');
  const std::string Name = keepPlain(Line.substr(0, Colon));
  const std::string Value =
      Colon == std::string::npos ? Line : Line.substr(Colon + 1);
  if (Name.find("transfer-encoding") != std::string::npos)
    Seen.IsChunked = true;
  if (Name.find("content-length") == std::string::npos)
    return;
  const size_t Digit = Value.find_first_of("0123456789");
  Seen.Lengths.insert(Digit == std::string::npos
                          ? 0
                          : std::strtoull(Value.c_str() + Digit, nullptr, 10));
}

/// Reads a head line by line, whatever ends the lines.
static SeenFraming readLeniently(const std::string &Head) {
  SeenFraming Seen;
  std::string Line;
  for (const char Byte : Head) {
    if (Byte != '\n' && Byte != '\r') {
      Line += Byte;
      continue;
    }
    readLeniently(Line, Seen);
    Line.clear();
  }
  return Seen;
}

/// Puts a byte into a text at a drawn place, in one of Rarity draws.
static std::string spoil(std::string Text, int Rarity) {
  static const std::string Bytes("\x00\x01\t\n\r \"(,:;\x7f\x80", 13);
  if (*rc::gen::inRange(0, Rarity) > 0)
    return Text;
  const auto At = *rc::gen::inRange<size_t>(0, Text.size() + 1);
  Text.insert(At, 1, Bytes[*rc::gen::inRange<size_t>(0, Bytes.size())]);
  return Text;
}

static std::string drawFrom(const std::vector<std::string> &Texts) {
  return Texts[*rc::gen::inRange<size_t>(0, Texts.size())];
}

/// Draws a header line; one of Rarity parts is spoilt.
static std::string drawField(int Rarity) {
  const std::string Name = drawFrom({"Content-Length", "content-length",
                                     "Transfer-Encoding", "X-A", "Connection"});
  std::string Value = drawFrom({"a b", "close", "x-a", ""});
  if (keepPlain(Name) == "content-length")
    Value = drawFrom({"5", "40", "0"});
  if (Name == "Transfer-Encoding")
    Value = "chunked";
  return spoil(Name, Rarity) + spoil(":", Rarity) + spoil(" ", Rarity) +
         spoil(Value, Rarity) + spoil("\r\n", Rarity);
}

static std::string drawHead(int Rarity) {
  std::string Head = spoil(drawFrom({"HTTP/1.1 200 OK", "HTTP/1.1 200 ",
                                     "HTTP/1.0 200 OK", "HTTP/1.1 599 No"}),
                           Rarity) +
                     "\r\n";
  const int Fields = *rc::gen::inRange(0, 4);
  for (int I = 0; I < Fields; ++I)
    Head += drawField(Rarity);
  return Head + "\r\n";
}

// Guards against heads in which the product sees another body than the reader
// behind it: an answer that was cut passes as a whole one.
TEST_CASE("in a head that is taken, every reader sees the same body") {
  CHECK(rc::check([] {
    const std::string Head = drawHead(*rc::gen::element(3, 20, 1000));
    httplib::Response Answer;
    const bool IsTaken = readResponse(Head, Answer);
    RC_TAG(IsTaken);
    if (!IsTaken)
      return;
    const SeenFraming Seen = readLeniently(Head);
    const BodyFraming Framing = findBodyFraming(Answer.headers);
    RC_ASSERT(Framing != BodyFraming::Ambiguous);
    RC_ASSERT((Framing == BodyFraming::Chunked) == Seen.IsChunked);
    RC_ASSERT((Framing == BodyFraming::Length) == !Seen.Lengths.empty());
    if (Framing == BodyFraming::Length)
      RC_ASSERT(
          Seen.Lengths ==
          std::set<uint64_t>{std::strtoull(
              Answer.get_header_value("Content-Length").c_str(), nullptr, 10)});
    RC_ASSERT(!hasControlByte(Answer.reason));
    for (const auto &[Name, Value] : Answer.headers)
      RC_ASSERT(isToken(Name) && !hasControlByte(Value));
  }));
}

TEST_CASE("a well-formed head is taken as it is") {
  CHECK(rc::check([] {
    static const std::string TokenBytes = "!#$%&'*+-.^_`|~0189abyzABYZ";
    const auto Byte = rc::gen::elementOf(TokenBytes);
    const auto Name = *rc::gen::nonEmpty(rc::gen::container<std::string>(Byte));
    const auto Value = *rc::gen::container<std::string>(
        rc::gen::elementOf(std::string("aZ09 \t,;=\"():\x80\xff")));
    httplib::Response Answer;
    RC_ASSERT(readResponse(
        "HTTP/1.1 200 OK\r\n" + Name + ": x" + Value + "x\r\n\r\n", Answer));
    RC_ASSERT(Answer.get_header_value(Name.c_str()) == "x" + Value + "x");
  }));
}

TEST_CASE("the options of a connection are found in every line and case") {
  const httplib::Headers Headers = {{"Connection", "Keep-Alive ,\tX-A"},
                                    {"connection", "CLOSE"}};
  CHECK(hasConnectionOption(Headers, "close"));
  CHECK(hasConnectionOption(Headers, "keep-alive"));
  CHECK(hasConnectionOption(Headers, "x-a"));
  CHECK(!hasConnectionOption(Headers, "x"));
  CHECK(!hasConnectionOption({}, "close"));
}
