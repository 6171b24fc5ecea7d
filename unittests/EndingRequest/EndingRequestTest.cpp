//===- EndingRequestTest.cpp - Tests of requests that crash servers -------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Guards against a request that crashes one server after another. A caller
/// sent one such request again and again, to any daemon. Each server that ran
/// it crashed, with all that it had in flight or queued, and was back after a
/// second or two. The daemon charged the crash to the server and forgot the
/// request; the next daemon sent it to the best of the servers that were left.
/// 20 servers crashed, twelve of one service and of all halls within 17
/// seconds, each with up to twelve attempts of different daemons in flight. No
/// daemon refused anything, and a third of the reads of all other callers
/// failed meanwhile.
///
/// The cause was that daemons kept the outcomes of attempts by server alone, so
/// that the same request met the next server as if it were new.
///
/// The converse is tested too: a request that many callers send is in flight at
/// any server that crashes, whatever the cause, and must not be quarantined.
///
//===----------------------------------------------------------------------===//

#include "CrashingServers.h"
#include "PlatformAdapter/HallFixture.h"
#include "canvaswick/Daemon/PoisonRequestReport.h"

#include <doctest/doctest.h>

using namespace canvaswick;
using namespace canvaswick::platform;

/// Maximum number of sends of one request after it has crashed three servers.
/// Sends count from PropagationTime after the third crash, since daemons need
/// that time to learn of it.
static constexpr size_t MaxLateSends = 3;
static constexpr Duration PropagationTime = fromSeconds(3);

/// Time for which the request is repeated, and the interval between requests.
static constexpr Duration RequestPeriod = fromSeconds(7);
static constexpr std::chrono::milliseconds RequestInterval(60);

namespace {

/// Three daemons and six servers in two halls.
struct FleetFixture : Hall {
  explicit FleetFixture(const std::string &FatalTarget)
      : Hall({"a", "a", "b"}),
        Servers(this->Store, {"a", "a", "a", "b", "b", "b"}, FatalTarget) {
    this->writeConfig(2);
    for (const std::unique_ptr<Member> &Each : this->Members)
      this->waitFor([&] { return this->serves(*Each, "/x/1"); });
    this->waitFor([&] { return this->listWatchers().size() == 3; });
  }

  /// Sends a request to the next daemon in turn.
  ExchangeResult sendToNextDaemon(const std::string &Method,
                                  const std::string &Target) {
    const Member &Each =
        *this->Members[this->NextMember++ % this->Members.size()];
    return this->sendRequestTo(Each.Config.Callers, Method, Target,
                               Method == "POST" ? "order" : "");
  }

  /// Sends a request repeatedly for RequestPeriod. Returns the last answer.
  ExchangeResult sendRepeatedly(const std::string &Method,
                                const std::string &Target) {
    const TimePoint Until = readSteadyClock() + RequestPeriod;
    ExchangeResult Last;
    while (readSteadyClock() < Until) {
      Last = this->sendToNextDaemon(Method, Target);
      std::this_thread::sleep_for(RequestInterval);
    }
    return Last;
  }

  /// Returns how often the fatal request was sent later than PropagationTime
  /// after its third arrival at a server.
  size_t countLateSends() {
    const std::vector<TimePoint> Sends = this->Servers.listFatalArrivals();
    REQUIRE(Sends.size() >= 3);
    const TimePoint From = Sends[2] + PropagationTime;
    return static_cast<size_t>(
        std::count_if(Sends.begin(), Sends.end(),
                      [From](TimePoint Each) { return Each > From; }));
  }

  /// Returns the records of poison requests that the store holds.
  std::vector<PoisonRequestRecord> readRecords() {
    const std::string Text = this->Store.peek("canvaswick/suspects");
    if (Text.empty())
      return {};
    Result<std::vector<PoisonRequestRecord>> Records =
        decodeRecords(Text, readInstant());
    REQUIRE(Records);
    return Records.value();
  }

  CrashingServers Servers;
  size_t NextMember = 0;
};

} // namespace

TEST_CASE("a request that crashed three servers is sent at most three times "
          "more") {
  for (const std::string Method : {"GET", "POST"}) {
    const std::string Target = Method == "GET" ? "/x/fatal" : "/pay/fatal";
    CAPTURE(Method);
    FleetFixture Fixture(Target);
    const ExchangeResult Last = Fixture.sendRepeatedly(Method, Target);
    CHECK(Fixture.countLateSends() <= MaxLateSends);
    CHECK(Last.Status == 503);
    CHECK(Last.Headers.count("Retry-After") == 1);
    for (int I = 0; I < 30; ++I)
      CHECK(Fixture.sendToNextDaemon("GET", "/x/other").Status == 200);
  }
}

TEST_CASE("daemons that start later know the quarantined requests") {
  FleetFixture Fixture("/pay/fatal");
  while (Fixture.sendToNextDaemon("POST", "/pay/fatal").Status != 503)
    continue;
  Fixture.waitFor([&] { return !Fixture.readRecords().empty(); });
  // All daemons stop at once, so that no peer remembers the quarantine.
  for (const std::unique_ptr<Member> &Each : Fixture.Members)
    Each->stop();
  for (const std::unique_ptr<Member> &Each : Fixture.Members)
    Each->start();
  for (const std::unique_ptr<Member> &Each : Fixture.Members)
    Fixture.waitFor([&] { return Fixture.serves(*Each, "/x/1"); });
  const size_t Before = Fixture.Servers.listFatalArrivals().size();
  size_t Sent = 0;
  for (int I = 0; I < 12; ++I) {
    const ExchangeResult Answer =
        Fixture.sendToNextDaemon("POST", "/pay/fatal");
    const bool IsQuarantined = Answer.Status == 503;
    Sent += IsQuarantined ? 0 : 1;
    if (IsQuarantined)
      CHECK(Answer.Headers.find("Canvaswick-Reason")->second == "held-back");
  }
  // Requests are sent only as probes that are due, which the record counts.
  CHECK(Fixture.Servers.listFatalArrivals().size() == Before + Sent);
  CHECK(Sent <= static_cast<size_t>(Fixture.readRecords().at(0).Probes));
}

TEST_CASE(
    "a request that no longer crashes servers is released at all daemons") {
  FleetFixture Fixture("/x/fatal");
  while (Fixture.sendToNextDaemon("GET", "/x/fatal").Status != 503)
    continue;
  Fixture.waitFor([&] { return !Fixture.readRecords().empty(); });
  Fixture.Servers.stopCrashing();
  for (const std::unique_ptr<Member> &Each : Fixture.Members)
    Fixture.waitFor([&] { return Fixture.serves(*Each, "/x/fatal"); });
  // The record is removed, so daemons that start later do not quarantine it.
  Fixture.waitFor([&] { return Fixture.readRecords().empty(); });
}

TEST_CASE("without the store a request is quarantined and not probed") {
  FleetFixture Fixture("/x/fatal");
  StoreFaults Down;
  Down.IsDown = true;
  Fixture.Store.setFaults(Down);
  const ExchangeResult Last = Fixture.sendRepeatedly("GET", "/x/fatal");
  CHECK(Last.Status == 503);
  CHECK(Fixture.countLateSends() == 0);
}

TEST_CASE(
    "a popular request is served while servers crash for another reason") {
  FleetFixture Fixture("");
  const TimePoint Until = readSteadyClock() + RequestPeriod;
  std::atomic<size_t> SentCount{0};
  std::atomic<size_t> ServedCount{0};
  std::vector<std::thread> Callers;
  for (const std::unique_ptr<Member> &Each : Fixture.Members)
    Callers.emplace_back([&] {
      while (readSteadyClock() < Until) {
        ++SentCount;
        ServedCount += Fixture.serves(*Each, "/x/popular") ? 1 : 0;
      }
    });
  while (readSteadyClock() < Until) {
    Fixture.Servers.crashOne();
    Fixture.Servers.crashOne();
    std::this_thread::sleep_for(std::chrono::milliseconds(700));
  }
  for (std::thread &Each : Callers)
    Each.join();
  CAPTURE(SentCount.load());
  CAPTURE(ServedCount.load());
  CHECK(ServedCount * 100 >= SentCount * 98);
}
