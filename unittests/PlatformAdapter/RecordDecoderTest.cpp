//===- RecordDecoderTest.cpp - Tests of decoding the store's values -------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Decodes valid, malformed and random values.
///
//===----------------------------------------------------------------------===//

#include "platform/RecordDecoder.h"
#include "canvaswick/Json/JsonText.h"
#include "canvaswick/Support/Base64.h"
#include "platform/StoreClient.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace canvaswick;
using namespace canvaswick::platform;

static const std::string Rules = R"({
  "version": 7, "unknown": [1],
  "limits": {"maxHeaderBytes": 16384, "headerTimeoutS": 3, "idleTimeoutS": 15},
  "listeners": [{"host": "a.example", "rules": [
    {"name": "r1", "kind": "idempotent", "goalS": 1, "priority": 2,
     "match": {"pathPrefix": "/x/"},
     "action": {"split": [{"service": "s1", "weight": 90},
                          {"service": "s2", "weight": 10}],
                "timeoutS": 2.5, "attempts": 2}},
    {"name": "r2", "kind": "something new", "goalS": 1, "priority": 0,
     "match": {"pathPrefix": "/y/"},
     "action": {"service": "s2", "timeoutS": 3, "attempts": 1}}]}],
  "clusters": [{"name": "s1", "healthPath": "/healthz", "maxConns": 330},
               {"name": "s2", "healthPath": "/healthz", "maxConns": 330}]})";

TEST_CASE("the operators' configuration is decoded") {
  Result<RoutingRules> Decoded = decodeRoutingRules(Rules);
  REQUIRE(Decoded);
  const RoutingRules &Value = Decoded.value();
  CHECK(Value.Version == 7);
  CHECK(Value.Limits.IdleMs == 15000);
  REQUIRE(Value.Routes.size() == 2);
  CHECK(Value.Routes[0].Host == "a.example");
  CHECK(Value.Routes[0].Class == RouteClass::Repeatable);
  CHECK(Value.Routes[0].TimeoutMs == 2500);
  CHECK(Value.Routes[0].MaxAttempts == 2);
  REQUIRE(Value.Routes[0].Parts.size() == 2);
  CHECK(Value.Routes[0].Parts[0].Weight == 9 * Value.Routes[0].Parts[1].Weight);
  // A route of a kind that is not named as repeatable runs once.
  CHECK(Value.Routes[1].Class == RouteClass::Once);
  CHECK(Value.Services[1].MaxConnections == 330);
}

TEST_CASE("a malformed configuration gives an error that names the field") {
  CHECK_FALSE(decodeRoutingRules("not json"));
  CHECK_FALSE(decodeRoutingRules("[]"));
  Result<RoutingRules> NoVersion = decodeRoutingRules("{}");
  REQUIRE_FALSE(NoVersion);
  CHECK(NoVersion.error().Message.find("version") != std::string::npos);
  CHECK_FALSE(decodeRoutingRules(R"({"version": 1, "listeners": [{}],
                                     "clusters": []})"));
  CHECK_FALSE(decodeRoutingRules(R"({"version": 1, "listeners": 3,
                                     "clusters": []})"));
}

TEST_CASE("a server's entry is decoded") {
  Result<ServerRecord> Decoded = decodeServer("i-1", R"({
    "address": "10.0.0.9:8080",
    "info": {"service": "s", "version": "v1", "zone": "h", "slots": 3},
    "status": {"state": "draining", "seq": 4, "warmupLeftS": 1.5}})");
  REQUIRE(Decoded);
  CHECK(Decoded.value().Id == "i-1");
  CHECK(Decoded.value().Address == Endpoint{"10.0.0.9", 8080});
  CHECK(Decoded.value().Hall == "h");
  CHECK(Decoded.value().Slots == 3);
  CHECK(Decoded.value().IsDraining);
  CHECK(Decoded.value().WarmupLeft == fromMillis(1500));
  CHECK_FALSE(decodeServer("i-1", R"({"address": "nowhere"})"));
}

static const std::string Entry = R"({
    "address": "10.0.0.9:8080", "born": 1764725873000,
    "info": {"service": "s", "version": "v1", "zone": "h", "slots": 3},
    "status": {"state": "ready", "seq": 4, "warmupLeftS": 1.5}})";

TEST_CASE("a server's entry is refused for each malformed field") {
  Json::Value Value;
  REQUIRE(parseJson(Entry, Value));
  REQUIRE(decodeServer("i-1", Entry));
  CHECK(decodeServer("i-1", Entry).value().Born == 1764725873000);
  const Json::Value Wrongs[] = {Json::Value(Json::nullValue),
                                Json::Value(true),
                                Json::Value(Json::arrayValue),
                                Json::Value(Json::objectValue),
                                Json::Value(-1),
                                Json::Value(2.5),
                                Json::Value("")};
  const std::pair<const char *, const char *> Fields[] = {
      {"", "address"},
      {"", "born"},
      {"", "info"},
      {"", "status"},
      {"info", "service"},
      {"info", "version"},
      {"info", "zone"},
      {"info", "slots"},
      {"status", "state"},
      {"status", "seq"},
      {"status", "warmupLeftS"}};
  for (const auto &[Table, Field] : Fields)
    for (const Json::Value &Wrong : Wrongs) {
      const bool IsAllowed = std::string(Field) == "warmupLeftS" &&
                             Wrong.isDouble() && Wrong.asDouble() == 2.5;
      // A server that does not report its start time may belong to an older
      // platform.
      const bool LacksStartTime =
          std::string(Field) == "born" && Wrong.isNull();
      Json::Value Changed = Value;
      (*Table ? Changed[Table] : Changed)[Field] = Wrong;
      CAPTURE(writeJson(Changed));
      CHECK(decodeServer("i-1", writeJson(Changed)).has_value() ==
            (IsAllowed || LacksStartTime));
      if (LacksStartTime)
        continue;
      Changed = Value;
      (*Table ? Changed[Table] : Changed).removeMember(Field);
      CHECK(decodeServer("i-1", writeJson(Changed)).has_value() ==
            (std::string(Field) == "born"));
    }
  Json::Value Changed = Value;
  Changed["status"]["state"] = "starting";
  CHECK_FALSE(decodeServer("i-1", writeJson(Changed)));
  Changed = Value;
  Changed["info"]["slots"] = 10001;
  CHECK_FALSE(decodeServer("i-1", writeJson(Changed)));
  Changed = Value;
  Changed["address"] = "10.0.0.9:0";
  CHECK_FALSE(decodeServer("i-1", writeJson(Changed)));
}

TEST_CASE("an ID that is not valid in a header names no server") {
  CHECK(decodeServer("i-7f3a91c2", Entry));
  for (const char *Id : {"", "i 1", "i\r\nX: y", "i/1", "\xc3\xa9", "i\x01"})
    CHECK_FALSE(decodeServer(Id, Entry));
  CHECK_FALSE(decodeServer(std::string(200, 'i'), Entry));
}

TEST_CASE("an entry whose bytes are not UTF-8 is refused") {
  for (const char *Bytes : {"\xc3\x28", "\xff", "\xc0\xaf", "\xed\xa0\x80"}) {
    std::string Text = Entry;
    Text.replace(Text.find("v1"), 2, Bytes);
    CHECK_FALSE(decodeServer("i-1", Text));
  }
}

TEST_CASE("an entry that is too long or too deep is refused") {
  CHECK_FALSE(decodeServer("i-1", std::string(1 << 20, ' ') + Entry));
  CHECK_FALSE(decodeServer("i-1", std::string(100000, '[')));
  std::string Deep = Entry;
  Deep.insert(1,
              "\"x\": " + std::string(500, '[') + std::string(500, ']') + ",");
  (void)decodeServer("i-1", Deep);
}

TEST_CASE("a daemon's entry survives encoding") {
  const DaemonRecord Record{"d1", "h", {"10.0.0.1", 80}, {"10.0.0.1", 81}};
  Result<DaemonRecord> Back = decodeDaemon("d1", encodeDaemon(Record));
  REQUIRE(Back);
  CHECK(Back.value().Hall == "h");
  CHECK(Back.value().Peer == Record.Peer);
}

TEST_CASE("base64 survives any bytes") {
  CHECK(rc::check([](const std::string &Bytes) {
    Result<std::string> Back = decodeBase64(encodeBase64(Bytes));
    RC_ASSERT(Back);
    RC_ASSERT(Back.value() == Bytes);
  }));
  CHECK_FALSE(decodeBase64("abc"));
  CHECK_FALSE(decodeBase64("a*=="));
}

TEST_CASE("random damage to a value never throws or ends the process") {
  CHECK(rc::check([] {
    std::string Text = Rules;
    const auto Places = *rc::gen::container<std::vector<size_t>>(
        rc::gen::inRange<size_t>(0, Rules.size()));
    for (const size_t Place : Places)
      Text[Place] = *rc::gen::elementOf(std::string("{}[]\":,0-9nta "));
    (void)decodeRoutingRules(Text);
    (void)decodeServer("i", Text);
    (void)decodeDaemon("d", Text);
  }));
}
