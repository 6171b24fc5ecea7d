//===- DirectoryCallsTest.cpp - Tests of the copy between daemons ---------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// What a daemon tells of its copy: whole, packed, or without what is large.
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

/// A copy as large as that of a fleet of 443 daemons before 720 servers.
static ItemChanges makeCopy() {
  std::mt19937_64 Random(1);
  ItemChanges Copy;
  Copy.IsFull = true;
  Copy.AsOf = {0, 5000};
  for (int I = 0; I < 720; ++I)
    Copy.Items.push_back(
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
    Copy.Items.push_back(
        {fmt::format("canvaswick/daemons/front-hall-{}-{}", I % 5, I),
         fmt::format(R"({{"control":"10.{}.0.{}:8761","hall":"hall-{}","peer":)"
                     R"("10.{}.0.{}:7780"}})",
                     I % 5, I / 5, I % 5, I % 5, I / 5),
         {0, 1000 + Random() % 4000},
         false});
  return Copy;
}

static const ItemChanges SmallNews{
    false, false, {{"k", "v", {0, 7}, false}}, {}, {0, 7}};

/// News and a configuration of some size.
static ItemChanges makeLargeNews() {
  ItemChanges Changes = SmallNews;
  Changes.Items.push_back({"config", std::string(5000, 'c'), {0, 6}, false});
  return Changes;
}

TEST_CASE("few items travel as they are, many packed, and come back alike") {
  const Json::Value Few = packChanges(encodeChanges(SmallNews));
  CHECK(Few.isMember("items"));
  CHECK(decodeChanges(Few).value().Items == SmallNews.Items);
  const ItemChanges Copy = makeCopy();
  const Json::Value Encoded = encodeChanges(Copy);
  const TimePoint Began = readSteadyClock();
  const Json::Value Packed = packChanges(Encoded);
  const Duration PackTime = readSteadyClock() - Began;
  const size_t Before = writeJson(Encoded).size();
  const size_t After = writeJson(Packed).size();
  MESSAGE("a copy of 1,163 items: ", Before, " bytes, packed ", After, " in ",
          PackTime.count(), " us");
  // What a thin link carries in an eighth of the time.
  CHECK(After * 4 < Before);
  const Result<ItemChanges> Back = decodeChanges(Packed);
  REQUIRE(Back);
  CHECK(Back.value().Items == Copy.Items);
  CHECK(Back.value().IsFull);
  CHECK(Back.value().AsOf == Copy.AsOf);
}

TEST_CASE("large values travel only if asked for and if there is room") {
  bool HasRoom = true;
  ChangesResponder Answerer(
      [](const ChangesRequest &) { return makeLargeNews(); },
      [&HasRoom] { return HasRoom; });
  const auto Ask = [&](bool WantsLarge) {
    return decodeChanges(Answerer.answer({{0, 3}, WantsLarge, {}})).value();
  };
  CHECK(Ask(true).Items.size() == 2);
  CHECK_FALSE(Ask(true).OmitsLarge);
  CHECK(Ask(false).OmitsLarge);
  CHECK(Ask(false).Items == SmallNews.Items);
  HasRoom = false;
  CHECK(Ask(true).OmitsLarge);
  CHECK(Ask(true).Items == SmallNews.Items);
}

TEST_CASE("news without large values are whole, whatever room there is") {
  ChangesResponder Answerer([](const ChangesRequest &) { return SmallNews; },
                            [] { return false; });
  CHECK_FALSE(
      decodeChanges(Answerer.answer({{0, 3}, false, {}})).value().OmitsLarge);
}

TEST_CASE("a whole copy is refused where there is no room, with a reason") {
  bool HasRoom = false;
  ChangesResponder Answerer([](const ChangesRequest &) { return makeCopy(); },
                            [&HasRoom] { return HasRoom; });
  CHECK(Answerer.answer({{0, 0}, true, {}})["error"].asString() ==
        getName(ErrorKind::Unavailable));
  HasRoom = true;
  CHECK(
      decodeChanges(Answerer.answer({{0, 0}, true, {}})).value().Items.size() ==
      1163);
}

TEST_CASE("what was packed is told again until the copy has moved on") {
  ItemChanges Copy = makeCopy();
  ChangesResponder Answerer([&Copy](const ChangesRequest &) { return Copy; },
                            [] { return true; });
  const Json::Value First = Answerer.answer({{0, 0}, true, {}});
  CHECK(Answerer.answer({{0, 0}, true, {}}) == First);
  Copy.AsOf = {0, 6000};
  Copy.Items.pop_back();
  CHECK(decodeChanges(Answerer.answer({{0, 0}, true, {}})).value().AsOf ==
        StorePosition(0, 6000));
  // Many different questions push each other out and are answered all the same.
  for (uint64_t After = 1; After < 30; ++After)
    CHECK(
        decodeChanges(Answerer.answer({{0, After}, true, {}})).value().Items ==
        Copy.Items);
}

TEST_CASE("fields of a wrong kind and broken packed items are refused") {
  Json::Value Good = packChanges(encodeChanges(makeCopy()));
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

TEST_CASE("who holds the version before gets the difference at once") {
  ItemTable Table;
  std::string Config(20000, 'x');
  for (size_t I = 0; I < Config.size(); I += 100)
    Config.replace(I, 8, fmt::format("{:07}}}", I));
  Table.apply({"config", Config, {0, 3}, false});
  Table.apply({"config", Config + "one route more}", {0, 6}, false});
  Table.apply({"k", "v", {0, 7}, false});
  Table.advanceTo({0, 7});
  // No room for what is large: a difference is small.
  ChangesResponder Answerer(
      [&Table](const ChangesRequest &Request) {
        return Table.getChangesAfter(Request.After, Request.Held);
      },
      [] { return false; });
  const ItemChanges Changes =
      decodeChanges(Answerer.answer({{0, 3}, false, {{"config", {0, 3}}}}))
          .value();
  CHECK_FALSE(Changes.OmitsLarge);
  CHECK(Changes.Items.size() == 1);
  REQUIRE(Changes.Deltas.size() == 1);
  ItemTable Behind;
  Behind.apply({"config", Config, {0, 3}, false});
  const Result<StoreItem> Item = Behind.resolve(Changes.Deltas[0]);
  REQUIRE(Item);
  CHECK(Item.value() == *Table.find("config"));
  // Who holds another version, or none, is told the whole.
  for (const ItemPositions &Held : {ItemPositions{{"config", {0, 2}}}, {}})
    CHECK(decodeChanges(Answerer.answer({{0, 3}, false, Held}))
              .value()
              .OmitsLarge);
  ItemTable Other;
  Other.apply({"config", Config, {0, 2}, false});
  CHECK_FALSE(Other.resolve(Changes.Deltas[0]));
}

TEST_CASE("requests and differences of a wrong shape are refused") {
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
  ItemChanges Changes = SmallNews;
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

TEST_CASE("any bytes as packed items are refused or read, never more") {
  CHECK(rc::check([](const std::string &Bytes) {
    Json::Value Value = encodeChanges(SmallNews);
    Value.removeMember("items");
    Value["packed"] = encodeBase64(Bytes);
    (void)decodeChanges(Value);
    Value["packed"] = encodeBase64(compressText(Bytes));
    (void)decodeChanges(Value);
  }));
}

TEST_CASE("who knows no epochs is answered as one of this epoch, and apart") {
  ItemTable Table;
  std::vector<StoreItem> All;
  for (uint64_t I = 0; I < 100; ++I)
    All.push_back({fmt::format("servers/{}", I),
                   std::string(100, 'x'),
                   {2, 10 + I},
                   false});
  Table.replaceAll(All, {2, 110});
  Table.apply({"servers/new", std::string(3000, 'y'), {2, 111}, false});
  Table.advanceTo({2, 111});
  bool HasRoom = true;
  ChangesResponder Answerer(
      [&Table](const ChangesRequest &Request) {
        const uint64_t Epoch = Request.HasEpoch ? Request.After.Epoch : 2;
        return Table.getChangesAfter({Epoch, Request.After.Revision});
      },
      [&HasRoom] { return HasRoom; });
  const ChangesRequest Without{{0, 110}, true, {}, false};
  const ChangesRequest Earlier{{0, 110}, true, {}, true};
  for (int Time = 0; Time < 2; ++Time) {
    const auto News = decodeChanges(Answerer.answer(Without));
    REQUIRE(News);
    CHECK(News.value().Items.size() == 1);
    const auto Whole = decodeChanges(Answerer.answer(Earlier));
    REQUIRE(Whole);
    CHECK(Whole.value().Items.size() == 101);
  }
  // Its news are small and need no room; a whole copy does.
  HasRoom = false;
  CHECK(decodeChanges(Answerer.answer(Without)));
  CHECK_FALSE(decodeChanges(Answerer.answer(Earlier)));
}
