//===- PeerCallerTest.cpp - Tests of signed calls -------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Round trips, refused signatures, and answers of any shape.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Rpc/PeerCaller.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace canvaswick;

static const CallKey Key{"k", "a-key-for-this-test-only"};

namespace {

/// A daemon's call address with one method.
class Bench {
public:
  Bench()
      : Verifier({Key}), Server(HttpServerLimits(), [this](HttpExchange &E) {
          E.Stream.setDeadline(readSteadyClock() + fromSeconds(10));
          if (!this->Junk.empty())
            E.Response.set_content(this->Junk, "application/json");
          else
            serveCall(E, this->Verifier, this->Mutex, this->Dispatcher,
                      this->Counters);
        }) {
    this->Dispatcher.add("echo", [](const Json::Value &Params) {
      Json::Value Answer;
      Answer["text"] = Params["text"].asString();
      return Answer;
    });
    REQUIRE(this->Server.start({"127.0.0.1", 0}));
  }

  Result<Json::Value> call(PeerCaller &Caller, const std::string &Method,
                           const Json::Value &Params) {
    return Caller.call({"127.0.0.1", this->Server.getPort()}, Method, Params,
                       fromSeconds(10));
  }

  CallVerifier Verifier;
  std::mutex Mutex;
  JsonRpcDispatcher Dispatcher;
  CounterTable Counters;
  /// When set, answered to every call.
  std::string Junk;
  HttpServer Server;
};

} // namespace

static Json::Value makeText(const std::string &Text) {
  Json::Value Params;
  Params["text"] = Text;
  return Params;
}

TEST_CASE("a call goes there and back") {
  Bench Under;
  PeerCaller Caller(Key, nullptr);
  Result<Json::Value> Answer = Under.call(Caller, "echo", makeText("hello"));
  REQUIRE(Answer);
  CHECK(Answer.value()["text"].asString() == "hello");
  CHECK(!Under.call(Caller, "no.such", makeText("")));
}

TEST_CASE("a wrong key is refused, counted and told apart") {
  Bench Under;
  PeerCaller Caller({"k", "another-key-of-some-length"}, nullptr);
  Result<Json::Value> Answer = Under.call(Caller, "echo", makeText("x"));
  REQUIRE(!Answer);
  CHECK(Answer.error().Kind == ErrorKind::Unauthorized);
  CHECK(Under.Counters.get(Counter::CallsRefused) == 1);
}

TEST_CASE("parameters of a wrong type are an error of the call") {
  Bench Under;
  PeerCaller Caller(Key, nullptr);
  Json::Value Wrong;
  Wrong["text"] = Json::arrayValue;
  Wrong["text"].append(1);
  Result<Json::Value> Answer = Under.call(Caller, "echo", Wrong);
  REQUIRE(!Answer);
  CHECK(Answer.error().Kind == ErrorKind::InvalidArgument);
}

TEST_CASE("an answer of a wrong shape is an error, not an end") {
  Bench Under;
  PeerCaller Caller(Key, nullptr);
  for (const char *Junk :
       {"nonsense", "[]", "{}", "{\"jsonrpc\":\"2.0\",\"id\":1}",
        "{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":[1,2]}",
        "{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":7}"}) {
    CAPTURE(Junk);
    Under.Junk = Junk;
    CHECK(!Under.call(Caller, "echo", makeText("x")));
  }
}

TEST_CASE("nobody there is not sent") {
  PeerCaller Caller(Key, nullptr);
  Result<Json::Value> Answer =
      Caller.call({"127.0.0.1", 1}, "echo", makeText("x"), fromSeconds(2));
  REQUIRE(!Answer);
  CHECK(Answer.error().Kind == ErrorKind::Unavailable);
}

TEST_CASE("whatever text arrives, the dispatcher answers") {
  Bench Under;
  CHECK(rc::check([&] {
    const std::string Text = *rc::gen::arbitrary<std::string>();
    const std::string Answer = Under.Dispatcher.handle(Text);
    RC_ASSERT(Answer.size() < 10000);
  }));
}

TEST_CASE("a call whose values lie too deep in each other is answered") {
  JsonRpcDispatcher Dispatcher;
  CHECK_FALSE(Dispatcher.handle(std::string(5000, '[')).empty());
  CHECK_FALSE(Dispatcher.handle(std::string(5000, '[') + std::string(5000, ']'))
                  .empty());
}
