//===- OddEntriesTest.cpp - Tests of entries that nobody can read ---------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Other writers leave entries under every kind of key that daemons read. Who
/// runs beside them must follow what comes later, and who starts beside them
/// must serve.
///
//===----------------------------------------------------------------------===//

#include "PlatformFixture.h"

#include <string>
#include <vector>

using namespace canvaswick;
using namespace canvaswick::platform;

/// More entries than one answer of the store holds.
static constexpr int ManyEntries = 1200;
static constexpr size_t AnswerItems = 500;

static const std::vector<std::string> Keys = {
    "servers/i-9",         "op/other",
    "op/evacuate/far",     "canvaswick/daemons/d9",
    "canvaswick/copy",     "canvaswick/suspects",
    "canvaswick/claims/c", "other"};

/// Returns values that are encoded well and mean nothing.
static std::vector<std::string> makeOddValues() {
  const std::string Deep(100000, '[');
  const std::string Digits(400, '9');
  return {"",
          "null",
          "[]",
          "\xff\xfe\x00",
          Deep,
          Deep + std::string(Deep.size(), ']'),
          "{\"address\": " + Deep + "}",
          "{\"status\": {\"seq\": " + Digits + "}}",
          "{\"address\": \"127.0.0.1:70000\", \"info\": 1e400}",
          "{\"address\": \"127.0.0.1:-1\", \"as-of\": 18446744073709551616}"};
}

namespace {

struct OddEntriesFixture : DaemonFixture {
  OddEntriesFixture() {
    this->Store.setMaxEvents(AnswerItems);
    this->Store.setPageItems(AnswerItems);
    this->startServing();
  }

  /// Checks that the daemon has what is written now, and that another one
  /// starts.
  void checkFollowing() {
    this->writeConfig(3, "/y/");
    this->waitFor(
        [this] { return this->sendRequest("GET", "/y/1").Status == 200; });
    const DaemonConfig Other = this->makeDaemonConfig("d2");
    PlatformDaemon Started(Other);
    REQUIRE(Started.start());
    this->waitFor([&] {
      return this->sendRequestTo(Other.Callers, "GET", "/y/1").Status == 200;
    });
  }
};

} // namespace

// Guards against one entry of another writer after which daemons follow nothing
// any more, or end.
TEST_CASE("entries whose values cannot be decoded stop nobody") {
  for (const std::string &Key : Keys) {
    CAPTURE(Key);
    OddEntriesFixture Fixture;
    for (const std::string Text : {"%%%", "YQ=", "YQ==YQ==", "YQ"})
      Fixture.Store.putUnencoded(Key, Text);
    Fixture.checkFollowing();
  }
}

TEST_CASE("entries whose values mean nothing stop nobody") {
  OddEntriesFixture Fixture;
  for (const std::string &Key : Keys)
    for (const std::string &Value : makeOddValues())
      Fixture.Store.put(Key, Value);
  Fixture.checkFollowing();
}

TEST_CASE("thousands of odd entries stop nobody") {
  OddEntriesFixture Fixture;
  for (int I = 0; I < ManyEntries; ++I)
    Fixture.Store.put(fmt::format("servers/odd-{}", I), "{\"slots\": [1e400]}");
  Fixture.checkFollowing();
}
