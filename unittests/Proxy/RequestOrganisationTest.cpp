//===- RequestOrganisationTest.cpp - Tests of whose request it is --------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// What callers may show, what servers are told, and what becomes of a key that
/// is taken away.
///
//===----------------------------------------------------------------------===//

#include "ProxyFixture.h"

#include <rapidcheck.h>

#include <thread>

using namespace canvaswick;

static std::string makeOrganisation(const std::string &Name,
                                    const std::string &Key) {
  return fmt::format("[organisation {}]\nkey-digests = {}\n", Name,
                     KeyDigest::of(Key).format());
}

static httplib::Headers show(const std::string &Key) {
  return {{"Authorization", "Bearer " + Key}};
}

/// Returns what the server that gave an answer saw of a header, or an empty
/// text.
static std::string getSeen(const ProxyFixture &Fixture,
                           const ExchangeResult &Answer, const char *Name) {
  const size_t Backend = Answer.Body.find("served by b0") == 0 ? 0 : 1;
  const httplib::Headers Seen = Fixture.Backends[Backend]->getLastHeaders();
  const auto Found = Seen.find(Name);
  return Found == Seen.end() ? "" : Found->second;
}

TEST_CASE("a key names the organisation, whatever the caller says") {
  ProxyFixture Fixture("", 3, makeOrganisation("acme", "k1"));
  httplib::Headers Headers = show("k1");
  Headers.emplace("X-Organisation", "someone-else");
  const ExchangeResult Answer = Fixture.send("GET", "/read/1", Headers);
  CHECK(Answer.Status == 200);
  CHECK(getSeen(Fixture, Answer, "X-Organisation") == "acme");
  CHECK(getSeen(Fixture, Answer, "Authorization") == "");
}

TEST_CASE("without a key that is known nothing is sent on") {
  ProxyFixture Fixture("", 3, makeOrganisation("acme", "k1"));
  const std::string Long(257, 'k');
  const httplib::Headers Cases[] = {
      {},
      show("k2"),
      show(""),
      show(" k1"),
      show("k1 k1"),
      show("K1"),
      show(Long),
      {{"Authorization", "k1"}},
      {{"Authorization", "Basic k1"}},
      {{"Authorization", "Bearer\tk1"}},
      {{"X-Organisation", "acme"}},
      {{"Authorization", "Bearer k1"}, {"Authorization", "Bearer k1"}},
      {{"Authorization", "Bearer k1"}, {"authorization", "Bearer k2"}},
  };
  for (const httplib::Headers &Headers : Cases) {
    const ExchangeResult Result = Fixture.send("GET", "/read/1", Headers);
    CHECK(Result.Status == 401);
    CHECK(getHeader(Result, OutcomeHeader) == "not-run");
    CHECK(getHeader(Result, "WWW-Authenticate") == "Bearer");
    CHECK(Result.Body.find("k1") == std::string::npos);
  }
  CHECK(Fixture.countRuns() == 0);
}

TEST_CASE("the word for the scheme may be written in any case") {
  ProxyFixture Fixture("", 3, makeOrganisation("acme", "k1"));
  CHECK(
      Fixture.send("GET", "/read/1", {{"authorization", "bearer k1"}}).Status ==
      200);
}

TEST_CASE("a public route takes any caller and tells whose key it knows") {
  ProxyFixture Fixture("", 3, makeOrganisation("acme", "k1"));
  const ExchangeResult Nobody =
      Fixture.send("GET", "/open/1", {{"X-Organisation", "acme"}});
  CHECK(Nobody.Status == 200);
  CHECK(getSeen(Fixture, Nobody, "X-Organisation") == "");
  const ExchangeResult Unknown = Fixture.send("GET", "/open/1", show("k9"));
  CHECK(Unknown.Status == 200);
  CHECK(getSeen(Fixture, Unknown, "X-Organisation") == "");
  CHECK(getSeen(Fixture, Unknown, "Authorization") == "");
  const ExchangeResult Known = Fixture.send("GET", "/open/1", show("k1"));
  CHECK(Known.Status == 200);
  CHECK(getSeen(Fixture, Known, "X-Organisation") == "acme");
}

TEST_CASE("where nobody has a key, the header is one of the caller's own") {
  ProxyFixture Fixture;
  const ExchangeResult Answer = Fixture.send("GET", "/read/1", show("k1"));
  CHECK(Answer.Status == 200);
  CHECK(getSeen(Fixture, Answer, "Authorization") == "Bearer k1");
}

TEST_CASE("a daemon without settings says so, not that a key is unknown") {
  ProxyFixture Fixture("", 3, makeOrganisation("acme", "k1"));
  Fixture.Fleet.set(nullptr);
  CHECK(Fixture.send("GET", "/read/1", show("k1")).Status == 503);
}

TEST_CASE("an unknown route is one whatever key is shown") {
  ProxyFixture Fixture("", 3, makeOrganisation("acme", "k1"));
  CHECK(Fixture.send("GET", "/nowhere", show("k2")).Status == 404);
}

TEST_CASE("keys come, go and move on kept connections") {
  ProxyFixture Fixture("", 3, makeOrganisation("acme", "k1"));
  CHECK(Fixture.send("GET", "/read/1", show("k1")).Status == 200);
  Fixture.setOrganisations(makeOrganisation("acme", "k2"));
  CHECK(Fixture.send("GET", "/read/1", show("k1")).Status == 401);
  CHECK(Fixture.send("GET", "/read/1", show("k2")).Status == 200);
  // The key of one becomes another's.
  Fixture.setOrganisations(makeOrganisation("other", "k2"));
  const ExchangeResult Moved = Fixture.send("GET", "/read/1", show("k2"));
  CHECK(Moved.Status == 200);
  CHECK(getSeen(Fixture, Moved, "X-Organisation") == "other");
  // All go and come back.
  Fixture.setOrganisations(makeOrganisation("other", "k3"));
  CHECK(Fixture.send("GET", "/read/1", show("k2")).Status == 401);
  Fixture.setOrganisations(makeOrganisation("acme", "k1"));
  CHECK(Fixture.send("GET", "/read/1", show("k1")).Status == 200);
}

/// Sends a request with k1 whose first try hangs until the deadline is near or
/// the server fails, and has After done while it is out. Returns its status.
template <typename Change>
static int sendWhile(ProxyFixture &Fixture, const char *Target,
                     const Change &Meanwhile) {
  ExchangeResult Result;
  std::thread Caller([&] { Result = Fixture.send("GET", Target, show("k1")); });
  const TimePoint GiveUp = readSteadyClock() + fromSeconds(20);
  while (Fixture.countRuns() == 0 && readSteadyClock() < GiveUp)
    std::this_thread::yield();
  Meanwhile();
  Caller.join();
  return Result.Status;
}

TEST_CASE("what is under way when its key goes ends as it would have") {
  ProxyFixture Fixture("", 3, makeOrganisation("acme", "k1"));
  BackendFaults Slow;
  Slow.SlowMs = 300;
  Fixture.setFaults(Slow);
  const int Status = sendWhile(Fixture, "/read/1", [&Fixture] {
    Fixture.setOrganisations(makeOrganisation("acme", "k2"));
  });
  CHECK(Status == 200);
}

TEST_CASE("no second try begins after its key has gone") {
  for (const bool IsTaken : {false, true}) {
    ProxyFixture Fixture("", 3, makeOrganisation("acme", "k1"));
    BackendFaults Failing;
    Failing.SlowMs = 300;
    Failing.LoseAnswer = true;
    Fixture.setFaults(Failing);
    (void)sendWhile(Fixture, "/read/1", [&Fixture, IsTaken] {
      Fixture.setOrganisations(makeOrganisation("acme", IsTaken ? "k2" : "k1"));
    });
    CHECK(Fixture.countRuns() == (IsTaken ? 1 : 2));
  }
}

TEST_CASE("no header of any form makes a caller another organisation's") {
  ProxyFixture Fixture(
      "", 3, makeOrganisation("acme", "k1") + makeOrganisation("other", "k2"));
  CHECK(rc::check([&Fixture] {
    // Signs that a header may hold, keys among them.
    const auto Sign = rc::gen::elementOf(std::string(" \tk12:,;=\"Bearer"));
    const auto Value = *rc::gen::container<std::string>(Sign);
    const auto Claimed = *rc::gen::element<std::string>("acme", "other", "");
    httplib::Headers Headers = {{"X-Organisation", Claimed}};
    Headers.emplace("Authorization", Value);
    const ExchangeResult Result = Fixture.send("GET", "/read/1", Headers);
    RC_ASSERT(Result.Status == 401 || Result.Status == 200 ||
              Result.Status == 400);
    if (Result.Status == 200)
      RC_ASSERT(Value.find("k1") != std::string::npos ||
                Value.find("k2") != std::string::npos);
  }));
}
