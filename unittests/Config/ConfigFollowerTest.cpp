//===- ConfigFollowerTest.cpp - Tests of settings versions ----------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Checks that a daemon never returns to an older version and never accepts an
/// incomplete or invalid one, and that concurrent publishers and lost responses
/// of the platform lead to exactly one version per change.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Config/ConfigFollower.h"
#include "canvaswick/Config/ConfigPublisher.h"
#include "canvaswick/StandIn/PlatformStandIn.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <thread>

using namespace canvaswick;

static std::string makeTree(int Slots) {
  return fmt::format("# a comment\n[region r]\nslots = {}\n"
                     "[service s]\nregion = r\n"
                     "[server s/a]\naddress = 10.0.0.1:80\nhall = h\n"
                     "[route x]\nservice = s\n"
                     "[organisation o]\nburst = 5\n",
                     Slots);
}

static ConfigManifest makeManifest(uint64_t Version, const std::string &Text,
                                   ConfigTexts &Texts) {
  ConfigManifest Manifest;
  Manifest.Version = Version;
  Manifest.Parts = splitTree(Text, Texts);
  return Manifest;
}

TEST_CASE("joining the parts of a split tree restores it") {
  ConfigTexts Texts;
  const std::vector<ConfigPart> Parts = splitTree(makeTree(3), Texts);
  CHECK(Parts.size() == 4);
  Result<std::string> Joined = joinTree(Parts, Texts);
  REQUIRE(Joined);
  Result<SettingsTree> Tree = SettingsTree::parse(Joined.value(), "joined");
  REQUIRE(Tree);
  CHECK(compileFleetConfig(Tree.value(), 1)->Services[0].Servers[0].Slots == 3);
}

TEST_CASE("a change of one service changes one part only") {
  ConfigTexts Texts;
  const std::string Both = makeTree(3) + "[service t]\nregion = r\n";
  const std::vector<ConfigPart> Before = splitTree(Both, Texts);
  const std::vector<ConfigPart> After =
      splitTree(Both + "deadline-ms = 5\n", Texts);
  REQUIRE(Before.size() == After.size());
  int Changed = 0;
  for (size_t I = 0; I < Before.size(); ++I)
    Changed += !(Before[I] == After[I]);
  CHECK(Changed == 1);
}

TEST_CASE("a part that does not match its hash is refused") {
  ConfigTexts Texts;
  const ConfigManifest Manifest = makeManifest(1, makeTree(3), Texts);
  Texts.begin()->second += "[region evil]\n";
  ConfigFollower Follower;
  CHECK(!Follower.accept(Manifest, Texts));
  CHECK(Follower.getVersion() == 0);
}

TEST_CASE("a version that fails validation leaves the version in force") {
  ConfigFollower Follower;
  ConfigTexts Good;
  const ConfigManifest First = makeManifest(1, makeTree(3), Good);
  REQUIRE(Follower.accept(First, Good));
  ConfigTexts Bad;
  const ConfigManifest Second =
      makeManifest(2, "[region r]\nslots = none\n", Bad);
  Result<FleetConfigRef> Refused = Follower.accept(Second, Bad);
  REQUIRE(!Refused);
  CHECK(Refused.error().Kind == ErrorKind::InvalidArgument);
  CHECK(Follower.getVersion() == 1);
}

TEST_CASE("the version in force only increases, in any order of arrival") {
  CHECK(rc::check([] {
    ConfigFollower Follower;
    uint64_t Highest = 0;
    const int Steps = *rc::gen::inRange(1, 30);
    for (int I = 0; I < Steps; ++I) {
      const uint64_t Version = *rc::gen::inRange<uint64_t>(1, 10);
      const bool IsComplete = *rc::gen::inRange(0, 3) != 0;
      ConfigTexts Texts;
      const ConfigManifest Manifest =
          makeManifest(Version, makeTree(static_cast<int>(Version)), Texts);
      if (!IsComplete && !Texts.empty())
        Texts.erase(Texts.begin());
      Result<FleetConfigRef> Accepted = Follower.accept(Manifest, Texts);
      if (Accepted) {
        RC_ASSERT(Version > Highest);
        RC_ASSERT(Accepted.value()->Services[0].Servers[0].Slots ==
                  static_cast<int>(Version));
        Highest = Version;
      }
      RC_ASSERT(Follower.getVersion() == Highest);
    }
  }));
}

TEST_CASE("the rate of platform reads does not grow with the fleet") {
  for (const size_t Daemons : {10u, 100u, 1000u}) {
    CAPTURE(Daemons);
    std::mt19937_64 Random(1);
    std::uniform_real_distribution<double> Draw(0, 1);
    ConfigWatchSchedule Schedule;
    int Reads = 0;
    static constexpr int Seconds = 200;
    for (int S = 0; S < Seconds; ++S)
      for (size_t D = 0; D < Daemons; ++D)
        Reads +=
            Schedule.shouldReadPlatform(Daemons, Draw(Random), TimePoint{});
    CHECK(Reads <
          1.3 * Seconds * ConfigWatchSchedule::UnconfirmedReadsPerSecond);
  }
}

TEST_CASE("a recent confirmation prevents other daemons from reading") {
  ConfigWatchSchedule Schedule;
  const TimePoint Now = TimePoint{} + fromSeconds(100);
  CHECK(Schedule.shouldReadPlatform(1, 0, Now));
  Schedule.recordConfirmation(fromSeconds(1), Now);
  CHECK(!Schedule.shouldReadPlatform(1, 0, Now));
  CHECK(Schedule.shouldReadPlatform(1, 0, Now + fromSeconds(10)));
  // An older confirmation does not replace a newer one.
  Schedule.recordConfirmation(fromSeconds(50), Now);
  CHECK(Schedule.getConfirmationAge(Now) == fromSeconds(1));
}

namespace {

/// A stand-in platform and a client that is connected to it.
struct PublisherFixture {
  PublisherFixture() {
    REQUIRE(this->Platform.start({"127.0.0.1", 0}));
    this->Client = std::make_unique<PlatformClient>(
        Endpoint{"127.0.0.1", this->Platform.getPort()}, nullptr);
  }
  PlatformStandIn Platform;
  std::unique_ptr<PlatformClient> Client;
};

} // namespace

static ConfigRequest makeRequest(uint64_t Base, const std::string &Id,
                                 int Slots) {
  ConfigRequest Request;
  Request.Text = makeTree(Slots);
  Request.FileName = "t";
  Request.BaseVersion = Base;
  Request.ChangeId = Id;
  Request.Author = Id;
  return Request;
}

TEST_CASE("of concurrent changes exactly one makes the next version") {
  PublisherFixture Fixture;
  static constexpr int Operators = 6;
  std::atomic<int> Published{0};
  std::vector<std::thread> Threads;
  Threads.reserve(Operators);
  for (int I = 0; I < Operators; ++I)
    Threads.emplace_back([&, I] {
      ConfigPublisher Publisher(*Fixture.Client);
      if (Publisher.publish(makeRequest(0, fmt::format("c{}", I), I + 1), 1))
        ++Published;
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  CHECK(Published == 1);
  ConfigPublisher Publisher(*Fixture.Client);
  CHECK(Publisher.readManifest().value().Version == 1);
}

TEST_CASE("the publisher recovers the outcome of any lost message") {
  for (int Lost = 1; Lost <= 8; ++Lost)
    for (const bool IsWriteLost : {false, true}) {
      CAPTURE(Lost);
      CAPTURE(IsWriteLost);
      PublisherFixture Fixture;
      ConfigPublisher Publisher(*Fixture.Client);
      PlatformFaults Faults;
      (IsWriteLost ? Faults.LoseWrites : Faults.LoseAnswers) = Lost;
      Fixture.Platform.setFaults(Faults);
      Result<uint64_t> Version = Publisher.publish(makeRequest(0, "c", 3), 1);
      Fixture.Platform.setFaults(PlatformFaults());
      Result<uint64_t> Found = Publisher.findChange("c");
      CHECK(Version.has_value() == Found.has_value());
      // Publishing the change again returns the same version.
      if (Found)
        CHECK(Publisher.publish(makeRequest(0, "c", 3), 1).value() == 1);
    }
}

TEST_CASE("a change with an old base is refused and the last author is named") {
  PublisherFixture Fixture;
  ConfigPublisher Publisher(*Fixture.Client);
  REQUIRE(Publisher.publish(makeRequest(0, "anna", 3), 1));
  Result<uint64_t> Second = Publisher.publish(makeRequest(0, "bo", 4), 1);
  REQUIRE(!Second);
  CHECK(Second.error().Kind == ErrorKind::Conflict);
  CHECK(Second.error().Message.find("anna") != std::string::npos);
}
