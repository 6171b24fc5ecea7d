//===- ServerNoticeParserTest.cpp - Server notice parser tests ------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests the parser with valid values, malformed values and random bytes.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Proxy/ServerNoticeParser.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace canvaswick;

/// 1994-11-06 08:49:37 UTC, in milliseconds since the epoch.
static constexpr int64_t Calendar = 784111777000;

static httplib::Response makeAnswer(int Status, httplib::Headers Headers) {
  httplib::Response Response;
  Response.status = Status;
  Response.headers = std::move(Headers);
  return Response;
}

static ServerNotice read(int Status, httplib::Headers Headers) {
  return parseServerNotice(makeAnswer(Status, std::move(Headers)),
                           HeaderNames(), Calendar);
}

TEST_CASE("Retry-After is a number of seconds or a date") {
  CHECK(parseRetryAfter("3", Calendar) == fromSeconds(3));
  CHECK(parseRetryAfter("0.25", Calendar) == fromMillis(250));
  CHECK(parseRetryAfter("0", Calendar) == fromSeconds(0));
  CHECK(parseRetryAfter("Sun, 06 Nov 1994 08:49:40 GMT", Calendar) ==
        fromSeconds(3));
  CHECK(parseRetryAfter("Sun, 06 Nov 1994 08:49:30 GMT", Calendar) ==
        fromSeconds(0));
}

TEST_CASE("a malformed Retry-After gives no backoff") {
  for (const char *Text :
       {"", "soon", "-1", "+1", "1e99", "nan", "inf", "0x10", "3s", " 3", "3 ",
        ".5", "1,5", "--", "Sun, 06 Nov 1994 08:49:40 GMT x", "tomorrow"})
    CHECK_MESSAGE(!parseRetryAfter(Text, Calendar), Text);
}

TEST_CASE("a Retry-After of more than a day is malformed") {
  CHECK(parseRetryAfter("86400", Calendar) == fromSeconds(86400));
  for (const char *Text : {"86401", "99999999999999999999", "1000000000000",
                           "Tue, 08 Nov 1994 08:49:37 GMT"})
    CHECK_MESSAGE(!parseRetryAfter(Text, Calendar), Text);
  const ServerNotice Notice =
      read(503, {{"Retry-After", "99999999999999999999"}});
  CHECK(!Notice.Backoff);
  CHECK(Notice.IsMalformed);
}

TEST_CASE("only a 503 response asks for a backoff") {
  CHECK(read(503, {{"Retry-After", "3"}}).Backoff == fromSeconds(3));
  CHECK(!read(503, {{"Retry-After", "0"}}).Backoff);
  for (const int Status : {200, 429, 500, 502, 504})
    CHECK(!read(Status, {{"Retry-After", "3"}}).Backoff);
}

TEST_CASE(
    "any response may state a limit and announce that the server leaves") {
  for (const int Status : {200, 206, 404, 500, 503}) {
    const ServerNotice Notice =
        read(Status, {{"Canvaswick-Request-Limit", "1.8"},
                      {"Canvaswick-Leaving", "1"}});
    CHECK(Notice.RequestsPerSecond == 1.8);
    CHECK(Notice.IsLeaving);
  }
  CHECK(!read(200, {{"Canvaswick-Leaving", "0"}}).IsLeaving);
}

TEST_CASE(
    "the lower of two limits applies, and a malformed one withdraws none") {
  CHECK(read(200, {{"Canvaswick-Request-Limit", "4"},
                   {"Canvaswick-Request-Limit", "2"}})
            .RequestsPerSecond == 2);
  const ServerNotice Malformed =
      read(200, {{"Canvaswick-Request-Limit", "-4"}});
  CHECK(!Malformed.RequestsPerSecond);
  CHECK(!Malformed.MayEndLimit);
  CHECK(read(200, {}).MayEndLimit);
  CHECK(!read(500, {}).MayEndLimit);
}

TEST_CASE("only a response proven to be the server's own withdraws a limit") {
  HeaderNames Names;
  Names.AnswerProof = "Proof";
  const auto MayEnd = [&Names](httplib::Headers Headers) {
    return parseServerNotice(makeAnswer(200, std::move(Headers)), Names,
                             Calendar)
        .MayEndLimit;
  };
  CHECK(MayEnd({{"Proof", "x"}}));
  CHECK(!MayEnd({}));
}

TEST_CASE("any bytes in Retry-After give a bounded time or nothing") {
  CHECK(rc::check([](const std::string &Text) {
    const std::optional<Duration> Backoff = parseRetryAfter(Text, Calendar);
    RC_ASSERT(!Backoff ||
              (*Backoff >= Duration::zero() && *Backoff <= fromSeconds(86400)));
  }));
}
