//===- RequestOrganisationTest.cpp - Authentication tests -----------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests which keys callers may present, what servers are told of the caller,
/// and the effect of a revoked key.
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

static httplib::Headers makeKeyHeader(const std::string &Key) {
  return {{"Authorization", "Bearer " + Key}};
}

/// Returns a header as the server that gave a response received it, or an empty
/// text.
static std::string getReceivedHeader(const ProxyFixture &Fixture,
                                     const ExchangeResult &Answer,
                                     const char *Name) {
  const size_t Backend = Answer.Body.find("served by b0") == 0 ? 0 : 1;
  const httplib::Headers Seen = Fixture.Backends[Backend]->getLastHeaders();
  const auto Found = Seen.find(Name);
  return Found == Seen.end() ? "" : Found->second;
}

TEST_CASE("the key determines the organisation, whatever the caller claims") {
  ProxyFixture Fixture("", 3, makeOrganisation("acme", "k1"));
  httplib::Headers Headers = makeKeyHeader("k1");
  Headers.emplace("X-Organisation", "someone-else");
  const ExchangeResult Answer = Fixture.send("GET", "/read/1", Headers);
  CHECK(Answer.Status == 200);
  CHECK(getReceivedHeader(Fixture, Answer, "X-Organisation") == "acme");
  CHECK(getReceivedHeader(Fixture, Answer, "Authorization") == "");
}

TEST_CASE("nothing is forwarded without a known key") {
  ProxyFixture Fixture("", 3, makeOrganisation("acme", "k1"));
  const std::string Long(257, 'k');
  const httplib::Headers Cases[] = {
      {},
      makeKeyHeader("k2"),
      makeKeyHeader(""),
      makeKeyHeader(" k1"),
      makeKeyHeader("k1 k1"),
      makeKeyHeader("K1"),
      makeKeyHeader(Long),
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

TEST_CASE("the authentication scheme is case-insensitive") {
  ProxyFixture Fixture("", 3, makeOrganisation("acme", "k1"));
  CHECK(
      Fixture.send("GET", "/read/1", {{"authorization", "bearer k1"}}).Status ==
      200);
}

TEST_CASE("a public route serves any caller and forwards a known key's "
          "organisation") {
  ProxyFixture Fixture("", 3, makeOrganisation("acme", "k1"));
  const ExchangeResult Nobody =
      Fixture.send("GET", "/open/1", {{"X-Organisation", "acme"}});
  CHECK(Nobody.Status == 200);
  CHECK(getReceivedHeader(Fixture, Nobody, "X-Organisation") == "");
  const ExchangeResult Unknown =
      Fixture.send("GET", "/open/1", makeKeyHeader("k9"));
  CHECK(Unknown.Status == 200);
  CHECK(getReceivedHeader(Fixture, Unknown, "X-Organisation") == "");
  CHECK(getReceivedHeader(Fixture, Unknown, "Authorization") == "");
  const ExchangeResult Known =
      Fixture.send("GET", "/open/1", makeKeyHeader("k1"));
  CHECK(Known.Status == 200);
  CHECK(getReceivedHeader(Fixture, Known, "X-Organisation") == "acme");
}

TEST_CASE("without configured keys, the Authorization header is forwarded") {
  ProxyFixture Fixture;
  const ExchangeResult Answer =
      Fixture.send("GET", "/read/1", makeKeyHeader("k1"));
  CHECK(Answer.Status == 200);
  CHECK(getReceivedHeader(Fixture, Answer, "Authorization") == "Bearer k1");
}

TEST_CASE("without settings, requests fail with 503 and not as unauthorised") {
  ProxyFixture Fixture("", 3, makeOrganisation("acme", "k1"));
  Fixture.Fleet.set(nullptr);
  CHECK(Fixture.send("GET", "/read/1", makeKeyHeader("k1")).Status == 503);
}

TEST_CASE("an unknown route gives 404 whatever the key") {
  ProxyFixture Fixture("", 3, makeOrganisation("acme", "k1"));
  CHECK(Fixture.send("GET", "/nowhere", makeKeyHeader("k2")).Status == 404);
}

TEST_CASE("changes of keys apply to open connections") {
  ProxyFixture Fixture("", 3, makeOrganisation("acme", "k1"));
  CHECK(Fixture.send("GET", "/read/1", makeKeyHeader("k1")).Status == 200);
  Fixture.setOrganisations(makeOrganisation("acme", "k2"));
  CHECK(Fixture.send("GET", "/read/1", makeKeyHeader("k1")).Status == 401);
  CHECK(Fixture.send("GET", "/read/1", makeKeyHeader("k2")).Status == 200);
  // The key moves to another organisation.
  Fixture.setOrganisations(makeOrganisation("other", "k2"));
  const ExchangeResult Moved =
      Fixture.send("GET", "/read/1", makeKeyHeader("k2"));
  CHECK(Moved.Status == 200);
  CHECK(getReceivedHeader(Fixture, Moved, "X-Organisation") == "other");
  // All keys are replaced, and then restored.
  Fixture.setOrganisations(makeOrganisation("other", "k3"));
  CHECK(Fixture.send("GET", "/read/1", makeKeyHeader("k2")).Status == 401);
  Fixture.setOrganisations(makeOrganisation("acme", "k1"));
  CHECK(Fixture.send("GET", "/read/1", makeKeyHeader("k1")).Status == 200);
}

/// Sends a request with the key k1 and calls Meanwhile after the first attempt
/// has reached a server. Returns the status of the response.
template <typename Change>
static int sendWhile(ProxyFixture &Fixture, const char *Target,
                     const Change &Meanwhile) {
  ExchangeResult Result;
  std::thread Caller(
      [&] { Result = Fixture.send("GET", Target, makeKeyHeader("k1")); });
  const TimePoint GiveUp = readSteadyClock() + fromSeconds(20);
  while (Fixture.countRuns() == 0 && readSteadyClock() < GiveUp)
    std::this_thread::yield();
  Meanwhile();
  Caller.join();
  return Result.Status;
}

TEST_CASE("a request in flight completes after its key is revoked") {
  ProxyFixture Fixture("", 3, makeOrganisation("acme", "k1"));
  BackendFaults Slow;
  Slow.SlowMs = 300;
  Fixture.setFaults(Slow);
  const int Status = sendWhile(Fixture, "/read/1", [&Fixture] {
    Fixture.setOrganisations(makeOrganisation("acme", "k2"));
  });
  CHECK(Status == 200);
}

TEST_CASE("no retry begins after the key is revoked") {
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

TEST_CASE("no form of the header gives a caller another organisation") {
  ProxyFixture Fixture(
      "", 3, makeOrganisation("acme", "k1") + makeOrganisation("other", "k2"));
  CHECK(rc::check([&Fixture] {
    // Characters that a header may hold, including those of the keys.
    const auto Character =
        rc::gen::elementOf(std::string(" \tk12:,;=\"Bearer"));
    const auto Value = *rc::gen::container<std::string>(Character);
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
