//===- DirectoryCallsTest.cpp - Tests of the store's replication ----------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests how a daemon answers requests for changes: in full, packed, or without
/// large values.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Daemon/DirectoryCalls.h"
#include "canvaswick/Json/JsonText.h"
#include "canvaswick/Support/Base64.h"
#include "canvaswick/Support/TextCompression.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <random>

using namespace canvaswick;

/// A replica as large as that of a fleet of 443 daemons with 720 servers.
static ItemChanges makeReplica() {
  std::mt19937_64 Random(1);
  ItemChanges Replica;
  Replica.IsFull = true;
  Replica.AsOf = {0, 5000};
  for (int I = 0; I < 720; ++I)
    Replica.Items.push_back(
        {fmt::format("servers/i-{:010x}", Random() >> 24),
         fmt::format(R"({{"address":"10.{}.64.{}:8665","info":{{"service":)"
                     R"("nyse17b","version":"v{}","zone":"hall-{}",)"
                     R"("slots":3}},"status":{{"state":"ready","seq":{},)"
                     R"("warmupLeftS":0.0}}}})",
                     1 + Random() % 5, Random() % 250, Random() % 2,
                     Random() % 5, Random() % 40),
         {0, 1000 + Random() % 4000},
         false});
  for (int I = 0; I < 443; ++I)
    Replica.Items.push_back(
        {fmt::format("canvaswick/daemons/front-hall-{}-{}", I % 5, I),
         fmt::format(R"({{"control":"10.{}.0.{}:8761","hall":"hall-{}","peer":)"
                     R"("10.{}.0.{}:7780"}})",
                     I % 5, I / 5, I % 5, I % 5, I / 5),
         {0, 1000 + Random() % 4000},
         false});
  return Replica;
}

static const ItemChanges SmallChanges =
    makeChanges({}, {{"k", "v", {0, 7}, false}}, {0, 7});

/// A small change and a large configuration.
static ItemChanges makeLargeChanges() {
  ItemChanges Changes = SmallChanges;
  Changes.Items.push_back({"config", std::string(5000, 'c'), {0, 6}, false});
  return Changes;
}

TEST_CASE("few items are sent as they are, many are packed, and both decode "
          "equally") {
  const Json::Value Few = packChanges(encodeChanges(SmallChanges));
  CHECK(Few.isMember("items"));
  CHECK(decodeChanges(Few).value().Items == SmallChanges.Items);
  const ItemChanges Replica = makeReplica();
  const Json::Value Encoded = encodeChanges(Replica);
  const TimePoint Began = readSteadyClock();
  const Json::Value Packed = packChanges(Encoded);
  const Duration PackTime = readSteadyClock() - Began;
  const size_t Before = writeJson(Encoded).size();
  const size_t After = writeJson(Packed).size();
  MESSAGE("a replica of 1,163 items: ", Before, " bytes, packed ", After,
          " in ", PackTime.count(), " us");
  // Packing must save at least three quarters, for daemons with slow links.
  CHECK(After * 4 < Before);
  const Result<ItemChanges> Back = decodeChanges(Packed);
  REQUIRE(Back);
  CHECK(Back.value().Items == Replica.Items);
  CHECK(Back.value().IsFull);
  CHECK(Back.value().AsOf == Replica.AsOf);
}

TEST_CASE("large values are sent only if requested and if there is capacity") {
  bool HasCapacity = true;
  ChangesResponder Responder(
      [](const ChangesRequest &) { return makeLargeChanges(); },
      [&HasCapacity] { return HasCapacity; });
  const auto Request = [&](bool WantsLarge) {
    return decodeChanges(
               Responder.answer({{0, 3}, WantsLarge, {}}, TimePoint{}))
        .value();
  };
  CHECK(Request(true).Items.size() == 2);
  CHECK(Request(true).Extent == ChangesExtent::All);
  CHECK_FALSE(Request(true).Omitted);
  CHECK(Request(false).Extent == ChangesExtent::Small);
  CHECK(Request(false).Omitted.value().size() == 1);
  CHECK(Request(false).Items == SmallChanges.Items);
  HasCapacity = false;
  CHECK(Request(true).Extent == ChangesExtent::Small);
  CHECK(Request(true).Items == SmallChanges.Items);
}

TEST_CASE("changes without large values are complete without capacity") {
  ChangesResponder Responder(
      [](const ChangesRequest &) { return SmallChanges; },
      [] { return false; });
  CHECK(decodeChanges(Responder.answer({{0, 3}, false, {}}, TimePoint{}))
            .value()
            .Extent == ChangesExtent::All);
}

TEST_CASE("a full replica is refused with a reason if there is no capacity") {
  bool HasCapacity = false;
  ChangesResponder Responder(
      [](const ChangesRequest &) { return makeReplica(); },
      [&HasCapacity] { return HasCapacity; });
  CHECK(Responder.answer({{0, 0}, true, {}}, TimePoint{})["error"].asString() ==
        getName(ErrorKind::Unavailable));
  HasCapacity = true;
  CHECK(decodeChanges(Responder.answer({{0, 0}, true, {}}, TimePoint{}))
            .value()
            .Items.size() == 1163);
}

TEST_CASE("a packed response is reused until the replica changes") {
  ItemChanges Replica = makeReplica();
  ChangesResponder Responder(
      [&Replica](const ChangesRequest &) { return Replica; },
      [] { return true; });
  const Json::Value First = Responder.answer({{0, 0}, true, {}}, TimePoint{});
  CHECK(Responder.answer({{0, 0}, true, {}}, TimePoint{}) == First);
  Replica.AsOf = {0, 6000};
  Replica.Items.pop_back();
  CHECK(decodeChanges(Responder.answer({{0, 0}, true, {}}, TimePoint{}))
            .value()
            .AsOf == StorePosition(0, 6000));
  // More distinct requests than the cache holds are all answered correctly.
  for (uint64_t After = 1; After < 30; ++After)
    CHECK(decodeChanges(Responder.answer({{0, After}, true, {}}, TimePoint{}))
              .value()
              .Items == Replica.Items);
}

TEST_CASE("malformed fields and corrupt packed items are rejected") {
  Json::Value Good = packChanges(encodeChanges(makeReplica()));
  REQUIRE(decodeChanges(Good));
  for (const char *Field : {"as-of", "all", "partial", "packed"}) {
    CAPTURE(Field);
    Json::Value Broken = Good;
    Broken[Field] = Json::Value(Json::arrayValue);
    CHECK_FALSE(decodeChanges(Broken));
  }
  Json::Value Cut = Good;
  Cut["packed"] = Good["packed"].asString().substr(4);
  CHECK_FALSE(decodeChanges(Cut));
  Json::Value NoList = Good;
  NoList["packed"] = encodeBase64(compressText("{}"));
  CHECK_FALSE(decodeChanges(NoList));
  Json::Value NoRows = Good;
  NoRows["packed"] = encodeBase64(compressText("[1]"));
  CHECK_FALSE(decodeChanges(NoRows));
}

TEST_CASE("a daemon that holds the previous version gets a delta") {
  ItemTable Table;
  std::string Config(20000, 'x');
  for (size_t I = 0; I < Config.size(); I += 100)
    Config.replace(I, 8, fmt::format("{:07}}}", I));
  Table.apply({"config", Config, {0, 3}, false});
  Table.apply({"config", Config + "one route more}", {0, 6}, false});
  Table.apply(makeChanges({0, 0}, {{"k", "v", {0, 7}, false}}, {0, 7}));
  // There is no capacity for large values, but a delta is small.
  ChangesResponder Responder(
      [&Table](const ChangesRequest &Request) {
        return Table.getChangesAfter(Request.After, Request.Held);
      },
      [] { return false; });
  const ItemChanges Changes =
      decodeChanges(
          Responder.answer({{0, 3}, false, {{"config", {0, 3}}}}, TimePoint{}))
          .value();
  CHECK(Changes.Extent == ChangesExtent::All);
  CHECK(Changes.Items.size() == 1);
  REQUIRE(Changes.Deltas.size() == 1);
  ItemTable Behind;
  Behind.apply(
      makeChanges({0, 0}, {{"config", Config, {0, 3}, false}}, {0, 3}));
  ItemChanges Fetched = Changes;
  Fetched.After = {0, 3};
  CHECK(Behind.apply(Fetched).UnknownBases.empty());
  REQUIRE(Behind.find("config"));
  CHECK(*Behind.find("config") == *Table.find("config"));
  CHECK(Behind.getPosition().Complete == StorePosition(0, 7));
  // A daemon that holds another version, or none, does not get the delta.
  for (const ItemPositions &Held : {ItemPositions{{"config", {0, 2}}}, {}})
    CHECK(decodeChanges(Responder.answer({{0, 3}, false, Held}, TimePoint{}))
              .value()
              .Extent == ChangesExtent::Small);
  ItemTable Other;
  Other.apply(makeChanges({0, 0}, {{"config", Config, {0, 2}, false}}, {0, 3}));
  CHECK(Other.apply(Fetched).UnknownBases.size() == 1);
  CHECK(Other.find("config")->At == StorePosition(0, 2));
  CHECK(Other.getPosition() == ReplicaPosition{{0, 3}, {0, 7}, {0, 7}});
}

TEST_CASE("malformed requests and deltas are rejected") {
  const ChangesRequest Request{{0, 5}, false, {{"config", {0, 3}}}};
  const Json::Value Good = encodeRequest(Request);
  REQUIRE(decodeRequest(Good));
  CHECK(decodeRequest(Good).value().Held == Request.Held);
  for (const char *Field : {"after", "large", "held"}) {
    CAPTURE(Field);
    Json::Value Broken = Good;
    Broken[Field] = "x";
    CHECK_FALSE(decodeRequest(Broken));
  }
  Json::Value NoRevision = Good;
  NoRevision["held"]["config"] = "x";
  CHECK_FALSE(decodeRequest(NoRevision));
  ItemChanges Changes = SmallChanges;
  Changes.Deltas.push_back(
      {"config", {0, 6}, {0, 3}, {1, {{0, 5, "own"}, {7, 2, ""}}}});
  const Json::Value Encoded = encodeChanges(Changes);
  CHECK(decodeChanges(Encoded).value().Deltas == Changes.Deltas);
  for (Json::ArrayIndex I = 0; I < 5; ++I) {
    Json::Value Broken = Encoded;
    Broken["deltas"][0][I] = Json::Value(Json::objectValue);
    CHECK_FALSE(decodeChanges(Broken));
  }
  Json::Value NoPlace = Encoded;
  NoPlace["deltas"][0][4] = "text before any place";
  CHECK_FALSE(decodeChanges(NoPlace));
}

TEST_CASE("arbitrary bytes as packed items never throw") {
  CHECK(rc::check([](const std::string &Bytes) {
    Json::Value Value = encodeChanges(SmallChanges);
    Value.removeMember("items");
    Value["packed"] = encodeBase64(Bytes);
    (void)decodeChanges(Value);
    Value["packed"] = encodeBase64(compressText(Bytes));
    (void)decodeChanges(Value);
  }));
}

TEST_CASE(
    "a peer without epochs is answered as in the current epoch, cached apart") {
  ItemTable Table;
  std::vector<StoreItem> All;
  for (uint64_t I = 0; I < 100; ++I)
    All.push_back({fmt::format("servers/{}", I),
                   std::string(100, 'x'),
                   {2, 10 + I},
                   false});
  Table.apply(makeFullChanges(All, {2, 110}));
  Table.apply(makeChanges(
      {2, 110}, {{"servers/new", std::string(3000, 'y'), {2, 111}, false}},
      {2, 111}));
  bool HasCapacity = true;
  ChangesResponder Responder(
      [&Table](const ChangesRequest &Request) {
        const uint64_t Epoch = Request.HasEpoch ? Request.After.Epoch : 2;
        return Table.getChangesAfter({Epoch, Request.After.Revision});
      },
      [&HasCapacity] { return HasCapacity; });
  const ChangesRequest Without{{0, 110}, true, {}, false};
  const ChangesRequest Earlier{{0, 110}, true, {}, true};
  for (int Time = 0; Time < 2; ++Time) {
    const auto Changes = decodeChanges(Responder.answer(Without, TimePoint{}));
    REQUIRE(Changes);
    CHECK(Changes.value().Items.size() == 1);
    const auto Full = decodeChanges(Responder.answer(Earlier, TimePoint{}));
    REQUIRE(Full);
    CHECK(Full.value().Items.size() == 101);
  }
  // Changes are small and need no capacity; a full replica does.
  HasCapacity = false;
  CHECK(decodeChanges(Responder.answer(Without, TimePoint{})));
  CHECK_FALSE(decodeChanges(Responder.answer(Earlier, TimePoint{})));
}

TEST_CASE("few large answers are on their way at once, until they are "
          "confirmed") {
  ChangesResponder Responder(
      [](const ChangesRequest &) { return makeLargeChanges(); },
      [] { return false; });
  const TimePoint Start = TimePoint{} + fromSeconds(1);
  const auto IsSent = [&](uint64_t Receipt, bool WantsLarge, TimePoint Now) {
    ChangesRequest Request{{0, 3}, WantsLarge, {}};
    Request.Receipt = Receipt;
    return decodeChanges(Responder.answer(Request, Now)).has_value();
  };
  CHECK(IsSent(1, true, Start));
  CHECK(IsSent(2, true, Start));
  CHECK_FALSE(IsSent(3, true, Start));
  // Small items need no room.
  CHECK(IsSent(0, false, Start));
  TimePoint Now = Start;
  SUBCASE("a peer confirms") { Responder.confirmReceipt(2); }
  SUBCASE("a peer that does not confirm counts for a second") {
    CHECK_FALSE(IsSent(3, true, Start + fromMillis(900)));
    Now = Start + fromMillis(1100);
    CHECK(IsSent(4, true, Now));
  }
  CHECK(IsSent(3, true, Now));
  CHECK_FALSE(IsSent(5, true, Now));
}

TEST_CASE("large values that are packed one by one decode to the same items") {
  ChangesResponder Responder(
      [](const ChangesRequest &) { return makeLargeChanges(); },
      [] { return true; });
  ChangesRequest Request{{0, 3}, true, {}};
  const Json::Value Packed = Responder.answer(Request, TimePoint{});
  CHECK(Packed["values"].size() == 1);
  Request.AcceptsPackedValues = false;
  const Json::Value Plain = Responder.answer(Request, TimePoint{});
  CHECK_FALSE(Plain.isMember("values"));
  CHECK(decodeChanges(Packed).value().Items ==
        decodeChanges(Plain).value().Items);
  Json::Value Broken = Packed;
  Broken["values"][0][2] = "no packed text";
  CHECK_FALSE(decodeChanges(Broken));
}
