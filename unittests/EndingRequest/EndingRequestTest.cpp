//===- EndingRequestTest.cpp - A request under which servers end ----------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The failure. A caller asked for one thing again and again, at any daemon.
/// Each server that began it ended, and was back after a second or two. It was
/// sent on each time: 20 servers ended, and a third of the reads of all others
/// were not served meanwhile.
///
/// The order of events. The request reached a well server; the server ended,
/// and with it all that it had in flight or queued. The daemon charged that to
/// the server and forgot the request. The caller asked another daemon, which
/// sent the request to the best of those that were left.
///
/// The cause. What the end of an attempt says was kept by server alone. Nothing
/// was known of requests once they were answered, at no daemon, so that the
/// same request met the next server as if it had never been asked. Evidence:
/// within 17 seconds twelve servers of one service and of all halls ended one
/// by one, each with up to twelve attempts of different daemons in flight, and
/// no daemon refused anything for that; the caller's record names one request
/// under all.
///
/// The counterpart must stay as it is: what all callers ask for is in flight at
/// any server that ends, whatever ended it.
///
//===----------------------------------------------------------------------===//

#include "MortalServers.h"
#include "PlatformAdapter/HallFixture.h"
#include "canvaswick/Daemon/PoisonRequestReport.h"

#include <doctest/doctest.h>

using namespace canvaswick;
using namespace canvaswick::platform;

/// Sends of one request that are left for it once three servers have ended
/// under it, and from when on they count: until then the news may travel.
static constexpr size_t TriesLeft = 3;
static constexpr Duration NewsTime = fromSeconds(3);

/// How long the request comes again, and how often.
static constexpr Duration AskingTime = fromSeconds(7);
static constexpr std::chrono::milliseconds AskingPause(60);

namespace {

/// Three daemons of two halls before six servers.
struct Fleet : Hall {
  explicit Fleet(const std::string &ExitTargetPrefix)
      : Hall({"a", "a", "b"}),
        Servers(this->Store, {"a", "a", "a", "b", "b", "b"}, ExitTargetPrefix) {
    this->writeConfig(2);
    for (const std::unique_ptr<Member> &Each : this->Members)
      this->waitFor([&] { return this->serves(*Each, "/x/1"); });
    this->waitFor([&] { return this->listWatchers().size() == 3; });
  }

  /// Asks the next daemon in turn.
  ExchangeResult askNext(const std::string &Method, const std::string &Target) {
    const Member &Each = *this->Members[this->Turn++ % this->Members.size()];
    return this->sendRequestTo(Each.Config.Callers, Method, Target,
                               Method == "POST" ? "order" : "");
  }

  /// Asks for what ends servers as long as AskingTime. Returns the last answer.
  ExchangeResult askOften(const std::string &Method,
                          const std::string &Target) {
    const TimePoint Until = readSteadyClock() + AskingTime;
    ExchangeResult Last;
    while (readSteadyClock() < Until) {
      Last = this->askNext(Method, Target);
      std::this_thread::sleep_for(AskingPause);
    }
    return Last;
  }

  /// Returns how often it was sent after the news of three ends had time.
  size_t countLateSends() {
    const std::vector<TimePoint> Sends = this->Servers.listArrivals();
    REQUIRE(Sends.size() >= 3);
    const TimePoint From = Sends[2] + NewsTime;
    return static_cast<size_t>(
        std::count_if(Sends.begin(), Sends.end(),
                      [From](TimePoint Each) { return Each > From; }));
  }

  /// Returns the requests of which the store has a record.
  std::vector<PoisonRequestRecord> readRecords() {
    const std::string Text = this->Store.peek("canvaswick/suspects");
    if (Text.empty())
      return {};
    Result<std::vector<PoisonRequestRecord>> Records =
        decodeRecords(Text, readInstant());
    REQUIRE(Records);
    return Records.value();
  }

  MortalServers Servers;
  size_t Turn = 0;
};

} // namespace

TEST_CASE("what ends three servers is sent three times more at most") {
  for (const std::string Method : {"GET", "POST"}) {
    const std::string Target = Method == "GET" ? "/x/fatal" : "/pay/fatal";
    CAPTURE(Method);
    Fleet Under(Target);
    const ExchangeResult Last = Under.askOften(Method, Target);
    CHECK(Under.countLateSends() <= TriesLeft);
    CHECK(Last.Status == 503);
    CHECK(Last.Headers.count("Retry-After") == 1);
    for (int I = 0; I < 30; ++I)
      CHECK(Under.askNext("GET", "/x/other").Status == 200);
  }
}

TEST_CASE("daemons that start later know what is held back") {
  Fleet Under("/pay/fatal");
  while (Under.askNext("POST", "/pay/fatal").Status != 503)
    continue;
  Under.waitFor([&] { return !Under.readRecords().empty(); });
  // All at once: what they knew of each other is gone.
  for (const std::unique_ptr<Member> &Each : Under.Members)
    Each->stop();
  for (const std::unique_ptr<Member> &Each : Under.Members)
    Each->start();
  for (const std::unique_ptr<Member> &Each : Under.Members)
    Under.waitFor([&] { return Under.serves(*Each, "/x/1"); });
  const size_t Before = Under.Servers.listArrivals().size();
  size_t Sent = 0;
  for (int I = 0; I < 12; ++I) {
    const ExchangeResult Answer = Under.askNext("POST", "/pay/fatal");
    const bool IsHeld = Answer.Status == 503;
    Sent += IsHeld ? 0 : 1;
    if (IsHeld)
      CHECK(Answer.Headers.find("Canvaswick-Reason")->second == "held-back");
  }
  // Nothing is sent but for a try that has come due, by its record.
  CHECK(Under.Servers.listArrivals().size() == Before + Sent);
  CHECK(Sent <= static_cast<size_t>(Under.readRecords().at(0).Probes));
}

TEST_CASE("what no longer ends servers comes free, at all daemons") {
  Fleet Under("/x/fatal");
  while (Under.askNext("GET", "/x/fatal").Status != 503)
    continue;
  Under.waitFor([&] { return !Under.readRecords().empty(); });
  Under.Servers.mend();
  for (const std::unique_ptr<Member> &Each : Under.Members)
    Under.waitFor([&] { return Under.serves(*Each, "/x/fatal"); });
  // Also for those that have yet to start.
  Under.waitFor([&] { return Under.readRecords().empty(); });
}

TEST_CASE("without the store a request is held back, and not tried") {
  Fleet Under("/x/fatal");
  StoreFaults Down;
  Down.IsDown = true;
  Under.Store.setFaults(Down);
  const ExchangeResult Last = Under.askOften("GET", "/x/fatal");
  CHECK(Last.Status == 503);
  CHECK(Under.countLateSends() == 0);
}

TEST_CASE("what all ask for is served while servers end for another reason") {
  Fleet Under("");
  const TimePoint Until = readSteadyClock() + AskingTime;
  std::atomic<size_t> Asked{0};
  std::atomic<size_t> Served{0};
  std::vector<std::thread> Callers;
  for (const std::unique_ptr<Member> &Each : Under.Members)
    Callers.emplace_back([&] {
      while (readSteadyClock() < Until) {
        ++Asked;
        Served += Under.serves(*Each, "/x/popular") ? 1 : 0;
      }
    });
  while (readSteadyClock() < Until) {
    Under.Servers.endOne();
    Under.Servers.endOne();
    std::this_thread::sleep_for(std::chrono::milliseconds(700));
  }
  for (std::thread &Each : Callers)
    Each.join();
  CAPTURE(Asked.load());
  CAPTURE(Served.load());
  CHECK(Served * 100 >= Asked * 98);
}
