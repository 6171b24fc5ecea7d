//===- JsonTextTest.cpp - Tests of reading and writing JSON ---------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// What comes from the network is read whatever it holds, on many threads, some
/// hundred times a second; the time of that is stated, not asserted.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Json/JsonText.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <atomic>
#include <ctime>
#include <thread>
#include <vector>

using namespace canvaswick;

/// As long as what a daemon tells its hall.
static std::string makeMessage() {
  Json::Value Message;
  Message["source"] = "front-vancouver-hall-12";
  Message["as-of"] = 123456;
  for (int I = 0; I < 20; ++I) {
    Json::Value Row(Json::arrayValue);
    Row.append(I);
    Row.append("i-77f3");
    Row.append(0.25 * I);
    Message["rows"].append(Row);
  }
  return writeJson(Message);
}

TEST_CASE("what is written is read back, without white space") {
  Json::Value Value;
  Value["a"] = 1;
  Value["b"].append("x y");
  CHECK(writeJson(Value) == R"({"a":1,"b":["x y"]})");
  Json::Value Read;
  REQUIRE(parseJson(writeJson(Value), Read));
  CHECK(Read == Value);
}

TEST_CASE("what is no JSON is refused, and nothing of it is left behind") {
  Json::Value Read;
  CHECK_FALSE(parseJson("", Read));
  CHECK_FALSE(parseJson("{\"a\":", Read));
  REQUIRE(parseJson("[1]", Read));
  CHECK(Read.size() == 1);
}

// Found by reading: the library throws where values lie too deep in each other,
// and what came by a datagram would have ended the process.
TEST_CASE("values that lie too deep in each other are refused") {
  Json::Value Read;
  CHECK_FALSE(parseJson(std::string(5000, '['), Read));
  CHECK_FALSE(parseJson(std::string(5000, '[') + std::string(5000, ']'), Read));
  REQUIRE(parseJson("{}", Read));
}

TEST_CASE("random text never throws") {
  CHECK(rc::check([](const std::string &Text) {
    Json::Value Read;
    if (parseJson(Text, Read))
      (void)writeJson(Read);
  }));
}

TEST_CASE("many threads read and write at once") {
  const std::string Text = makeMessage();
  constexpr size_t ThreadCount = 8;
  std::vector<std::thread> Threads;
  Threads.reserve(ThreadCount);
  std::atomic<int> Wrong{0};
  for (size_t I = 0; I < ThreadCount; ++I)
    Threads.emplace_back([&] {
      for (int Round = 0; Round < 200; ++Round) {
        Json::Value Read;
        if (!parseJson(Text, Read) || writeJson(Read) != Text)
          ++Wrong;
      }
    });
  for (std::thread &Each : Threads)
    Each.join();
  CHECK(Wrong == 0);
}

TEST_CASE("the processor time of a message is stated") {
  const std::string Text = makeMessage();
  constexpr int Rounds = 2000;
  const std::clock_t Began = std::clock();
  for (int I = 0; I < Rounds; ++I) {
    Json::Value Read;
    REQUIRE(parseJson(Text, Read));
    REQUIRE(writeJson(Read).size() == Text.size());
  }
  const double Spent = static_cast<double>(std::clock() - Began);
  MESSAGE("reading and writing ", Text.size(),
          " bytes: ", 1e6 * Spent / CLOCKS_PER_SEC / Rounds, " us");
}
