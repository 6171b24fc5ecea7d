//===- PeerMessageTest.cpp - Tests of peer messages -----------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests the encoding of peer messages and of changes of the store, valid and
/// damaged.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Daemon/PeerMessage.h"
#include "canvaswick/Daemon/DirectoryCalls.h"
#include "canvaswick/Json/JsonText.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace canvaswick;

static PeerMessage makeMessage() {
  PeerMessage Message;
  Message.Source = "d1";
  Message.Hall = "h1";
  Message.Sequence = 1234567890123;
  Message.AsOf = {0, 77};
  Message.SinceStoreAnswer = fromMillis(430);
  Message.Observations = {{0xfffffffe, RequestOutcome::Failed, -1},
                          {5, RequestOutcome::Overdue, 3},
                          {6, RequestOutcome::Good, 2, 130},
                          {7, RequestOutcome::Good, -1, 90, 250}};
  Message.InFlight = {{0xfffffffe, 340, 210}, {3, 0, 0}};
  Message.Estimates = {{9, 345}};
  Message.Rates = {{11, 250, 13}};
  Message.LoanRequests = {{0xfffffffe, 12345678901234}};
  Message.LoanGrants = {{7, 8}, {9, 10}};
  Message.Usages = {{0xffffffffffff, 12.25, 7}, {3, 0, -2}};
  Message.HallUsages = {{5, 1, 1234567}};
  Message.Limits = {{6, 1.8, fromMillis(250)}, {7, 0, fromMillis(0)}};
  Message.GoneServers = {{0xfffffffe, fromMillis(250)}, {7, fromMillis(0)}};
  Message.PoisonRequests.Ends = {
      {0xfedcba9876543210, 0xfffffffe, 20, 300, 0xfffffffd}};
  Message.PoisonRequests.Answers = {{0xfedcba9876543210, 0}};
  return Message;
}

TEST_CASE("a message survives encoding") {
  const PeerMessage Message = makeMessage();
  Result<PeerMessage> Back = decodePeerMessage(encodePeerMessage(Message));
  REQUIRE(Back);
  CHECK(Back.value() == Message);
}

TEST_CASE("observations without ages are read, and ages need no longer rows") {
  PeerMessage Message = makeMessage();
  Json::Value Value;
  REQUIRE(parseJson(encodePeerMessage(Message), Value));
  // Daemons of earlier versions refuse longer rows.
  for (const Json::Value &Row : Value["seen"])
    CHECK(Row.size() <= 4);
  Value.removeMember("seen-ms");
  const Result<PeerMessage> Back = decodePeerMessage(writeJson(Value));
  REQUIRE(Back);
  for (Observation &Each : Message.Observations)
    Each.AgeMs = 0;
  CHECK(Back.value() == Message);
}

TEST_CASE("no requests in flight differ from no report of requests in flight") {
  PeerMessage Silent = makeMessage();
  Silent.InFlight.reset();
  PeerMessage Nothing = makeMessage();
  Nothing.InFlight.emplace();
  CHECK_FALSE(decodePeerMessage(encodePeerMessage(Silent)).value().InFlight);
  CHECK(decodePeerMessage(encodePeerMessage(Nothing)).value().InFlight);
}

TEST_CASE("malformed messages are rejected") {
  CHECK_FALSE(decodePeerMessage(""));
  CHECK_FALSE(decodePeerMessage("{}"));
  Json::Value Value;
  REQUIRE(parseJson(encodePeerMessage(makeMessage()), Value));
  const auto Refused = [](const Json::Value &Changed) {
    return !decodePeerMessage(writeJson(Changed));
  };
  Json::Value Changed = Value;
  Changed["seen"][0][1] = 99;
  CHECK(Refused(Changed));
  Changed = Value;
  Changed["thinks"][0][1] = 1001;
  CHECK(Refused(Changed));
  Changed = Value;
  Changed["rates"][0][2] = 251;
  CHECK(Refused(Changed));
  Changed = Value;
  Changed["asks"][0][1] = -1;
  CHECK(Refused(Changed));
  Changed = Value;
  Changed["lends"] = "x";
  CHECK(Refused(Changed));
  Changed = Value;
  Changed["seen"][2][3] = -2;
  CHECK(Refused(Changed));
  Changed = Value;
  Changed["seen-ms"][0] = -1;
  CHECK(Refused(Changed));
  Changed = Value;
  Changed["seen-ms"].append(0);
  CHECK(Refused(Changed));
  Changed = Value;
  Changed["out"][0][1] = -1;
  CHECK(Refused(Changed));
  Changed = Value;
  Changed["out"] = "x";
  CHECK(Refused(Changed));
  Changed = Value;
  Changed["as-of"] = "x";
  CHECK(Refused(Changed));
  Changed = Value;
  Changed["heard-ms"] = -1;
  CHECK(Refused(Changed));
  Changed = Value;
  Changed["heard-ms"] = true;
  CHECK(Refused(Changed));
  for (const char *List : {"orgs", "hall-orgs"}) {
    Changed = Value;
    Changed[List] = "x";
    CHECK(Refused(Changed));
    Changed = Value;
    Changed[List][0][0] = "xyz";
    CHECK(Refused(Changed));
    Changed = Value;
    Changed[List][0][1] = -1;
    CHECK(Refused(Changed));
    Changed = Value;
    Changed[List][0][2] = 1.5;
    CHECK(Refused(Changed));
    Changed = Value;
    Changed[List][0].append(1);
    CHECK(Refused(Changed));
  }
  for (const char *List : {"ends", "answers"}) {
    Changed = Value;
    Changed[List] = "x";
    CHECK(Refused(Changed));
    for (Json::ArrayIndex Field = 0; Field < Value[List][0].size(); ++Field)
      for (const Json::Value &Wrong :
           {Json::Value(-1), Json::Value("z"), Json::Value(1.5),
            Json::Value(Json::nullValue), Json::Value(100000000)}) {
        Changed = Value;
        Changed[List][0][Field] = Wrong;
        CHECK(Refused(Changed));
      }
  }
}

TEST_CASE("damaged messages never throw") {
  CHECK(rc::check([] {
    std::string Text = encodePeerMessage(makeMessage());
    const auto Places = *rc::gen::container<std::vector<size_t>>(
        rc::gen::inRange<size_t>(0, Text.size()));
    for (const size_t Place : Places)
      Text[Place] = *rc::gen::elementOf(std::string("{}[]\":,0-9nta "));
    (void)decodePeerMessage(Text);
    Json::Value Value;
    if (parseJson(Text, Value))
      (void)decodeChanges(Value);
  }));
}

TEST_CASE("changes of the store survive encoding") {
  ItemChanges Changes;
  Changes.IsFull = true;
  Changes.AsOf = {0, 9};
  Changes.Items = {{"k", "value \"x\"", {0, 3}, false},
                   {"gone", "", {0, 4}, true}};
  Result<ItemChanges> Back = decodeChanges(encodeChanges(Changes));
  REQUIRE(Back);
  CHECK(Back.value().IsFull);
  CHECK(Back.value().AsOf == StorePosition(0, 9));
  CHECK(Back.value().Items == Changes.Items);
}
