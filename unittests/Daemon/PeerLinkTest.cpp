//===- PeerLinkTest.cpp - Tests of messages between daemons ---------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The datagrams' text, whole and damaged, and who hears what in two halls.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Daemon/PeerLink.h"
#include "canvaswick/Daemon/DirectoryCalls.h"
#include "canvaswick/Json/JsonText.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <memory>
#include <mutex>
#include <thread>

using namespace canvaswick;

static PeerMessage makeMessage() {
  PeerMessage Message;
  Message.Source = "d1";
  Message.Hall = "h1";
  Message.Sequence = 1234567890123;
  Message.AsOf = 77;
  Message.IsWatching = true;
  Message.Seen = {{0xfffffffe, RequestOutcome::Failed, -1},
                  {5, RequestOutcome::Overdue, 3}};
  Message.Estimates = {{9, 345}};
  Message.Rates = {{11, 250, 13}};
  return Message;
}

TEST_CASE("a message survives encoding") {
  const PeerMessage Message = makeMessage();
  Result<PeerMessage> Back = decodePeerMessage(encodePeerMessage(Message));
  REQUIRE(Back);
  CHECK(Back.value() == Message);
}

TEST_CASE("a message of a wrong shape is an error") {
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
  Changed["as-of"] = "x";
  CHECK(Refused(Changed));
}

TEST_CASE("damaged messages never throw") {
  rc::check([] {
    std::string Text = encodePeerMessage(makeMessage());
    const auto Places = *rc::gen::container<std::vector<size_t>>(
        rc::gen::inRange<size_t>(0, Text.size()));
    for (const size_t Place : Places)
      Text[Place] = *rc::gen::elementOf(std::string("{}[]\":,0-9nta "));
    (void)decodePeerMessage(Text);
    Json::Value Value;
    if (parseJson(Text, Value))
      (void)decodeChanges(Value);
  });
}

TEST_CASE("changes of a directory survive encoding") {
  ItemChanges Changes;
  Changes.IsAll = true;
  Changes.AsOf = 9;
  Changes.Items = {{"k", "value \"x\"", 3, false}, {"gone", "", 4, true}};
  Result<ItemChanges> Back = decodeChanges(encodeChanges(Changes));
  REQUIRE(Back);
  CHECK(Back.value().IsAll);
  CHECK(Back.value().AsOf == 9);
  CHECK(Back.value().Items == Changes.Items);
}

namespace {

/// One daemon's link and what it has heard.
struct Listener {
  Listener(const std::string &Name, const std::string &Hall, int Number,
           uint16_t Port)
      : Self{Name, Hall, {}, {fmt::format("127.0.7.{}", Number), Port}},
        Link(Self, 1, Counters, [this](const PeerMessage &Message) {
          std::lock_guard<std::mutex> Lock(this->Mutex);
          this->Heard.push_back(Message);
        }) {}

  size_t countHeard() {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    return this->Heard.size();
  }

  const DaemonRecord Self;
  CounterTable Counters;
  std::mutex Mutex;
  std::vector<PeerMessage> Heard;
  PeerLink Link;
};

} // namespace

TEST_CASE("observations stay in the hall, estimates reach every daemon") {
  HttpServer Probe({}, [](HttpExchange &) {});
  REQUIRE(Probe.start({"127.0.0.1", 0}));
  const uint16_t Port = Probe.getPort();
  std::vector<std::unique_ptr<Listener>> All;
  std::vector<DaemonRecord> Records;
  for (int I = 0; I < 6; ++I) {
    All.push_back(std::make_unique<Listener>(fmt::format("d{}", I),
                                             I < 3 ? "h1" : "h2", I + 1, Port));
    Records.push_back(All.back()->Self);
  }
  for (const std::unique_ptr<Listener> &Each : All) {
    REQUIRE(Each->Link.start());
    Each->Link.setPeers(Records);
  }
  const auto WaitFor = [&](size_t First, size_t Last, size_t Count) {
    for (int Round = 0; Round < 300; ++Round) {
      bool IsDone = true;
      for (size_t I = First; I <= Last; ++I)
        IsDone = IsDone && All[I]->countHeard() >= Count;
      if (IsDone)
        return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return false;
  };
  All[0]->Link.sendObservations({{5, RequestOutcome::Failed, 2}});
  CHECK(WaitFor(1, 2, 1));
  All[0]->Link.sendEstimates({{9, 345}}, {});
  CHECK(WaitFor(3, 5, 1));
  for (size_t I = 3; I < 6; ++I) {
    CHECK(All[I]->Heard.size() == 1);
    CHECK(All[I]->Heard[0].Estimates.size() == 1);
  }
  CHECK(All[0]->countHeard() == 0);
}
