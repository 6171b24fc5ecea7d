//===- ReplicaMismatchTest.cpp - Tests of a replica that is wrong ---------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A daemon that goes on listing a server which its peer does not list.
///
//===----------------------------------------------------------------------===//

#include "PlatformAdapter/ViewChanges.h"
#include "platform/PeerFollower.h"

#include <doctest/doctest.h>

#include <thread>

using namespace canvaswick;
using namespace canvaswick::platform;

/// The shortest bound on leaving servers of any deployment.
static constexpr Duration RepairTime = fromSeconds(2);

namespace {

struct MismatchFixture {
  MismatchFixture()
      : Responder(
            [this](const ChangesRequest &Request) {
              return this->PeerView.getChangesAfter(Request.After,
                                                    Request.Held);
            },
            [] { return true; }),
        Server(HttpServerLimits{}, [this](HttpExchange &Exchange) {
          serveUnsignedCall(Exchange, this->Dispatcher);
        }) {
    const TimePoint Now = readSteadyClock();
    addDirectoryMethod(this->Dispatcher, this->Responder);
    REQUIRE(this->Server.start({"127.0.0.1", 0}));
    const StoreItem Kept{"servers/kept", "{}", {1, 5}, false};
    const StoreItem Gone{"servers/gone", "{}", {1, 6}, false};
    replaceAll(this->PeerView, {Kept}, {1, 10}, Now);
    replaceAll(this->View, {Kept, Gone}, {1, 10}, Now);
    this->Follower.setDaemons(
        {{"peer", "h", {"127.0.0.1", this->Server.getPort()}, {}}}, Now);
    this->Follower.setDoubtListener([this] { ++this->Doubts; });
  }

  /// Passes messages of the peer on until Condition holds or time is up.
  template <typename Predicate> bool passMessages(Predicate Condition) {
    const TimePoint GiveUpAt = readSteadyClock() + RepairTime;
    while (!Condition() && readSteadyClock() < GiveUpAt) {
      PeerMessage Message;
      Message.Source = "peer";
      Message.Hall = "h";
      Message.AsOf = this->PeerView.getAsOf();
      Message.Digest = this->PeerView.getDigest()->Value;
      Message.SinceStoreAnswer = Duration::zero();
      this->Follower.handleMessage(Message, readSteadyClock());
      std::this_thread::sleep_for(fromMillis(20));
    }
    return Condition();
  }

  bool listsGone() const {
    return this->View.findItem("servers/gone").has_value();
  }

  FleetView PeerView{{70}, fromSeconds(2)};
  FleetView View{{70}, fromSeconds(2)};
  JsonRpcDispatcher Dispatcher;
  ChangesResponder Responder;
  HttpServer Server;
  CounterTable Counters;
  std::atomic<int> Doubts{0};
  PeerFollower Follower{{"a", "h", {}, {}}, {}, {}, View, Counters, [] {}};
};

} // namespace

TEST_CASE_FIXTURE(MismatchFixture,
                  "a follower with a server too many copies its watcher") {
  CHECK(this->passMessages([this] { return !this->listsGone(); }));
  CHECK(this->View.findItem("servers/kept"));
  CHECK(this->Counters.get(Counter::ReplicaMismatches) > 0);
  CHECK(this->Doubts == 0);
  // Nothing differs any more.
  const uint64_t Mismatches = this->Counters.get(Counter::ReplicaMismatches);
  this->passMessages([] { return false; });
  CHECK(this->Counters.get(Counter::ReplicaMismatches) == Mismatches);
}

TEST_CASE_FIXTURE(MismatchFixture,
                  "a watcher that differs from another one reads the store") {
  this->Follower.setLocalWatchAnswered(true);
  CHECK(this->passMessages([this] { return this->Doubts > 0; }));
  CHECK(this->listsGone());
  // A second one has to wait.
  this->passMessages([] { return false; });
  CHECK(this->Doubts == 1);
}
