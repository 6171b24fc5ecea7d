//===- PeerCallerTest.cpp - Tests of PeerCaller ---------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests round trips, rejected signatures, malformed calls and malformed
/// answers.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Rpc/PeerCaller.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace canvaswick;

static const CallKey Key{"k", "a-key-for-this-test-only"};

namespace {

/// An HTTP server that dispatches signed calls to one method, "echo".
class CallFixture {
public:
  CallFixture()
      : Verifier({Key}),
        Server(HttpServerLimits(), [this](HttpExchange &Exchange) {
          Exchange.Stream.setDeadline(readSteadyClock() + fromSeconds(10));
          if (!this->FixedAnswer.empty())
            Exchange.Response.set_content(this->FixedAnswer,
                                          "application/json");
          else
            serveCall(Exchange, this->Verifier, this->Mutex, this->Dispatcher,
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
  /// If not empty, the server sends this text as the answer to every call.
  std::string FixedAnswer;
  HttpServer Server;
};

} // namespace

static Json::Value makeTextParams(const std::string &Text) {
  Json::Value Params;
  Params["text"] = Text;
  return Params;
}

TEST_CASE("a call returns the answer of its method") {
  CallFixture Fixture;
  PeerCaller Caller(Key, nullptr);
  Result<Json::Value> Answer =
      Fixture.call(Caller, "echo", makeTextParams("hello"));
  REQUIRE(Answer);
  CHECK(Answer.value()["text"].asString() == "hello");
  CHECK(!Fixture.call(Caller, "no.such", makeTextParams("")));
}

TEST_CASE(
    "a call signed with a wrong key is rejected, counted and unauthorized") {
  CallFixture Fixture;
  PeerCaller Caller({"k", "another-key-of-some-length"}, nullptr);
  Result<Json::Value> Answer =
      Fixture.call(Caller, "echo", makeTextParams("x"));
  REQUIRE(!Answer);
  CHECK(Answer.error().Kind == ErrorKind::Unauthorized);
  CHECK(Fixture.Counters.get(Counter::CallsRefused) == 1);
}

TEST_CASE("parameters of a wrong type make the call fail as invalid") {
  CallFixture Fixture;
  PeerCaller Caller(Key, nullptr);
  Json::Value Wrong;
  Wrong["text"] = Json::arrayValue;
  Wrong["text"].append(1);
  Result<Json::Value> Answer = Fixture.call(Caller, "echo", Wrong);
  REQUIRE(!Answer);
  CHECK(Answer.error().Kind == ErrorKind::InvalidArgument);
}

TEST_CASE("a malformed answer is an error and does not end the process") {
  CallFixture Fixture;
  PeerCaller Caller(Key, nullptr);
  for (const char *FixedAnswer :
       {"nonsense", "[]", "{}", "{\"jsonrpc\":\"2.0\",\"id\":1}",
        "{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":[1,2]}",
        "{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":7}"}) {
    CAPTURE(FixedAnswer);
    Fixture.FixedAnswer = FixedAnswer;
    CHECK(!Fixture.call(Caller, "echo", makeTextParams("x")));
  }
}

TEST_CASE("a call to a closed port fails as unavailable") {
  PeerCaller Caller(Key, nullptr);
  Result<Json::Value> Answer = Caller.call({"127.0.0.1", 1}, "echo",
                                           makeTextParams("x"), fromSeconds(2));
  REQUIRE(!Answer);
  CHECK(Answer.error().Kind == ErrorKind::Unavailable);
}

TEST_CASE("the dispatcher answers any text") {
  CallFixture Fixture;
  CHECK(rc::check([&] {
    const std::string Text = *rc::gen::arbitrary<std::string>();
    const std::string Answer = Fixture.Dispatcher.handle(Text);
    RC_ASSERT(Answer.size() < 10000);
  }));
}

TEST_CASE("a call whose values are nested too deeply is answered") {
  JsonRpcDispatcher Dispatcher;
  CHECK_FALSE(Dispatcher.handle(std::string(5000, '[')).empty());
  CHECK_FALSE(Dispatcher.handle(std::string(5000, '[') + std::string(5000, ']'))
                  .empty());
}
