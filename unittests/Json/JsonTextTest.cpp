//===- JsonTextTest.cpp - Tests of JsonText -------------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests that any text from the network can be parsed, on many threads at once.
/// Daemons parse some hundred messages per second, so the processor time per
/// message is reported; it is not checked.
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

/// Returns a message as long as a daemon's report to its hall.
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

TEST_CASE("written values are parsed back and have no white space") {
  Json::Value Value;
  Value["a"] = 1;
  Value["b"].append("x y");
  CHECK(writeJson(Value) == R"({"a":1,"b":["x y"]})");
  Json::Value Parsed;
  REQUIRE(parseJson(writeJson(Value), Parsed));
  CHECK(Parsed == Value);
}

TEST_CASE("malformed text is rejected and does not affect the next parse") {
  Json::Value Parsed;
  CHECK_FALSE(parseJson("", Parsed));
  CHECK_FALSE(parseJson("{\"a\":", Parsed));
  REQUIRE(parseJson("[1]", Parsed));
  CHECK(Parsed.size() == 1);
}

// Guards against an exception of jsoncpp, which throws if values are nested too
// deeply: a datagram from the network could end the process with it.
TEST_CASE("values that are nested too deeply are rejected") {
  Json::Value Parsed;
  CHECK_FALSE(parseJson(std::string(5000, '['), Parsed));
  CHECK_FALSE(
      parseJson(std::string(5000, '[') + std::string(5000, ']'), Parsed));
  REQUIRE(parseJson("{}", Parsed));
}

TEST_CASE("parsing random text never throws") {
  CHECK(rc::check([](const std::string &Text) {
    Json::Value Parsed;
    if (parseJson(Text, Parsed))
      (void)writeJson(Parsed);
  }));
}

TEST_CASE("several threads parse and write at the same time") {
  const std::string Text = makeMessage();
  constexpr size_t ThreadCount = 8;
  std::vector<std::thread> Threads;
  Threads.reserve(ThreadCount);
  std::atomic<int> Wrong{0};
  for (size_t I = 0; I < ThreadCount; ++I)
    Threads.emplace_back([&] {
      for (int Round = 0; Round < 200; ++Round) {
        Json::Value Parsed;
        if (!parseJson(Text, Parsed) || writeJson(Parsed) != Text)
          ++Wrong;
      }
    });
  for (std::thread &Each : Threads)
    Each.join();
  CHECK(Wrong == 0);
}

TEST_CASE("the processor time per message is reported") {
  const std::string Text = makeMessage();
  constexpr int Rounds = 2000;
  const std::clock_t Start = std::clock();
  for (int I = 0; I < Rounds; ++I) {
    Json::Value Parsed;
    REQUIRE(parseJson(Text, Parsed));
    REQUIRE(writeJson(Parsed).size() == Text.size());
  }
  const double Spent = static_cast<double>(std::clock() - Start);
  MESSAGE("reading and writing ", Text.size(),
          " bytes: ", 1e6 * Spent / CLOCKS_PER_SEC / Rounds, " us");
}
